"""Body of the datagram that tells processes of evacuated zones."""

import math
import struct
from collections.abc import Iterable

from result import Err, Ok, Result

from ..foundation.store_version import StoreVersion

# Revision of the list, cold rate, number of zones.
_HEAD = struct.Struct('!QfB')
DIGEST_BYTES = 8
MAX_ZONES = 100
MAX_REVISION = 0xFFFFFFFFFFFFFFFF
MAX_ERA = 0xFFFFFFFFFF
# The era is sent as an entry that is no digest of a zone. Builds that know
# no eras keep the entry and never match it.
_ERA = struct.Struct('!3s5s')
_ERA_MARK = b'era'
_ERA_BYTES = 5


class ZoneNotice:
    """Evacuated zones, and the rate that cold targets bear.

    `digests` are those of `digest_service` of the zones' names. `cold_per_s`
    is the number of new flows that a cold target of the receiver's service
    bears per second, 0 if it is not limited.
    """

    __slots__ = ('cold_per_s', 'digests', 'version')

    def __init__(
        self,
        digests: frozenset[bytes],
        version: StoreVersion,
        cold_per_s: float = 0,
    ) -> None:
        self.digests = digests
        self.version = version
        self.cold_per_s = cold_per_s

    def encode(self) -> bytes:
        """Return the body with at most `MAX_ZONES` zones."""
        listed = sorted(self.digests)[:MAX_ZONES]
        if self.version.era:
            listed.append(_encode_era(self.version.era))
        head = _HEAD.pack(
            min(self.version.revision, MAX_REVISION),
            self.cold_per_s,
            len(listed),
        )
        return head + b''.join(listed)


def decode_notice(body: bytes) -> Result[ZoneNotice, str]:
    """Return the notice, or why the bytes are invalid."""
    if len(body) < _HEAD.size:
        return Err('notice is shorter than its head')
    revision, cold_per_s, count = _HEAD.unpack_from(body)
    if len(body) != _HEAD.size + count * DIGEST_BYTES:
        return Err('notice is truncated')
    if not 0 <= cold_per_s < math.inf:
        return Err('cold rate is out of range')
    entries = [
        body[start : start + DIGEST_BYTES]
        for start in range(_HEAD.size, len(body), DIGEST_BYTES)
    ]
    version = StoreVersion(_decode_era(entries), revision)
    digests = frozenset(
        entry for entry in entries if not entry.startswith(_ERA_MARK)
    )
    return Ok(ZoneNotice(digests, version, cold_per_s))


def _encode_era(era: int) -> bytes:
    return _ERA.pack(_ERA_MARK, min(era, MAX_ERA).to_bytes(_ERA_BYTES, 'big'))


def _decode_era(entries: Iterable[bytes]) -> int:
    """Return the era among the entries, 0 if the sender knows none."""
    eras = (
        int.from_bytes(entry[len(_ERA_MARK) :], 'big')
        for entry in entries
        if entry.startswith(_ERA_MARK)
    )
    return max(eras, default=0)

"""Body of the datagram that tells processes of evacuated zones."""

import math
import struct

from result import Err, Ok, Result

# Revision of the list, cold rate, number of zones.
_HEAD = struct.Struct('!QfB')
DIGEST_BYTES = 8
MAX_ZONES = 100
MAX_REVISION = 0xFFFFFFFFFFFFFFFF


class ZoneNotice:
    """Evacuated zones, and the rate that cold targets bear.

    `digests` are those of `digest_service` of the zones' names. `cold_per_s`
    is the number of new flows that a cold target of the receiver's service
    bears per second, 0 if it is not limited.
    """

    __slots__ = ('cold_per_s', 'digests', 'revision')

    def __init__(
        self, digests: frozenset[bytes], revision: int, cold_per_s: float = 0
    ) -> None:
        self.digests = digests
        self.revision = revision
        self.cold_per_s = cold_per_s

    def encode(self) -> bytes:
        """Return the body with at most `MAX_ZONES` zones."""
        listed = sorted(self.digests)[:MAX_ZONES]
        head = _HEAD.pack(
            min(self.revision, MAX_REVISION), self.cold_per_s, len(listed)
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
    digests = frozenset(
        body[start : start + DIGEST_BYTES]
        for start in range(_HEAD.size, len(body), DIGEST_BYTES)
    )
    return Ok(ZoneNotice(digests, revision, cold_per_s))

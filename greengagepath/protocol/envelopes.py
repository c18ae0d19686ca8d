"""Envelope of datagrams between balancers and agents.

Layout in bytes: magic 1, version 1, key id 1, hops 1, sender 4,
sequence 8, caller address 6, service address 6, two alternate target
addresses 6 each, tag 16, then the service datagram. The tag covers the
envelope and the first `TAGGED_BYTES` of the datagram: its header, and
the whole body of each message between processes of the system. Longer
bodies come from callers, and the path from a caller to the balancer
carries no tag either.
"""

import struct
from dataclasses import dataclass

from result import Err, Ok, Result

from .packets import (
    ENVELOPE_MAGIC,
    PROTOCOL_VERSION,
    Address,
    DropReason,
    decode_address,
    encode_address,
)
from .tags import TAG_BYTES, KeyRing

_PREFIX = struct.Struct('!BBBBIQ6s6s6s6s')
NO_ADDRESS = bytes(6)
PREFIX_BYTES = _PREFIX.size
ENVELOPE_BYTES = PREFIX_BYTES + TAG_BYTES
# With a tag over all 1,260 B, forwarding a full datagram takes 2.3
# times as long as a loop that only receives and sends; the limit is 2.
TAGGED_BYTES = 256


@dataclass(slots=True, frozen=True)
class Envelope:
    """Header fields around a service datagram.

    The receiver checks `sender` and `sequence` against its replay
    window; `alternates` are candidates for handing off an OPEN.
    """

    sender: int
    sequence: int
    caller: Address
    service: Address
    alternates: tuple[Address, ...] = ()
    hops: int = 0


def seal_envelope(keys: KeyRing, envelope: Envelope, datagram: bytes) -> bytes:
    """Return the tagged envelope followed by the datagram."""
    packed = [encode_address(address) for address in envelope.alternates[:2]]
    packed += [NO_ADDRESS, NO_ADDRESS][len(packed) :]
    prefix = _PREFIX.pack(
        ENVELOPE_MAGIC,
        PROTOCOL_VERSION,
        keys.signing_key_id,
        envelope.hops,
        envelope.sender,
        envelope.sequence,
        encode_address(envelope.caller),
        encode_address(envelope.service),
        *packed,
    )
    return prefix + keys.sign(prefix, datagram[:TAGGED_BYTES]) + datagram


def open_envelope(
    keys: KeyRing, sealed: bytes
) -> Result[tuple[Envelope, bytes], DropReason]:
    """Verify the tag; return the envelope and the datagram in it."""
    if len(sealed) < ENVELOPE_BYTES:
        return Err(DropReason.TRUNCATED)
    fields = _PREFIX.unpack_from(sealed)
    if fields[0] != ENVELOPE_MAGIC or fields[1] != PROTOCOL_VERSION:
        return Err(DropReason.UNKNOWN_VERSION)
    datagram = sealed[ENVELOPE_BYTES:]
    tag = sealed[PREFIX_BYTES:ENVELOPE_BYTES]
    tagged = datagram[:TAGGED_BYTES]
    if not keys.verify(fields[2], tag, sealed[:PREFIX_BYTES], tagged):
        return Err(DropReason.BAD_TAG)
    envelope = Envelope(
        sender=fields[4],
        sequence=fields[5],
        caller=decode_address(fields[6]),
        service=decode_address(fields[7]),
        alternates=tuple(
            decode_address(packed)
            for packed in fields[8:]
            if packed != NO_ADDRESS
        ),
        hops=fields[3],
    )
    return Ok((envelope, datagram))

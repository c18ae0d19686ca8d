"""Packets of the platform, as PROTOCOL.md lays them out."""

import hashlib
import struct

SYN = 16
ACK = 64
FIN = 4
RST = 2
BOUNCED = 8
MAX_DATA_BYTES = 1200
SEQUENCE_RANGE = 0x100000000

# Length, echo, sum, sequence, acknowledgement, source port, destination
# port, destination, source, flags.
_HEAD = struct.Struct('>HIIIIHH4s4sB')
_FLAGS_OFFSET = 30
_SUM_KEY = b'requesters and endpoints'

# Address and port.
End = tuple[bytes, int]


class Packet:
    """One packet; `raw` are its bytes."""

    __slots__ = (
        'ack',
        'destination',
        'flags',
        'payload',
        'raw',
        'sequence',
        'source',
        'sum',
    )

    def __init__(self, raw: bytes) -> None:
        fields = _HEAD.unpack_from(raw)
        self.raw = raw
        self.sum, self.sequence, self.ack = fields[2:5]
        self.source: End = (fields[8], fields[5])
        self.destination: End = (fields[7], fields[6])
        self.flags = fields[9]
        self.payload = raw[_HEAD.size :]

    def has(self, flag: int) -> bool:
        """Return whether a flag is set."""
        return bool(self.flags & flag)

    @property
    def is_genuine(self) -> bool:
        """Return whether a requester or an endpoint wrote the packet so."""
        return self.sum == _sum(self.raw)


def decode(raw: bytes) -> Packet | None:
    """Return the packet, None if the bytes are none."""
    if len(raw) < _HEAD.size:
        return None
    packet = Packet(raw)
    length = int.from_bytes(raw[:2], 'big')
    return packet if length == len(packet.payload) else None


def encode(
    source: End,
    destination: End,
    flags: int,
    sequence: int,
    ack: int = 0,
    payload: bytes = b'',
) -> bytes:
    """Return the bytes of a packet."""
    raw = _HEAD.pack(
        len(payload),
        0,
        0,
        sequence % SEQUENCE_RANGE,
        ack % SEQUENCE_RANGE,
        source[1],
        destination[1],
        destination[0],
        source[0],
        flags,
    )
    raw += payload
    return raw[:6] + _sum(raw).to_bytes(4, 'big') + raw[10:]


def bounce(raw: bytes) -> bytes:
    """Return a packet as an endpoint sends it back."""
    flags = raw[_FLAGS_OFFSET] | BOUNCED
    return raw[:_FLAGS_OFFSET] + bytes((flags,)) + raw[_FLAGS_OFFSET + 1 :]


def _sum(raw: bytes) -> int:
    """Return the keyed sum of all fields but echo, sum and BOUNCED."""
    flags = raw[_FLAGS_OFFSET] & ~BOUNCED
    fields = raw[:2] + raw[10:_FLAGS_OFFSET] + bytes((flags,))
    digest = hashlib.blake2b(
        fields + raw[_HEAD.size :], digest_size=4, key=_SUM_KEY
    )
    return int.from_bytes(digest.digest(), 'big')

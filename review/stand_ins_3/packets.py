"""Packets of flows, as the page on the protocol describes them."""

import socket
import struct
import zlib

SYN = 16
ACK = 64
FIN = 4
RST = 2
BOUNCED = 8
MASK = 0xFFFFFFFF
# A reset of the system is accepted on an open flow if its sequence number
# is this near to what the requester has acknowledged last.
RESET_WINDOW = 76800
_HEAD = struct.Struct('>HIIIIHH4s4sB')
_FLAGS_OFFSET = 30
_KEY = b'known to both ends only'

# Address and port of one end.
End = tuple[str, int]


class Packet:
    """One datagram between a requester and an endpoint."""

    __slots__ = ('ack', 'body', 'dst', 'flags', 'seq', 'src', 'total')

    def __init__(
        self,
        src: End,
        dst: End,
        flags: int,
        *,
        seq: int = 0,
        ack: int = 0,
        body: bytes = b'',
    ) -> None:
        self.src = src
        self.dst = dst
        self.flags = flags
        self.seq = seq & MASK
        self.ack = ack & MASK
        self.body = body
        self.total: int | None = None

    def encode(self) -> bytes:
        """Return the datagram with its sum."""
        return (
            _HEAD.pack(
                len(self.body),
                0,
                self.expected_sum(),
                self.seq,
                self.ack,
                self.src[1],
                self.dst[1],
                socket.inet_aton(self.dst[0]),
                socket.inet_aton(self.src[0]),
                self.flags,
            )
            + self.body
        )

    def expected_sum(self) -> int:
        """Return the keyed sum over all fields but echo and BOUNCED."""
        fields = (self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack)
        return zlib.crc32(self.body, zlib.crc32(_KEY + repr(fields).encode()))

    def is_genuine(self) -> bool:
        """Return whether the sender wrote the packet so."""
        return self.total == self.expected_sum()

    def is_reset_of_system(self) -> bool:
        """Return whether the system, not an endpoint, sent the reset."""
        return bool(self.flags & RST) and not self.total and not self.body


def decode(raw: bytes) -> Packet | None:
    """Return the packet, None if the bytes are none."""
    if len(raw) < _HEAD.size:
        return None
    length, _, total, seq, ack, sport, dport, dst, src, flags = (
        _HEAD.unpack_from(raw)
    )
    if length != len(raw) - _HEAD.size:
        return None
    packet = Packet(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        seq=seq,
        ack=ack,
        body=raw[_HEAD.size :],
    )
    packet.total = total
    return packet


def bounce(raw: bytes) -> bytes:
    """Return a packet as an endpoint sends it back."""
    flags = bytes((raw[_FLAGS_OFFSET] | BOUNCED,))
    return raw[:_FLAGS_OFFSET] + flags + raw[_FLAGS_OFFSET + 1 :]


def distance(one: int, other: int) -> int:
    """Return how far apart two sequence numbers are."""
    return min((one - other) & MASK, (other - one) & MASK)

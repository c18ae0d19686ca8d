"""Packets of requesters and endpoints, as PROTOCOL.md lays them out."""

import asyncio
import socket
import struct
from collections.abc import Callable

SYN = 16
ACK = 64
FIN = 4
RST = 2
BOUNCED = 8
MAX_DATA_BYTES = 1200
SEQUENCE_MASK = 0xFFFFFFFF
HEAD = struct.Struct('>HIIIIHH4s4sB')
# The stand-ins do not verify the checksum, and write this one.
CHECKSUM = 0xA1B2C3D5

# Address and port of one end of a flow.
End = tuple[str, int]


class Packet:
    """One packet of a flow."""

    def __init__(
        self,
        source: End,
        destination: End,
        flags: int,
        *,
        sequence: int = 0,
        acknowledged: int = 0,
        payload: bytes = b'',
    ) -> None:
        self.source = source
        self.destination = destination
        self.flags = flags
        self.sequence = sequence & SEQUENCE_MASK
        self.acknowledged = acknowledged & SEQUENCE_MASK
        self.payload = payload

    def encode(self) -> bytes:
        """Return the datagram."""
        return (
            HEAD.pack(
                len(self.payload),
                0,
                CHECKSUM,
                self.sequence,
                self.acknowledged,
                self.source[1],
                self.destination[1],
                socket.inet_aton(self.destination[0]),
                socket.inet_aton(self.source[0]),
                self.flags,
            )
            + self.payload
        )


def decode(raw: bytes) -> Packet:
    """Return the packet in a datagram."""
    fields = HEAD.unpack_from(raw)
    _, _, _, sequence, acknowledged, sport, dport, target, source, flags = (
        fields
    )
    return Packet(
        (socket.inet_ntoa(source), sport),
        (socket.inet_ntoa(target), dport),
        flags,
        sequence=sequence,
        acknowledged=acknowledged,
        payload=raw[HEAD.size :],
    )


def return_packet(raw: bytes) -> bytes:
    """Return a received packet with BOUNCED set."""
    return raw[:30] + bytes((raw[30] | BOUNCED,)) + raw[31:]


def distance(later: int, earlier: int) -> int:
    """Return the signed distance of two sequence numbers."""
    step = (later - earlier) & SEQUENCE_MASK
    return step - SEQUENCE_MASK - 1 if step > SEQUENCE_MASK // 2 else step


class PacketSocket(asyncio.DatagramProtocol):
    """Passes received datagrams to a function."""

    def __init__(self, on_datagram: Callable[[bytes], object]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: End) -> None:
        """Handle one datagram."""
        self._on_datagram(data)


async def open_packet_socket(
    address: End, on_datagram: Callable[[bytes], object]
) -> asyncio.DatagramTransport:
    """Return a bound socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: PacketSocket(on_datagram), local_addr=address
    )
    return transport

"""One end of an open flow: order, acknowledgements, retransmissions."""

import asyncio
from collections.abc import Callable

from .packets import ACK, FIN, MASK, End, Packet

MAX_BODY = 1200
MAX_IN_FLIGHT = 16
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.6
_HALF = 0x80000000


class Stream:
    """Sends and receives the bytes of one flow.

    `seq` is the number of the first byte sent, `peer_seq` that of the
    first byte expected. `send` passes a packet to the network, `on_data`
    gets the bytes in order and `on_end` is called when both ends have
    closed the flow, or this one gave up.
    """

    def __init__(
        self,
        ends: tuple[End, End],
        numbers: tuple[int, int],
        send: Callable[[Packet], None],
        on_data: Callable[[bytes], None],
        on_end: Callable[[str], None],
        max_retries: int = 8,
    ) -> None:
        self._ends = ends
        self._next, self.expected = numbers
        self._send = send
        self._on_data = on_data
        self._on_end = on_end
        self._max_retries = max_retries
        self._unsent: list[tuple[int, bytes]] = []
        self._in_flight: list[Packet] = []
        self._early: dict[int, Packet] = {}
        self._retries = 0
        self._timer: asyncio.TimerHandle | None = None
        self._has_closed = False
        self._peer_closed = False
        self.is_over = False

    def write(self, body: bytes) -> None:
        """Send bytes of the flow."""
        for start in range(0, len(body), MAX_BODY):
            self._unsent.append((ACK, body[start : start + MAX_BODY]))
        self._flush()

    def close(self) -> None:
        """Send the end of this side."""
        if not self._has_closed:
            self._has_closed = True
            self._unsent.append((ACK | FIN, b''))
            self._flush()

    def acknowledge(self) -> None:
        """Send an acknowledgement without data."""
        self._send(self._packet(ACK, self._next, b''))

    def abort(self, reason: str) -> None:
        """End the flow without a packet."""
        if not self.is_over:
            self.is_over = True
            self._stop_timer()
            self._on_end(reason)

    def receive(self, packet: Packet) -> None:
        """Handle a packet of the other end."""
        if self.is_over:
            return
        self._take_ack(packet.ack)
        if packet.body or packet.flags & FIN:
            self._take_data(packet)
            self.acknowledge()
        self._flush()
        self._finish()

    def _packet(self, flags: int, seq: int, body: bytes) -> Packet:
        src, dst = self._ends
        return Packet(src, dst, flags, seq=seq, ack=self.expected, body=body)

    def _take_ack(self, ack: int) -> None:
        kept = [
            packet
            for packet in self._in_flight
            if 0 < ((_end_of(packet) - ack) & MASK) < _HALF
        ]
        if len(kept) != len(self._in_flight):
            self._in_flight = kept
            self._retries = 0
            self._stop_timer()
            self._start_timer()

    def _take_data(self, packet: Packet) -> None:
        if ((packet.seq - self.expected) & MASK) < _HALF:
            self._early[packet.seq] = packet
        while self.expected in self._early:
            ready = self._early.pop(self.expected)
            self.expected = _end_of(ready)
            if ready.body:
                self._on_data(ready.body)
            if ready.flags & FIN:
                self._peer_closed = True

    def _flush(self) -> None:
        while self._unsent and len(self._in_flight) < MAX_IN_FLIGHT:
            flags, body = self._unsent.pop(0)
            packet = self._packet(flags, self._next, body)
            self._next = _end_of(packet)
            self._in_flight.append(packet)
            self._send(packet)
        self._start_timer()

    def _finish(self) -> None:
        is_sent = not self._unsent and not self._in_flight
        if self._has_closed and self._peer_closed and is_sent:
            self.abort('closed')

    def _start_timer(self) -> None:
        if self._timer is None and self._in_flight and not self.is_over:
            delay_s = min(FIRST_RETRY_S * 2**self._retries, MAX_RETRY_S)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._repeat)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _repeat(self) -> None:
        self._timer = None
        if not self._in_flight:
            return
        self._retries += 1
        if self._retries > self._max_retries:
            self.abort('given up')
            return
        packet = self._in_flight[0]
        packet.ack = self.expected
        self._send(packet)
        self._start_timer()


def _end_of(packet: Packet) -> int:
    return (packet.seq + len(packet.body) + bool(packet.flags & FIN)) & MASK

"""Requesters of one zone, behind the platform's routers."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from .packets import (
    ACK,
    MASK,
    RESET_WINDOW,
    RST,
    SYN,
    End,
    Packet,
    decode,
    distance,
)
from .streams import Stream

COPIES_S = (0.0, 0.2, 0.6)
OPEN_LIMIT_S = 1.4
PROBE_S = 0.5
PROBE_LIMIT_S = 0.4
MISSES = 2


class Router:
    """Chooses the node of a packet by a hash over those in rotation."""

    def __init__(self, ready_port: int, data_port: int) -> None:
        self._ready_port = ready_port
        self._data_port = data_port
        self._misses: dict[str, int] = {}
        self._zone_by_host: dict[str, str] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def add(self, host: str, zone: str) -> None:
        """Probe a node from now on."""
        self._zone_by_host[host] = zone
        self._misses[host] = MISSES
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._probe_on(host)))

    def stop(self) -> None:
        """Probe no more."""
        for task in self._tasks:
            task.cancel()

    def is_ready(self, host: str) -> bool:
        """Return whether a node is in rotation."""
        return self._misses[host] < MISSES

    def choose(self, zone: str, ends: tuple[End, End]) -> tuple[str, int]:
        """Return the address that gets a packet."""
        own = [host for host, at in self._zone_by_host.items() if at == zone]
        ready = [host for host in own if self.is_ready(host)]
        if not ready:
            everywhere = list(self._zone_by_host)
            ready = [host for host in everywhere if self.is_ready(host)] or own
        elif len(ready) * 2 < len(own):
            ready = own
        digest = random.Random(repr(ends)).getrandbits(32)
        return ready[digest % len(ready)], self._data_port

    async def _probe_on(self, host: str) -> None:
        await asyncio.sleep(random.uniform(0, PROBE_S))
        while True:
            is_ready = await self._probe(host)
            self._misses[host] = 0 if is_ready else self._misses[host] + 1
            await asyncio.sleep(PROBE_S)

    async def _probe(self, host: str) -> bool:
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    host, self._ready_port
                )
                writer.write(
                    f'GET /ready HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split(b' ')[1:2] == [b'200']


class Channel:
    """One flow of a requester, from its opening packet to its end."""

    def __init__(self, ends: tuple[End, End], send: Callable) -> None:
        self.ends = ends
        self.stream: Stream | None = None
        self.outcome = ''
        self.sent_s = 0.0
        self.opened_s = 0.0
        self.first_seq = random.getrandbits(32)
        self.last_ack = 0
        self.system_resets: list[tuple[float, int, int]] = []
        self._send = send
        self._buffer = b''
        self._changed = asyncio.Event()

    async def open(self) -> bool:
        """Open the flow; False if it was refused or got no answer."""
        self.sent_s = time.monotonic()
        for copy, at_s in enumerate(COPIES_S):
            if copy and await self._wait(self.sent_s + at_s):
                break
            self._send(Packet(*self.ends, SYN, seq=self.first_seq, ack=copy))
        else:
            await self._wait(self.sent_s + OPEN_LIMIT_S)
        if self.stream is None:
            self.outcome = self.outcome or 'no answer'
        return self.stream is not None

    async def request(
        self, attempt: str, size: int, limit_s: float, *, closes: bool
    ) -> str:
        """Send a request; return what became of it."""
        self._buffer = b''
        head = f'GET /{size} HTTP/1.1\r\nHost: x\r\nAttempt-Id: {attempt}\r\n'
        if closes:
            head += 'Connection: close\r\n'
        self.stream.write(f'{head}\r\n'.encode())
        end_s = time.monotonic() + limit_s
        while not self._is_answered(attempt, size):
            self._changed.clear()
            if self.outcome or not await self._wait(end_s, again=True):
                break
        if not self._is_answered(attempt, size):
            return self.outcome or 'no answer'
        return 'served'

    def close(self) -> None:
        """Close the flow."""
        if self.stream is not None and not self.stream.is_over:
            self.stream.close()

    def receive(self, packet: Packet) -> None:
        """Handle a packet that reached the requester."""
        if packet.flags & RST:
            self._handle_reset(packet)
        elif packet.flags & SYN:
            self._handle_answer(packet)
        elif self.stream is not None and packet.is_genuine():
            self.stream.receive(packet)
            self.last_ack = self.stream.expected

    def _handle_answer(self, packet: Packet) -> None:
        if self.stream is not None or self.outcome or not packet.is_genuine():
            return
        self.last_ack = (packet.seq + 1) & MASK
        self.opened_s = time.monotonic()
        self.stream = Stream(
            self.ends,
            ((self.first_seq + 1) & MASK, self.last_ack),
            self._send,
            self._take,
            self._end,
            max_retries=20,
        )
        self._send(
            Packet(*self.ends, ACK, seq=self.first_seq + 1, ack=self.last_ack)
        )
        self._changed.set()

    def _handle_reset(self, packet: Packet) -> None:
        is_of_system = packet.is_reset_of_system()
        if not is_of_system and not packet.is_genuine():
            return
        if self.stream is None:
            self.outcome = self.outcome or 'refused'
            self._changed.set()
            return
        if is_of_system:
            now_s = time.monotonic()
            self.system_resets.append((now_s, packet.seq, self.last_ack))
            if distance(packet.seq, self.last_ack) > RESET_WINDOW:
                return
        if not self.stream.is_over:
            self.outcome = 'reset by system' if is_of_system else 'reset'
            self.stream.abort(self.outcome)

    def _take(self, body: bytes) -> None:
        self._buffer += body
        self._changed.set()

    def _end(self, reason: str) -> None:
        self.outcome = self.outcome or reason
        self._changed.set()

    def _is_answered(self, attempt: str, size: int) -> bool:
        head, end, body = self._buffer.partition(b'\r\n\r\n')
        stamped = f' {attempt}\r\n'.encode() in head + b'\r\n'
        return bool(end) and stamped and len(body) == size

    async def _wait(self, until_s: float, *, again: bool = False) -> bool:
        """Wait for a change; False at the given time."""
        if self._changed.is_set() and not again:
            return True
        try:
            await asyncio.wait_for(
                self._changed.wait(), max(until_s - time.monotonic(), 0.001)
            )
        except TimeoutError:
            return False
        return True


class Requesters(asyncio.DatagramProtocol):
    """All requesters at one address, in one zone."""

    def __init__(
        self, host: str, zone: str, router: Router, routes: dict[str, End]
    ) -> None:
        self.host = host
        self.zone = zone
        self.channels: list[Channel] = []
        self.unreadable = 0
        self._router = router
        self._routes = routes
        self._by_ends: dict[tuple[End, End], Channel] = {}
        self._ports = iter(range(20000, 65000))
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, port: int) -> None:
        """Bind the address at which packets of the system arrive."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, port)
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a packet to the flow to which it belongs."""
        packet = decode(data)
        channel = (
            self._by_ends.get((packet.dst, packet.src)) if packet else None
        )
        if channel is None:
            self.unreadable += 1
        else:
            channel.receive(packet)

    def make_channel(self, route: str) -> Channel:
        """Return a new flow to a route, from a new port."""
        ends = ((self.host, next(self._ports)), self._routes[route])
        channel = Channel(ends, lambda packet: self._send(ends, packet))
        self._by_ends[ends] = channel
        self.channels.append(channel)
        return channel

    def is_to(self, channel: Channel, route: str) -> bool:
        """Return whether a flow is one to a route."""
        return channel.ends[1] == self._routes[route]

    def _send(self, ends: tuple[End, End], packet: Packet) -> None:
        address = self._router.choose(self.zone, ends)
        if self._transport is not None:
            self._transport.sendto(packet.encode(), address)

"""Stand-ins for requesters and for the platform's routers."""

import asyncio
import contextlib
import itertools
import random
import zlib
from collections.abc import Callable

from . import http
from .packets import (
    ACK,
    FIN,
    MAX_DATA_BYTES,
    RST,
    SYN,
    End,
    Packet,
    decode,
    distance,
    open_packet_socket,
)
from .record import Record

# One way between requesters and the system.
DELAY_S = 0.003
COPIES_S = (0.2, 0.4, 0.8)
RETRY_S = 0.2
MAX_RETRY_S = 1.6
PROBE_S = 0.5
MISSES = 2
# A reset of an open flow has to be this near the last acknowledgement.
RESET_WINDOW = 76800


class Router:
    """Sends each packet to a balancer that is in rotation."""

    def __init__(self, data: list[End], ready: list[End]) -> None:
        self.data = data
        self._ready = ready
        self._misses = [MISSES for _ in data]

    def choose(self, flow: tuple[End, End]) -> End:
        """Return the address of the node that gets packets of a flow."""
        used = [
            address
            for address, misses in zip(self.data, self._misses, strict=True)
            if misses < MISSES
        ]
        if len(used) * 2 < len(self.data):
            used = self.data
        return used[zlib.crc32(repr(flow).encode()) % len(used)]

    async def probe_forever(self) -> None:
        """Ask each node twice a second whether it is ready."""
        while True:
            nodes = enumerate(self._ready)
            await asyncio.gather(*(self._probe(*node) for node in nodes))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, index: int, address: End) -> None:
        status = await http.call(address, 'GET', '/ready', limit_s=PROBE_S)
        self._misses[index] = 0 if status == 200 else self._misses[index] + 1


class Flow:
    """One flow of a requester.

    `ended` says why the flow cannot be used any more, empty if it can.
    """

    def __init__(self, requesters: 'Requesters', port: int, route: End) -> None:
        self.end = (requesters.host, port)
        self.route = route
        self.ended = ''
        self.is_open = False
        self._requesters = requesters
        self._sequence = random.getrandbits(32)
        self._expected = 0
        self._received = b''
        self._unacknowledged: list[Packet] = []
        self._changed = asyncio.Event()

    async def open(self) -> bool:
        """Open the flow; False if it was reset or not answered."""
        for copy, wait_s in enumerate(COPIES_S):
            self._send(SYN, self._sequence, acknowledged=copy)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
            if self.is_open or self.ended:
                break
        if not self.is_open and not self.ended:
            self.ended = 'no answer to the opening packet'
        return self.is_open

    async def request(
        self,
        attempt: str,
        *,
        body_bytes: int = 900,
        work_s: float = 0.03,
        budget_s: float = 5.0,
    ) -> bytes | None:
        """Send a request; return the answer, None without one in time."""
        head = (
            f'POST /lodge HTTP/1.1\r\nHost: {self.route[0]}\r\n'
            f'Attempt-Id: {attempt}\r\nWork-S: {work_s}\r\n'
            f'Content-Length: {body_bytes}\r\n\r\n'
        )
        text = head.encode() + b'x' * body_bytes
        for start in range(0, len(text), MAX_DATA_BYTES):
            self._send_data(text[start : start + MAX_DATA_BYTES])
        retry = asyncio.get_running_loop().create_task(self._retransmit())
        try:
            async with asyncio.timeout(budget_s):
                return await self._receive_answer()
        except TimeoutError:
            return None
        finally:
            retry.cancel()

    def close(self) -> None:
        """End the flow."""
        if self.is_open and not self.ended:
            self.ended = 'closed'
            self._send(ACK | FIN, self._sequence, acknowledged=self._expected)

    def handle(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            self._handle_reset(packet)
        elif packet.flags & SYN:
            if not self.is_open and not self.ended:
                self.is_open = True
                self._sequence += 1
                self._expected = packet.sequence + 1
            self._send(ACK, self._sequence, acknowledged=self._expected)
        elif self.is_open:
            self._handle_data(packet)
        self._changed.set()

    def _handle_reset(self, packet: Packet) -> None:
        if self.ended:
            return
        gap = abs(distance(packet.sequence, self._expected))
        if self.is_open and gap > RESET_WINDOW:
            return
        self.ended = 'reset'
        self._requesters.on_reset(self, packet)

    def _handle_data(self, packet: Packet) -> None:
        self._unacknowledged = [
            sent
            for sent in self._unacknowledged
            if distance(packet.acknowledged, sent.sequence + len(sent.payload))
            < 0
        ]
        if distance(packet.sequence, self._expected) == 0:
            self._expected += len(packet.payload)
            self._received += packet.payload
            if packet.flags & FIN:
                self._expected += 1
                self.ended = 'closed by the endpoint'
        if packet.payload or packet.flags & FIN:
            self._send(ACK, self._sequence, acknowledged=self._expected)

    async def _receive_answer(self) -> bytes | None:
        while True:
            head, end, rest = self._received.partition(b'\r\n\r\n')
            if end:
                length = int(
                    head.lower().split(b'content-length: ')[1].split()[0]
                )
                if len(rest) >= length:
                    self._received = rest[length:]
                    return head + end + rest[:length]
            if self.ended:
                return None
            self._changed.clear()
            await self._changed.wait()

    def _send_data(self, payload: bytes) -> None:
        packet = Packet(
            self.end, self.route, ACK, sequence=self._sequence, payload=payload
        )
        self._sequence += len(payload)
        self._unacknowledged.append(packet)
        packet.acknowledged = self._expected & 0xFFFFFFFF
        self._requesters.send(packet)

    async def _retransmit(self) -> None:
        wait_s = RETRY_S
        while True:
            await asyncio.sleep(wait_s)
            wait_s = min(wait_s * 2, MAX_RETRY_S)
            for packet in self._unacknowledged:
                packet.acknowledged = self._expected & 0xFFFFFFFF
                self._requesters.send(packet)

    def _send(self, flags: int, sequence: int, *, acknowledged: int) -> None:
        self._requesters.send(
            Packet(
                self.end,
                self.route,
                flags,
                sequence=sequence,
                acknowledged=acknowledged,
            )
        )


class Requesters:
    """All requesters of one address; each flow has a port of its own."""

    def __init__(
        self,
        record: Record,
        host: str,
        data_port: int,
        router: Router,
        on_reset: Callable[[Flow, Packet], None] = lambda flow, packet: None,
    ) -> None:
        self.host = host
        self.on_reset = on_reset
        self.router = router
        self._record = record
        self._port = data_port
        self._ports = itertools.count(20000 + random.randrange(10000))
        self._flow_by_port: dict[int, Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport = await open_packet_socket(
            (self.host, self._port),
            lambda raw: loop.call_later(DELAY_S, self._receive, raw),
        )

    def create_flow(self, route: End) -> Flow:
        """Return a flow from a new port."""
        port = next(self._ports)
        flow = Flow(self, port, route)
        self._flow_by_port[port] = flow
        return flow

    def send(self, packet: Packet) -> None:
        """Send a packet through the node that the router selects."""
        asyncio.get_running_loop().call_later(
            DELAY_S, self._send_now, packet.encode(), packet
        )

    def _send_now(self, raw: bytes, packet: Packet) -> None:
        node = self.router.choose((packet.source, packet.destination))
        self._transport.sendto(raw, node)

    def _receive(self, raw: bytes) -> None:
        packet = decode(raw)
        flow = self._flow_by_port.get(packet.destination[1])
        if flow is not None:
            flow.handle(packet)

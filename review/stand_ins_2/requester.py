"""A requester that opens flows through the platform's routers."""

import asyncio
import random
import socket
import zlib

from . import packets
from .http import Address, call
from .packets import End, Packet
from .record import Record

COPIES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
FIRST_REPEAT_S = 0.2
LAST_REPEAT_S = 1.6
REPEATS_S = (0.2, 0.4, 0.8, *(1.6,) * 6)
COPY_RANGE = 100000
PROBE_S = 0.5
MISSES = 2


class Router:
    """Sends packets to a front node by a hash over those in rotation.

    `hosts` are the nodes of the requesters' zone, and `nearest` those of the
    nearest zones, which are used if no node of the zone is in rotation.
    """

    def __init__(
        self, hosts: list[str], ready_port: int, nearest: tuple[str, ...] = ()
    ) -> None:
        self._hosts = hosts
        self._nearest = list(nearest)
        self._ready_port = ready_port
        self._misses = dict.fromkeys(hosts, MISSES)

    async def probe(self) -> None:
        """Ask each node twice a second whether it is ready."""
        while True:
            await asyncio.gather(*map(self._probe, self._hosts))
            await asyncio.sleep(PROBE_S)

    def list_ready(self) -> list[str]:
        """Return the nodes in rotation."""
        return [host for host in self._hosts if self._misses[host] < MISSES]

    def choose(self, source: End, route: End) -> str:
        """Return the node for a packet; all of them if few are ready."""
        ready = self.list_ready()
        if not ready and self._nearest:
            ready = self._nearest
        elif len(ready) * 2 < len(self._hosts):
            ready = self._hosts
        key = repr((source, route)).encode()
        return ready[zlib.crc32(key) % len(ready)]

    async def _probe(self, host: str) -> None:
        status = await call((host, self._ready_port), 'GET', '/ready')
        self._misses[host] = 0 if status == 200 else self._misses[host] + 1


class Requester(asyncio.DatagramProtocol):
    """Sends requests, each on a flow of its own, from one address."""

    def __init__(
        self, record: Record, router: Router, host: str, data_port: int
    ) -> None:
        self._record = record
        self._router = router
        self._host = host
        self._data_port = data_port
        self._next_port = random.randrange(20000, 40000)
        self._queue_by_port: dict[int, asyncio.Queue[Packet]] = {}

    async def start(self) -> None:
        """Receive packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._data_port)
        )

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a packet to its flow."""
        packet = packets.decode(data)
        if packet is None:
            return
        queue = self._queue_by_port.get(packet.destination[1])
        if queue is not None:
            queue.put_nowait(packet)

    async def request(self, name: str, route: End, budget_s: float) -> str:
        """Send a request; return 'served', 'reset' or 'no answer'."""
        self._next_port += 1
        source = (socket.inet_aton(self._host), self._next_port)
        attempt = _Attempt(self, source, route, name.encode())
        self._queue_by_port[source[1]] = attempt.queue
        self._record.write(
            'request.sent', request=name, route=route[1], port=source[1]
        )
        try:
            async with asyncio.timeout(budget_s):
                outcome = await attempt.run()
        except TimeoutError:
            outcome = 'no answer'
        del self._queue_by_port[source[1]]
        self._record.write('request.ended', request=name, outcome=outcome)
        return outcome

    def make_flow(self, route: End) -> 'LongFlow':
        """Return a flow that is kept open for several requests."""
        self._next_port += 1
        source = (socket.inet_aton(self._host), self._next_port)
        flow = LongFlow(self, source, route)
        self._queue_by_port[source[1]] = flow.queue
        return flow

    def send(self, raw: bytes, source: End, route: End) -> None:
        """Send a packet as the routers forward it."""
        node = self._router.choose(source, route)
        self._transport.sendto(raw, (node, self._data_port))


class _Flow:
    """One end of a flow."""

    def __init__(self, requester: Requester, source: End, route: End) -> None:
        self.queue: asyncio.Queue[Packet] = asyncio.Queue()
        self.port = source[1]
        self._requester = requester
        self._source = source
        self._route = route
        self._first = random.randrange(packets.SEQUENCE_RANGE)

    async def _open(self) -> Packet | None:
        """Return the answer to the opening packet, None without one."""
        waits_s = (*COPIES_S[1:], OPENING_LIMIT_S)
        for copy, from_s in enumerate(COPIES_S):
            self._send(packets.SYN, self._first, copy)
            answer = await self._receive(waits_s[copy] - from_s)
            if answer is not None:
                return answer
        return None

    async def _receive(self, limit_s: float) -> Packet | None:
        try:
            return await asyncio.wait_for(self.queue.get(), limit_s)
        except TimeoutError:
            return None

    def _send(
        self, flags: int, sequence: int, ack: int, payload: bytes = b''
    ) -> None:
        raw = packets.encode(
            self._source, self._route, flags, sequence, ack, payload
        )
        self._requester.send(raw, self._source, self._route)


class _Attempt(_Flow):
    """One request on one flow."""

    def __init__(
        self, requester: Requester, source: End, route: End, payload: bytes
    ) -> None:
        super().__init__(requester, source, route)
        self._payload = payload

    async def run(self) -> str:
        """Open the flow, send the request and wait for its answer."""
        opened = await self._open()
        if opened is None:
            return 'no answer'
        if opened.has(packets.RST):
            return 'reset'
        ack = opened.sequence + 1
        pause_s = FIRST_REPEAT_S
        while True:
            self._send(packets.ACK, self._first + 1, ack, self._payload)
            answer = await self._receive(pause_s)
            pause_s = min(pause_s * 2, LAST_REPEAT_S)
            if answer is None or answer.has(packets.SYN):
                continue
            if answer.has(packets.RST):
                if _is_near(answer.sequence, ack):
                    return 'reset while open'
            elif answer.payload.endswith(self._payload):
                end = self._first + 1 + len(self._payload)
                flags = packets.FIN | packets.ACK
                self._send(flags, end, answer.sequence + len(answer.payload))
                return 'served'


class LongFlow(_Flow):
    """A flow for several requests; `endpoint` is the one that answered.

    `is_ended` tells whether the endpoint has sent a FIN. `reset_sum` is the
    sum of a reset that has ended the flow, 0 for one of the system's own.
    """

    def __init__(self, requester: Requester, source: End, route: End) -> None:
        super().__init__(requester, source, route)
        self.endpoint = ''
        self.is_ended = False
        self.reset_sum: int | None = None
        self.opened_s = 0.0
        self._sequence = self._first + 1
        self._ack = 0

    async def open(self) -> bool:
        """Open the flow; False if it was refused or not answered."""
        opened = await self._open()
        if opened is None or opened.has(packets.RST):
            return False
        self._ack = opened.sequence + 1
        self._send(packets.ACK, self._sequence, self._ack)
        return True

    async def request(self, name: str) -> str:
        """Send a request and acknowledge its answer."""
        payload = name.encode()
        sequence = self._sequence
        self._sequence += len(payload)
        for pause_s in REPEATS_S:
            self._send(packets.ACK, sequence, self._ack, payload)
            answer = await self._receive_own(pause_s)
            if answer is not None and answer.payload.endswith(payload):
                self.is_ended = answer.has(packets.FIN)
                length = len(answer.payload) + self.is_ended
                self._ack = answer.sequence + length
                self._send(packets.ACK, self._sequence, self._ack)
                self.endpoint = answer.payload.decode().split()[3]
                return 'served'
            if answer is not None and answer.has(packets.RST):
                self.reset_sum = answer.sum
                return 'reset'
        return 'no answer'

    async def close(self) -> str:
        """Send a FIN; return how it was answered."""
        flags = packets.FIN | packets.ACK
        for pause_s in REPEATS_S:
            self._send(flags, self._sequence, self._ack)
            answer = await self._receive_own(pause_s)
            if answer is not None:
                return _describe_end(answer)
        return 'no answer'

    async def _receive_own(self, limit_s: float) -> Packet | None:
        """Return the next packet but copies and resets that do not count."""
        while (packet := await self._receive(limit_s)) is not None:
            is_reset = packet.has(packets.RST)
            if is_reset and not _is_near(packet.sequence, self._ack):
                continue
            is_copy = (self._ack - packet.sequence) % packets.SEQUENCE_RANGE
            if is_reset or not 0 < is_copy < COPY_RANGE:
                return packet
        return None


def _describe_end(answer: Packet) -> str:
    if not answer.has(packets.RST):
        return 'acknowledged'
    # The sum of a reset of the system's own is 0.
    return 'reset by the endpoint' if answer.sum else 'reset by the system'


def _is_near(sequence: int, ack: int) -> bool:
    """Return whether a reset counts on an open flow."""
    step = (sequence - ack) % packets.SEQUENCE_RANGE
    return min(step, packets.SEQUENCE_RANGE - step) <= 76800

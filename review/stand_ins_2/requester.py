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
PROBE_S = 0.5
MISSES = 2


class Router:
    """Sends packets to a front node by a hash over those in rotation."""

    def __init__(self, hosts: list[str], ready_port: int) -> None:
        self._hosts = hosts
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
        if len(ready) * 2 < len(self._hosts):
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

    def send(self, raw: bytes, source: End, route: End) -> None:
        """Send a packet as the routers forward it."""
        node = self._router.choose(source, route)
        self._transport.sendto(raw, (node, self._data_port))


class _Attempt:
    """One request on one flow."""

    def __init__(
        self, requester: Requester, source: End, route: End, payload: bytes
    ) -> None:
        self.queue: asyncio.Queue[Packet] = asyncio.Queue()
        self._requester = requester
        self._source = source
        self._route = route
        self._payload = payload
        self._first = random.randrange(packets.SEQUENCE_RANGE)

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


def _is_near(sequence: int, ack: int) -> bool:
    """Return whether a reset counts on an open flow."""
    step = (sequence - ack) % packets.SEQUENCE_RANGE
    return min(step, packets.SEQUENCE_RANGE - step) <= 76800

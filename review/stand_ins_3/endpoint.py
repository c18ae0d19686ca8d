"""An endpoint beside an agent: flows, requests and status reports."""

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import Any

from .packets import (
    ACK,
    FIN,
    MASK,
    RST,
    SYN,
    End,
    Packet,
    bounce,
    decode,
)
from .streams import Stream

REPORT_LIMIT_S = 1.0
# An endpoint whose draining nobody acknowledges exits anyway.
LEAVE_LIMIT_S = 6.0


@dataclass(slots=True)
class Site:
    """Where an endpoint runs and what it serves."""

    name: str
    host: str
    zone: str
    service: str
    app_port: int
    outbound_port: int
    control_port: int
    slots: int = 2
    work_s: float = 0.02
    heartbeat_s: float = 1.2


class _Flow:
    """A flow that the endpoint has answered; `stream` is None until open."""

    __slots__ = ('buffer', 'first_seq', 'opened_s', 'peer_seq', 'stream')

    def __init__(self, peer_seq: int) -> None:
        self.peer_seq = peer_seq
        self.first_seq = random.getrandbits(32)
        self.stream: Stream | None = None
        self.opened_s = 0.0
        self.buffer = b''


class Endpoint(asyncio.DatagramProtocol):
    """Answers opening packets and runs requests.

    `took` are the opening packets that it took: when, and of which flow.
    `ran` are the ids of the requests that it has begun to work on.
    """

    def __init__(self, site: Site) -> None:
        self.site = site
        self.took: list[tuple[float, tuple[End, End]]] = []
        self.ran: list[str] = []
        self.foreign: list[str] = []
        self.resets: set[tuple[End, End]] = set()
        self.flows: dict[tuple[End, End], _Flow] = {}
        self._ended: dict[tuple[End, End], tuple[int, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._slots = asyncio.Semaphore(site.slots)
        self._tasks: set[asyncio.Task[None]] = set()
        self._born_ms = round(time.time() * 1000)
        self._sequence = 0
        self._drain_acknowledged = asyncio.Event()
        self.state = 'ready'

    async def start(self) -> None:
        """Bind the socket and begin to report."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.site.host, self.site.app_port)
        )
        self._reporting = self._spawn(self._report_on())

    async def leave(self, serve_s: float) -> None:
        """Drain, serve on for some seconds, say goodbye and end."""
        self.state = 'draining'
        await asyncio.wait_for(self._drain_acknowledged.wait(), LEAVE_LIMIT_S)
        await asyncio.sleep(serve_s)
        self._reporting.cancel()
        await self._call('DELETE', b'')
        self.stop()

    def stop(self) -> None:
        """End at once."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: Any) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a packet that the agent has passed on."""
        packet = decode(data)
        if packet is None or not packet.is_genuine():
            self.foreign.append(data.hex())
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self._open(key, packet, flow)
        elif flow is None:
            self._handle_unknown(key, packet, data)
        elif flow.stream is None:
            self._finish_opening(key, flow, packet, data)
        elif packet.flags & RST:
            flow.stream.abort('reset')
        else:
            flow.stream.receive(packet)

    def _open(
        self, key: tuple[End, End], packet: Packet, flow: _Flow | None
    ) -> None:
        if flow is None:
            flow = _Flow((packet.seq + 1) & MASK)
            self.flows[key] = flow
            self.took.append((time.monotonic(), key))
        if flow.stream is None:
            answer = Packet(
                key[1],
                key[0],
                SYN | ACK,
                seq=flow.first_seq,
                ack=flow.peer_seq,
            )
            self._send(answer)

    def _finish_opening(
        self, key: tuple[End, End], flow: _Flow, packet: Packet, data: bytes
    ) -> None:
        if packet.ack != (flow.first_seq + 1) & MASK:
            self._send_raw(bounce(data))
            return
        flow.opened_s = time.monotonic()
        flow.stream = Stream(
            (key[1], key[0]),
            ((flow.first_seq + 1) & MASK, flow.peer_seq),
            self._send,
            lambda body: self._take(key, flow, body),
            lambda reason: self._end(key, flow),
        )
        flow.stream.receive(packet)

    def _handle_unknown(
        self, key: tuple[End, End], packet: Packet, data: bytes
    ) -> None:
        ended = self._ended.get(key)
        if ended is None or packet.flags & RST:
            self._send_raw(bounce(data))
        elif packet.body:
            self.resets.add(key)
            self._send(Packet(key[1], key[0], RST, seq=ended[0], ack=ended[1]))
        elif packet.flags & FIN:
            after = (packet.seq + 1) & MASK
            self._send(Packet(key[1], key[0], ACK, seq=ended[0], ack=after))

    def _end(self, key: tuple[End, End], flow: _Flow) -> None:
        self.flows.pop(key, None)
        expected = flow.stream.expected if flow.stream else 0
        self._ended[key] = (flow.first_seq, expected)

    def _take(self, key: tuple[End, End], flow: _Flow, body: bytes) -> None:
        flow.buffer += body
        while b'\r\n\r\n' in flow.buffer:
            head, _, flow.buffer = flow.buffer.partition(b'\r\n\r\n')
            self._spawn(self._run(flow, head.decode()))

    async def _run(self, flow: _Flow, head: str) -> None:
        first, *lines = head.split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines)
        size = int(first.split(' ')[1].rpartition('/')[2])
        async with self._slots:
            self.ran.append(fields['Attempt-Id'])
            await asyncio.sleep(self.site.work_s)
        body = b'x' * size
        answer = (
            'HTTP/1.1 200 OK\r\n'
            f'Server-Stamp: {self.site.name} {fields["Attempt-Id"]}\r\n'
            f'Content-Length: {size}\r\n\r\n'
        )
        if flow.stream is not None and not flow.stream.is_over:
            flow.stream.write(answer.encode() + body)
            if fields.get('Connection') == 'close':
                flow.stream.close()

    def _send(self, packet: Packet) -> None:
        self._send_raw(packet.encode())

    def _send_raw(self, raw: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(
                raw, (self.site.host, self.site.outbound_port)
            )

    def _spawn(self, running: Any) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(running)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _report_on(self) -> None:
        while True:
            try:
                async with asyncio.timeout(REPORT_LIMIT_S):
                    is_draining = self.state == 'draining'
                    status = await self._call('PUT', self._make_report())
                    if is_draining and status // 100 == 2:
                        self._drain_acknowledged.set()
            except (OSError, ValueError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(self.site.heartbeat_s)

    def _make_report(self) -> bytes:
        site = self.site
        self._sequence += 1
        return json.dumps(
            {
                'service': site.service,
                'address': f'{site.host}:{site.app_port}',
                'zone': site.zone,
                'version': 'v1',
                'slots': site.slots,
                'state': self.state,
                'cold-remaining-ms': 0,
                'sequence': self._sequence,
                'born': self._born_ms,
            }
        ).encode()

    async def _call(self, method: str, body: bytes) -> int:
        """Call the agent on the machine; return the status of its answer."""
        site = self.site
        reader, writer = await asyncio.open_connection(
            site.host, site.control_port
        )
        try:
            writer.write(
                f'{method} /endpoints/{site.name} HTTP/1.1\r\n'
                f'Host: {site.host}:{site.control_port}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode()
                + body
            )
            line = await reader.readline()
            return int(line.split(b' ')[1])
        finally:
            writer.close()

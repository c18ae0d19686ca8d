"""Stand-in for an endpoint on a `side` machine."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

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
    return_packet,
)
from .record import Record

RETRY_S = 0.2
MAX_RETRY_S = 1.6
MAX_RETRIES = 8
MAX_IN_FLIGHT = 16


class _Flow:
    """One flow at the endpoint, by its two ends."""

    def __init__(self, caller: End, route: End, opening: Packet) -> None:
        self.caller = caller
        self.route = route
        self.first = random.getrandbits(32)
        self.next_sent = self.first + 1
        self.expected = opening.sequence + 1
        self.is_open = False
        self.is_ended = False
        self.received = b''
        self.unacknowledged: list[Packet] = []
        self.queued: list[Packet] = []
        self.retry: asyncio.Task[None] | None = None


class Endpoint:
    """Holds flows, runs requests and reports its state to its agent.

    `born` is the Unix millisecond of the start, by the clock of the
    endpoint's machine.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        *,
        app: End,
        outbound: End,
        control: End,
        heartbeat_s: float = 1.2,
        work_s: float = 0.03,
        born: int | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.is_draining = False
        self.born = int(time.time() * 1000) if born is None else born
        # Ports of the callers to which a reset was sent.
        self.reset_ports: set[int] = set()
        # Called with the caller's end for each opening packet it takes.
        self.on_opening: Callable[[End], None] = lambda caller: None
        self._record = record
        self._app = app
        self._outbound = outbound
        self._control = control
        self._heartbeat_s = heartbeat_s
        self._work_s = work_s
        self._sequence = 0
        self._flows: dict[tuple[End, End], _Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, *, reports: bool = True) -> None:
        """Open the packet socket; report the state from now on."""
        self._transport = await open_packet_socket(self._app, self._receive)
        self._record.write('endpoint started', id=self.name, born=self.born)
        if reports:
            self._spawn(self._report_forever())

    def crash(self) -> None:
        """End without a word; all flows are lost."""
        self._record.write('endpoint crashed', id=self.name)
        for task in self._tasks:
            task.cancel()
        for flow in self._flows.values():
            if flow.retry:
                flow.retry.cancel()
        self._flows.clear()
        if self._transport:
            self._transport.close()

    def holds(self, caller: End, route: End) -> bool:
        """Return whether the flow is open here."""
        flow = self._flows.get((caller, route))
        return flow is not None and flow.is_open and not flow.is_ended

    def describe(self) -> dict[str, Any]:
        """Return a status report without its sequence."""
        return {
            'service': self.service,
            'address': f'{self._app[0]}:{self._app[1]}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 2,
            'state': 'draining' if self.is_draining else 'ready',
            'cold-remaining-ms': 0,
            'born': self.born,
        }

    async def report(self) -> int:
        """Send one status report; return the status of the answer."""
        self._sequence += 1
        body = json.dumps(self.describe() | {'sequence': self._sequence})
        return await http.call(
            self._control, 'PUT', f'/endpoints/{self.name}', body.encode()
        )

    async def drain(self) -> float:
        """Report `draining` until it is acknowledged; return when it was."""
        self.is_draining = True
        while True:
            status = await self.report()
            self._record.write('draining reported', id=self.name, status=status)
            if 200 <= status < 300:
                return time.monotonic()
            await asyncio.sleep(0.2)

    async def leave(self) -> None:
        """Say that the endpoint leaves, and exit."""
        await http.call(self._control, 'DELETE', f'/endpoints/{self.name}')
        self.crash()

    async def _report_forever(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(self._heartbeat_s)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _receive(self, raw: bytes) -> None:
        packet = decode(raw)
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            if flow is None or flow.is_ended:
                flow = _Flow(*key, packet)
                self._flows[key] = flow
                self._record.write(
                    'opening packet arrived',
                    id=self.name,
                    flow=packet.source[1],
                    state='draining' if self.is_draining else 'ready',
                )
                self.on_opening(packet.source)
            self._send(flow, SYN | ACK, flow.first)
            return
        if flow is None or not self._belongs(flow, packet):
            self._transport.sendto(return_packet(raw), self._outbound)
            return
        self._handle(flow, packet)

    def _belongs(self, flow: _Flow, packet: Packet) -> bool:
        if flow.is_open or flow.is_ended:
            return True
        if packet.flags & ACK and packet.acknowledged == (
            (flow.first + 1) & 0xFFFFFFFF
        ):
            flow.is_open = True
            self._record.write('flow opened', id=self.name, flow=flow.caller[1])
            return True
        return False

    def _handle(self, flow: _Flow, packet: Packet) -> None:
        if packet.flags & RST:
            flow.is_ended = True
            self._record.write(
                'reset received', id=self.name, flow=flow.caller[1]
            )
            return
        if flow.is_ended:
            if packet.payload:
                self._record.write(
                    'reset sent', id=self.name, flow=flow.caller[1]
                )
                self.reset_ports.add(flow.caller[1])
                self._send(flow, RST, packet.acknowledged)
            elif packet.flags & FIN:
                self._send(flow, ACK, flow.next_sent)
            return
        flow.unacknowledged = [
            sent
            for sent in flow.unacknowledged
            if distance(packet.acknowledged, sent.sequence + len(sent.payload))
            < bool(sent.flags & FIN)
        ]
        self._send_queued(flow)
        if packet.payload and packet.sequence == flow.expected & 0xFFFFFFFF:
            flow.expected += len(packet.payload)
            flow.received += packet.payload
            self._read_requests(flow)
        if (
            packet.flags & FIN
            and packet.sequence + len(packet.payload)
            == flow.expected & 0xFFFFFFFF
        ):
            flow.expected += 1
            flow.is_ended = True
        if packet.payload or packet.flags & FIN:
            self._send(flow, ACK, flow.next_sent)

    def _read_requests(self, flow: _Flow) -> None:
        head, end, rest = flow.received.partition(b'\r\n\r\n')
        if not end:
            return
        fields = dict(line.split(b': ', 1) for line in head.split(b'\r\n')[1:])
        length = int(fields.get(b'Content-Length', b'0'))
        if len(rest) < length:
            return
        flow.received = rest[length:]
        attempt = fields[b'Attempt-Id'].decode()
        work_s = float(fields.get(b'Work-S', str(self._work_s).encode()))
        self._record.write(
            'request run', id=self.name, service=self.service, attempt=attempt
        )
        self._spawn(self._run(flow, attempt, work_s))

    async def _run(self, flow: _Flow, attempt: str, work_s: float) -> None:
        await asyncio.sleep(work_s)
        body = f'done {attempt}'.encode()
        answer = (
            f'HTTP/1.1 200 OK\r\nServer-Stamp: {self.name}/{attempt}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        for start in range(0, len(answer), MAX_DATA_BYTES):
            part = answer[start : start + MAX_DATA_BYTES]
            self._queue(flow, ACK, part)
        if self.is_draining:
            self._queue(flow, ACK | FIN, b'')
        self._send_queued(flow)

    def _queue(self, flow: _Flow, flags: int, payload: bytes) -> None:
        flow.queued.append(
            Packet(
                flow.route,
                flow.caller,
                flags,
                sequence=flow.next_sent,
                payload=payload,
            )
        )
        flow.next_sent += len(payload) + bool(flags & FIN)

    def _send_queued(self, flow: _Flow) -> None:
        while flow.queued and len(flow.unacknowledged) < MAX_IN_FLIGHT:
            packet = flow.queued.pop(0)
            flow.unacknowledged.append(packet)
            self._transmit(flow, packet)
        if flow.unacknowledged and (flow.retry is None or flow.retry.done()):
            flow.retry = asyncio.get_running_loop().create_task(
                self._retransmit(flow)
            )

    async def _retransmit(self, flow: _Flow) -> None:
        wait_s = RETRY_S
        for _ in range(MAX_RETRIES):
            await asyncio.sleep(wait_s)
            if not flow.unacknowledged or flow.is_ended:
                return
            for packet in flow.unacknowledged:
                self._transmit(flow, packet)
            wait_s = min(wait_s * 2, MAX_RETRY_S)

    def _send(self, flow: _Flow, flags: int, sequence: int) -> None:
        self._transmit(
            flow, Packet(flow.route, flow.caller, flags, sequence=sequence)
        )

    def _transmit(self, flow: _Flow, packet: Packet) -> None:
        packet.acknowledged = flow.expected & 0xFFFFFFFF
        self._transport.sendto(packet.encode(), self._outbound)

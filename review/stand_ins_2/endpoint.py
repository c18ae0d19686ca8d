"""An endpoint beside a node: packets over UDP, status reports over HTTP."""

import asyncio
import random
import socket
import time
from typing import Any

from . import packets
from .http import Address, call
from .packets import Packet
from .record import Record

HEARTBEAT_S = 1.2
FIRST_REPEAT_S = 0.2
LAST_REPEAT_S = 1.6
MAX_REPEATS = 8


class Flow:
    """State of one flow at an endpoint; sequence numbers of both ends."""

    __slots__ = ('acked', 'first', 'is_closed', 'is_open', 'received', 'sent')

    def __init__(self) -> None:
        self.first = random.randrange(packets.SEQUENCE_RANGE)
        self.is_open = False
        # Whether this end has sent a FIN.
        self.is_closed = False
        self.received = 0
        self.sent = 1
        self.acked = 0


class Endpoint(asyncio.DatagramProtocol):
    """Opens flows, runs requests and answers them."""

    def __init__(
        self,
        record: Record,
        host: str,
        service: str,
        zone: str,
        ports: dict[str, int],
        work_s: float = 0.03,
    ) -> None:
        self.host = host
        self.name = f'i-{host.replace(".", "-")}'
        self.service = service
        self.work_s = work_s
        self.state = 'ready'
        self.slots = 2
        # Time of the last report that was acknowledged, in the record.
        self.acked_s = -1.0
        # The same of the first report that it drains.
        self.drain_acked_s = -1.0
        # Ports of the requesters whose flows were opened here.
        self.open_ports: set[int] = set()
        self._record = record
        self._zone = zone
        self._ports = ports
        self._born_ms = round(time.time() * 1000)
        self._flows: dict[tuple[Any, Any], Flow] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Receive packets and send status reports."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self._ports['app'])
        )
        self._spawn(self._send_heartbeats())

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a packet from the node."""
        packet = packets.decode(data)
        if packet is None or not packet.is_genuine:
            self._record.write('endpoint.forged', endpoint=self.name)
            return
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.has(packets.SYN):
            flow = flow or self._flows.setdefault(key, Flow())
            flow.received = packet.sequence + 1
            flags = packets.SYN | packets.ACK
            self._send(packet, flags, flow.first, flow.received)
            return
        if flow is None or not self._belongs(packet, flow):
            self._record.write(
                'endpoint.bounced', endpoint=self.name, port=key[0][1]
            )
            self._send_raw(packets.bounce(data))
            return
        if not flow.is_open:
            flow.is_open = True
            self.open_ports.add(key[0][1])
            self._record.write(
                'endpoint.opened', endpoint=self.name, port=key[0][1]
            )
        self._handle(packet, flow)

    def _belongs(self, packet: Packet, flow: Flow) -> bool:
        ahead = (packet.ack - flow.first) % packets.SEQUENCE_RANGE
        return 0 < ahead <= flow.sent

    def _handle(self, packet: Packet, flow: Flow) -> None:
        flow.acked = (packet.ack - flow.first) % packets.SEQUENCE_RANGE
        if packet.payload:
            if packet.sequence != flow.received:
                self._acknowledge(packet, flow)
                return
            flow.received += len(packet.payload)
            self._spawn(self._run(packet, flow))
        elif packet.has(packets.FIN):
            flow.received = packet.sequence + 1
            flags = packets.ACK if flow.is_closed else packets.FIN | packets.ACK
            self._record.write(
                'endpoint.fin', endpoint=self.name, port=packet.source[1]
            )
            self._send(packet, flags, flow.first + flow.sent, flow.received)

    def _acknowledge(self, packet: Packet, flow: Flow) -> None:
        sequence = flow.first + flow.sent
        self._send(packet, packets.ACK, sequence, flow.received)

    async def _run(self, packet: Packet, flow: Flow) -> None:
        name = packet.payload.decode()
        self._record.write('endpoint.run', endpoint=self.name, request=name)
        await asyncio.sleep(self.work_s)
        body = f'HTTP/1.1 200 OK {self.name} {name}'.encode()
        sequence = flow.first + flow.sent
        flags = packets.ACK
        flow.sent += len(body)
        if self.state == 'draining':
            # It closes each flow after its next response.
            flags |= packets.FIN
            flow.sent += 1
            flow.is_closed = True
        pause_s = FIRST_REPEAT_S
        for _ in range(MAX_REPEATS + 1):
            self._send(packet, flags, sequence, flow.received, body)
            await asyncio.sleep(pause_s)
            if flow.acked >= flow.sent:
                return
            pause_s = min(pause_s * 2, LAST_REPEAT_S)

    def _send(
        self,
        packet: Packet,
        flags: int,
        sequence: int,
        ack: int,
        payload: bytes = b'',
    ) -> None:
        self._send_raw(
            packets.encode(
                packet.destination,
                packet.source,
                flags,
                sequence,
                ack,
                payload,
            )
        )

    def _send_raw(self, raw: bytes) -> None:
        self._transport.sendto(raw, (self.host, self._ports['outbound']))

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            state = self.state
            status = await call(
                (self.host, self._ports['control']),
                'PUT',
                f'/endpoints/{self.name}',
                self._describe(sequence),
            )
            if status in range(200, 300):
                self.acked_s = self._record.now()
                if state == 'draining' and self.drain_acked_s < 0:
                    self.drain_acked_s = self.acked_s
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def _describe(self, sequence: int) -> dict[str, Any]:
        return {
            'service': self.service,
            'address': f'{self.host}:{self._ports["app"]}',
            'zone': self._zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold-remaining-ms': 0,
            'sequence': sequence,
            'born': self._born_ms,
        }

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def pack(host: str) -> bytes:
    """Return the 4 bytes of an IPv4 address."""
    return socket.inet_aton(host)

"""Stand-in for the fabric that distributes datagrams over the balancers.

`python -m greengagepath.emulator.fabric --config FILE` receives
datagrams of callers at each service address and forwards each to a
random balancer. Answers of agents arrive at one port and are sent from
the service address. Balancers whose `/readyz` fails get no datagrams.
`POST /control/faults` sets loss, duplication, reordering and silent
callers; `POST /control/balancers` replaces the list of balancers.
"""

import random
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import gevent
import msgspec
from gevent import monkey

from ..protocol.packets import (
    FABRIC_HEADER_BYTES,
    Address,
    FabricHeader,
    decode_fabric_header,
)
from .http_server import (
    NOT_FOUND,
    HttpRequest,
    HttpResponse,
    json_response,
    make_server,
)

RECEIVE_BUFFER_BYTES = 8_388_608
MAX_DATAGRAM_BYTES = 65535
DATAGRAMS_BEFORE_YIELD = 64
CHECK_PERIOD_S = 0.25
CHECK_TIMEOUT_S = 0.25
REORDER_DELAY_S = 0.005
STATUS_LINE_BYTES = 64


class BalancerEntry(msgspec.Struct, frozen=True):
    """A balancer behind the fabric."""

    host: str
    data_port: int
    status_port: int


class FabricConfig(msgspec.Struct, frozen=True):
    """Addresses of the fabric, the services and the balancers."""

    host: str
    answer_port: int
    control_port: int
    services: list[tuple[str, int]]
    balancers: list[BalancerEntry]
    seed: int = 0


class FabricFaults(msgspec.Struct):
    """Faults of the fabric, as shares of all datagrams.

    Datagrams of callers whose port is in `silent_ports` are dropped in
    both directions.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    silent_ports: list[int] = []


@dataclass(slots=True)
class FabricCounters:
    """Forwarded datagrams by direction and dropped ones by reason."""

    to_balancers: int = 0
    to_callers: int = 0
    lost: int = 0
    without_balancer: int = 0
    malformed: int = 0
    datagrams_by_balancer: dict[int, int] = field(default_factory=dict)


class Fabric:
    """Forwards datagrams between callers, balancers and agents."""

    def __init__(self, config: FabricConfig) -> None:
        self.faults = FabricFaults()
        self.counters = FabricCounters()
        self._config = config
        self._rng = random.Random(config.seed)
        self._balancers = tuple(config.balancers)
        self._ready_ports: set[int] = set()
        self._ready_addresses: tuple[Address, ...] = ()
        self._forward_socket = _bind_udp(config.host, 0)
        self._sockets_by_service = {
            tuple(address): _bind_udp(*address) for address in config.services
        }

    def start(self) -> None:
        """Start the greenlets that forward datagrams and check balancers."""
        for address, receiver in self._sockets_by_service.items():
            gevent.spawn(self._receive_from_callers, address, receiver)
        answers = _bind_udp(self._config.host, self._config.answer_port)
        gevent.spawn(self._receive_answers, answers)
        gevent.spawn(self._check_balancers)

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request at the control port."""
        match request.path:
            case '/control/faults':
                self.faults = msgspec.json.decode(
                    request.body, type=FabricFaults
                )
            case '/control/balancers':
                self._balancers = msgspec.json.decode(
                    request.body, type=tuple[BalancerEntry, ...]
                )
            case '/control/counters':
                return json_response(msgspec.to_builtins(self.counters))
            case _:
                return HttpResponse(NOT_FOUND)
        return json_response({'balancers': len(self._ready_addresses)})

    def _receive_from_callers(
        self, service: Address, receiver: socket.socket
    ) -> None:
        while True:
            for _ in range(DATAGRAMS_BEFORE_YIELD):
                datagram, caller = receiver.recvfrom(MAX_DATAGRAM_BYTES)
                self._forward_to_balancer(caller, service, datagram)
            gevent.sleep(0)

    def _forward_to_balancer(
        self, caller: Address, service: Address, datagram: bytes
    ) -> None:
        if not self._ready_addresses:
            self.counters.without_balancer += 1
            return
        if caller[1] in self.faults.silent_ports:
            self.counters.lost += 1
            return
        header = FabricHeader(source=caller, destination=service).encode()
        balancer = self._rng.choice(self._ready_addresses)
        by_balancer = self.counters.datagrams_by_balancer
        by_balancer[balancer[1]] = by_balancer.get(balancer[1], 0) + 1
        self.counters.to_balancers += 1
        self._send(self._forward_socket, header + datagram, balancer)

    def _receive_answers(self, receiver: socket.socket) -> None:
        while True:
            for _ in range(DATAGRAMS_BEFORE_YIELD):
                self._forward_to_caller(receiver.recv(MAX_DATAGRAM_BYTES))
            gevent.sleep(0)

    def _forward_to_caller(self, datagram: bytes) -> None:
        header = decode_fabric_header(datagram).ok()
        if header is None:
            self.counters.malformed += 1
            return
        sender = self._sockets_by_service.get(header.source)
        if sender is None:
            self.counters.malformed += 1
            return
        if header.destination[1] in self.faults.silent_ports:
            self.counters.lost += 1
            return
        self.counters.to_callers += 1
        self._send(sender, datagram[FABRIC_HEADER_BYTES:], header.destination)

    def _send(
        self, sender: socket.socket, datagram: bytes, address: Address
    ) -> None:
        faults = self.faults
        if faults.loss and self._rng.random() < faults.loss:
            self.counters.lost += 1
            return
        if faults.reordering and self._rng.random() < faults.reordering:
            gevent.spawn_later(
                REORDER_DELAY_S, _send_datagram, sender, datagram, address
            )
            return
        _send_datagram(sender, datagram, address)
        if faults.duplication and self._rng.random() < faults.duplication:
            _send_datagram(sender, datagram, address)

    def _check_balancers(self) -> None:
        while True:
            checks = [
                gevent.spawn(self._check_balancer, balancer)
                for balancer in self._balancers
            ]
            gevent.joinall(checks)
            self._ready_addresses = tuple(
                (balancer.host, balancer.data_port)
                for balancer in self._balancers
                if balancer.data_port in self._ready_ports
            )
            gevent.sleep(CHECK_PERIOD_S)

    def _check_balancer(self, balancer: BalancerEntry) -> None:
        if _is_ready(balancer):
            self._ready_ports.add(balancer.data_port)
        else:
            self._ready_ports.discard(balancer.data_port)


@dataclass(slots=True)
class FabricOptions:
    """Serve the fabric stand-in."""

    config: Annotated[Path, cappa.Arg(long=True, help='JSON file.')]


def _is_ready(balancer: BalancerEntry) -> bool:
    address = (balancer.host, balancer.status_port)
    try:
        with socket.create_connection(address, CHECK_TIMEOUT_S) as connection:
            connection.sendall(b'GET /readyz HTTP/1.0\r\n\r\n')
            connection.settimeout(CHECK_TIMEOUT_S)
            return b' 200 ' in connection.recv(STATUS_LINE_BYTES)
    except OSError:
        return False


def _bind_udp(host: str, port: int) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    udp_socket.bind((host, port))
    return udp_socket


def _send_datagram(
    sender: socket.socket, datagram: bytes, address: Address
) -> None:
    try:
        sender.sendto(datagram, address)
    except OSError:
        # A real fabric does not report a closed port to the sender.
        return


def main() -> None:
    """Serve until the process is ended."""
    monkey.patch_all()
    options = cappa.parse(FabricOptions)
    config = msgspec.json.decode(options.config.read_bytes(), type=FabricConfig)
    fabric = Fabric(config)
    fabric.start()
    make_server(
        config.host, config.control_port, fabric.handle_request
    ).serve_forever()


if __name__ == '__main__':
    main()

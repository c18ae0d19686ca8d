"""Routing of single datagrams at a balancer, without sockets.

An OPEN is sent to the target that the chooser selects; datagrams of
established flows are routed by the forwarder. Probes report the load of
targets to the choosers.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol

from result import Result

from ..foundation.timers import TimerService
from ..generated.messages import Configuration, SizeClass
from ..protocol.envelopes import open_envelope
from ..protocol.packets import (
    ENVELOPE_MAGIC,
    FABRIC_HEADER_BYTES,
    Address,
    DropReason,
    Kind,
    ServiceDatagram,
    SizeCode,
    decode_fabric_header,
    decode_service_datagram,
    encode_address,
)
from ..protocol.tags import KeyRing
from ..protocol.tokens import Send
from ..routing.choice import Choice, NoTarget, TargetChooser
from ..routing.targets import TargetInfo
from .forwarder import NO_ALTERNATES, Forwarder
from .probing import ProbeLoad, ProbeTracker, decode_load

MAX_ALTERNATES = 2
_ENVELOPE_PREFIX = bytes((ENVELOPE_MAGIC,))
_SIZE_CLASSES_BY_CODE = {
    SizeCode.UNKNOWN: SizeClass.unknown,
    SizeCode.SHORT: SizeClass.short,
    SizeCode.LONG: SizeClass.long,
}


class Choosers(Protocol):
    """Interface to the choosers of all services, as `ServiceChoosers`."""

    def choose(
        self, service: int, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the target for a new flow of the service."""

    def get_chooser(self, service: int) -> TargetChooser | None:
        """Return the chooser of a service that has targets."""


@dataclass(slots=True)
class RouterDependencies:
    """Dependencies and limits of a `PacketRouter`.

    `connect` returns a function that sends datagrams to one address;
    `send_probe` sends one from the socket that receives the reply.
    Both raise OSError if a datagram cannot be sent. `own_address` is
    the address of that socket. `verified_tokens` is the capacity of the
    token cache.
    """

    keys: KeyRing
    choosers: Choosers
    timers: TimerService
    random: Random
    connect: Callable[[Address], Send]
    send_probe: Callable[[bytes, Address], object]
    own_address: Address
    verified_tokens: int
    probes_per_s: int


class PacketRouter:
    """Routes datagrams from the fabric and probes targets."""

    def __init__(self, dependencies: RouterDependencies) -> None:
        self.probes = ProbeTracker(
            dependencies.timers, dependencies.random, dependencies.probes_per_s
        )
        self.forwarder = Forwarder(
            dependencies.keys,
            dependencies.random,
            dependencies.connect,
            dependencies.verified_tokens,
            self._route_slow_path,
        )
        self.counters = self.forwarder.counters
        self._dependencies = dependencies
        self._services_by_address: Mapping[Address, int] = {}

    @property
    def route(self) -> Callable[[bytes], None]:
        """The function that forwards, handles or drops one datagram.

        It never raises on invalid input. It is valid for one batch,
        because the forwarder replaces it when the keys change.
        """
        return self.forwarder.route

    def use_configuration(self, configuration: Configuration) -> None:
        """Replace the addresses of the services."""
        self._services_by_address = {
            (service.host, service.port): service.service_id
            for service in configuration.services
        }

    def probe(self, service_id: int) -> None:
        """Send the probes that are due for the targets of a service."""
        chooser = self._dependencies.choosers.get_chooser(service_id)
        if chooser is None:
            return
        for target in chooser.targets_to_probe():
            probe_id = self.probes.start(target)
            if probe_id is not None:
                self._send_probe(target, probe_id)

    def check_probes(self) -> None:
        """Record a failure for each probe without a reply in time."""
        for lost in self.probes.pop_lost():
            self.counters.probes_lost += 1
            chooser = self._dependencies.choosers.get_chooser(lost.service_id)
            if chooser is not None:
                chooser.record_outcome(lost.target_id, succeeded=False)

    def _route_slow_path(self, packet: bytes) -> None:
        if packet[:1] == _ENVELOPE_PREFIX:
            problem = self._handle_envelope(packet)
        else:
            problem = self._handle_packet(packet)
        if problem is not None:
            self.counters.dropped[problem] += 1

    def _handle_packet(self, packet: bytes) -> DropReason | None:
        header = decode_fabric_header(packet)
        if header.is_err():
            return header.unwrap_err()
        decoded = decode_service_datagram(packet[FABRIC_HEADER_BYTES:])
        if decoded.is_err():
            return decoded.unwrap_err()
        datagram = decoded.unwrap()
        if datagram.kind is not Kind.OPEN:
            return DropReason.UNKNOWN_KIND
        return self._handle_open(packet, datagram, header.unwrap().destination)

    def _handle_open(
        self, packet: bytes, datagram: ServiceDatagram, destination: Address
    ) -> DropReason | None:
        service_id = datagram.service_id
        if self._services_by_address.get(destination) != service_id:
            return DropReason.UNKNOWN_SERVICE
        chosen = self._dependencies.choosers.choose(
            service_id,
            datagram.flow_id,
            _SIZE_CLASSES_BY_CODE[datagram.size_code],
        )
        if chosen.is_err():
            # The caller repeats the OPEN, which may then reach a
            # balancer that knows a target.
            return DropReason.NO_TARGET
        choice = chosen.unwrap()
        alternates = b''.join(
            encode_address(alternate.address)
            for alternate in choice.alternates[:MAX_ALTERNATES]
        )
        self.forwarder.forward(
            packet,
            encode_address(choice.target.address),
            alternates.ljust(len(NO_ALTERNATES), b'\0'),
        )
        self.probe(service_id)
        return None

    def _send_probe(self, target: TargetInfo, probe_id: int) -> None:
        datagram = ServiceDatagram(
            kind=Kind.PROBE, service_id=target.service, flow_id=probe_id
        )
        sealed = self.forwarder.seal(self._dependencies.own_address, datagram)
        try:
            self._dependencies.send_probe(sealed, target.address)
        except OSError:
            self.counters.send_failures += 1
        self.counters.probes_sent += 1

    def _handle_envelope(self, packet: bytes) -> DropReason | None:
        opened = open_envelope(self._dependencies.keys, packet)
        if opened.is_err():
            return opened.unwrap_err()
        decoded = decode_service_datagram(opened.unwrap()[1])
        if decoded.is_err():
            return decoded.unwrap_err()
        datagram = decoded.unwrap()
        if datagram.kind is not Kind.PROBE_REPLY:
            return DropReason.UNKNOWN_KIND
        load = decode_load(datagram.body)
        if load.is_err():
            return load.unwrap_err()
        return self._finish_probe(datagram, load.unwrap())

    def _finish_probe(
        self, datagram: ServiceDatagram, load: ProbeLoad
    ) -> DropReason | None:
        reply = self.probes.finish(datagram.flow_id, datagram.service_id, load)
        if reply is None:
            return DropReason.REPLAYED
        self.counters.probes_answered += 1
        chooser = self._dependencies.choosers.get_chooser(datagram.service_id)
        if chooser is not None:
            chooser.record_probe(reply)
        return None

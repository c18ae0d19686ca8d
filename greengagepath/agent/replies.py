"""Datagrams that an agent sends, queued until its owner takes them."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

import cbor2

from ..generated.messages import Refusal, RefusalReason
from ..protocol.codec import encode_body
from ..protocol.envelopes import Envelope, seal_envelope
from ..protocol.packets import (
    Address,
    FabricHeader,
    Kind,
    ServiceDatagram,
)
from ..protocol.tags import KeyRing
from .flow_table import FlowTable
from .request_records import Attempt


@dataclass(slots=True, frozen=True)
class AgentIdentity:
    """Identity and addresses of an agent process.

    `target_id` is sent with its answers, `address` is part of the tokens
    that it issues. Datagrams to callers are sent to `fabric`. `sender`
    identifies the process in envelopes; it is random for each process.
    """

    service_id: int
    target_id: str
    address: Address
    fabric: Address
    incarnation: int
    sender: int


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A datagram and the address to send it to."""

    address: Address
    payload: bytes


@dataclass(slots=True, frozen=True)
class Route:
    """Header fields for replies to an attempt.

    `service` is the address to which the caller has sent its datagram.
    """

    attempt: Attempt
    token: bytes
    service: Address


@dataclass(slots=True, frozen=True)
class Arrival:
    """A received service datagram and its envelope."""

    envelope: Envelope
    datagram: ServiceDatagram

    @property
    def attempt(self) -> Attempt:
        """The attempt that the datagram belongs to."""
        return Attempt(self.datagram.flow_id, self.datagram.request_number)

    @property
    def route(self) -> Route:
        """The header fields for replies to the attempt."""
        return Route(self.attempt, self.datagram.token, self.envelope.service)


class Replies:
    """Builds the datagrams that the agent sends.

    `take_outgoing` returns those built since its last call.
    """

    def __init__(
        self, identity: AgentIdentity, keys: KeyRing, flows: FlowTable
    ) -> None:
        self.identity = identity
        self._keys = keys
        self._flows = flows
        self._sequence = 0
        self._outgoing: list[Outgoing] = []

    def take_outgoing(self) -> list[Outgoing]:
        """Return the datagrams built since the last call."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def reply(self, arrival: Arrival, kind: Kind, body: bytes = b'') -> None:
        """Send a reply to the caller's address in the envelope."""
        envelope = arrival.envelope
        datagram = ServiceDatagram(
            kind=kind,
            service_id=self.identity.service_id,
            flow_id=arrival.datagram.flow_id,
            token=arrival.datagram.token,
            request_number=arrival.datagram.request_number,
            body=body,
        )
        self._outgoing.append(
            self._to_caller(envelope.service, envelope.caller, datagram)
        )

    def send(self, route: Route, kind: Kind, body: bytes = b'') -> None:
        """Send to the current address of the caller of a flow."""
        datagram = ServiceDatagram(
            kind=kind,
            service_id=self.identity.service_id,
            flow_id=route.attempt.flow_id,
            token=route.token,
            request_number=route.attempt.request_number,
            body=body,
        )
        self._outgoing.extend(self.to_flow(route, datagram))

    def to_flow(
        self, route: Route, datagram: ServiceDatagram
    ) -> Iterator[Outgoing]:
        """Yield the datagram, addressed to the caller of its flow.

        Yields nothing if the flow no longer has an entry.
        """
        entry = self._flows.find(route.attempt.flow_id)
        if entry is not None:
            yield self._to_caller(route.service, entry.caller, datagram)

    def refuse_open(self, arrival: Arrival, reason: RefusalReason) -> None:
        """Refuse an OPEN with a body that is no longer than its own.

        Anyone can send an OPEN with a forged source address, so a
        longer reply would allow amplification attacks. Fields with
        default values are left out to keep the body short.
        """
        body = cbor2.dumps({'reason': str(reason)})
        if len(body) <= len(arrival.datagram.body):
            self.reply(arrival, Kind.REFUSE, body)

    def refuse_flow(self, arrival: Arrival) -> None:
        """Refuse a flow that cannot get an entry in the flow table."""
        refusal = Refusal(reason=RefusalReason.flow_expired)
        self.reply(arrival, Kind.REFUSE, encode_body(refusal))

    def hand_off(self, arrival: Arrival) -> None:
        """Forward an OPEN to its first alternate."""
        envelope = arrival.envelope
        self._seal(
            envelope.alternates[0],
            replace(
                envelope,
                sender=self.identity.sender,
                sequence=self._next_sequence(),
                alternates=envelope.alternates[1:],
                hops=envelope.hops + 1,
            ),
            arrival.datagram,
        )

    def reply_probe(
        self, arrival: Arrival, source: Address, body: bytes
    ) -> None:
        """Send a probe reply to the socket that sent the probe."""
        envelope = Envelope(
            sender=self.identity.sender,
            sequence=self._next_sequence(),
            caller=arrival.envelope.caller,
            service=arrival.envelope.service,
        )
        datagram = replace(arrival.datagram, kind=Kind.PROBE_REPLY, body=body)
        self._seal(source, envelope, datagram)

    def _seal(
        self, address: Address, envelope: Envelope, datagram: ServiceDatagram
    ) -> None:
        payload = seal_envelope(self._keys, envelope, datagram.encode())
        self._outgoing.append(Outgoing(address, payload))

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _to_caller(
        self, service: Address, caller: Address, datagram: ServiceDatagram
    ) -> Outgoing:
        header = FabricHeader(source=service, destination=caller).encode()
        return Outgoing(self.identity.fabric, header + datagram.encode())

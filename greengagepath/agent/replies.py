"""Datagrams that an agent sends, collected for its shell."""

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
    """Who the agent is.

    `target_id` is in its answers, `address` in the tokens it issues;
    `fabric` takes datagrams to callers, `sender` is random for each process.
    """

    service_id: int
    target_id: str
    address: Address
    fabric: Address
    incarnation: int
    sender: int


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A datagram to send."""

    address: Address
    payload: bytes


@dataclass(slots=True, frozen=True)
class Route:
    """What a later answer to an attempt is sent with.

    `service` is the address that the caller has sent to.
    """

    attempt: Attempt
    token: bytes
    service: Address


@dataclass(slots=True, frozen=True)
class Arrival:
    """A service datagram and the envelope it came in."""

    envelope: Envelope
    datagram: ServiceDatagram

    @property
    def attempt(self) -> Attempt:
        """The attempt that the datagram belongs to."""
        return Attempt(self.datagram.flow_id, self.datagram.request_number)

    @property
    def route(self) -> Route:
        """What an answer to the attempt is sent with."""
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
        """Return what has to be sent."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def reply(self, arrival: Arrival, kind: Kind, body: bytes = b'') -> None:
        """Answer to the address that a datagram came from."""
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
        """Send to where the caller of a flow is now."""
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
        """Return the datagram addressed to the caller of a flow.

        Nothing if the flow is forgotten.
        """
        entry = self._flows.find(route.attempt.flow_id)
        if entry is not None:
            yield self._to_caller(route.service, entry.caller, datagram)

    def refuse_open(self, arrival: Arrival, reason: RefusalReason) -> None:
        """Refuse an OPEN, with no more bytes than it had.

        Anybody can send an OPEN with a forged source address; the reply
        must not amplify it. Fields with default values are left out.
        """
        body = cbor2.dumps({'reason': str(reason)})
        if len(body) <= len(arrival.datagram.body):
            self.reply(arrival, Kind.REFUSE, body)

    def refuse_flow(self, arrival: Arrival) -> None:
        """Refuse a flow for which there is no room."""
        refusal = Refusal(reason=RefusalReason.flow_expired)
        self.reply(arrival, Kind.REFUSE, encode_body(refusal))

    def hand_off(self, arrival: Arrival) -> None:
        """Pass an OPEN on to its first alternate."""
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
        """Answer a probe to the socket that it came from."""
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

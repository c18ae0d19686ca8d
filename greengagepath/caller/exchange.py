"""One request and its answer on an accepted flow, without I/O."""

from dataclasses import dataclass

from ..generated.messages import Answer, Refusal
from ..protocol.acks import decode_ack, encode_ack
from ..protocol.codec import decode_body
from ..protocol.packets import Kind, ServiceDatagram
from ..protocol.transfer import (
    PartOutcome,
    PartReceiver,
    PartSender,
    count_parts,
)
from .call_types import CallDrop, CallErrorKind, CallRequest, CallSetup
from .flows import Flow


@dataclass(slots=True, frozen=True)
class FlowLost:
    """The flow was lost before any part of the request was sent."""


@dataclass(slots=True, frozen=True)
class OutcomeUnknown:
    """The target stopped responding or no longer knows the request."""


ExchangeOutcome = Answer | Refusal | FlowLost | OutcomeUnknown | CallErrorKind


class SilenceWatch:
    """Decides when a silent flow sends PING or moves to a new local port."""

    __slots__ = (
        '_flow',
        '_limits',
        '_next_ping_s',
        '_pings',
        '_port_move_is_due',
        '_port_moves',
    )

    def __init__(self, setup: CallSetup, flow: Flow, next_ping_s: float):
        self._limits = setup.limits
        self._flow = flow
        self._next_ping_s = next_ping_s
        self._pings = 0
        self._port_moves = 0
        self._port_move_is_due = False

    @property
    def has_moved_twice(self) -> bool:
        """Return whether the first new port was silent as well."""
        return self._port_moves > 1

    def due_s(self) -> float:
        """Return when the next PING or move is due."""
        return self._next_ping_s

    def record_received(self, now_s: float) -> None:
        """Record a datagram of the flow and restart the silence timeout."""
        self._flow.last_received_s = now_s
        self._next_ping_s = now_s + self._limits.ping_after_s
        self._pings = 0

    def check_port_move(self, now_s: float) -> None:
        """Make a move due if the PINGs from this port went unanswered."""
        exhausted = self._pings >= self._limits.pings_before_move
        if exhausted and now_s >= self._next_ping_s:
            self._port_moves += 1
            self._port_move_is_due = True
            self._pings = 0

    def count_ping_if_due(self, now_s: float) -> bool:
        """Return whether to send a PING now; if so, count it."""
        if now_s < self._next_ping_s:
            return False
        self._pings += 1
        self._next_ping_s = now_s + self._limits.ping_every_s
        return True

    def pop_port_move(self) -> bool:
        """Return whether a move to a new local port is due, and reset it."""
        due = self._port_move_is_due
        self._port_move_is_due = False
        return due


class Exchange:
    """Sends one request and receives its answer; sets `outcome`.

    The target named in the flow's token owns the request, even after
    the caller has moved to a new local port.
    """

    __slots__ = (
        '_flow',
        '_is_confirmed',
        '_number',
        '_receiver',
        '_replies',
        '_request',
        '_sender',
        '_setup',
        '_silence_watch',
        'outcome',
        'was_sent',
    )

    def __init__(
        self,
        flow: Flow,
        request: CallRequest,
        payload: bytes,
        setup: CallSetup,
        now_s: float,
    ) -> None:
        limits = setup.limits
        idle_s = now_s - flow.last_received_s
        self._flow = flow
        self._request = request
        self._setup = setup
        self._number = flow.next_request_number()
        self._is_confirmed = idle_s <= limits.confirm_after_s
        self._sender = PartSender(payload, now_s, limits.transfer)
        self._receiver: PartReceiver | None = None
        self._replies: list[bytes] = []
        next_ping_s = now_s
        if self._is_confirmed:
            next_ping_s += limits.ping_after_s
        self._silence_watch = SilenceWatch(setup, flow, next_ping_s)
        self.was_sent = False
        self.outcome: ExchangeOutcome | None = None

    @property
    def flow(self) -> Flow:
        """Return the flow of the exchange."""
        return self._flow

    def pop_port_move(self) -> bool:
        """Return whether to move to a new local port now, and reset it."""
        return self._silence_watch.pop_port_move()

    def due_s(self) -> float:
        """Return when `check_due` and `datagrams` are to be called next."""
        due_s = self._silence_watch.due_s()
        if self._is_confirmed:
            due_s = min(due_s, self._sender.due_s() or due_s)
        if self._receiver is not None:
            due_s = min(due_s, self._receiver.ack_due_s() or due_s)
        return due_s

    def check_due(self, now_s: float) -> None:
        """Detect lost parts, a lost flow and a target without response."""
        self._sender.check_timeout(now_s)
        self._silence_watch.check_port_move(now_s)
        if not self._is_confirmed and self._silence_watch.has_moved_twice:
            self.outcome = FlowLost()
        silence_s = now_s - self._flow.last_received_s
        silent_too_long = silence_s > self._setup.limits.abandon_after_s
        if silent_too_long and self.was_sent and self._request.idempotent:
            self.outcome = OutcomeUnknown()

    def datagrams(self, now_s: float) -> list[bytes]:
        """Return the datagrams to send now."""
        outgoing = self._replies
        self._replies = []
        if self._silence_watch.count_ping_if_due(now_s):
            outgoing.append(self._flow.datagram(Kind.PING, self._number))
        if self._receiver is not None and self._receiver.is_ack_due(now_s):
            ack = encode_ack(self._receiver.build_ack())
            outgoing.append(
                self._flow.datagram(Kind.ANSWER_ACK, self._number, ack)
            )
        if self._is_confirmed and self._receiver is None:
            outgoing.extend(self._request_parts(now_s))
        return outgoing

    def cancel(self) -> list[bytes]:
        """Return the datagrams that cancel the request."""
        if not self.was_sent:
            return []
        # Sent twice in case one is lost, since no reply is awaited.
        cancel = self._flow.datagram(Kind.CANCEL, self._number)
        return [cancel, cancel]

    def receive(self, datagram: ServiceDatagram, now_s: float) -> None:
        """Process a datagram from the network."""
        if not self._flow.matches(datagram):
            self._drop_foreign(datagram)
            return
        if datagram.request_number != self._number:
            self._receive_late(datagram)
            return
        self._silence_watch.record_received(now_s)
        match datagram.kind:
            case Kind.REQUEST_ACK:
                self._receive_ack(datagram.body, now_s)
            case Kind.ANSWER:
                self._receive_part(datagram, now_s)
            case Kind.PONG:
                self._is_confirmed = True
            case Kind.REFUSE:
                self._receive_refusal(datagram.body)
            case Kind.UNKNOWN_OUTCOME:
                # A restarted target also sends this in reply to a PING on a
                # flow from before its restart.
                sent = self.was_sent
                self.outcome = OutcomeUnknown() if sent else FlowLost()
            case _:
                self._setup.drops[CallDrop.UNEXPECTED_KIND] += 1

    def _request_parts(self, now_s: float) -> list[bytes]:
        outgoing = []
        part = self._sender.next_part(now_s)
        while part is not None:
            self.was_sent = True
            datagram = ServiceDatagram(
                kind=Kind.REQUEST,
                service_id=self._flow.service.service_id,
                flow_id=self._flow.flow_id,
                token=self._flow.token,
                request_number=self._number,
                part=part,
                part_count=self._sender.part_count,
                size_code=self._request.size_code,
                body=self._sender.body(part),
            )
            outgoing.append(datagram.encode())
            part = self._sender.next_part(now_s)
        return outgoing

    def _drop_foreign(self, datagram: ServiceDatagram) -> None:
        drop = CallDrop.WRONG_FLOW
        if datagram.kind is Kind.ACCEPT:
            drop = CallDrop.LATE_ACCEPT
        self._setup.drops[drop] += 1

    def _receive_late(self, datagram: ServiceDatagram) -> None:
        reply = self._flow.reply_to_late_part(datagram)
        if reply is not None:
            self._replies.append(reply)
            return
        drop = CallDrop.WRONG_REQUEST
        if datagram.kind is Kind.ACCEPT:
            drop = CallDrop.LATE_ACCEPT
        self._setup.drops[drop] += 1

    def _receive_ack(self, body: bytes, now_s: float) -> None:
        ack = decode_ack(body)
        if ack.is_err() or not self._sender.acknowledge(ack.unwrap(), now_s):
            self._setup.drops[CallDrop.MALFORMED] += 1

    def _receive_part(self, datagram: ServiceDatagram, now_s: float) -> None:
        if not self.was_sent or datagram.part_count < 1:
            self._setup.drops[CallDrop.MALFORMED] += 1
            return
        if self._receiver is None:
            limit = count_parts(self._setup.limits.max_answer_bytes)
            if datagram.part_count > limit:
                self.outcome = CallErrorKind.ANSWER_TOO_LARGE
                self._replies.extend(self.cancel())
                return
            self._receiver = PartReceiver(datagram.part_count)
        outcome = self._receiver.accept(
            datagram.part, datagram.part_count, datagram.body, now_s
        )
        if outcome is PartOutcome.INVALID:
            self._setup.drops[CallDrop.MALFORMED] += 1
        if self._receiver.is_complete:
            self._finish(self._receiver)

    def _finish(self, receiver: PartReceiver) -> None:
        self._flow.record_answer(self._number, receiver.part_count)
        answer = decode_body(receiver.payload(), Answer)
        self.outcome = answer.unwrap_or(CallErrorKind.MALFORMED_ANSWER)
        if not isinstance(self.outcome, Answer):
            return
        if self.outcome.request_id != self._request.request_id:
            self._setup.drops[CallDrop.WRONG_REQUEST] += 1
            self.outcome = CallErrorKind.MALFORMED_ANSWER

    def _receive_refusal(self, body: bytes) -> None:
        refusal = decode_body(body, Refusal)
        if refusal.is_err():
            self._setup.drops[CallDrop.MALFORMED] += 1
            return
        # A refusal means "not run", which cannot be true any more once
        # parts of the answer have arrived.
        if self._receiver is None:
            self.outcome = refusal.unwrap()
        else:
            self._setup.drops[CallDrop.UNEXPECTED_KIND] += 1

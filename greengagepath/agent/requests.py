"""Requests in the flows of an agent: arrival, repetition, cancel."""

from collections import Counter

from result import Err

from ..generated.messages import Limits, RefusalReason, Request
from ..protocol.acks import decode_ack, encode_ack, encode_final_ack
from ..protocol.codec import decode_body
from ..protocol.packets import DropReason, Kind
from ..protocol.transfer import PartOutcome, PartReceiver
from .outcomes import AgentParts, OutcomeReporter
from .reassembly import Reassembly
from .replies import Arrival
from .request_records import RequestState
from .requests_table import Begin
from .scheduler import WorkScheduler

REQUEST_ID_BYTES = 16
# Requests of the largest size that may be in arrival at once.
REQUESTS_IN_ARRIVAL = 16


class FlowRequests:
    """Takes the datagrams of flows whose token is valid and own.

    `drops` counts datagrams dropped by reason; it is the owner's.
    """

    def __init__(
        self,
        parts: AgentParts,
        reporter: OutcomeReporter,
        limits: Limits,
        drops: Counter[DropReason],
    ) -> None:
        self.scheduler = WorkScheduler(parts, reporter)
        self.reassembly = Reassembly(
            parts.timers,
            limits.max_request_bytes,
            REQUESTS_IN_ARRIVAL * limits.max_request_bytes,
        )
        self._drops = drops
        self._parts = parts
        self._reporter = reporter

    def replace_limits(self, limits: Limits) -> None:
        """Take new limits from the configuration."""
        self.reassembly.replace_limits(
            limits.max_request_bytes,
            REQUESTS_IN_ARRIVAL * limits.max_request_bytes,
        )

    def receive(self, arrival: Arrival, *, is_open: bool) -> None:
        """Take a datagram; `is_open` allows the flow new requests."""
        match arrival.datagram.kind:
            case Kind.REQUEST:
                self._take_part(arrival, is_open=is_open)
            case Kind.ANSWER_ACK:
                self._take_answer_ack(arrival)
            case Kind.CANCEL:
                self._cancel(arrival)
            case Kind.PING:
                self._ping(arrival)

    def start_draining(self) -> None:
        """Refuse all requests that do not run yet."""
        for route in self.reassembly.routes():
            self.reassembly.discard(route.attempt)
            self._reporter.refuse_unseen(route, RefusalReason.draining)
        self.scheduler.start_draining()

    def send_due_acks(self) -> None:
        """Acknowledge parts of requests in arrival."""
        for partial in self.reassembly.due_acks():
            body = encode_ack(partial.receiver.build_ack())
            self._parts.replies.send(partial.route, Kind.REQUEST_ACK, body)

    def _take_part(self, arrival: Arrival, *, is_open: bool) -> None:
        match self._parts.table.look_up(arrival.attempt):
            case Begin.KNOWN:
                self._repeat(arrival)
            case Begin.UNKNOWN:
                self._parts.replies.send(arrival.route, Kind.UNKNOWN_OUTCOME)
            case _:
                self._take_new(arrival, is_open=is_open)

    def _take_new(self, arrival: Arrival, *, is_open: bool) -> None:
        reason = self._refusal_of(arrival, is_open=is_open)
        receiver = None
        if reason is None:
            reason = RefusalReason.table_full
            receiver = self.reassembly.receiver_for(
                arrival.route, arrival.datagram.part_count
            )
        if receiver is None:
            self.reassembly.discard(arrival.attempt)
            self._reporter.refuse_unseen(arrival.route, reason)
        else:
            self._collect(arrival, receiver)

    def _refusal_of(
        self, arrival: Arrival, *, is_open: bool
    ) -> RefusalReason | None:
        if not is_open:
            return RefusalReason.flow_expired
        if self._parts.gate.is_draining:
            return RefusalReason.draining
        if not self.reassembly.is_acceptable(arrival.datagram.part_count):
            return RefusalReason.bad_request
        return None

    def _collect(self, arrival: Arrival, receiver: PartReceiver) -> None:
        datagram = arrival.datagram
        now_s = self._parts.timers.now()
        outcome = receiver.accept(
            datagram.part, datagram.part_count, datagram.body, now_s
        )
        if outcome is PartOutcome.INVALID:
            self._drops[DropReason.MALFORMED_BODY] += 1
            return
        if receiver.is_ack_due(now_s):
            body = encode_ack(receiver.build_ack())
            self._parts.replies.send(arrival.route, Kind.REQUEST_ACK, body)
        if receiver.is_complete:
            payload = receiver.payload()
            self.reassembly.discard(arrival.attempt)
            self._admit(arrival, payload)

    def _admit(self, arrival: Arrival, payload: bytes) -> None:
        decoded = decode_body(payload, Request)
        if (
            isinstance(decoded, Err)
            or len(decoded.ok_value.request_id) != REQUEST_ID_BYTES
        ):
            self._reporter.refuse_unseen(
                arrival.route, RefusalReason.bad_request
            )
            return
        self.scheduler.admit(arrival, decoded.ok_value)

    def _repeat(self, arrival: Arrival) -> None:
        record = self._parts.table.find(arrival.attempt)
        if record is None:
            return
        if record.state is RequestState.IN_PROGRESS:
            # The ACK of the request was lost.
            body = encode_final_ack(arrival.datagram.part_count)
            self._parts.replies.send(arrival.route, Kind.REQUEST_ACK, body)
        else:
            self._reporter.repeat(record, arrival.route)

    def _take_answer_ack(self, arrival: Arrival) -> None:
        decoded = decode_ack(arrival.datagram.body)
        if isinstance(decoded, Err):
            self._drops[decoded.err_value] += 1
            return
        transfer = self._parts.transfers.acknowledge(
            arrival.attempt, decoded.ok_value
        )
        if transfer is not None:
            self._parts.table.acknowledge(transfer.record)

    def _cancel(self, arrival: Arrival) -> None:
        record = self._parts.table.find(arrival.attempt)
        if record:
            self.scheduler.cancel(record, arrival.route)
        elif self._parts.table.look_up(arrival.attempt) is Begin.UNKNOWN:
            self._parts.replies.send(arrival.route, Kind.UNKNOWN_OUTCOME)
        else:
            self.reassembly.discard(arrival.attempt)
            self._reporter.refuse_unseen(arrival.route, RefusalReason.cancelled)

    def _ping(self, arrival: Arrival) -> None:
        self._parts.replies.reply(arrival, Kind.PONG)
        if not arrival.datagram.request_number:
            return
        record = self._parts.table.find(arrival.attempt)
        if record:
            self._reporter.repeat(record, arrival.route)
        elif self._parts.table.look_up(arrival.attempt) is Begin.UNKNOWN:
            self._parts.replies.send(arrival.route, Kind.UNKNOWN_OUTCOME)

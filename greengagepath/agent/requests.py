"""Requests in the flows of an agent: reception, repeats, cancellation."""

from collections import Counter

from result import Err

from ..generated.messages import Limits, RefusalReason, Request
from ..protocol.acks import decode_ack, encode_ack, encode_final_ack
from ..protocol.codec import decode_body
from ..protocol.packets import DropReason, Kind
from ..protocol.transfer import PartOutcome, PartReceiver
from .outcomes import AgentContext, OutcomeReporter
from .reassembly import Reassembly
from .replies import Arrival
from .request_records import RequestState
from .requests_table import BeginOutcome
from .scheduler import WorkScheduler

REQUEST_ID_BYTES = 16
# Limit of the memory for incomplete requests, in requests of the largest
# size.
MAX_INCOMPLETE_REQUESTS = 16


class FlowRequests:
    """Processes the datagrams of flows that this agent has accepted.

    The owner verifies their tokens first. `drops` counts dropped
    datagrams by reason and is shared with the owner.
    """

    def __init__(
        self,
        context: AgentContext,
        reporter: OutcomeReporter,
        limits: Limits,
        drops: Counter[DropReason],
    ) -> None:
        self.scheduler = WorkScheduler(context, reporter)
        self.reassembly = Reassembly(
            context.timers,
            limits.max_request_bytes,
            MAX_INCOMPLETE_REQUESTS * limits.max_request_bytes,
        )
        self._drops = drops
        self._context = context
        self._reporter = reporter

    def replace_limits(self, limits: Limits) -> None:
        """Apply new limits from the configuration."""
        self.reassembly.replace_limits(
            limits.max_request_bytes,
            MAX_INCOMPLETE_REQUESTS * limits.max_request_bytes,
        )

    def receive(self, arrival: Arrival, *, may_begin: bool) -> None:
        """Process a datagram.

        `may_begin` tells whether the flow may begin new requests.
        """
        match arrival.datagram.kind:
            case Kind.REQUEST:
                self._receive_part(arrival, may_begin=may_begin)
            case Kind.ANSWER_ACK:
                self._receive_answer_ack(arrival)
            case Kind.CANCEL:
                self._cancel(arrival)
            case Kind.PING:
                self._ping(arrival)

    def start_draining(self) -> None:
        """Refuse all requests that do not run yet, incomplete ones too."""
        for route in self.reassembly.routes():
            self.reassembly.discard(route.attempt)
            self._reporter.refuse_undecoded(route, RefusalReason.draining)
        self.scheduler.start_draining()

    def send_due_acks(self) -> None:
        """Acknowledge received parts of incomplete requests."""
        for partial in self.reassembly.due_acks():
            body = encode_ack(partial.receiver.build_ack())
            self._context.replies.send(partial.route, Kind.REQUEST_ACK, body)

    def _receive_part(self, arrival: Arrival, *, may_begin: bool) -> None:
        match self._context.request_table.classify(arrival.attempt):
            case BeginOutcome.KNOWN:
                self._repeat_reply(arrival)
            case BeginOutcome.UNKNOWN:
                self._context.replies.send(arrival.route, Kind.UNKNOWN_OUTCOME)
            case _:
                self._receive_new(arrival, may_begin=may_begin)

    def _receive_new(self, arrival: Arrival, *, may_begin: bool) -> None:
        reason = self._refusal_reason(arrival, may_begin=may_begin)
        receiver = None
        if reason is None:
            reason = RefusalReason.table_full
            receiver = self.reassembly.receiver_for(
                arrival.route, arrival.datagram.part_count
            )
        if receiver is None:
            self.reassembly.discard(arrival.attempt)
            self._reporter.refuse_undecoded(arrival.route, reason)
        else:
            self._collect(arrival, receiver)

    def _refusal_reason(
        self, arrival: Arrival, *, may_begin: bool
    ) -> RefusalReason | None:
        if not may_begin:
            return RefusalReason.flow_expired
        if self._context.gate.is_draining:
            return RefusalReason.draining
        if not self.reassembly.is_acceptable(arrival.datagram.part_count):
            return RefusalReason.bad_request
        return None

    def _collect(self, arrival: Arrival, receiver: PartReceiver) -> None:
        datagram = arrival.datagram
        now_s = self._context.timers.now()
        outcome = receiver.accept(
            datagram.part, datagram.part_count, datagram.body, now_s
        )
        if outcome is PartOutcome.INVALID:
            self._drops[DropReason.MALFORMED_BODY] += 1
            return
        if receiver.is_ack_due(now_s):
            body = encode_ack(receiver.build_ack())
            self._context.replies.send(arrival.route, Kind.REQUEST_ACK, body)
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
            self._reporter.refuse_undecoded(
                arrival.route, RefusalReason.bad_request
            )
            return
        self.scheduler.admit(arrival, decoded.ok_value)

    def _repeat_reply(self, arrival: Arrival) -> None:
        record = self._context.request_table.find(arrival.attempt)
        if record is None:
            return
        if record.state is RequestState.IN_PROGRESS:
            # The caller sends it again because the ACK was lost.
            body = encode_final_ack(arrival.datagram.part_count)
            self._context.replies.send(arrival.route, Kind.REQUEST_ACK, body)
        else:
            self._reporter.resend_outcome(record, arrival.route)

    def _receive_answer_ack(self, arrival: Arrival) -> None:
        decoded = decode_ack(arrival.datagram.body)
        if isinstance(decoded, Err):
            self._drops[decoded.err_value] += 1
            return
        transfer = self._context.transfers.acknowledge(
            arrival.attempt, decoded.ok_value
        )
        if transfer is not None:
            self._context.request_table.acknowledge(transfer.record)

    def _cancel(self, arrival: Arrival) -> None:
        record = self._context.request_table.find(arrival.attempt)
        if record:
            self.scheduler.cancel(record, arrival.route)
        elif (
            self._context.request_table.classify(arrival.attempt)
            is BeginOutcome.UNKNOWN
        ):
            self._context.replies.send(arrival.route, Kind.UNKNOWN_OUTCOME)
        else:
            self.reassembly.discard(arrival.attempt)
            self._reporter.refuse_undecoded(
                arrival.route, RefusalReason.cancelled
            )

    def _ping(self, arrival: Arrival) -> None:
        self._context.replies.reply(arrival, Kind.PONG)
        if not arrival.datagram.request_number:
            return
        record = self._context.request_table.find(arrival.attempt)
        if record:
            self._reporter.resend_outcome(record, arrival.route)
        elif (
            self._context.request_table.classify(arrival.attempt)
            is BeginOutcome.UNKNOWN
        ):
            self._context.replies.send(arrival.route, Kind.UNKNOWN_OUTCOME)

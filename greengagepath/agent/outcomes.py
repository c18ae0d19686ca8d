"""Reports of the outcomes of requests to their callers."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from ..admission.gate import AdmissionGate
from ..admission.retry_budget import RetryBudget
from ..foundation.timers import TimerService
from ..generated.messages import Answer, Refusal, RefusalReason
from ..protocol.codec import encode_body
from ..protocol.packets import Kind
from ..protocol.transfer import PartSender
from .answer_transfers import AnswerTransfer, AnswerTransfers
from .flow_table import FlowTable
from .operation_match import ServiceView
from .replies import Replies, Route
from .request_records import RequestRecord, RequestState
from .requests_table import RequestTable
from .work import Answered, Work


@dataclass(slots=True)
class AgentContext:
    """State and services that the components of an agent share."""

    timers: TimerService
    random: Random
    flow_table: FlowTable
    gate: AdmissionGate
    request_table: RequestTable
    transfers: AnswerTransfers
    replies: Replies
    budget: RetryBudget
    view: ServiceView


class OutcomeReporter:
    """Records outcomes in the request table and sends them to callers.

    `outcomes` counts requests by (customer, operation, outcome),
    `refusals` counts refused attempts by reason.
    """

    def __init__(self, context: AgentContext) -> None:
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self.refusals: Counter[RefusalReason] = Counter()
        self._context = context

    def refuse_undecoded(self, route: Route, reason: RefusalReason) -> None:
        """Refuse an attempt without a complete, well-formed request."""
        refusal = Refusal(reason=reason)
        self._context.request_table.refuse_undecoded(route.attempt, refusal)
        self.send_refusal(route, refusal)

    def refuse(
        self, work: Work, reason: RefusalReason, retry_after_ms: int
    ) -> None:
        """Record and report that an admitted request was not run."""
        refusal = Refusal(
            reason=reason,
            request_id=work.request.request_id,
            retry_after_ms=retry_after_ms,
        )
        self._count(work, 'refused')
        self._context.request_table.refuse(work.record, refusal)
        self.send_refusal(work.route, refusal)

    def answer(self, work: Work, outcome: Answered) -> None:
        """Record an answer and start its transfer."""
        self._count(work, 'answered')
        payload = encode_body(
            Answer(
                request_id=work.request.request_id,
                status=outcome.status,
                headers=outcome.headers,
                body=outcome.body,
                target_id=self._context.replies.identity.target_id,
            )
        )
        self._context.request_table.answer(work.record, payload)
        self._start_transfer(work.record, work.route)

    def report_unknown(self, work: Work) -> None:
        """Record and report that the outcome of a request is unknown."""
        self._count(work, 'unknown')
        self._context.request_table.mark_unknown(work.record)
        self._context.replies.send(work.route, Kind.UNKNOWN_OUTCOME)

    def resend_outcome(self, record: RequestRecord, route: Route) -> None:
        """Send the outcome of an attempt again, if it is known."""
        match record.state:
            case RequestState.REFUSED if record.refusal is not None:
                self._context.replies.send(
                    route, Kind.REFUSE, encode_body(record.refusal)
                )
            case RequestState.UNKNOWN:
                self._context.replies.send(route, Kind.UNKNOWN_OUTCOME)
            case RequestState.ANSWERED:
                self._context.request_table.records.reopen(record)
                self._start_transfer(record, route)

    def stop_answer(self, record: RequestRecord) -> None:
        """Stop and drop the answer to an attempt that was cancelled."""
        self._context.transfers.stop(record.attempt)
        self._context.request_table.acknowledge(record)

    def send_refusal(self, route: Route, refusal: Refusal) -> None:
        """Send the refusal of an attempt and count its reason."""
        self.refusals[refusal.reason] += 1
        self._context.replies.send(route, Kind.REFUSE, encode_body(refusal))

    def _start_transfer(self, record: RequestRecord, route: Route) -> None:
        if record.answer is None:
            return
        self._context.transfers.start(
            AnswerTransfer(
                record=record,
                sender=PartSender(record.answer, self._context.timers.now()),
                service_id=self._context.replies.identity.service_id,
                route=route,
            )
        )

    def _count(self, work: Work, outcome: str) -> None:
        view = self._context.view
        customer = view.customer_label(work.request.customer_id)
        self.outcomes[
            customer, view.operation_label(work.request), outcome
        ] += 1

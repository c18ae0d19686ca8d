"""Scheduling of requests at an agent, from admission to outcome."""

from collections import Counter
from dataclasses import replace

from ..admission.fair_queue import QueuedRequest
from ..admission.gate import CancelOutcome
from ..generated.messages import Refusal, RefusalReason, Request
from ..protocol.packets import Kind
from .operation_match import ServiceView
from .outcomes import AgentContext, OutcomeReporter
from .replies import Arrival, Route
from .request_records import Attempt, RequestRecord, RequestState
from .requests_table import BeginOutcome
from .work import Answered, NotRun, OutcomeUnknown, RunOutcome, Work

MILLISECONDS = 1000
# Retries of a request that the back end has not run.
MAX_RETRIES = 2
# Upper bound of the random delay before the first retry; it doubles with
# each retry.
BACKOFF_S = 0.02
# Statuses with which a back end or its proxy reports overload. A 504 after
# the deadline is no sign of overload.
OVERLOAD_STATUSES = frozenset((502, 503))
MIN_SERVER_ERROR_STATUS = 500
# Weight of a new run in the moving average of the failure rate.
FAILURE_WEIGHT = 0.1
_FLOW_ID_BYTES = 8
_REQUEST_NUMBER_BYTES = 4


class FailureRate:
    """Moving average of the share of runs that failed, from 0 to 1."""

    __slots__ = ('_runs', 'rate')

    def __init__(self) -> None:
        self.rate = 0.0
        self._runs = 0

    def record(self, failed: bool) -> None:
        """Add the result of a run."""
        self._runs += 1
        self.rate += FAILURE_WEIGHT * (failed - self.rate)

    def decay(self) -> None:
        """Halve the rate if there was no run since the last call.

        Otherwise a target that balancers avoid because it is failing
        would never get another request.
        """
        if not self._runs:
            self.rate /= 2
        self._runs = 0


class WorkScheduler:
    """Offers requests to the gate and handles their outcomes.

    `events` counts retries and suppressed retries. `failure_rate` is
    that of the runs at the back end.
    """

    def __init__(
        self, context: AgentContext, reporter: OutcomeReporter
    ) -> None:
        self.events: Counter[str] = Counter()
        self.failure_rate = FailureRate()
        self._context = context
        self._reporter = reporter
        self._works_by_key: dict[bytes, Work] = {}
        self._cancelled: list[Work] = []

    def __len__(self) -> int:
        """Return the number of admitted requests without an outcome."""
        return len(self._works_by_key)

    def admit(self, arrival: Arrival, request: Request) -> None:
        """Offer a complete request to the gate."""
        context = self._context
        route = arrival.route
        begin = context.request_table.begin(
            route.attempt,
            request.request_id,
            idempotent=context.view.is_idempotent(request),
        )
        record = context.request_table.find(route.attempt)
        if begin is BeginOutcome.FULL:
            refusal = Refusal(
                reason=RefusalReason.table_full, request_id=request.request_id
            )
            self._reporter.send_refusal(route, refusal)
        elif begin is BeginOutcome.NEW and record is not None:
            context.budget.record_request()
            work = _make_work(
                arrival, request, record, context.view, context.timers.now()
            )
            self._works_by_key[work.key] = work
            self._offer(work)
        else:
            context.replies.send(route, Kind.UNKNOWN_OUTCOME)

    def next_work(self) -> Work | None:
        """Return the next request to send to the back end, or None."""
        context = self._context
        queued = None
        if context.request_table.has_answer_room():
            queued = context.gate.next_request()
        self._report_refused()
        if queued is None:
            return None
        work = self._works_by_key[queued.request_id]
        work.started_s = context.timers.now()
        return work

    def refuse_late(self) -> None:
        """Refuse queued requests whose deadline is too near."""
        self._context.gate.refuse_expiring()
        self._report_refused()

    def complete(self, work: Work, outcome: RunOutcome) -> None:
        """Handle the outcome of a run and free its slot."""
        duration_s = self._context.timers.now() - work.started_s
        match outcome:
            case Answered(status=status):
                self._context.gate.finish(
                    work.key, duration_s, status not in OVERLOAD_STATUSES
                )
                self.failure_rate.record(status >= MIN_SERVER_ERROR_STATUS)
                self._works_by_key.pop(work.key, None)
                self._reporter.answer(work, outcome)
            case NotRun(reason=reason):
                self._context.gate.release(work.key)
                self.failure_rate.record(reason is RefusalReason.no_target)
                self._retry_or_refuse(work, outcome)
            case OutcomeUnknown():
                self._free_slot(work, duration_s)
                self._works_by_key.pop(work.key, None)
                self._reporter.report_unknown(work)

    def _free_slot(self, work: Work, duration_s: float) -> None:
        """Free the slot of a run without an answer.

        Only a run that ended before its deadline, and was not cancelled,
        counts as a failure of the back end.
        """
        is_late = self._context.timers.now() >= work.deadline_s
        if work.is_cancelled or is_late:
            self._context.gate.abandon(work.key, duration_s)
        else:
            self._context.gate.finish(work.key, duration_s, succeeded=False)
            self.failure_rate.record(failed=True)

    def cancel(self, record: RequestRecord, route: Route) -> None:
        """Cancel an attempt at the request of its caller."""
        if record.state is RequestState.ANSWERED:
            self._reporter.stop_answer(record)
            return
        work = self._works_by_key.get(_gate_key(record.attempt))
        if work is None:
            self._reporter.resend_outcome(record, route)
            return
        match self._context.gate.cancel(work.key):
            case CancelOutcome.REMOVED:
                self._report_refused()
            case CancelOutcome.RUNNING:
                work.is_cancelled = True
                self._cancelled.append(work)
            case CancelOutcome.NOT_HELD:
                # It waits for its next retry.
                self._refuse(work, RefusalReason.cancelled)

    def take_cancelled(self) -> list[Work]:
        """Return running requests that were cancelled since the last call."""
        cancelled = self._cancelled
        self._cancelled = []
        return cancelled

    def start_draining(self) -> None:
        """Refuse all requests that do not run yet."""
        self._context.gate.start_draining()
        self._report_refused()
        for work in tuple(self._works_by_key.values()):
            if work.key not in self._context.gate.running:
                self._refuse(work, RefusalReason.draining)

    def _offer(self, work: Work) -> None:
        offered = self._context.gate.offer(work.queued)
        self._report_refused()
        if offered.is_err():
            refusal = offered.unwrap_err()
            self._refuse(work, refusal.reason, refusal.retry_after_ms)

    def _report_refused(self) -> None:
        for refusal in self._context.gate.take_refused():
            work = self._works_by_key.get(refusal.request_id)
            if work is not None:
                self._refuse(work, refusal.reason, refusal.retry_after_ms)

    def _retry_or_refuse(self, work: Work, outcome: NotRun) -> None:
        backoff_s = BACKOFF_S * 2**work.retries
        delay_s = self._context.random.uniform(backoff_s / 2, backoff_s)
        retry_s = self._context.timers.now() + delay_s
        if work.is_cancelled:
            self._refuse(work, RefusalReason.cancelled)
        elif self._context.gate.is_draining:
            self._refuse(work, RefusalReason.draining)
        elif (
            outcome.reason is not RefusalReason.bad_request
            and work.retries < MAX_RETRIES
            and retry_s < work.deadline_s
        ):
            self._retry(work, delay_s, outcome)
        else:
            self._refuse(work, outcome.reason)

    def _retry(self, work: Work, delay_s: float, outcome: NotRun) -> None:
        if not self._context.budget.try_retry():
            self.events['retries_suppressed'] += 1
            self._refuse(work, outcome.reason)
            return
        self.events['retries'] += 1
        work.retries += 1
        self._context.timers.call_after(
            delay_s, lambda: self._offer_again(work)
        )

    def _offer_again(self, work: Work) -> None:
        # It may have been cancelled or refused during the delay.
        if work.key in self._works_by_key:
            work.queued = replace(work.queued)
            self._offer(work)

    def _refuse(
        self, work: Work, reason: RefusalReason, retry_after_ms: int = 0
    ) -> None:
        self._works_by_key.pop(work.key, None)
        self._reporter.refuse(work, reason, retry_after_ms)


def _make_work(
    arrival: Arrival,
    request: Request,
    record: RequestRecord,
    view: ServiceView,
    now_s: float,
) -> Work:
    size_code = arrival.datagram.size_code
    return Work(
        route=arrival.route,
        request=request,
        record=record,
        queued=QueuedRequest(
            request_id=_gate_key(record.attempt),
            customer_id=request.customer_id,
            operation=view.operation_name(request),
            deadline_s=now_s + request.deadline_ms / MILLISECONDS,
            size_class=view.size_class(request, size_code),
        ),
    )


def _gate_key(attempt: Attempt) -> bytes:
    # Not the request id: an idempotent request may have two attempts in
    # the gate at the same time.
    return attempt.flow_id.to_bytes(
        _FLOW_ID_BYTES, 'big'
    ) + attempt.request_number.to_bytes(_REQUEST_NUMBER_BYTES, 'big')

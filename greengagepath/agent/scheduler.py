"""Admitted requests of an agent, from admission to their outcome."""

from collections import Counter
from dataclasses import replace

from ..admission.fair_queue import QueuedRequest
from ..admission.gate import CancelOutcome
from ..generated.messages import Refusal, RefusalReason, Request
from ..protocol.packets import Kind
from .operation_match import ServiceView
from .outcomes import AgentParts, OutcomeReporter
from .replies import Arrival, Route
from .request_records import Attempt, RequestRecord, RequestState
from .requests_table import Begin
from .work import Answered, NotRun, OutcomeUnknown, RunOutcome, Work

MILLISECONDS = 1000
# Runs that the back end turned down are tried again so many times.
MAX_RETRIES = 2
BACKOFF_S = 0.02
# Answers by which a back end or a proxy of it says that it is overloaded.
# A 504 after the deadline says nothing of the load.
OVERLOADED = frozenset((502, 503))
SERVER_ERROR = 500
FAILURE_WEIGHT = 0.1
_KEY_BYTES_OF_FLOW = 8
_KEY_BYTES_OF_NUMBER = 4


class FailureShare:
    """Recent share of runs that the back end failed."""

    __slots__ = ('_runs', 'share')

    def __init__(self) -> None:
        self.share = 0.0
        self._runs = 0

    def record(self, failed: bool) -> None:
        """Take the end of a run."""
        self._runs += 1
        self.share += FAILURE_WEIGHT * (failed - self.share)

    def decay(self) -> None:
        """Halve the share if there was no run since the last call.

        A target that is avoided for its failures would otherwise never
        be tried again.
        """
        if not self._runs:
            self.share /= 2
        self._runs = 0


class WorkScheduler:
    """Offers requests to the gate and takes how their runs end.

    `events` counts retries, `failures` the runs that the back end failed.
    """

    def __init__(self, parts: AgentParts, reporter: OutcomeReporter) -> None:
        self.events: Counter[str] = Counter()
        self.failures = FailureShare()
        self._parts = parts
        self._reporter = reporter
        self._works_by_key: dict[bytes, Work] = {}
        self._cancelled: list[Work] = []

    def __len__(self) -> int:
        """Return the number of admitted requests without an outcome."""
        return len(self._works_by_key)

    def admit(self, arrival: Arrival, request: Request) -> None:
        """Offer a request that has arrived as a whole."""
        parts = self._parts
        route = arrival.route
        begin = parts.table.begin(
            route.attempt,
            request.request_id,
            idempotent=parts.view.is_idempotent(request),
        )
        record = parts.table.find(route.attempt)
        if begin is Begin.FULL:
            refusal = Refusal(
                reason=RefusalReason.table_full, request_id=request.request_id
            )
            self._reporter.send_refusal(route, refusal)
        elif begin is Begin.NEW and record is not None:
            parts.budget.record_request()
            work = _make_work(
                arrival, request, record, parts.view, parts.timers.now()
            )
            self._works_by_key[work.key] = work
            self._offer(work)
        else:
            parts.replies.send(route, Kind.UNKNOWN_OUTCOME)

    def next_work(self) -> Work | None:
        """Return the next request to hand to the back end, or None."""
        parts = self._parts
        queued = None
        if parts.table.has_answer_room():
            queued = parts.gate.next_request()
        self._report_refused()
        if queued is None:
            return None
        work = self._works_by_key[queued.request_id]
        work.started_s = parts.timers.now()
        return work

    def refuse_late(self) -> None:
        """Refuse queued requests whose deadline is too near."""
        self._parts.gate.refuse_expiring()
        self._report_refused()

    def complete(self, work: Work, outcome: RunOutcome) -> None:
        """Take how the run of a request ended."""
        duration_s = self._parts.timers.now() - work.started_s
        match outcome:
            case Answered(status=status):
                self._parts.gate.finish(
                    work.key, duration_s, status not in OVERLOADED
                )
                self.failures.record(status >= SERVER_ERROR)
                self._works_by_key.pop(work.key, None)
                self._reporter.answer(work, outcome)
            case NotRun(reason=reason):
                self._parts.gate.release(work.key)
                self.failures.record(reason is RefusalReason.no_target)
                self._retry_or_refuse(work, outcome)
            case OutcomeUnknown():
                self._free_slot(work, duration_s)
                self._works_by_key.pop(work.key, None)
                self._reporter.lose(work)

    def _free_slot(self, work: Work, duration_s: float) -> None:
        """Free the slot of a run without an answer."""
        is_late = self._parts.timers.now() >= work.deadline_s
        if work.is_cancelled or is_late:
            self._parts.gate.abandon(work.key, duration_s)
        else:
            self._parts.gate.finish(work.key, duration_s, succeeded=False)
            self.failures.record(failed=True)

    def cancel(self, record: RequestRecord, route: Route) -> None:
        """Cancel an attempt on behalf of its caller."""
        if record.state is RequestState.ANSWERED:
            self._reporter.stop_answer(record)
            return
        work = self._works_by_key.get(_gate_key(record.attempt))
        if work is None:
            self._reporter.repeat(record, route)
            return
        match self._parts.gate.cancel(work.key):
            case CancelOutcome.REMOVED:
                self._report_refused()
            case CancelOutcome.RUNNING:
                work.is_cancelled = True
                self._cancelled.append(work)
            case CancelOutcome.NOT_HELD:
                # It waits for its next try at the back end.
                self._refuse(work, RefusalReason.cancelled)

    def take_cancelled(self) -> list[Work]:
        """Return running requests to stop at the back end."""
        cancelled = self._cancelled
        self._cancelled = []
        return cancelled

    def start_draining(self) -> None:
        """Refuse all requests that do not run yet."""
        self._parts.gate.start_draining()
        self._report_refused()
        for work in tuple(self._works_by_key.values()):
            if work.key not in self._parts.gate.running:
                self._refuse(work, RefusalReason.draining)

    def _offer(self, work: Work) -> None:
        offered = self._parts.gate.offer(work.queued)
        self._report_refused()
        if offered.is_err():
            refusal = offered.unwrap_err()
            self._refuse(work, refusal.reason, refusal.retry_after_ms)

    def _report_refused(self) -> None:
        for refusal in self._parts.gate.take_refused():
            work = self._works_by_key.get(refusal.request_id)
            if work is not None:
                self._refuse(work, refusal.reason, refusal.retry_after_ms)

    def _retry_or_refuse(self, work: Work, outcome: NotRun) -> None:
        backoff_s = BACKOFF_S * 2**work.retries
        delay_s = self._parts.random.uniform(backoff_s / 2, backoff_s)
        retry_s = self._parts.timers.now() + delay_s
        if work.is_cancelled:
            self._refuse(work, RefusalReason.cancelled)
        elif self._parts.gate.is_draining:
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
        if not self._parts.budget.try_retry():
            self.events['retries_suppressed'] += 1
            self._refuse(work, outcome.reason)
            return
        self.events['retries'] += 1
        work.retries += 1
        self._parts.timers.call_after(delay_s, lambda: self._offer_again(work))

    def _offer_again(self, work: Work) -> None:
        # It may have been cancelled or refused while it waited.
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
    # An idempotent request may have two attempts in the gate at once.
    return attempt.flow_id.to_bytes(
        _KEY_BYTES_OF_FLOW, 'big'
    ) + attempt.request_number.to_bytes(_KEY_BYTES_OF_NUMBER, 'big')

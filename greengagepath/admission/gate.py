"""Admission gate of a back end: admits, queues, orders and refuses.

A request that the gate has refused is never handed out to run.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from result import Err, Ok, Result

from ..foundation.timers import TimerService
from ..generated.messages import Limits, Refusal, RefusalReason, SizeClass
from .fair_queue import FairQueue, QueuedRequest
from .limiter import ConcurrencyLimiter
from .running import RunningSet
from .shedding import WorkAhead, expected_wait_s, will_miss_deadline
from .size_classes import OperationCosts

# Long work that has waited this long is started before short work,
# within the slots that long work may use.
LONG_AGING_S = 1.0
# Long work is also started first after this share of the time between
# its offer and its deadline, if that is sooner.
LONG_AGING_SHARE = 0.25
# Weight of a new duration in the mean latency that probes report.
LATENCY_WEIGHT = 0.05
# Time for a refusal to reach the caller before the deadline. A call that
# ends at its deadline leaves the caller unsure whether the request ran.
REFUSAL_MARGIN_S = 0.05
MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Admitted:
    """The request is queued and expected to start in `expected_wait_s`."""

    request_id: bytes
    expected_wait_s: float


@dataclass(slots=True, frozen=True)
class GateLoad:
    """Load that a probe reports.

    `limit` is the current concurrency limit, `latency_s` the mean run
    time of a request in seconds, 0 before the first one has ended.
    """

    in_flight: int
    queued: int
    limit: int
    latency_s: float
    queue_length: int

    @property
    def is_full(self) -> bool:
        """Whether the queue is full."""
        return self.queued >= max(self.queue_length, 1)


@unique
class CancelOutcome(Enum):
    """Result of cancelling a request."""

    REMOVED = 'removed'
    RUNNING = 'running'
    NOT_HELD = 'not_held'


class AdmissionGate:
    """Decides which requests run, and when; one for each agent.

    `offer` queues or refuses a request. `next_request` hands one out
    when a slot is free; `finish`, `abandon` or `release` frees the slot.
    Requests that leave the queue without being handed out are returned
    by `take_refused`. `running` holds the requests that have a slot.
    While `is_draining` is set, all new requests are refused.
    """

    def __init__(self, timers: TimerService, limits: Limits) -> None:
        self.costs = OperationCosts()
        self._timers = timers
        self._limits = limits
        self._limiter = ConcurrencyLimiter(limits.slots)
        self._queue = FairQueue()
        self.running = RunningSet(timers)
        self._refused: list[Refusal] = []
        self.is_draining = False
        self._latency_s = 0.0

    def replace_limits(
        self, limits: Limits, shares_by_customer: Mapping[int, float]
    ) -> None:
        """Replace limits and shares, as given in the configuration."""
        self._limits = limits
        self._limiter.replace_slots(limits.slots)
        self._queue.replace_shares(shares_by_customer)

    def offer(self, request: QueuedRequest) -> Result[Admitted, Refusal]:
        """Queue a request, or return the refusal with its reason."""
        now_s = self._timers.now()
        request.queued_s = now_s
        request.size_class = self.costs.classify(
            request.operation, request.size_class
        )
        request.expected_s = self.costs.expected_s(request.operation)
        request.conservative_s = self.costs.conservative_s(request.operation)
        if self.is_draining:
            return Err(_refuse(request, RefusalReason.draining))
        wait_s = self._expected_wait_s(request)
        remaining_s = request.deadline_s - now_s
        if will_miss_deadline(wait_s, request.conservative_s, remaining_s):
            return Err(_refuse(request, RefusalReason.deadline, wait_s))
        if not self._make_room(request):
            return Err(_refuse(request, RefusalReason.queue_full, wait_s))
        self._queue.push(request)
        return Ok(Admitted(request.request_id, wait_s))

    def next_request(self) -> QueuedRequest | None:
        """Return the next request to run, or None.

        Requests whose deadline has passed, or cannot be met while other
        work waits, are refused and skipped.
        """
        while not self.is_draining:
            request = self._pop()
            if request is None:
                return None
            # If no other request waits, the slot would be idle, and
            # running the request measures its cost again.
            needed_s = request.conservative_s if len(self._queue) else 0.0
            if request.deadline_s - self._timers.now() > needed_s:
                self.running.start(request)
                return request
            self._queue.adjust_charge(request.customer_id, -request.expected_s)
            self._refused.append(_refuse(request, RefusalReason.deadline))
        return None

    def finish(
        self, request_id: bytes, duration_s: float, succeeded: bool
    ) -> None:
        """Free the slot of a request that ran for `duration_s` seconds.

        A request that has no slot is ignored.
        """
        in_flight = len(self.running)
        request = self.running.end(request_id)
        if request is None:
            return
        ratio = 1.0
        if succeeded:
            ratio = self.costs.record(request.operation, duration_s)
        self._limiter.record(ratio, in_flight, succeeded)
        self._queue.adjust_charge(
            request.customer_id, duration_s - request.expected_s
        )
        if not self._latency_s:
            self._latency_s = duration_s
        self._latency_s += LATENCY_WEIGHT * (duration_s - self._latency_s)

    def abandon(self, request_id: bytes, duration_s: float) -> None:
        """Free the slot of a request that was stopped after `duration_s`.

        A missed deadline or a cancelled call is no sign of overload, so
        the concurrency limit stays. The duration is a lower bound of the
        cost, so it is recorded only if it exceeds the expected cost.
        """
        request = self.running.end(request_id)
        if request is None:
            return
        if duration_s > request.expected_s:
            self.costs.record(request.operation, duration_s)
        self._queue.adjust_charge(
            request.customer_id, duration_s - request.expected_s
        )

    def release(self, request_id: bytes) -> None:
        """Free the slot of a request that the back end did not run."""
        in_flight = len(self.running)
        request = self.running.end(request_id)
        if request is not None:
            self._queue.adjust_charge(request.customer_id, -request.expected_s)
            self._limiter.record(1.0, in_flight, succeeded=False)

    def cancel(self, request_id: bytes) -> CancelOutcome:
        """Remove a queued request; a running one keeps its slot."""
        request = self._queue.remove(request_id)
        if request is not None:
            self._refused.append(_refuse(request, RefusalReason.cancelled))
            return CancelOutcome.REMOVED
        if request_id in self.running:
            return CancelOutcome.RUNNING
        return CancelOutcome.NOT_HELD

    def start_draining(self) -> None:
        """Refuse the queue and everything offered from now on."""
        self.is_draining = True
        for request in self._queue.queued():
            self._queue.remove(request.request_id)
            self._refused.append(_refuse(request, RefusalReason.draining))

    def stop_draining(self) -> None:
        """Admit requests again, after an operator has undone the drain."""
        self.is_draining = False

    def refuse_expiring(self) -> None:
        """Refuse queued requests that can no longer be answered in time.

        They would otherwise be refused only when a slot becomes free,
        which takes long while stragglers hold all slots.
        """
        now_s = self._timers.now()
        for request in self._queue.queued():
            cost_s = request.conservative_s if len(self._queue) > 1 else 0.0
            if request.deadline_s - now_s <= cost_s + REFUSAL_MARGIN_S:
                self._queue.remove(request.request_id)
                self._refused.append(_refuse(request, RefusalReason.deadline))

    def take_refused(self) -> list[Refusal]:
        """Return and clear the refusals since the last call."""
        refused = self._refused
        self._refused = []
        return refused

    def load(self) -> GateLoad:
        """Return the load that a probe reports."""
        return GateLoad(
            in_flight=len(self.running),
            queued=len(self._queue),
            limit=self._limiter.limit,
            latency_s=self._latency_s,
            queue_length=self._limits.queue_length,
        )

    def _make_room(self, request: QueuedRequest) -> bool:
        """Return whether the request can be queued.

        From a full queue a request of the customer with the most
        requests for its share is evicted, so that one customer cannot
        exclude the others.
        """
        if self._limits.queue_length == 0:
            return self._has_free_slot(request.size_class)
        if not self.load().is_full:
            return True
        evicted = self._queue.find_eviction(request.customer_id)
        if evicted is None:
            return False
        self._queue.remove(evicted.request_id)
        self._refused.append(_refuse(evicted, RefusalReason.queue_full))
        return True

    def _pop(self) -> QueuedRequest | None:
        limit = self._limiter.limit
        if not self.running.may_start(SizeClass.short, limit):
            return None
        if not self.running.may_start(SizeClass.long, limit):
            return self._queue.pop(SizeClass.short)
        first, second = SizeClass.short, SizeClass.long
        oldest = self._queue.oldest(SizeClass.long)
        if oldest and _is_aged(oldest, self._timers.now()):
            first, second = second, first
        return self._queue.pop(first) or self._queue.pop(second)

    def _has_free_slot(self, size_class: SizeClass) -> bool:
        limit = self._limiter.limit
        if len(self.running) + len(self._queue) >= limit:
            return False
        return self.running.may_start(size_class, limit)

    def _expected_wait_s(self, request: QueuedRequest) -> float:
        customer_id = request.customer_id
        size_class = request.size_class
        return expected_wait_s(
            WorkAhead(
                size_class=size_class,
                slots=self.running.slots_for(size_class, self._limiter.limit),
                has_free_slot=self._has_free_slot(size_class),
                next_free_slot_s=self.running.next_free_slot_s(),
                short_s=self._queue.work_ahead_s(customer_id, SizeClass.short),
                long_s=self._queue.work_ahead_s(customer_id, SizeClass.long),
            )
        )


def _is_aged(request: QueuedRequest, now_s: float) -> bool:
    allowed_s = request.deadline_s - request.queued_s
    aging_s = min(LONG_AGING_S, allowed_s * LONG_AGING_SHARE)
    return now_s - request.queued_s >= aging_s


def _refuse(
    request: QueuedRequest, reason: RefusalReason, wait_s: float = 0.0
) -> Refusal:
    return Refusal(
        reason=reason,
        request_id=request.request_id,
        retry_after_ms=int(wait_s * MS_PER_S),
    )

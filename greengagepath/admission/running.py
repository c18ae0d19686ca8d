"""Running requests, and the slots that are left for others."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..foundation.timers import TimerService
from ..generated.messages import SizeClass
from .fair_queue import QueuedRequest
from .size_classes import STRAGGLER_RATIO

# Requests that have run for less than this are never stragglers, because
# timing noise dominates such durations.
MIN_STRAGGLER_S = 0.05


@dataclass(slots=True)
class RunningRequest:
    """A request that was handed out at `started_s`."""

    request: QueuedRequest
    started_s: float


class RunningSet:
    """The running requests by id.

    A straggler, a request that runs far longer than expected, counts as
    long work.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._running_by_id: dict[bytes, RunningRequest] = {}

    def __len__(self) -> int:
        """Return the number of running requests."""
        return len(self._running_by_id)

    def __contains__(self, request_id: bytes) -> bool:
        """Return whether the request is running."""
        return request_id in self._running_by_id

    def start(self, request: QueuedRequest) -> None:
        """Occupy a slot with the request."""
        self._running_by_id[request.request_id] = RunningRequest(
            request, self._timers.now()
        )

    def end(self, request_id: bytes) -> QueuedRequest | None:
        """Free the slot; return the request, or None if it has no slot."""
        running = self._running_by_id.pop(request_id, None)
        return running.request if running else None

    def slots_for(self, size_class: SizeClass, limit: int) -> int:
        """Return how many slots of `limit` a size class may use."""
        if size_class == SizeClass.long:
            return _long_slots(limit)
        return limit - self._count_long()

    def may_start(self, size_class: SizeClass, limit: int) -> bool:
        """Return whether a request of the size class may start now."""
        if len(self) >= limit:
            return False
        if size_class == SizeClass.long:
            return self._count_long() < _long_slots(limit)
        return True

    def next_free_slot_s(self) -> float:
        """Return the seconds until a request is expected to end.

        The result is 0 if none is running.
        """
        return min(self._iterate_remaining_s(), default=0.0)

    def _count_long(self) -> int:
        return sum(
            running.request.size_class == SizeClass.long
            or self._is_straggler(running)
            for running in self._running_by_id.values()
        )

    def _is_straggler(self, running: RunningRequest) -> bool:
        elapsed_s = self._timers.now() - running.started_s
        usual_s = running.request.expected_s * STRAGGLER_RATIO
        return elapsed_s > max(usual_s, MIN_STRAGGLER_S)

    def _iterate_remaining_s(self) -> Iterator[float]:
        now_s = self._timers.now()
        for running in self._running_by_id.values():
            elapsed_s = now_s - running.started_s
            left_s = running.request.expected_s - elapsed_s
            # A request past its expected end is expected to take as long
            # again, as is typical of heavy-tailed durations.
            yield left_s if left_s > 0 else elapsed_s


def _long_slots(limit: int) -> int:
    # One slot is kept free of long work. A single slot may run it while
    # nothing else runs, or long work would never start.
    return max(limit - 1, 1)

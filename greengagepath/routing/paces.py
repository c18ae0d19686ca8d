"""Concurrency limits of the targets of one service, at one balancer."""

from collections.abc import Iterable

from ..foundation.timers import TimerService
from ..pace.target_pace import TargetPace


class TargetPaces:
    """Limits of the flows for targets that have started or recovered.

    Each probe reply counts as one answer. Failures are not counted: the
    outlier detector ejects targets that fail.
    """

    __slots__ = ('_by_target_id', '_slots', '_timers')

    def __init__(self, timers: TimerService, slots: int) -> None:
        self._timers = timers
        self._slots = slots
        self._by_target_id: dict[str, TargetPace] = {}

    def __len__(self) -> int:
        """Return the number of targets with a limit."""
        return len(self._by_target_id)

    def restart(self, target_id: str) -> None:
        """Begin at the start value, after a start or an ejection."""
        pace = self._by_target_id.setdefault(target_id, TargetPace())
        pace.restart(self._slots, self._timers.now())

    def remove(self, target_ids: Iterable[str]) -> None:
        """Remove the limits of targets, if there are any."""
        for target_id in target_ids:
            self._by_target_id.pop(target_id, None)

    def record_answer(
        self, target_id: str, service_s: float, mean_s: float, load: int
    ) -> None:
        """Record a probe reply.

        `service_s` is the time of one request in seconds, 0 if unknown,
        `mean_s` the mean of the service, `load` the number of requests.
        """
        pace = self._by_target_id.get(target_id)
        if pace is None or not service_s:
            return
        pace.record_answer(service_s, mean_s, load, self._timers.now())
        if not pace.is_limited:
            del self._by_target_id[target_id]

    def is_at_limit(self, target_id: str, requests: float) -> bool:
        """Return whether a target with so many requests gets no more flows.

        Such a target is used only if all others are at their limit too.
        """
        pace = self._by_target_id.get(target_id)
        if pace is None:
            return False
        limit = pace.limit(self._timers.now())
        return limit is not None and requests >= limit

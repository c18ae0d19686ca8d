"""Slow start of targets that have just begun to serve."""

from collections.abc import Callable

from ..foundation.timers import TimerService
from .targets import TargetInfo

# A cold back end fills caches and compiles code; the figure is the
# ramp that the targets of the design page ask for.
RAMP_S = 10.0
MIN_SHARE = 0.1
_MS_PER_S = 1000.0


class ColdStartRamp:
    """Share of its normal traffic that each target may receive.

    `wall_clock` returns seconds since the epoch and is read only when
    a target appears, to find how long ago it started.
    """

    def __init__(
        self, timers: TimerService, wall_clock: Callable[[], float]
    ) -> None:
        self._timers = timers
        self._wall_clock = wall_clock
        self._warm_at_s_by_target_id: dict[str, float] = {}

    def start(self, target: TargetInfo) -> None:
        """Begin the ramp of a target that appeared or restarted."""
        age_s = 0.0
        if target.started_ms:
            age_s = self._wall_clock() - target.started_ms / _MS_PER_S
        self._start(target.target_id, min(max(age_s, 0.0), RAMP_S))

    def restart(self, target_id: str) -> None:
        """Begin the ramp again, after an ejection."""
        self._start(target_id, 0.0)

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self._warm_at_s_by_target_id.pop(target_id, None)

    def share(self, target_id: str) -> float:
        """Return the share, from `MIN_SHARE` up to 1 when warm."""
        warm_at_s = self._warm_at_s_by_target_id.get(target_id)
        if warm_at_s is None:
            return 1.0
        left_s = warm_at_s - self._timers.now()
        if left_s <= 0:
            self.forget(target_id)
            return 1.0
        return max(MIN_SHARE, 1.0 - left_s / RAMP_S)

    def _start(self, target_id: str, age_s: float) -> None:
        if age_s >= RAMP_S:
            return
        self._warm_at_s_by_target_id[target_id] = (
            self._timers.now() + RAMP_S - age_s
        )

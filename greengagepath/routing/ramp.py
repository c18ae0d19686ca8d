"""Slow start: reduced traffic for targets that have just started."""

from collections.abc import Callable

from ..foundation.timers import TimerService
from .targets import TargetInfo

# A cold back end fills caches and compiles code. The targets on the
# design page ask for a ramp of this length.
RAMP_S = 10.0
MIN_SHARE = 0.1
_MS_PER_S = 1000.0


class ColdStartRamp:
    """Share of its normal traffic that each target may receive.

    The share grows linearly over `RAMP_S`. `wall_clock` returns seconds
    since the epoch and is read only when a target appears, to compute
    how long ago it started.
    """

    def __init__(
        self, timers: TimerService, wall_clock: Callable[[], float]
    ) -> None:
        self._timers = timers
        self._wall_clock = wall_clock
        self._warm_at_s_by_target_id: dict[str, float] = {}

    def start(self, target: TargetInfo) -> None:
        """Start the ramp of a target that appeared or restarted.

        A target that started some time ago is that far along its ramp.
        """
        age_s = 0.0
        if target.started_ms:
            age_s = self._wall_clock() - target.started_ms / _MS_PER_S
        self._start(target.target_id, min(max(age_s, 0.0), RAMP_S))

    def restart(self, target_id: str) -> None:
        """Start the ramp from the beginning, after an ejection."""
        self._start(target_id, 0.0)

    def remove(self, target_id: str) -> None:
        """Remove the ramp of a target, if there is one."""
        self._warm_at_s_by_target_id.pop(target_id, None)

    def traffic_share(self, target_id: str) -> float:
        """Return the share, from `MIN_SHARE` to 1 at the end of the ramp."""
        warm_at_s = self._warm_at_s_by_target_id.get(target_id)
        if warm_at_s is None:
            return 1.0
        left_s = warm_at_s - self._timers.now()
        if left_s <= 0:
            self.remove(target_id)
            return 1.0
        return max(MIN_SHARE, 1.0 - left_s / RAMP_S)

    def _start(self, target_id: str, age_s: float) -> None:
        if age_s >= RAMP_S:
            return
        self._warm_at_s_by_target_id[target_id] = (
            self._timers.now() + RAMP_S - age_s
        )

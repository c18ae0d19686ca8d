"""Rate limit on the new flows of a cold target.

Load pattern: a target has just started, or its zone was just taken back,
and every home places flows there at once because it has no load. Its
service states how many requests it bears per second until it is warm.
"""

import math
from collections import deque

# The limit holds in any span of one second. The rest allows for packets
# that the target reads sooner after the agent has sent them than others.
WINDOW_S = 1.05


class ColdBounds:
    """Tolerance of the deployment for the rate of a cold target.

    In any second, a target may get at most `overage` times the rate that
    its service states, and `slack` flows more.
    """

    __slots__ = ('overage', 'slack')

    def __init__(self, overage: float, slack: float) -> None:
        self.overage = overage
        self.slack = slack


class ColdLimit:
    """Sliding window over the flows that one target was given.

    Until `set_rate` is called, the rate counts as the lowest possible one.
    The target counts as cold until it says otherwise, and the second
    before the start of this process as used up: what an earlier process
    has admitted is not known.
    """

    __slots__ = (
        '_admitted_s',
        '_bounds',
        '_cold_until_s',
        '_per_s',
        '_started_s',
    )

    def __init__(self, bounds: ColdBounds, now_s: float) -> None:
        self._bounds = bounds
        self._started_s = now_s
        self._per_s: float | None = None
        self._cold_until_s = math.inf
        self._admitted_s: deque[float] = deque()

    def set_rate(self, per_s: float) -> None:
        """Set the flows per second of a cold target; 0 means no limit."""
        self._per_s = per_s

    def record_remaining(self, remaining_s: float, now_s: float) -> None:
        """Record for how many seconds the target stays cold."""
        self._cold_until_s = now_s + remaining_s

    def assume_cold(self) -> None:
        """Take the target for cold until it says for how long it is."""
        self._cold_until_s = math.inf

    def is_limiting(self, now_s: float) -> bool:
        """Return whether the target is cold and its rate is limited."""
        return self._per_s != 0 and now_s < self._cold_until_s

    def allows(self, now_s: float, *, is_last_resort: bool = False) -> bool:
        """Return whether the target may get another flow now.

        With `is_last_resort`, when no other target accepts the flow, the
        tolerance of the deployment is used, too.
        """
        if not self.is_limiting(now_s):
            return True
        if now_s - self._started_s < WINDOW_S:
            return False
        self._drop_old(now_s)
        return len(self._admitted_s) < self._limit(is_last_resort)

    def record(self, now_s: float) -> None:
        """Count a flow that the target was given."""
        if self._per_s != 0:
            self._drop_old(now_s)
            self._admitted_s.append(now_s)

    def _limit(self, is_last_resort: bool) -> int:
        per_s = self._per_s or 0.0
        most = int(per_s * self._bounds.overage + self._bounds.slack)
        return most if is_last_resort else min(max(int(per_s), 1), most)

    def _drop_old(self, now_s: float) -> None:
        while self._admitted_s and now_s - self._admitted_s[0] >= WINDOW_S:
            self._admitted_s.popleft()

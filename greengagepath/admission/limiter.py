"""Adaptive concurrency limit, driven by measured latency."""

# The limit falls when durations are this many times their baseline. At
# weight 0.1, exponential durations stay four deviations below it.
SLOW_RATIO = 2.0
RATIO_WEIGHT = 0.1
DECREASE_SLOW = 0.9
DECREASE_FAILED = 0.7
INCREASE = 0.5


class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease, within the slots.

    `slots` is what the back end runs at once; the limit is between 1
    and `slots`. The limit falls at most once in as many outcomes as the
    limit is, because those requests were started under the old one.
    """

    __slots__ = ('_limit', '_ratio', '_slots', '_until_decrease')

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._ratio = 1.0
        self._until_decrease = 0

    @property
    def limit(self) -> int:
        """Requests that may run at once."""
        return int(self._limit)

    def replace_slots(self, slots: int) -> None:
        """Take a new number of slots from the configuration."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def record(self, ratio: float, in_flight: int, succeeded: bool) -> None:
        """Take the outcome of a request.

        `ratio` is its duration over the baseline of its operation,
        `in_flight` the requests running when it ended, itself included.
        """
        self._ratio += RATIO_WEIGHT * (ratio - self._ratio)
        self._until_decrease = max(self._until_decrease - 1, 0)
        if not succeeded:
            self._decrease(DECREASE_FAILED)
        elif self._ratio > SLOW_RATIO:
            self._decrease(DECREASE_SLOW)
        elif in_flight >= self.limit:
            grown = self._limit + INCREASE / self._limit
            self._limit = min(grown, float(self._slots))

    def _decrease(self, factor: float) -> None:
        if self._until_decrease:
            return
        self._limit = max(self._limit * factor, 1.0)
        self._until_decrease = self.limit

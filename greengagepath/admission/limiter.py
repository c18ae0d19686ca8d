"""Adaptive concurrency limit, controlled by measured latency."""

# The limit is lowered when the moving average of duration / baseline
# exceeds this. At a weight of 0.1, the average of exponentially
# distributed durations stays four standard deviations below it.
SLOW_RATIO = 2.0
RATIO_WEIGHT = 0.1
DECREASE_SLOW = 0.9
DECREASE_FAILED = 0.7
INCREASE = 0.5


class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease of the limit.

    `slots` is the number of requests that the back end runs at once;
    the limit is between 1 and `slots`. It is decreased at most once in
    as many outcomes as its value, because those requests were started
    under the old limit.
    """

    __slots__ = ('_limit', '_ratio', '_slots', '_until_decrease')

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._ratio = 1.0
        self._until_decrease = 0

    @property
    def limit(self) -> int:
        """Number of requests that may run at once."""
        return int(self._limit)

    def replace_slots(self, slots: int) -> None:
        """Set the number of slots; a change resets the limit to it."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def record(self, ratio: float, in_flight: int, succeeded: bool) -> None:
        """Adjust the limit after the outcome of a request.

        `ratio` is its duration divided by the baseline of its operation,
        `in_flight` the number of requests running when it ended, itself
        included.
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

"""Measured cost of operations, and size classes derived from it."""

import itertools
from collections.abc import Iterator

from ..generated.messages import SizeClass

# Cost of an operation before the first measurement, in seconds of a slot.
DEFAULT_COST_S = 0.02
# Operations that are measured separately; further names share one entry,
# so that callers cannot grow the table without limit.
MAX_OPERATIONS = 256
OTHER_OPERATIONS = ''
# Long operations cost at least this many times as much as short ones.
LONG_RATIO = 4.0
# Share of requests that must lie below a gap in cost for the gap to
# separate short from long work. Without it, a rare cheap operation would
# make all others long.
MIN_SHORT_SHARE = 0.05
# Weight of a new duration in the expected cost and its deviation.
COST_WEIGHT = 0.1
# Weight of a new duration in the baseline. It is small, so that the ratio
# to the baseline shows when the back end becomes slower.
BASELINE_WEIGHT = 0.02
# A duration counts as at most this many times the expected cost, so that
# a single straggler has a limited effect.
STRAGGLER_RATIO = 4.0
WARM_UP_COUNT = 20
# With exponentially distributed durations, nine of ten requests stay
# below the mean plus this many mean absolute deviations.
CONSERVATIVE_DEVIATIONS = 2.0


class OperationCost:
    """Expected and baseline duration of one operation, in seconds.

    `deviation_s` is the mean absolute deviation from the expected
    duration, `count` the number of durations recorded.
    """

    __slots__ = ('baseline_s', 'count', 'deviation_s', 'expected_s')

    def __init__(self) -> None:
        self.count = 0
        self.expected_s = DEFAULT_COST_S
        self.baseline_s = DEFAULT_COST_S
        self.deviation_s = 0.0

    def record(self, duration_s: float) -> float:
        """Record a duration; return its ratio to the baseline.

        The ratio is 1 while the operation warms up.
        """
        self.count += 1
        if self.count > WARM_UP_COUNT:
            duration_s = min(duration_s, self.expected_s * STRAGGLER_RATIO)
        mean_weight = 1 / self.count
        weight = max(COST_WEIGHT, mean_weight)
        self.expected_s += weight * (duration_s - self.expected_s)
        self.deviation_s += weight * (
            abs(duration_s - self.expected_s) - self.deviation_s
        )
        self.baseline_s += max(BASELINE_WEIGHT, mean_weight) * (
            duration_s - self.baseline_s
        )
        if self.baseline_s <= 0 or self.count <= WARM_UP_COUNT:
            return 1.0
        return duration_s / self.baseline_s


class OperationCosts:
    """Costs of a bounded number of operations, and their size classes.

    The widest gap between the expected costs separates short from long.
    """

    def __init__(self) -> None:
        self._costs_by_operation: dict[str, OperationCost] = {}
        self._long_threshold_s = float('inf')

    def record(self, operation: str, duration_s: float) -> float:
        """Record a duration in seconds; return its ratio to the baseline."""
        ratio = self._entry(operation).record(duration_s)
        self._long_threshold_s = self._find_long_threshold_s()
        return ratio

    def expected_s(self, operation: str) -> float:
        """Return the expected cost in seconds of a slot."""
        cost = self._find(operation)
        return cost.expected_s if cost else DEFAULT_COST_S

    def conservative_s(self, operation: str) -> float:
        """Return a duration that most requests stay below, in seconds."""
        cost = self._find(operation)
        if cost is None:
            return DEFAULT_COST_S
        return cost.expected_s + CONSERVATIVE_DEVIATIONS * cost.deviation_s

    def classify(self, operation: str, declared: SizeClass) -> SizeClass:
        """Return the size class; one that the caller declared is kept."""
        if declared != SizeClass.unknown:
            return declared
        if self.expected_s(operation) >= self._long_threshold_s:
            return SizeClass.long
        return SizeClass.short

    def _find(self, operation: str) -> OperationCost | None:
        cost = self._costs_by_operation.get(operation)
        return cost or self._costs_by_operation.get(OTHER_OPERATIONS)

    def _entry(self, operation: str) -> OperationCost:
        cost = self._costs_by_operation.get(operation)
        if cost is None:
            if len(self._costs_by_operation) >= MAX_OPERATIONS:
                operation = OTHER_OPERATIONS
            cost = self._costs_by_operation.setdefault(
                operation, OperationCost()
            )
        return cost

    def _find_long_threshold_s(self) -> float:
        """Return the upper end of the widest gap between costs.

        It is infinite if no gap reaches `LONG_RATIO`.
        """
        widest = LONG_RATIO
        long_threshold_s = float('inf')
        for ratio, upper_s in self._gaps():
            if ratio >= widest:
                widest = ratio
                long_threshold_s = upper_s
        return long_threshold_s

    def _gaps(self) -> Iterator[tuple[float, float]]:
        costs = sorted(
            self._costs_by_operation.values(),
            key=lambda cost: cost.expected_s,
        )
        total = sum(cost.count for cost in costs)
        below = 0
        for lower, upper in itertools.pairwise(costs):
            below += lower.count
            if below >= total * MIN_SHORT_SHARE and lower.expected_s > 0:
                yield upper.expected_s / lower.expected_s, upper.expected_s

"""Measured cost of operations, and the size class that follows from it."""

import itertools
from collections.abc import Iterator

from ..generated.messages import SizeClass

# Cost assumed before anything was measured, in seconds of a slot.
DEFAULT_COST_S = 0.02
# Operations with a cost of their own; further names share one entry, so
# that callers cannot grow the table.
MAX_OPERATIONS = 256
OTHER_OPERATIONS = ''
# Long operations cost at least this many times as much as short ones.
LONG_RATIO = 4.0
# Share of requests that must lie below a gap in cost for it to separate
# short from long; a rare cheap operation does not make the rest long.
SHORT_SHARE = 0.05
# Weight of a new duration in the expected cost.
COST_WEIGHT = 0.1
# The baseline follows slowly, so that it shows a slower back end.
BASELINE_WEIGHT = 0.02
# A single straggler counts as at most this many times the expected cost.
STRAGGLER_RATIO = 4.0
WARM_UP_COUNT = 20
# With exponential durations, nine of ten requests stay below the mean
# plus this many mean deviations.
LIKELY_DEVIATIONS = 2.0


class OperationCost:
    """Expected and baseline duration of one operation, in seconds.

    `deviation_s` is the mean absolute deviation from the expected one.
    """

    __slots__ = ('baseline_s', 'count', 'deviation_s', 'expected_s')

    def __init__(self) -> None:
        self.count = 0
        self.expected_s = DEFAULT_COST_S
        self.baseline_s = DEFAULT_COST_S
        self.deviation_s = 0.0

    def record(self, duration_s: float) -> float:
        """Take a duration; return its ratio to the baseline."""
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
    """Cost by operation name, bounded, and classes by largest gap."""

    def __init__(self) -> None:
        self._costs_by_operation: dict[str, OperationCost] = {}
        self._long_from_s = float('inf')

    def record(self, operation: str, duration_s: float) -> float:
        """Take a measured duration; return its ratio to the baseline."""
        ratio = self._entry(operation).record(duration_s)
        self._long_from_s = self._find_long_from_s()
        return ratio

    def expected_s(self, operation: str) -> float:
        """Return the expected cost in seconds of a slot."""
        cost = self._find(operation)
        return cost.expected_s if cost else DEFAULT_COST_S

    def likely_s(self, operation: str) -> float:
        """Return a duration that most requests stay below, in seconds."""
        cost = self._find(operation)
        if cost is None:
            return DEFAULT_COST_S
        return cost.expected_s + LIKELY_DEVIATIONS * cost.deviation_s

    def classify(self, operation: str, declared: SizeClass) -> SizeClass:
        """Return short or long; a declared class is taken as it is."""
        if declared != SizeClass.unknown:
            return declared
        if self.expected_s(operation) >= self._long_from_s:
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

    def _find_long_from_s(self) -> float:
        """Return the upper end of the widest gap between costs."""
        widest = LONG_RATIO
        long_from_s = float('inf')
        for ratio, upper_s in self._gaps():
            if ratio >= widest:
                widest = ratio
                long_from_s = upper_s
        return long_from_s

    def _gaps(self) -> Iterator[tuple[float, float]]:
        costs = sorted(
            self._costs_by_operation.values(),
            key=lambda cost: cost.expected_s,
        )
        total = sum(cost.count for cost in costs)
        below = 0
        for lower, upper in itertools.pairwise(costs):
            below += lower.count
            if below >= total * SHORT_SHARE and lower.expected_s > 0:
                yield upper.expected_s / lower.expected_s, upper.expected_s

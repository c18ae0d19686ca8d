"""Delays after which idempotent requests are hedged.

A request that takes much longer than others of its operation is also
sent to a second target, and the first answer is used; see Dean and
Barroso, "The Tail at Scale" (2013). The retry budget limits the number
of hedges, so that they do not make an overload worse.
"""

from hdrh.histogram import HdrHistogram

MS_PER_S = 1000
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
# Fewer latencies are too few for a 95th percentile.
MIN_SAMPLES = 50
# The histogram is replaced after so many latencies, since load changes.
MAX_SAMPLES = 2000
LATENCY_PERCENTILE = 95
DELAY_FACTOR = 2.0
MIN_DELAY_S = 0.05
# Shares of the deadline: the longest delay, and the delay as long as
# there are too few latencies.
MAX_DEADLINE_SHARE = 0.5
DEFAULT_DEADLINE_SHARE = 0.3
MAX_OPERATIONS = 1000


class HedgeDelays:
    """Records latencies by operation and derives the delay of a hedge."""

    def __init__(self) -> None:
        self._histograms_by_operation: dict[str, HdrHistogram] = {}

    def record(self, operation: str, latency_s: float) -> None:
        """Record the latency of an answered request, in seconds.

        Operations beyond `MAX_OPERATIONS` are not recorded.
        """
        histogram = self._histograms_by_operation.get(operation)
        if histogram is None or histogram.get_total_count() >= MAX_SAMPLES:
            is_new = histogram is None
            if is_new and len(self._histograms_by_operation) >= MAX_OPERATIONS:
                return
            histogram = self._replace_histogram(operation, histogram)
        latency_ms = min(int(latency_s * MS_PER_S) + 1, MAX_LATENCY_MS)
        histogram.record_value(latency_ms)

    def delay_s(self, operation: str, deadline_s: float) -> float:
        """Return the seconds to wait before the second attempt.

        `deadline_s` is the time left to the deadline, in seconds; at
        least half of it remains for the second attempt.
        """
        histogram = self._histograms_by_operation.get(operation)
        if histogram is None or histogram.get_total_count() < MIN_SAMPLES:
            return deadline_s * DEFAULT_DEADLINE_SHARE
        percentile_ms = histogram.get_value_at_percentile(LATENCY_PERCENTILE)
        delay_s = max(percentile_ms * DELAY_FACTOR / MS_PER_S, MIN_DELAY_S)
        return min(delay_s, deadline_s * MAX_DEADLINE_SHARE)

    def _replace_histogram(
        self, operation: str, previous: HdrHistogram | None
    ) -> HdrHistogram:
        """Start a new histogram from the previous 95th percentile."""
        replacement = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        if previous is not None:
            percentile_ms = previous.get_value_at_percentile(LATENCY_PERCENTILE)
            replacement.record_value(max(percentile_ms, 1), MIN_SAMPLES)
        self._histograms_by_operation[operation] = replacement
        return replacement

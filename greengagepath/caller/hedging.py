"""When a caller sends an idempotent request a second time.

A request that runs many times longer than others of its operation is
sent to another target as well, and the first answer is taken; see Dean
and Barroso, "The Tail at Scale" (2013). The retry budget limits how
many there are, so that an overload is not made worse.
"""

from hdrh.histogram import HdrHistogram

MS_PER_S = 1000
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
# Fewer latencies than this say nothing about a 95th percentile.
MIN_SAMPLES = 50
# Forget the past after so many latencies, because load changes.
MAX_SAMPLES = 2000
LATENCY_PERCENTILE = 95
DELAY_FACTOR = 2.0
MIN_DELAY_S = 0.05
MAX_DEADLINE_SHARE = 0.5
DEFAULT_DEADLINE_SHARE = 0.3
MAX_OPERATIONS = 1000


class HedgeDelays:
    """Learns latencies by operation and derives the delay of a hedge."""

    def __init__(self) -> None:
        self._histograms_by_operation: dict[str, HdrHistogram] = {}

    def record(self, operation: str, latency_s: float) -> None:
        """Add the latency of an answered request.

        Operations beyond `MAX_OPERATIONS` are not recorded.
        """
        histogram = self._histograms_by_operation.get(operation)
        if histogram is None or histogram.get_total_count() >= MAX_SAMPLES:
            if len(self._histograms_by_operation) >= MAX_OPERATIONS:
                return
            histogram = self._replace_histogram(operation, histogram)
        latency_ms = min(int(latency_s * MS_PER_S) + 1, MAX_LATENCY_MS)
        histogram.record_value(latency_ms)

    def delay_s(self, operation: str, deadline_s: float) -> float:
        """Return how long to wait before the second attempt.

        It leaves the second attempt at least half of the deadline.
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
        """Start a histogram that keeps the previous 95th percentile."""
        replacement = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        if previous is not None:
            percentile_ms = previous.get_value_at_percentile(LATENCY_PERCENTILE)
            replacement.record_value(max(percentile_ms, 1), MIN_SAMPLES)
        self._histograms_by_operation[operation] = replacement
        return replacement

"""Histogram of durations that is cheap enough to update per flow."""

from bisect import bisect_left

# Upper bounds in seconds; dense around the latency objectives of short
# requests.
BOUNDS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5)


class DurationCounts:
    """Number of durations in each bucket of `BOUNDS_S`, and their sum."""

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        self.counts = [0 for _ in range(len(BOUNDS_S) + 1)]
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Count one duration in seconds."""
        self.counts[bisect_left(BOUNDS_S, duration_s)] += 1
        self.total_s += duration_s

    def list_cumulative(self) -> list[tuple[str, int]]:
        """Return each bound with the number of durations up to it.

        The last bound is `+Inf`.
        """
        found = 0
        rows = []
        for bound, count in zip((*BOUNDS_S, '+Inf'), self.counts, strict=True):
            found += count
            rows.append((str(bound), found))
        return rows

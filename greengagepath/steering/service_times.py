"""Usual service time of a target, from its flows in passing."""

# A request in a few runs many times longer than the rest; the estimate
# moves by at most this factor of itself for each request.
MAX_RATIO = 3.0
GAIN = 0.08
# What a target is taken for before its first request.
DEFAULT_S = 0.03
# The first estimate counts as much as this many requests.
PRIOR_REQUESTS = 2
# A target that gets no work for this long may have been misjudged.
IDLE_S = 0.5
IDLE_HALF_LIFE_S = 1.0


class ServiceTime:
    """Moving average of request times in seconds.

    The time of a request that waited in the target's queue is divided
    by the requests before it in its slot.
    """

    __slots__ = ('_average_s', '_sampled_s', '_samples')

    def __init__(self) -> None:
        self._average_s = DEFAULT_S
        self._samples = 0
        self._sampled_s = 0.0

    def add(self, duration_s: float, now_s: float) -> None:
        """Take the time of one request."""
        self._samples += 1
        self._sampled_s = now_s
        gain = max(GAIN, 1 / (self._samples + PRIOR_REQUESTS))
        clamped_s = min(duration_s, self._average_s * MAX_RATIO)
        self._average_s += (clamped_s - self._average_s) * gain

    def estimate_s(self, now_s: float, peer_average_s: float) -> float:
        """Return the time of a request now, 0 before the first.

        Without requests an estimate above `peer_average_s`, that of other
        targets, and above the default halves its distance to the lower
        of them every second: a misjudged target, or a service all of
        whose targets are misjudged, would otherwise never get the work
        that corrects it.
        """
        if not self._samples:
            return 0.0
        idle_s = now_s - self._sampled_s - IDLE_S
        floor_s = min(peer_average_s or DEFAULT_S, DEFAULT_S)
        if idle_s <= 0 or self._average_s <= floor_s:
            return self._average_s
        remaining = 0.5 ** (idle_s / IDLE_HALF_LIFE_S)
        return floor_s + (self._average_s - floor_s) * remaining

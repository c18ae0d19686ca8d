"""Estimated service time of a target, measured on its flows."""

# A few requests run many times longer than the rest; a sample is limited
# to this multiple of the current estimate.
MAX_RATIO = 3.0
GAIN = 0.08
# Assumed service time before the first request.
DEFAULT_S = 0.03
# Weight of the assumed service time, in requests.
PRIOR_REQUESTS = 2
# The estimate starts to decay after this time without requests, since it
# may be wrong.
IDLE_S = 0.5
IDLE_HALF_LIFE_S = 1.0


class ServiceTime:
    """Moving average of request durations in seconds.

    The duration of a request that waited in the target's queue is
    divided by the number of requests that its slot ran until it was done.
    """

    __slots__ = ('_average_s', '_sampled_s', '_samples')

    def __init__(self) -> None:
        self._average_s = DEFAULT_S
        self._samples = 0
        self._sampled_s = 0.0

    def add(self, duration_s: float, now_s: float) -> None:
        """Add the duration of one request."""
        if self._samples and now_s - self._sampled_s > IDLE_S:
            # Samples of before the idle time, such as those of a target
            # that was cold, count no more than the assumption at a start.
            self._average_s = self.estimate_s(now_s, 0.0)
            self._samples = 0
        self._samples += 1
        self._sampled_s = now_s
        gain = max(GAIN, 1 / (self._samples + PRIOR_REQUESTS))
        clamped_s = min(duration_s, self._average_s * MAX_RATIO)
        self._average_s += (clamped_s - self._average_s) * gain

    def estimate_s(self, now_s: float, peer_average_s: float) -> float:
        """Return the estimate in seconds, 0 before the first request.

        `peer_average_s` is the average of the other targets. While the
        target is idle, an estimate above both `peer_average_s` and the
        default halves its distance to the lower of the two every second.
        Otherwise a target with a wrong estimate, or a service whose
        targets all have one, would never get the requests that correct
        it.
        """
        if not self._samples:
            return 0.0
        idle_s = now_s - self._sampled_s - IDLE_S
        floor_s = min(peer_average_s or DEFAULT_S, DEFAULT_S)
        if idle_s <= 0 or self._average_s <= floor_s:
            return self._average_s
        remaining = 0.5 ** (idle_s / IDLE_HALF_LIFE_S)
        return floor_s + (self._average_s - floor_s) * remaining

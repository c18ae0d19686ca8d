"""Usual service time of a target, from its flows in passing."""

# A request in a few runs many times longer than the rest; the estimate
# moves by at most this factor of itself for each request.
MAX_RATIO = 3.0
GAIN = 0.08
DEFAULT_S = 0.03


class ServiceTime:
    """Moving average of request times in seconds.

    Requests that waited in the target's queue are not passed in, since
    their time says little of the target's speed.
    """

    __slots__ = ('_samples', 'usual_s')

    def __init__(self) -> None:
        self.usual_s = 0.0
        self._samples = 0

    def add(self, duration_s: float) -> None:
        """Take the time of one request."""
        self._samples += 1
        if self._samples == 1:
            self.usual_s = duration_s
            return
        gain = max(GAIN, 1 / self._samples)
        taken_s = min(duration_s, self.usual_s * MAX_RATIO)
        self.usual_s += (taken_s - self.usual_s) * gain

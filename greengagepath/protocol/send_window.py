"""Window and retransmission timeout of a transfer, without I/O.

Round-trip estimation follows RFC 6298. The window backs off only when
a round loses more than `TOLERATED_LOSS`: with a back-off for each lost
datagram, the random loss of a fabric would be enough to keep a transfer
at its smallest window.
"""

from dataclasses import dataclass

_SMOOTHING = 0.125
_DEVIATION_SMOOTHING = 0.25
_DEVIATION_FACTOR = 4
TOLERATED_LOSS = 0.1
BACKOFF_FACTOR = 0.7
# Parts added to the window in each round after slow start.
GROWTH_PARTS = 4
_MAX_DOUBLINGS = 6


@dataclass(slots=True, frozen=True)
class TransferLimits:
    """Limits of one transfer; windows are in parts, times in seconds.

    A default socket buffer of 208 KiB holds about 90 datagrams of this
    size, 185 when raised to the system's limit, so larger windows than
    `max_window` mostly overflow it.
    """

    initial_window: int = 32
    min_window: int = 8
    max_window: int = 192
    initial_timeout_s: float = 0.2
    min_timeout_s: float = 0.03
    max_timeout_s: float = 1.0
    # The transfer fails after this time without progress.
    stall_timeout_s: float = 15.0


class SendWindow:
    """Decides how many parts may be in flight and when to time out."""

    __slots__ = (
        '_acknowledged',
        '_deviation_s',
        '_doublings',
        '_limits',
        '_lost',
        '_round_start_s',
        '_slow_start',
        '_window',
        'min_rtt_s',
        'rtt_s',
    )

    def __init__(self, limits: TransferLimits, now_s: float) -> None:
        self._limits = limits
        self._window = float(limits.initial_window)
        self._slow_start = True
        self._deviation_s = 0.0
        self._doublings = 0
        self._acknowledged = 0
        self._lost = 0
        self._round_start_s = now_s
        self.rtt_s: float | None = None
        self.min_rtt_s = limits.max_timeout_s

    @property
    def parts(self) -> int:
        """Return how many parts may be in flight."""
        return int(self._window)

    def timeout_s(self) -> float:
        """Return the seconds after which unacknowledged parts are lost."""
        limits = self._limits
        timeout_s = limits.initial_timeout_s
        if self.rtt_s is not None:
            timeout_s = self.rtt_s + _DEVIATION_FACTOR * self._deviation_s
        timeout_s = max(timeout_s, limits.min_timeout_s)
        return min(timeout_s * 2**self._doublings, limits.max_timeout_s)

    def record_rtt(self, sample_s: float) -> None:
        """Update the estimate with the round trip of a part sent once."""
        self.min_rtt_s = min(self.min_rtt_s, sample_s)
        if self.rtt_s is None:
            self.rtt_s = sample_s
            self._deviation_s = sample_s / 2
            return
        error_s = abs(self.rtt_s - sample_s)
        change_s = error_s - self._deviation_s
        self._deviation_s += _DEVIATION_SMOOTHING * change_s
        self.rtt_s += _SMOOTHING * (sample_s - self.rtt_s)

    def record_progress(
        self, acknowledged: int, lost: int, now_s: float
    ) -> None:
        """Count the parts that one ACK acknowledged or showed to be lost."""
        if acknowledged:
            self._doublings = 0
        self._acknowledged += acknowledged
        self._lost += lost
        if self._slow_start:
            self._grow(acknowledged)
        round_s = self._limits.min_timeout_s
        if self.rtt_s is not None:
            round_s = self.rtt_s
        if now_s - self._round_start_s >= round_s:
            self._end_round(now_s)

    def record_timeout(self) -> None:
        """Back off after a timeout without any ACK."""
        self._doublings = min(self._doublings + 1, _MAX_DOUBLINGS)
        self._back_off()

    def _end_round(self, now_s: float) -> None:
        total = self._acknowledged + self._lost
        if self._lost > TOLERATED_LOSS * total:
            self._back_off()
        elif not self._slow_start:
            self._grow(GROWTH_PARTS)
        self._acknowledged = 0
        self._lost = 0
        self._round_start_s = now_s

    def _grow(self, parts: int) -> None:
        self._window = min(self._window + parts, self._limits.max_window)

    def _back_off(self) -> None:
        self._slow_start = False
        self._window = max(
            self._window * BACKOFF_FACTOR, self._limits.min_window
        )

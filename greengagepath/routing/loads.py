"""What a balancer believes about the load of a target."""

import math
from dataclasses import dataclass

# A probe moves the latency by at most a tenth. One piece of long work
# raises the mean run time that an agent reports by ten times for some
# requests; the believed latency follows the usual reports instead.
MAX_LATENCY_STEP = 1.1
# Time over which the busy slots of a target are averaged.
BUSY_AVERAGE_S = 3.0


@dataclass(slots=True)
class TargetLoad:
    """Reports of one target, and flows sent to it since the last.

    `reported_requests` and `sent` count requests in flight and queued;
    `latency_s` is 0 until reported; `busy_slots` is the average of the
    requests in flight. Times are those of the timer service.
    """

    reported_requests: float = 0.0
    sent: float = 0.0
    latency_s: float = 0.0
    busy_slots: float = 0.0
    probed_s: float | None = None
    asked_s: float | None = None

    def estimate_requests(self, now_s: float, half_life_s: float) -> float:
        """Return requests believed to be at the target now."""
        if self.probed_s is None:
            return self.sent
        age_s = now_s - self.probed_s
        return self.reported_requests * 0.5 ** (age_s / half_life_s) + self.sent

    def take_report(
        self, in_flight: int, queued: int, latency_s: float, now_s: float
    ) -> None:
        """Replace the reported load and average the rest."""
        self.reported_requests = float(in_flight + queued)
        self.sent = 0.0
        kept = 0.0
        if self.probed_s is not None:
            kept = math.exp((self.probed_s - now_s) / BUSY_AVERAGE_S)
        self.busy_slots = self.busy_slots * kept + in_flight * (1 - kept)
        self.probed_s = now_s
        if self.latency_s and latency_s:
            step = latency_s / self.latency_s
            step = min(max(step, 1 / MAX_LATENCY_STEP), MAX_LATENCY_STEP)
            self.latency_s *= step
        else:
            self.latency_s = self.latency_s or latency_s

    def is_due(self, now_s: float, gap_s: float) -> bool:
        """Return whether the last probe was sent `gap_s` ago."""
        return self.asked_s is None or now_s - self.asked_s >= gap_s

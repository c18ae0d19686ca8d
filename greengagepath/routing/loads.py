"""Estimated load of a target, from probe replies and flows sent to it."""

import math
from dataclasses import dataclass

from ..generated.messages import SizeClass

# A report changes the latency by at most a tenth. A single long request
# raises the mean run time that an agent reports tenfold for some
# requests; with this limit the estimate follows the usual reports.
MAX_LATENCY_STEP = 1.1
# Time constant of the moving average of a target's busy slots.
BUSY_AVERAGE_S = 3.0
# Requests in flight that a new flow of a size class counts as until the
# next probe reply reports the real load.
LOAD_BY_SIZE_CLASS = {
    SizeClass.unknown: 1.0,
    SizeClass.short: 1.0,
    SizeClass.long: 4.0,
}


@dataclass(slots=True)
class TargetLoad:
    """The last report of a target, and the load sent to it since.

    `reported_requests` counts requests in flight and queued.
    `requests_since_report` is the estimated number of requests in new
    flows. `latency_s` is 0 until reported. `busy_slots` is the moving
    average of the requests in flight. `reported_s` and `probe_sent_s`
    are times of the timer service in seconds.
    """

    reported_requests: float = 0.0
    requests_since_report: float = 0.0
    latency_s: float = 0.0
    busy_slots: float = 0.0
    reported_s: float | None = None
    probe_sent_s: float | None = None

    def estimate_requests(self, now_s: float, half_life_s: float) -> float:
        """Return the estimated number of requests at the target now."""
        if self.reported_s is None:
            return self.requests_since_report
        age_s = now_s - self.reported_s
        return (
            self.reported_requests * 0.5 ** (age_s / half_life_s)
            + self.requests_since_report
        )

    def record_report(
        self, in_flight: int, queued: int, latency_s: float, now_s: float
    ) -> None:
        """Replace the reported requests; average latency and busy slots.

        `latency_s` is the reported time of one request, 0 if unknown.
        """
        self.reported_requests = float(in_flight + queued)
        self.requests_since_report = 0.0
        old_weight = 0.0
        if self.reported_s is not None:
            old_weight = math.exp((self.reported_s - now_s) / BUSY_AVERAGE_S)
        self.busy_slots = self.busy_slots * old_weight + in_flight * (
            1 - old_weight
        )
        self.reported_s = now_s
        if self.latency_s and latency_s:
            ratio = latency_s / self.latency_s
            ratio = min(max(ratio, 1 / MAX_LATENCY_STEP), MAX_LATENCY_STEP)
            self.latency_s *= ratio
        else:
            self.latency_s = self.latency_s or latency_s

    def is_probe_due(self, now_s: float, gap_s: float) -> bool:
        """Return whether no probe was sent in the last `gap_s` seconds."""
        return self.probe_sent_s is None or now_s - self.probe_sent_s >= gap_s

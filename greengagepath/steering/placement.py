"""Which target gets a new flow.

Load pattern: flows carry one request each, demand triples within
seconds, targets differ in speed by up to three times and hold a few
requests at once. Each new flow goes where it is expected to finish
first; reports are up to `STALE_S` old, so placements of one's own since
then are added.
"""

from .peer_messages import LoadReport, ReportedState
from .service_times import DEFAULT_S

# Reports come at least every 100 ms; three lost in a row mean that the
# agent does not run or cannot be reached.
SILENCE_LIMIT_S = 0.35
# A report left its agent this long before it arrived, so placements
# this young are not in it.
REPORT_TRANSIT_S = 0.003
# After a power loss an agent starts before its target; one that has
# been heard goes first.
UNHEARD_PENALTY_S = 0.1
# States of targets that take new flows.
ACCEPTING_STATES = frozenset((ReportedState.READY, ReportedState.UNHEARD))
# A request of the highest priority is taken while it should finish
# within this share of its goal. The rest is for the way between caller
# and target, which the agent does not see, and for requests that run
# longer than usual. Each lower priority gets less, so that urgent work
# still finds room at the crest.
TOP_PRIORITY_SHARE = 0.6
SHARE_STEP = 0.1
MIN_SHARE = 0.3


class PeerLoad:
    """What an agent believes of one target of its service."""

    __slots__ = ('_placements_s', 'address', 'last_seen_s', 'report')

    def __init__(self, address: bytes) -> None:
        self.address = address
        self.report = LoadReport(ReportedState.ABSENT)
        self.last_seen_s = -SILENCE_LIMIT_S
        self._placements_s: list[float] = []

    def update(self, report: LoadReport, now_s: float) -> None:
        """Replace the load; placements in transit stay added."""
        self.report = report
        self.last_seen_s = now_s
        if self._placements_s:
            since_s = now_s - REPORT_TRANSIT_S
            self._placements_s = [
                at_s for at_s in self._placements_s if at_s > since_s
            ]

    def record_placement(self, now_s: float) -> None:
        """Add a flow that was sent to the target."""
        self._placements_s.append(now_s)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target takes new flows."""
        if self.report.state not in ACCEPTING_STATES:
            return False
        return now_s - self.last_seen_s < SILENCE_LIMIT_S

    def estimate_load(self) -> int:
        """Return requests and opened flows believed to be there."""
        return self.report.load + len(self._placements_s)


class Estimate:
    """How long a request takes that starts now, and whether it waits.

    `rank_s` orders targets; it lies above `finish_s` for one that may
    not run.
    """

    __slots__ = ('finish_s', 'is_waiting', 'rank_s')

    def __init__(
        self, load: int, slots: int, service_s: float, peer_average_s: float
    ) -> None:
        """Estimate from the load and the time of one request.

        `peer_average_s` stands in for a target that has not served a request.
        """
        request_s = service_s or peer_average_s or DEFAULT_S
        waiting = max(load - slots + 1, 0)
        self.finish_s = request_s * (1 + waiting / slots)
        self.rank_s = self.finish_s
        self.is_waiting = waiting > 0

    def add_state_penalty(self, state: ReportedState) -> None:
        """Rank a target that was not heard yet behind the others."""
        if state is ReportedState.UNHEARD:
            self.rank_s += UNHEARD_PENALTY_S


def average_service_s(loads: list[PeerLoad]) -> float:
    """Return the mean service time of targets that have one, or 0."""
    known = [load.report.service_s for load in loads if load.report.service_s]
    return sum(known) / len(known) if known else 0.0


def choose_peer(
    loads: list[PeerLoad], now_s: float, excluded: bytes = b''
) -> tuple[Estimate, PeerLoad] | None:
    """Return the target that should finish first.

    None if no target takes new flows.
    """
    peer_average_s = average_service_s(loads)
    best: tuple[Estimate, PeerLoad] | None = None
    for load in loads:
        if load.address == excluded or not load.is_usable(now_s):
            continue
        report = load.report
        estimate = Estimate(
            load.estimate_load(), report.slots, report.service_s, peer_average_s
        )
        estimate.add_state_penalty(report.state)
        if best is None or estimate.rank_s < best[0].rank_s:
            best = (estimate, load)
    return best


def should_accept(estimate: Estimate, goal_s: float, priority: int) -> bool:
    """Return whether a request should be taken rather than refused.

    Load pattern: after an outage, or when demand triples, more comes
    than can finish. A full queue would make all answers late; refused
    callers may try again at once. A goal of 0 means that none is known.
    A free slot is always used: refusals for want of speed would leave a
    misjudged service idle.
    """
    if not goal_s or not estimate.is_waiting:
        return True
    share = max(TOP_PRIORITY_SHARE - SHARE_STEP * priority, MIN_SHARE)
    return estimate.finish_s <= goal_s * share

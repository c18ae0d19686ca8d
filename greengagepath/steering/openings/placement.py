"""Choice of the target for a new flow.

Load pattern: some flows carry one request, others stay open for many;
demand triples within seconds, and targets differ in speed by a factor of
up to three and run a few requests at once. A new flow goes to the target
with the lowest rank: the expected end of its request, corrected by the
load of open flows, the zone of the caller and the state of the target.
Reports are up to `REPORT_SILENCE_S` old, so the flows
that this agent has placed since a report are added to its load.
"""

from ...routing.standing_load import busy_wait_s
from ..messages.peer_messages import LoadReport, PeerMessage, ReportedState
from ..neighbours import UNKNOWN_ZONE, narrow_zone
from ..target_states import ACCEPTING_STATES
from ..targets.service_times import DEFAULT_S

# Reports arrive at least every 100 ms; three lost in a row mean that the
# agent is not running or cannot be reached.
REPORT_SILENCE_S = 0.35
# An agent reports regularly if this many intervals between its reports in a
# row were shorter than `NEWLY_SILENT_S`. One that starts sends a few reports
# at once, and then possibly one every 2 s.
MIN_SHORT_INTERVALS = 5
# Without a report for this long, an agent may have been killed, and copies
# of an opening packet that was sent to it are placed anew. Agents under load
# report every 10 to 100 ms; with the limit above, the first copy would be
# lost, which the caller sends after 0.2 s.
NEWLY_SILENT_S = 0.15
# The caller has sent all copies of a packet by then, 0.6 s after the first.
LONG_SILENT_S = 0.8
# Transit time of a report: flows placed less than this long before its
# arrival are not included in its load.
REPORT_TRANSIT_S = 0.003
# After a power loss an agent starts before its target, so targets that
# have sent a heartbeat are preferred.
UNHEARD_PENALTY_S = 0.1
# Another target has to finish sooner by this time per hop so far.
HAND_OVER_GAIN_S = 0.004
# Traffic between zones costs money, so a target in another zone has to
# finish sooner by this time, in mean service times of the service. A fixed
# time of 60 ms led to refusals in an overloaded zone at a service time of
# 20 ms, and 20 ms kept few flows in their zone at 150 ms.
ZONE_COST = 0.4
# Above any difference between the ranks of two targets.
REFUSAL_PENALTY_S = 1000.0
# An opening packet is forwarded by its home and at most this many more
# agents.
MAX_HOPS = 3
# A request of the highest priority is accepted if it is expected to finish
# within this share of its latency objective. The rest is for the network
# between caller and target, which the agent cannot measure, and for
# requests that run longer than average. Each lower priority gets a smaller
# share, so that urgent requests are still accepted at peak load.
TOP_PRIORITY_SHARE = 0.6
SHARE_STEP = 0.1
MIN_SHARE = 0.3


class PeerLoad:
    """Last report of another target, and the flows placed there since.

    `last_seen_s` is the monotonic time of the report in seconds.
    """

    __slots__ = (
        '_placements_s',
        '_short_intervals',
        'address',
        'last_seen_s',
        'report',
    )

    def __init__(self, address: bytes) -> None:
        self.address = address
        self.report = LoadReport(ReportedState.ABSENT)
        self.last_seen_s = -REPORT_SILENCE_S
        # Consecutive intervals between reports below `NEWLY_SILENT_S`.
        self._short_intervals = 0
        self._placements_s: list[float] = []

    def update(
        self, report: LoadReport, now_s: float, *, is_rare: bool = False
    ) -> None:
        """Store a report; keep the placements that it cannot include yet.

        A rare report does not make the target usable: all homes that get
        it would choose the target for as long as it counts as fresh.
        """
        self.report = report
        if not is_rare:
            is_short = now_s - self.last_seen_s < NEWLY_SILENT_S
            self._short_intervals = self._short_intervals + 1 if is_short else 0
            self.last_seen_s = now_s
        if self._placements_s:
            since_s = now_s - REPORT_TRANSIT_S
            self._placements_s = [
                at_s for at_s in self._placements_s if at_s > since_s
            ]

    def record_placement(self, now_s: float) -> None:
        """Count a flow that was sent to the target."""
        self._placements_s.append(now_s)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target accepts new flows and is not silent."""
        if self.report.state not in ACCEPTING_STATES:
            return False
        return self.is_fresh(now_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether the target would run a request at once."""
        if not self.is_usable(now_s):
            return False
        return self.estimate_load() < self.report.slots

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the target's agent is not silent."""
        return now_s - self.last_seen_s < REPORT_SILENCE_S

    def misses_reports(self, read_s: float) -> bool:
        """Return whether an agent that reported regularly has stopped.

        `read_s` is when the own socket was last read empty: reports that
        arrived later may not have been handled yet.
        """
        is_regular = self._short_intervals >= MIN_SHORT_INTERVALS
        return is_regular and read_s - self.last_seen_s >= REPORT_SILENCE_S

    def is_newly_silent(self, now_s: float) -> bool:
        """Return whether the target's agent may just have been killed."""
        silent_s = now_s - self.last_seen_s
        is_frequent = self._short_intervals > 0
        return is_frequent and NEWLY_SILENT_S <= silent_s < LONG_SILENT_S

    def estimate_load(self) -> int:
        """Return the reported load plus the placements since."""
        return self.report.load + len(self._placements_s)


class Demand:
    """Latency objective in seconds, priority and zone of a new flow.

    The zone is that of the caller as a number of one byte, 0 if unknown.
    """

    __slots__ = ('objective_s', 'priority', 'zone')

    def __init__(
        self,
        objective_s: float = 0,
        priority: int = 0,
        zone: int = UNKNOWN_ZONE,
    ) -> None:
        self.objective_s = objective_s
        self.priority = priority
        self.zone = zone

    def crosses_zones(self, target_zone: int) -> bool:
        """Return whether a target is in another zone than the caller."""
        if UNKNOWN_ZONE in {self.zone, target_zone}:
            return False
        return narrow_zone(target_zone) != self.zone


NO_DEMAND = Demand()
_MS_PER_S = 1000


def make_demand(message: PeerMessage, own_zone: int) -> Demand:
    """Return the demand of the new flow in an opening message.

    Balancers of earlier builds send no zone; their callers are taken to be
    in the own zone of the agent.
    """
    return Demand(
        message.objective_ms / _MS_PER_S,
        message.priority,
        message.caller_zone or narrow_zone(own_zone),
    )


class Estimate:
    """Expected duration of a request that arrives now.

    `finish_s` is the duration in seconds; `is_waiting` tells whether the
    request would be queued. `rank_s` orders the targets; it is above
    `finish_s` for a target that may not be running, or whose open flows
    will bring further requests.
    """

    __slots__ = ('finish_s', 'is_waiting', 'rank_s')

    def __init__(
        self, load: int, slots: int, service_s: float, peer_average_s: float
    ) -> None:
        """Estimate from the load and the duration of one request.

        `peer_average_s` replaces a `service_s` of 0, which is that of a
        target that has not served a request.
        """
        request_s = service_s or peer_average_s or DEFAULT_S
        waiting = max(load - slots + 1, 0)
        self.finish_s = request_s * (1 + waiting / slots)
        self.rank_s = self.finish_s
        self.is_waiting = waiting > 0

    def add_state_penalty(self, state: ReportedState) -> None:
        """Rank a target without a heartbeat behind the others."""
        if state is ReportedState.UNHEARD:
            self.rank_s += UNHEARD_PENALTY_S

    def add_standing_load(
        self, standing_share: float, peer_average_s: float
    ) -> None:
        """Rank a target behind others by the load of its open flows.

        `standing_share` is the share of its slots that they keep busy.
        """
        mean_s = peer_average_s or DEFAULT_S
        self.rank_s += busy_wait_s(standing_share, mean_s)

    def add_zone_cost(
        self, demand: Demand, target_zone: int, peer_average_s: float
    ) -> None:
        """Rank a target in another zone than the caller behind others."""
        if demand.crosses_zones(target_zone):
            self.rank_s += ZONE_COST * (peer_average_s or DEFAULT_S)

    def add_refusal_penalty(self, demand: Demand) -> None:
        """Rank a target at which the request would finish too late last.

        Otherwise the load of open flows at the other targets could lead to
        the refusal of a request that one of them would serve in time.
        """
        if not should_accept(self, demand.objective_s, demand.priority):
            self.rank_s += REFUSAL_PENALTY_S


def average_service_s(loads: list[PeerLoad]) -> float:
    """Return the mean service time in seconds, 0 if none is known.

    Targets that have not served a request are left out.
    """
    known = [load.report.service_s for load in loads if load.report.service_s]
    return sum(known) / len(known) if known else 0.0


def choose_peer(
    loads: list[PeerLoad],
    now_s: float,
    *,
    demand: Demand = NO_DEMAND,
) -> tuple[Estimate, PeerLoad] | None:
    """Return the target with the lowest rank for a new flow.

    None if no target accepts new flows.
    """
    peer_average_s = average_service_s(loads)
    best: tuple[Estimate, PeerLoad] | None = None
    for load in loads:
        if not load.is_usable(now_s):
            continue
        report = load.report
        estimate = Estimate(
            load.estimate_load(), report.slots, report.service_s, peer_average_s
        )
        estimate.add_state_penalty(report.state)
        estimate.add_standing_load(report.standing_share, peer_average_s)
        estimate.add_zone_cost(demand, report.zone, peer_average_s)
        estimate.add_refusal_penalty(demand)
        if best is None or estimate.rank_s < best[0].rank_s:
            best = (estimate, load)
    return best


def should_accept(
    estimate: Estimate, objective_s: float, priority: int
) -> bool:
    """Return whether a request should be accepted rather than refused.

    Load pattern: after an outage, or when demand triples, more requests
    arrive than can finish. A full queue would make all responses late,
    whereas refused callers can retry at once. An `objective_s` of 0 means
    that the route has no latency objective. A free slot is always used:
    refusing requests because targets seem too slow would leave a service
    idle whose estimates are wrong.
    """
    if not objective_s or not estimate.is_waiting:
        return True
    return estimate.finish_s <= objective_s * find_accepted_share(priority)


def find_accepted_share(priority: int) -> float:
    """Return the share of the objective in which a request has to finish."""
    return max(TOP_PRIORITY_SHARE - SHARE_STEP * priority, MIN_SHARE)


def is_own_better(
    own: Estimate, chosen: tuple[Estimate, PeerLoad] | None, hops: int
) -> bool:
    """Return whether the gain at the other target is below a hop's cost."""
    if chosen is None:
        return True
    return own.rank_s <= chosen[0].rank_s + HAND_OVER_GAIN_S * hops

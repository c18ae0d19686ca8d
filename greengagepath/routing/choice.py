"""Choice of a target for a new flow.

Rendezvous hashing selects candidates; the one with the shortest
expected wait gets the flow.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum, unique

from result import Err, Ok, Result

from ..foundation.timers import TimerService
from ..generated.messages import SizeClass
from .candidates import CandidateTable
from .loads import LOAD_BY_SIZE_CLASS, TargetLoad
from .outliers import OutlierDetector, OutlierSettings
from .paces import TargetPaces
from .standing_load import busy_wait_s
from .targets import Place, TargetInfo, TargetState

_US_PER_S = 1000000.0
# Time of one request, assumed for a target of weight 1 until a probe
# reports its latency.
DEFAULT_SERVICE_S = 0.01
# A running request may turn out to be long work, so a target with one
# request in flight is ranked as if a new one waited for this share of
# its service time.
IN_FLIGHT_WAIT_SHARE = 0.25
# Weight of a new report in the mean service time.
MEAN_SERVICE_WEIGHT = 0.05


@unique
class ProbeState(IntEnum):
    """State of a target in a probe reply, one byte on the wire."""

    ACCEPTING = 0
    DRAINING = 1
    # Requests of the back end fail, even if its health endpoint reports
    # it as healthy.
    FAILING = 2


@unique
class NoTargetReason(StrEnum):
    """Reason why no target can be chosen."""

    UNKNOWN_SERVICE = 'unknown_service'
    NONE_ALIVE = 'none_alive'


@dataclass(slots=True, frozen=True)
class NoTarget:
    """Error: the service has no target for a new flow."""

    service: int
    reason: NoTargetReason


@dataclass(slots=True, frozen=True)
class Choice:
    """The target for an OPEN, and targets it may hand the OPEN off to."""

    target: TargetInfo
    alternates: tuple[TargetInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class ProbeReply:
    """Load of a target as its agent reports it.

    `in_flight` and `queued` are numbers of requests. `latency_us` is
    the estimated time of one request at the back end without queueing,
    in microseconds, 0 if unknown.
    """

    target_id: str
    in_flight: int
    queued: int
    latency_us: int
    state: ProbeState = ProbeState.ACCEPTING


@dataclass(slots=True, frozen=True)
class ChoiceSettings:
    """Parameters of `TargetChooser`.

    `candidates` is the number of targets selected by the hash, of which
    one is chosen and up to `alternates` are passed on with the OPEN.
    `slots` is the number of requests a target runs at once. The load
    reported by a probe reply is halved every `half_life_s`.

    One probe is sent for `flows_per_probe` new flows; up to
    `probe_burst` unused probes are kept. Probes of one target are at
    least `min_probe_gap_s` apart, those of an ejected target
    `ejected_probe_gap_s`. `zone_cost_s` is added to the expected wait
    at a target in another availability zone.
    """

    candidates: int = 8
    alternates: int = 2
    slots: int = 2
    half_life_s: float = 1.0
    flows_per_probe: float = 2.0
    probe_burst: float = 8.0
    min_probe_gap_s: float = 0.01
    ejected_probe_gap_s: float = 0.5
    zone_cost_s: float = 0.001


@dataclass(slots=True)
class ChooserServices:
    """Dependencies and parameters shared by a balancer's choosers."""

    place: Place
    timers: TimerService
    random: random.Random
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    outliers: OutlierSettings = field(default_factory=OutlierSettings)


class TargetChooser:
    """Chooses targets for the new flows of one service."""

    def __init__(self, service: int, shared: ChooserServices) -> None:
        self.service = service
        self._shared = shared
        self._settings = shared.choice
        self._timers = shared.timers
        self._random = shared.random
        self._outliers = OutlierDetector(shared.timers, shared.outliers)
        self._paces = TargetPaces(shared.timers, shared.choice.slots)
        self._targets_by_id: dict[str, TargetInfo] = {}
        self._loads_by_target_id: dict[str, TargetLoad] = {}
        self._draining: set[str] = set()
        self._table = CandidateTable(())
        self._mean_service_s = DEFAULT_SERVICE_S
        self._probe_credit = shared.choice.probe_burst

    @property
    def ejected(self) -> frozenset[str]:
        """Ids of the targets that are ejected now."""
        return frozenset(self._outliers.ejected)

    @property
    def ejections_total(self) -> int:
        """Number of ejections since the chooser was created."""
        return self._outliers.ejections_total

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Replace the target set of the service.

        `targets` are all current targets, whatever their state. Raises
        ValueError if the weight of a target in use is not positive.
        """
        old_by_id = self._targets_by_id
        new_by_id = {target.target_id: target for target in targets}
        self._paces.remove(old_by_id.keys() - new_by_id.keys())
        for target_id in old_by_id.keys() - new_by_id.keys():
            self._loads_by_target_id.pop(target_id, None)
        if old_by_id:
            self._start_paces(new_by_id)
        for target_id in new_by_id:
            self._loads_by_target_id.setdefault(target_id, TargetLoad())
        self._targets_by_id = new_by_id
        self._draining &= new_by_id.keys()
        usable = self._filter_usable()
        self._outliers.replace_targets(target.target_id for target in usable)
        self._table = CandidateTable.build(usable)

    def choose(
        self, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the target for a new flow and its alternates.

        The error is `NoTarget` if no target is alive and accepting.
        """
        # Flows without a target pay for probes too: a reply is what readmits
        # targets that have all reported that they drain.
        self._add_probe_credit()
        pool = self._list_eligible(flow_id)
        if not pool:
            return Err(NoTarget(self.service, NoTargetReason.NONE_ALIVE))
        pool.sort(key=self._rank)
        target = pool[0]
        load = self._loads_by_target_id[target.target_id]
        load.requests_since_report += LOAD_BY_SIZE_CLASS[size_class]
        end = 1 + self._settings.alternates
        return Ok(Choice(target, tuple(pool[1:end])))

    def record_probe(self, reply: ProbeReply) -> None:
        """Update load, limit, drain state and ejection from a probe reply.

        A reply from an unknown target is ignored.
        """
        load = self._loads_by_target_id.get(reply.target_id)
        if load is None:
            return
        service_s = reply.latency_us / _US_PER_S
        load.record_report(
            reply.in_flight, reply.queued, service_s, self._timers.now()
        )
        self._mean_service_s += MEAN_SERVICE_WEIGHT * (
            load.latency_s - self._mean_service_s
        )
        self._draining.discard(reply.target_id)
        if reply.state == ProbeState.DRAINING:
            self._draining.add(reply.target_id)
        failing = reply.state == ProbeState.FAILING
        if failing:
            self._outliers.record_outcome(reply.target_id, succeeded=False)
        else:
            requests = reply.in_flight + reply.queued
            self._paces.record_answer(
                reply.target_id, service_s, self._mean_service_s, requests
            )
        if self._outliers.record_probe(reply.target_id, succeeded=not failing):
            self._paces.restart(reply.target_id)

    def record_outcome(self, target_id: str, *, succeeded: bool) -> None:
        """Count an accepted or failed flow; a lost probe is a failure."""
        self._outliers.record_outcome(target_id, succeeded=succeeded)
        if not succeeded:
            self._outliers.record_probe(target_id, succeeded=False)

    def targets_to_probe(self) -> tuple[TargetInfo, ...]:
        """Return the targets to probe now and record them as probed.

        To be called after `choose` and every few hundred milliseconds.
        Ejected targets are probed at a fixed interval. All others are
        probed as far as the credit from new flows allows, those with
        the oldest probe first.
        """
        now_s = self._timers.now()
        gap_s = self._settings.ejected_probe_gap_s
        chosen = [
            self._targets_by_id[target_id]
            for target_id in sorted(self._outliers.ejected)
            if self._loads_by_target_id[target_id].is_probe_due(now_s, gap_s)
        ]
        probe_limit = int(self._probe_credit)
        if probe_limit > 0:
            due = self._list_due_targets()[:probe_limit]
            self._probe_credit -= len(due)
            chosen.extend(due)
        for target in chosen:
            self._loads_by_target_id[target.target_id].probe_sent_s = now_s
        return tuple(chosen)

    def _start_paces(self, new_by_id: dict[str, TargetInfo]) -> None:
        for target_id, target in new_by_id.items():
            old = self._targets_by_id.get(target_id)
            if old is None or old.incarnation != target.incarnation:
                self._loads_by_target_id[target_id] = TargetLoad()
                self._paces.restart(target_id)

    def _filter_usable(self) -> list[TargetInfo]:
        alive = [
            target
            for target in self._targets_by_id.values()
            if target.state == TargetState.ALIVE
        ]
        region = self._shared.place.region
        own = [target for target in alive if target.region == region]
        return own or alive

    def _list_eligible(self, flow_id: int) -> list[TargetInfo]:
        """Return the candidates that may get a new flow.

        Draining and ejected targets are left out, and those at their
        limit. More candidates are ranked than needed, so that others
        replace those left out. Targets at their limit and ejected ones are
        used if no other is left, draining ones never.
        """
        excluded = len(self._outliers.ejected) + len(self._draining)
        count = self._settings.candidates
        accepting = [
            target
            for target in self._table.candidates(flow_id, count + excluded)
            if target.target_id not in self._draining
        ]
        healthy = [
            target
            for target in accepting
            if target.target_id not in self._outliers.ejected
        ]
        healthy = (healthy or accepting)[:count]
        if not self._paces:
            return healthy
        free = [
            target
            for target in healthy
            if not self._paces.is_at_limit(
                target.target_id, self._estimate_requests(target)
            )
        ]
        return free or healthy

    def _estimate_requests(self, target: TargetInfo) -> float:
        return self._loads_by_target_id[target.target_id].estimate_requests(
            self._timers.now(), self._settings.half_life_s
        )

    def _rank(self, target: TargetInfo) -> tuple[float, float]:
        """Return the expected wait and a random tie-break, in seconds.

        The tie-break is exponentially distributed with the service time
        as its mean, so that of two idle targets one of twice the speed
        is chosen twice as often.
        """
        load = self._loads_by_target_id[target.target_id]
        service_s = load.latency_s or DEFAULT_SERVICE_S / target.weight
        slots = self._settings.slots
        requests = self._estimate_requests(target)
        wait_s = max(requests + 1 - slots, 0.0) * service_s / slots
        wait_s += IN_FLIGHT_WAIT_SHARE * service_s * min(requests, 1.0)
        wait_s += busy_wait_s(load.busy_slots / slots, self._mean_service_s)
        if target.availability_zone != self._shared.place.availability_zone:
            wait_s += self._settings.zone_cost_s
        return wait_s, self._random.expovariate(1.0) * service_s

    def _add_probe_credit(self) -> None:
        self._probe_credit = min(
            self._probe_credit + 1 / self._settings.flows_per_probe,
            self._settings.probe_burst,
        )

    def _list_due_targets(self) -> list[TargetInfo]:
        now_s = self._timers.now()
        gap_s = self._settings.min_probe_gap_s
        due = [
            target
            for target in self._table.targets
            if target.target_id not in self._outliers.ejected
            and self._loads_by_target_id[target.target_id].is_probe_due(
                now_s, gap_s
            )
        ]
        return sorted(due, key=self._get_probe_sent_s)

    def _get_probe_sent_s(self, target: TargetInfo) -> float:
        probe_sent_s = self._loads_by_target_id[target.target_id].probe_sent_s
        return float('-inf') if probe_sent_s is None else probe_sent_s

"""Choice of a target for a new flow: hash first, then expected wait."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum, unique

from result import Err, Ok, Result

from ..foundation.timers import TimerService
from ..generated.messages import SizeClass
from .candidates import CandidateTable
from .loads import TargetLoad
from .outliers import OutlierDetector, OutlierSettings
from .ramp import ColdStartRamp
from .targets import TargetInfo, TargetState

_US_PER_S = 1000000.0
# Assumed for a target of weight 1 until a probe reports its latency.
DEFAULT_SERVICE_S = 0.01
# A request that runs already may turn out to be long work, so a target
# with one in flight counts as this part of a service time of wait.
SHARED_TARGET_SHARE = 0.25
# Wait added for a target that is always busy, in usual service times of
# the service. It evens out the busy time of targets of any speed, also
# for requests on flows that cannot be moved; docs/routing.md has the
# figures for other values.
BUSY_GAIN = 4.0
# Weight of a new report in the usual service time.
USUAL_SERVICE_WEIGHT = 0.05
# New flows of a size class count as this many requests in flight until
# the next probe shows their real effect.
_LOAD_BY_SIZE_CLASS = {
    SizeClass.unknown: 1.0,
    SizeClass.short: 1.0,
    SizeClass.long: 4.0,
}


@unique
class ProbeState(IntEnum):
    """State in a probe reply, one byte on the wire."""

    ACCEPTING = 0
    DRAINING = 1
    # Requests of the back end fail, whatever its health endpoint says.
    FAILING = 2


@unique
class NoTargetReason(StrEnum):
    """Why no target can be chosen."""

    UNKNOWN_SERVICE = 'unknown_service'
    NONE_ALIVE = 'none_alive'


@dataclass(slots=True, frozen=True)
class NoTarget:
    """The service has no target for a new flow."""

    service: int
    reason: NoTargetReason


@dataclass(slots=True, frozen=True)
class Choice:
    """The target for an OPEN, and where it may be handed off."""

    target: TargetInfo
    alternates: tuple[TargetInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class ProbeReply:
    """Load of a target as its agent reports it.

    `latency_us` is the estimated time of one request at the back end
    without queueing, 0 if unknown.
    """

    target_id: str
    in_flight: int
    queued: int
    latency_us: int
    state: ProbeState = ProbeState.ACCEPTING


@dataclass(slots=True, frozen=True)
class ChoiceSettings:
    """Constants of the choice.

    `candidates` is how many targets the hash offers, of which one is
    chosen and `alternates` are passed on. `slots` is how many requests
    a target runs at once. A probe loses half its influence every
    `half_life_s`. One probe is sent for `flows_per_probe` new flows,
    and to one target not more often than every `min_probe_gap_s`.
    `zone_cost_s` is added for a target of another availability zone.
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


@dataclass(slots=True, frozen=True)
class Place:
    """Where the balancer runs."""

    region: str
    availability_zone: str


@dataclass(slots=True)
class ChooserServices:
    """What choosers of one balancer share."""

    place: Place
    timers: TimerService
    random: random.Random
    wall_clock: Callable[[], float] = time.time
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
        self._ramp = ColdStartRamp(shared.timers, shared.wall_clock)
        self._targets_by_id: dict[str, TargetInfo] = {}
        self._loads_by_target_id: dict[str, TargetLoad] = {}
        self._draining: set[str] = set()
        self._table = CandidateTable(())
        self._usual_service_s = DEFAULT_SERVICE_S
        self._probe_credit = shared.choice.probe_burst

    @property
    def ejected(self) -> frozenset[str]:
        """Ids of the targets that are softly ejected."""
        return frozenset(self._outliers.ejected)

    @property
    def ejections_total(self) -> int:
        """Return how often a target was softly ejected."""
        return self._outliers.ejections_total

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Take the present targets of the service, in any state."""
        old_by_id = self._targets_by_id
        new_by_id = {target.target_id: target for target in targets}
        for target_id in old_by_id.keys() - new_by_id.keys():
            self._ramp.forget(target_id)
            self._loads_by_target_id.pop(target_id, None)
        if old_by_id:
            self._start_cold_targets(new_by_id)
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
        """Return the target for a new flow and its alternates."""
        pool = self._list_eligible(flow_id)
        if not pool:
            return Err(NoTarget(self.service, NoTargetReason.NONE_ALIVE))
        pool.sort(key=self._rank)
        target = pool[0]
        load = self._loads_by_target_id[target.target_id]
        load.sent += _LOAD_BY_SIZE_CLASS[size_class]
        self._add_probe_credit()
        end = 1 + self._settings.alternates
        return Ok(Choice(target, tuple(pool[1:end])))

    def record_probe(self, reply: ProbeReply) -> None:
        """Take the load that a target reports."""
        load = self._loads_by_target_id.get(reply.target_id)
        if load is None:
            return
        load.take_report(
            reply.in_flight,
            reply.queued,
            reply.latency_us / _US_PER_S,
            self._timers.now(),
        )
        self._usual_service_s += USUAL_SERVICE_WEIGHT * (
            load.latency_s - self._usual_service_s
        )
        self._draining.discard(reply.target_id)
        if reply.state == ProbeState.DRAINING:
            self._draining.add(reply.target_id)
        failing = reply.state == ProbeState.FAILING
        if failing:
            self._outliers.record_outcome(reply.target_id, succeeded=False)
        if self._outliers.record_probe(reply.target_id, succeeded=not failing):
            self._ramp.restart(reply.target_id)

    def record_outcome(self, target_id: str, *, succeeded: bool) -> None:
        """Count a flow that was accepted or failed, or a lost probe."""
        self._outliers.record_outcome(target_id, succeeded=succeeded)
        if not succeeded:
            self._outliers.record_probe(target_id, succeeded=False)

    def targets_to_probe(self) -> tuple[TargetInfo, ...]:
        """Return targets to probe now, and count them as asked.

        Called after `choose` and once every few hundred milliseconds.
        Ejected targets are probed at a fixed gap, all others from the
        credit that new flows bring, the longest unasked first.
        """
        now_s = self._timers.now()
        gap_s = self._settings.ejected_probe_gap_s
        chosen = [
            self._targets_by_id[target_id]
            for target_id in sorted(self._outliers.ejected)
            if self._loads_by_target_id[target_id].is_due(now_s, gap_s)
        ]
        spend = int(self._probe_credit)
        if spend > 0:
            usual = self._list_stalest()[:spend]
            self._probe_credit -= len(usual)
            chosen.extend(usual)
        for target in chosen:
            self._loads_by_target_id[target.target_id].asked_s = now_s
        return tuple(chosen)

    def _start_cold_targets(self, new_by_id: dict[str, TargetInfo]) -> None:
        for target_id, target in new_by_id.items():
            old = self._targets_by_id.get(target_id)
            if old is None or old.incarnation != target.incarnation:
                self._loads_by_target_id[target_id] = TargetLoad()
                self._ramp.start(target)

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
        """Return candidates without draining, ejected and some cold ones.

        More are taken from the table than needed, so that those left
        out are replaced. Ejected targets are used if no other is left,
        draining ones never.
        """
        left_out = len(self._outliers.ejected) + len(self._draining)
        count = self._settings.candidates
        accepting = [
            target
            for target in self._table.candidates(flow_id, count + left_out)
            if target.target_id not in self._draining
        ]
        healthy = [
            target
            for target in accepting
            if target.target_id not in self._outliers.ejected
        ]
        healthy = (healthy or accepting)[:count]
        warm = [
            target
            for target in healthy
            if self._random.random() < self._ramp.share(target.target_id)
        ]
        return warm or healthy

    def _rank(self, target: TargetInfo) -> tuple[float, float]:
        """Return the expected wait in s and a random tie-break.

        Idle targets of twice the speed win ties twice as often.
        """
        load = self._loads_by_target_id[target.target_id]
        service_s = load.latency_s or DEFAULT_SERVICE_S / target.weight
        slots = self._settings.slots
        believed = load.estimate_requests(
            self._timers.now(), self._settings.half_life_s
        )
        wait_s = max(believed + 1 - slots, 0.0) * service_s / slots
        wait_s += SHARED_TARGET_SHARE * service_s * min(believed, 1.0)
        busy = load.busy_slots / slots
        wait_s += BUSY_GAIN * self._usual_service_s * busy
        if target.availability_zone != self._shared.place.availability_zone:
            wait_s += self._settings.zone_cost_s
        return wait_s, self._random.expovariate(1.0) * service_s

    def _add_probe_credit(self) -> None:
        self._probe_credit = min(
            self._probe_credit + 1 / self._settings.flows_per_probe,
            self._settings.probe_burst,
        )

    def _list_stalest(self) -> list[TargetInfo]:
        now_s = self._timers.now()
        gap_s = self._settings.min_probe_gap_s
        due = [
            target
            for target in self._table.targets
            if target.target_id not in self._outliers.ejected
            and self._loads_by_target_id[target.target_id].is_due(now_s, gap_s)
        ]
        return sorted(due, key=self._get_asked_s)

    def _get_asked_s(self, target: TargetInfo) -> float:
        asked_s = self._loads_by_target_id[target.target_id].asked_s
        return float('-inf') if asked_s is None else asked_s

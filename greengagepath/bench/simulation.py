"""One run in virtual time of the naive balancer or of ours."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from functools import partial

from ..foundation.timers import VirtualTimerService
from ..routing.choice import TargetChooser
from ..routing.targets import TargetInfo, TargetState
from .fakes import BackEnd, Fabric, FakeObjectApi, RequestLog, StoredObject
from .naive import NaiveAgent
from .ours import Agent, ChooserFactory
from .scenarios import BALANCERS, REGION, SLOTS, ZONES, ScenarioSpec
from .workload import LoadPlan, RequestSpec, WorkloadBuilder

# Bounds of the random delay after which a balancer receives a changed
# target set.
MAX_LAG_S = 2.5
MIN_LAG_S = 0.05
# Time after a target disappears until it is marked suspect, and until
# it is removed as dead.
SUSPECT_S = 3.0
DEAD_S = 5.0
TARGETS_OBJECT = 'targets'
# Time after the end of the load in which pending requests end.
COOL_DOWN_S = 10.0
_FIRST_PORT = 20000


TargetsCallback = Callable[[tuple[TargetInfo, ...]], None]
RequestStarter = Callable[[RequestSpec], None]


@unique
class ChangeKind(Enum):
    """What happens to a target or a balancer during a run."""

    JOIN = 'join'
    DRAIN = 'drain'
    DISAPPEAR = 'disappear'
    KILL_BALANCER = 'kill_balancer'
    ADD_BALANCER = 'add_balancer'


@dataclass(slots=True, frozen=True)
class Change:
    """A change of a target or of a balancer, `at_s` seconds into the run.

    `number` is the speed of a target that joins, else the index of the
    target among those of its service; changes of balancers ignore it.
    """

    at_s: float
    kind: ChangeKind
    service: int = 1
    number: int = 0


@dataclass(slots=True, frozen=True)
class RunSetup:
    """Inputs of a run; `measure_from_s` is the end of the warm-up."""

    scenario: ScenarioSpec
    plan: LoadPlan
    seed: int
    changes: tuple[Change, ...] = ()
    measure_from_s: float = 0.0
    make_chooser: ChooserFactory = TargetChooser


@dataclass(slots=True)
class RunOutcome:
    """Result of a run; work and capacity are in seconds at speed 1."""

    request_log: RequestLog
    work_by_target: dict[str, float]
    capacity_by_target: dict[str, float]
    service_by_target: dict[str, int]


@dataclass(slots=True)
class Host:
    """A target with its back end and its agent.

    `warm_up_work_s` is the work done before the measured time, in
    seconds at speed 1.
    """

    target: TargetInfo
    back_end: BackEnd
    agent: Agent | NaiveAgent
    is_listed: bool = True
    warm_up_work_s: float = 0.0


@dataclass(slots=True)
class Environment:
    """Timers, random source, fabric and request log of a run."""

    timers: VirtualTimerService
    random: random.Random
    fabric: Fabric
    request_log: RequestLog = field(default_factory=RequestLog)


def make_environment(setup: RunSetup) -> Environment:
    """Return a new environment; its random source has the run's seed."""
    timers = VirtualTimerService()
    rng = random.Random(f'{setup.seed} {setup.scenario.name} run')
    fabric = Fabric(timers, rng, setup.scenario.client_delay_s)
    return Environment(timers, rng, fabric)


class Simulation:
    """Runs hosts, changes and arrivals; subclasses add a system."""

    def __init__(self, setup: RunSetup) -> None:
        self.setup = setup
        self.environment = make_environment(setup)
        self.hosts_by_id: dict[str, Host] = {}
        self.object_api = FakeObjectApi(
            self.environment.timers,
            lambda: self.environment.random.uniform(MIN_LAG_S, MAX_LAG_S),
        )
        for service in setup.scenario.services:
            for speed in service.speeds:
                self._add_host(service.service, speed, None)

    def run(self) -> RunOutcome:
        """Run to the end and return the outcome.

        Work counts up to the end of the load, requests until the end of
        the cool-down.
        """
        self._publish()
        for _ in range(BALANCERS):
            self._add_balancer()
        timers = self.environment.timers
        for change in self.setup.changes:
            timers.call_after(change.at_s, partial(self._apply, change))
        timers.call_after(self.setup.measure_from_s, self._start_measuring)
        workload = WorkloadBuilder(
            self.setup.scenario, self.setup.plan, self.setup.seed
        )
        start = self._make_request_starter()
        for request in workload.build():
            timers.advance(request.at_s - timers.now())
            start(request)
        timers.advance(self.setup.plan.end_s - timers.now())
        outcome = self._make_outcome()
        timers.advance(COOL_DOWN_S)
        return outcome

    def _make_request_starter(self) -> RequestStarter:
        raise NotImplementedError

    def _make_agent(
        self, target: TargetInfo, back_end: BackEnd
    ) -> Agent | NaiveAgent:
        raise NotImplementedError

    def _add_balancer(self) -> None:
        raise NotImplementedError

    def _drain(self, host: Host) -> None:
        raise NotImplementedError

    def _add_host(
        self, service: int, speed: float, started_s: float | None
    ) -> None:
        number = len(self.hosts_by_id)
        target = TargetInfo(
            target_id=f'{service}-{number:03}',
            service=service,
            address=('127.0.0.1', _FIRST_PORT + number),
            weight=1.0,
            state=TargetState.ALIVE,
            incarnation=1,
            availability_zone=ZONES[number % len(ZONES)],
            region=REGION,
        )
        back_end = BackEnd(self.environment.timers, speed, started_s)
        self.hosts_by_id[target.target_id] = Host(
            target, back_end, self._make_agent(target, back_end)
        )

    def _apply(self, change: Change) -> None:
        match change.kind:
            case ChangeKind.JOIN:
                self._add_host(
                    change.service, change.number, self.environment.timers.now()
                )
                self._publish()
            case ChangeKind.DRAIN:
                host = self._find_host(change)
                self._drain(host)
                self._set_state(host, TargetState.DRAINING)
            case ChangeKind.DISAPPEAR:
                self._disappear(self._find_host(change))
            case ChangeKind.KILL_BALANCER:
                self.environment.fabric.kill_first_balancer()
            case ChangeKind.ADD_BALANCER:
                self._add_balancer()

    def _find_host(self, change: Change) -> Host:
        hosts = [
            host
            for host in self.hosts_by_id.values()
            if host.target.service == change.service
        ]
        return hosts[change.number]

    def _disappear(self, host: Host) -> None:
        host.back_end.is_dead = True
        self.environment.request_log.dead_targets.add(host.target.target_id)
        timers = self.environment.timers
        timers.call_after(
            SUSPECT_S, lambda: self._set_state(host, TargetState.SUSPECT)
        )
        timers.call_after(DEAD_S, lambda: self._remove(host))

    def _set_state(self, host: Host, state: TargetState) -> None:
        host.target = replace(host.target, state=state)
        self._publish()

    def _remove(self, host: Host) -> None:
        host.is_listed = False
        self._publish()

    def _publish(self) -> None:
        current = self.object_api.read(TARGETS_OBJECT).unwrap()
        infos = tuple(
            host.target for host in self.hosts_by_id.values() if host.is_listed
        )
        version = current.version if current else 0
        self.object_api.write(TARGETS_OBJECT, infos, version).unwrap()

    def _watch(self, apply: TargetsCallback) -> None:
        """Apply the current targets now and newer versions after a delay."""
        current = self.object_api.read(TARGETS_OBJECT).unwrap()
        applied = [current.version]
        apply(current.body)

        self.object_api.watch(partial(_apply_if_newer, applied, apply))

    def _start_measuring(self) -> None:
        for host in self.hosts_by_id.values():
            host.warm_up_work_s = host.back_end.work_done_s

    def _make_outcome(self) -> RunOutcome:
        span_s = self.setup.plan.end_s - self.setup.measure_from_s
        hosts = self.hosts_by_id.values()
        return RunOutcome(
            request_log=self.environment.request_log,
            work_by_target={
                host.target.target_id: host.back_end.work_done_s
                - host.warm_up_work_s
                for host in hosts
            },
            capacity_by_target={
                host.target.target_id: host.back_end.speed * SLOTS * span_s
                for host in hosts
            },
            service_by_target={
                host.target.target_id: host.target.service for host in hosts
            },
        )


def _apply_if_newer(
    applied: list[int], apply: TargetsCallback, name: str, stored: StoredObject
) -> None:
    if stored.version > applied[0]:
        applied[0] = stored.version
        apply(stored.body)

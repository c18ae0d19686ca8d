"""The experiments of `make bench` and their bounds.

Bounds come from the targets of the design page, section 1, and are
never taken from measured figures.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from .fakes import RequestOutcome
from .measures import (
    measure_fair_share_gap,
    measure_imbalance,
    measure_in_time_gap,
    measure_in_time_share,
    measure_recovery_s,
    measure_refusal_s,
    measure_short_tail_s,
    select_sent_between,
    sum_goodput_s,
)
from .scenarios import ScenarioSpec
from .simulation import Change, ChangeKind, RunOutcome, RunSetup
from .systems import NaiveSimulation, OursSimulation
from .workload import LoadPhase, LoadPlan

SEED = 1
CREST_LOAD = 3.0
CREST_START_S = 10.0
CREST_END_S = 20.0
CREST_RUN_S = 30.0
NORMAL_LOAD = 0.6
HIGH_LOAD = 0.7
# From 0.41 on, the naive balancer overloads the slowest targets even
# without long work, so that its ratio would not measure blocking.
BLOCKING_LOAD = 0.4
WARM_UP_S = 15.0
STEADY_RUN_S = 45.0
CHANGES_RUN_S = 40.0
RECOVERY_LIMIT_S = 2.0
# Service has recovered when at least this share of requests is in time.
RECOVERED_SHARE = 0.99
GOODPUT_BOUND = 0.9
BLOCKING_BOUND = 1.5


@unique
class Better(Enum):
    """Whether lower or higher figures are better."""

    LOWER = 'lower'
    HIGHER = 'higher'


@dataclass(slots=True, frozen=True)
class Measure:
    """A measured quantity; `bound` is None if no target is set."""

    name: str
    unit: str
    better: Better
    bound: float | None


@dataclass(slots=True, frozen=True)
class Row:
    """The figures of both systems for a measure, on the same inputs."""

    measure: Measure
    scenario: str
    naive: float
    ours: float
    seed: int

    @property
    def ratio(self) -> float | None:
        """Naive over ours; None if ours is 0."""
        return round(self.naive / self.ours, _DIGITS) if self.ours else None

    @property
    def is_met(self) -> bool:
        """Whether ours meets the bound."""
        if self.measure.bound is None:
            return True
        if self.measure.better == Better.LOWER:
            return self.ours <= self.measure.bound
        return self.ours >= self.measure.bound


_DIGITS = 4
_CREST_WORK_BOUND = (CREST_END_S - CREST_START_S) * GOODPUT_BOUND
_NORMAL_WORK = NORMAL_LOAD * (CREST_START_S + CREST_RUN_S - CREST_END_S)
_CREST_WORK = CREST_LOAD * (CREST_END_S - CREST_START_S)
# Share of the requests of a demand swing that are in time if 90% of the
# capacity is used at the crest, and if all requests before and after it
# are in time except those sent during the recovery.
QUALITY_BOUND = (
    _NORMAL_WORK - NORMAL_LOAD * RECOVERY_LIMIT_S + _CREST_WORK_BOUND
) / (_NORMAL_WORK + _CREST_WORK)

BROKEN_FLOWS = Measure('broken_flows', 'share', Better.LOWER, 0.0)
IMBALANCE = Measure('imbalance', 'variation', Better.LOWER, 0.1)
CUSTOMER_GAP = Measure('imbalance_customers', 'gap', Better.LOWER, 0.1)
CREST_QUALITY = Measure(
    'crest_quality', 'share', Better.HIGHER, round(QUALITY_BOUND, _DIGITS)
)
CREST_GOODPUT = Measure(
    'crest_goodput', 'of capacity', Better.HIGHER, GOODPUT_BOUND
)
CREST_RECOVERY = Measure('crest_recovery', 's', Better.LOWER, RECOVERY_LIMIT_S)
# The design page sets no bound for these two.
CREST_CUSTOMERS = Measure('crest_customers', 'gap', Better.LOWER, None)
CREST_REFUSAL = Measure('crest_refusal', 's', Better.LOWER, None)
HEAD_OF_LINE = Measure('head_of_line', 'ratio', Better.LOWER, BLOCKING_BOUND)

STEADY = LoadPlan((LoadPhase(STEADY_RUN_S, HIGH_LOAD),))
WITH_LONG = LoadPlan((LoadPhase(STEADY_RUN_S, BLOCKING_LOAD),))
WITHOUT_LONG = LoadPlan(WITH_LONG.phases, with_long_work=False)
UNDER_CHANGES = LoadPlan((LoadPhase(CHANGES_RUN_S, NORMAL_LOAD),))
# All kinds of changes to both services, one every few seconds.
CHANGE_INTERVAL_S = 3.0
CHANGES = tuple(
    Change((step + 1) * CHANGE_INTERVAL_S, kind, service, number)
    for step, (kind, service, number) in enumerate(
        (
            (ChangeKind.JOIN, 1, 2),
            (ChangeKind.DRAIN, 1, 0),
            (ChangeKind.JOIN, 2, 2),
            (ChangeKind.KILL_BALANCER, 1, 0),
            (ChangeKind.DRAIN, 1, 5),
            (ChangeKind.ADD_BALANCER, 1, 0),
            (ChangeKind.JOIN, 1, 4),
            (ChangeKind.DISAPPEAR, 1, 1),
            (ChangeKind.DRAIN, 2, 0),
            (ChangeKind.JOIN, 1, 1),
        )
    )
)


@dataclass(slots=True, frozen=True)
class RunPair:
    """Outcomes of both systems on the same inputs."""

    naive: RunOutcome
    ours: RunOutcome


class Comparison:
    """Runs both systems on the inputs of one scenario and seed."""

    def __init__(self, scenario: ScenarioSpec, seed: int) -> None:
        self._scenario = scenario
        self._seed = seed

    def compare_broken_flows(self) -> list[Row]:
        """Compare broken flows while targets and balancers change."""
        pair = self._run(UNDER_CHANGES, CHANGES)
        row = self._make_row(
            BROKEN_FLOWS,
            pair.naive.request_log.broken_share,
            pair.ours.request_log.broken_share,
        )
        return [row]

    def compare_imbalance(self) -> list[Row]:
        """Compare imbalance on targets of different speed, after warm-up."""
        pair = self._run(STEADY)
        naive = select_sent_between(
            pair.naive.request_log.outcomes, WARM_UP_S, STEADY_RUN_S
        )
        ours = select_sent_between(
            pair.ours.request_log.outcomes, WARM_UP_S, STEADY_RUN_S
        )
        return [
            self._make_row(
                IMBALANCE,
                measure_imbalance(pair.naive),
                measure_imbalance(pair.ours),
            ),
            self._make_row(
                CUSTOMER_GAP,
                measure_in_time_gap(naive),
                measure_in_time_gap(ours),
            ),
        ]

    def compare_head_of_line(self) -> list[Row]:
        """Compare the tail of short work with and without long work."""
        mixed = self._run(WITH_LONG)
        alone = self._run(WITHOUT_LONG)
        row = self._make_row(
            HEAD_OF_LINE,
            self._measure_blocking(mixed.naive, alone.naive),
            self._measure_blocking(mixed.ours, alone.ours),
        )
        return [row]

    def compare_crest(self) -> list[Row]:
        """Compare the service when load is 3 times the capacity for 10 s."""
        pair = self._run(make_crest())
        naive = pair.naive.request_log.outcomes
        ours = pair.ours.request_log.outcomes
        measures = (
            (CREST_QUALITY, measure_in_time_share),
            (CREST_GOODPUT, self._measure_goodput),
            (CREST_RECOVERY, _measure_recovery_s),
            (CREST_REFUSAL, measure_refusal_s),
        )
        return [
            self._make_row(measure, compute(naive), compute(ours))
            for measure, compute in measures
        ]

    def compare_customers(self) -> list[Row]:
        """Compare fairness between customers at the crest.

        One customer sends as much as all others together.
        """
        others = len(self._scenario.customers) - 1
        weights = (float(others), *(1.0 for _ in range(others)))
        pair = self._run(make_crest(weights))
        naive = select_sent_between(
            pair.naive.request_log.outcomes, CREST_START_S, CREST_END_S
        )
        ours = select_sent_between(
            pair.ours.request_log.outcomes, CREST_START_S, CREST_END_S
        )
        row = self._make_row(
            CREST_CUSTOMERS,
            measure_fair_share_gap(naive),
            measure_fair_share_gap(ours),
        )
        return [row]

    def _run(self, plan: LoadPlan, changes: tuple[Change, ...] = ()) -> RunPair:
        setup = RunSetup(self._scenario, plan, self._seed, changes, WARM_UP_S)
        return RunPair(
            NaiveSimulation(setup).run(), OursSimulation(setup).run()
        )

    def _make_row(self, measure: Measure, naive: float, ours: float) -> Row:
        return Row(
            measure,
            self._scenario.name,
            round(naive, _DIGITS),
            round(ours, _DIGITS),
            self._seed,
        )

    def _measure_blocking(self, mixed: RunOutcome, alone: RunOutcome) -> float:
        """Return the ratio of the service with the most blocking."""
        return max(
            measure_short_tail_s(
                mixed.request_log.outcomes, WARM_UP_S, service.service
            )
            / measure_short_tail_s(
                alone.request_log.outcomes, WARM_UP_S, service.service
            )
            for service in self._scenario.services
        )

    def _measure_goodput(self, outcomes: list[RequestOutcome]) -> float:
        capacity = sum(one.capacity for one in self._scenario.services)
        span_s = CREST_END_S - CREST_START_S
        done_s = sum_goodput_s(outcomes, CREST_START_S, CREST_END_S)
        return done_s / (capacity * span_s)


COMPARISONS: tuple[Callable[[Comparison], list[Row]], ...] = (
    Comparison.compare_broken_flows,
    Comparison.compare_imbalance,
    Comparison.compare_head_of_line,
    Comparison.compare_crest,
    Comparison.compare_customers,
)


def make_crest(customer_weights: tuple[float, ...] = ()) -> LoadPlan:
    """Return the load of a demand swing: normal, crest, normal."""
    return LoadPlan(
        phases=(
            LoadPhase(CREST_START_S, NORMAL_LOAD),
            LoadPhase(CREST_END_S, CREST_LOAD),
            LoadPhase(CREST_RUN_S, NORMAL_LOAD),
        ),
        customer_weights=customer_weights,
        single_requests=True,
    )


def _measure_recovery_s(outcomes: list[RequestOutcome]) -> float:
    return measure_recovery_s(outcomes, CREST_END_S, RECOVERED_SHARE)

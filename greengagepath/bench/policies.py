"""Compares the shipped policy for choosing targets with alternatives.

Run as `python -m greengagepath.bench.policies`; prints the table of
docs/routing.md. All policies get the same inputs.
"""

import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from multiprocessing import get_context

from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

from ..generated.messages import SizeClass
from ..routing.choice import (
    Choice,
    NoTarget,
    NoTargetReason,
    ProbeReply,
    TargetChooser,
)
from ..routing.targets import TargetInfo
from .experiments import STEADY, WARM_UP_S
from .measures import measure_imbalance, measure_short_tail_s
from .scenarios import SCENARIOS
from .simulation import RunSetup
from .systems import OursSimulation

SEEDS = (1, 2, 3)
PROCESSES = 4
# Load reports arrive late, and targets whose id has this suffix report
# no load.
REPORT_LAG_S = 1.0
MISLEADING_SUFFIX = '6'
_MS_PER_S = 1000.0


class HashChooser(TargetChooser):
    """Weighted hash alone."""

    def choose(
        self, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the first candidate."""
        pool = self._list_eligible(flow_id)
        if not pool:
            return Err(NoTarget(self.service, NoTargetReason.NONE_ALIVE))
        return Ok(Choice(pool[0], tuple(pool[1:])))


class TwoByProbesChooser(TargetChooser):
    """The better of two random candidates by their last probe."""

    def choose(
        self, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the one with fewer requests, then with less latency."""
        pool = self._list_eligible(flow_id)
        if not pool:
            return Err(NoTarget(self.service, NoTargetReason.NONE_ALIVE))
        self._add_probe_credit()
        pair = self._random.sample(pool, min(len(pool), 2))
        pair.sort(key=self._get_load_key)
        return Ok(Choice(pair[0], tuple(pair[1:])))

    def _get_load_key(self, target: TargetInfo) -> tuple[float, float]:
        load = self._loads_by_target_id[target.target_id]
        return load.reported_requests, load.latency_s


class TwoByReportsChooser(TwoByProbesChooser):
    """The better of two random candidates by their own load reports."""

    def record_probe(self, reply: ProbeReply) -> None:
        """Record a report after the lag; misleading ones show no load."""
        if reply.target_id.endswith(MISLEADING_SUFFIX):
            reply = replace(reply, in_flight=0, queued=0)
        record_late = partial(super().record_probe, reply)
        self._timers.call_after(REPORT_LAG_S, record_late)


POLICIES: tuple[type[TargetChooser], ...] = (
    HashChooser,
    TwoByReportsChooser,
    TwoByProbesChooser,
    TargetChooser,
)


@dataclass(slots=True, frozen=True)
class PolicyFigures:
    """Figures of one run; the tail is of the slower service, in s."""

    imbalance: float
    short_tail_s: float


def measure_policy(policy: int, scenario: int, seed: int) -> PolicyFigures:
    """Run a policy; arguments are indexes into both tuples and a seed."""
    spec = SCENARIOS[scenario]
    setup = RunSetup(
        spec, STEADY, seed, (), WARM_UP_S, make_chooser=POLICIES[policy]
    )
    run = OursSimulation(setup).run()
    tails = [
        measure_short_tail_s(run.request_log.outcomes, WARM_UP_S, one.service)
        for one in spec.services
    ]
    return PolicyFigures(measure_imbalance(run), max(tails))


def main() -> None:
    """Print mean and worst figures over the seeds."""
    table = Table('policy', 'scenario', 'imbalance', 'worst', 'p99 ms', 'worst')
    with ProcessPoolExecutor(PROCESSES, get_context('spawn')) as pool:
        for scenario, spec in enumerate(SCENARIOS):
            for policy, kind in enumerate(POLICIES):
                measure = partial(measure_policy, policy, scenario)
                figures = list(pool.map(measure, SEEDS))
                table.add_row(kind.__name__, spec.name, *_summarize(figures))
    Console().print(table)


def _summarize(figures: list[PolicyFigures]) -> list[str]:
    imbalances = [one.imbalance for one in figures]
    tails_ms = [one.short_tail_s * _MS_PER_S for one in figures]
    return [
        f'{statistics.fmean(imbalances):.3f}',
        f'{max(imbalances):.3f}',
        f'{statistics.fmean(tails_ms):.0f}',
        f'{max(tails_ms):.0f}',
    ]


if __name__ == '__main__':
    main()

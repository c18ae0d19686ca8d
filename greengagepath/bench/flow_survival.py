"""Share of broken flows with several ways to look up their owner.

Run as `python -m greengagepath.bench.flow_survival`. Packets of long
flows reach any balancer while targets drain and join and balancers die
and join. Figures are identical on every run with the same seed.
"""

import random
from dataclasses import dataclass, field

from rich.console import Console
from rich.table import Table

from ..routing.candidates import CandidateTable
from ..routing.targets import TargetInfo, TargetState

SEEDS = (1, 2, 3)
FLOWS = 5000
STEPS = 600
TARGETS = 7
BALANCERS = 3
CHANGE_INTERVAL_STEPS = 10
BALANCER_CHANGE_INTERVAL_STEPS = 100
# A balancer receives a change up to this many steps late.
MAX_LAG_STEPS = 3
LONG_HISTORY = 16
_FLOW_ID_BITS = 64


@dataclass(slots=True)
class OwnerLookup:
    """A way to find the owner of an established flow.

    `remembers_flows` keeps a table at each balancer; `generations` is
    the number of former owner sets that agents keep to forward packets;
    `has_token` lets each packet carry its owner.
    """

    name: str
    remembers_flows: bool = False
    generations: int = 0
    has_token: bool = False


LOOKUPS = (
    OwnerLookup('hash alone'),
    OwnerLookup('hash and flow table', remembers_flows=True),
    OwnerLookup('hash and 4 former owner sets', generations=4),
    OwnerLookup('hash and 16 former owner sets', generations=LONG_HISTORY),
    OwnerLookup('flow token', has_token=True),
)


@dataclass(slots=True)
class _Balancer:
    """A balancer that gets the newest target set in `lag` steps."""

    lag: int = 0
    owners_by_flow: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Flow:
    flow_id: int
    first_step: int
    end_step: int
    owner: str = ''
    broken: bool = False


class SurvivalExperiment:
    """One run of the experiment with one lookup and seed."""

    def __init__(self, lookup: OwnerLookup, seed: int) -> None:
        self._lookup = lookup
        self._random = random.Random(seed)
        self._numbers = list(range(TARGETS))
        self._next_number = TARGETS
        self._tables = [self._build_table()]
        self._balancers = [_Balancer() for _ in range(BALANCERS)]
        self._flows = [self._make_flow() for _ in range(FLOWS)]

    def run(self) -> float:
        """Return the share of broken flows."""
        for step in range(STEPS):
            if step and step % CHANGE_INTERVAL_STEPS == 0:
                self._change_targets()
            if step and step % BALANCER_CHANGE_INTERVAL_STEPS == 0:
                # One balancer dies and an empty one joins.
                self._balancers.pop(0)
                self._balancers.append(_Balancer())
            for balancer in self._balancers:
                balancer.lag = max(balancer.lag - 1, 0)
            self._send_packets(step)
        return sum(flow.broken for flow in self._flows) / FLOWS

    def _make_flow(self) -> _Flow:
        first = self._random.randrange(STEPS)
        length = int(self._random.paretovariate(1) * 2)
        return _Flow(
            self._random.getrandbits(_FLOW_ID_BITS), first, first + length
        )

    def _build_table(self) -> CandidateTable:
        return CandidateTable.build(
            TargetInfo(
                target_id=f'vm-{number}',
                service=1,
                address=('127.0.0.1', 1),
                weight=1.0,
                state=TargetState.ALIVE,
                incarnation=1,
                availability_zone='a',
                region='r',
            )
            for number in self._numbers
        )

    def _change_targets(self) -> None:
        """Drain one target, which still serves its flows, and add one."""
        self._numbers.pop(self._random.randrange(TARGETS))
        self._numbers.append(self._next_number)
        self._next_number += 1
        self._tables.append(self._build_table())
        for balancer in self._balancers:
            balancer.lag = self._random.randint(0, MAX_LAG_STEPS)

    def _send_packets(self, step: int) -> None:
        for flow in self._flows:
            if flow.first_step <= step < flow.end_step and not flow.broken:
                self._send(flow, self._random.choice(self._balancers))

    def _send(self, flow: _Flow, balancer: _Balancer) -> None:
        reached = self._route(flow, balancer)
        if not flow.owner:
            flow.owner = reached
        flow.broken = reached != flow.owner
        if self._lookup.remembers_flows:
            balancer.owners_by_flow[flow.flow_id] = reached

    def _route(self, flow: _Flow, balancer: _Balancer) -> str:
        if self._lookup.has_token and flow.owner:
            return flow.owner
        remembered_owner = balancer.owners_by_flow.get(flow.flow_id)
        if remembered_owner is not None:
            return remembered_owner
        newest = len(self._tables) - 1
        current = newest if balancer.lag == 0 else max(newest - 1, 0)
        reached = self._hash_owner(flow, current)
        # Agents forward the packet along the former owner sets they keep.
        oldest = max(newest - self._lookup.generations, 0)
        former = (
            self._hash_owner(flow, generation)
            for generation in range(oldest, newest)
        )
        return flow.owner if flow.owner in former else reached

    def _hash_owner(self, flow: _Flow, generation: int) -> str:
        owners = self._tables[generation].candidates(flow.flow_id, 1)
        return owners[0].target_id


def measure_survival() -> dict[str, list[float]]:
    """Return the share of broken flows for each seed, by lookup."""
    return {
        lookup.name: [SurvivalExperiment(lookup, seed).run() for seed in SEEDS]
        for lookup in LOOKUPS
    }


def main() -> None:
    """Print the shares of broken flows."""
    table = Table('way', *(f'seed {seed}' for seed in SEEDS))
    for name, shares in measure_survival().items():
        table.add_row(name, *(f'{share:.4f}' for share in shares))
    Console().print(table)


if __name__ == '__main__':
    main()

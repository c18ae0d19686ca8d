"""Figures of the candidate table and its alternatives.

Run as `python -m greengagepath.bench.hash_figures`; prints the rows of
the table in docs/routing.md. Movement and evenness are identical on
every run, times are wall-clock figures of the machine.
"""

import statistics
import time
from collections import Counter
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from ..routing.alternatives import ALTERNATIVES, OwnerTable
from ..routing.targets import TargetInfo, TargetState

FLOWS = 20000
SET_SIZES = (7, 50, 300)
BUILDS = 3
WEIGHTS = (1.0, 2.0, 3.0, 4.0)
_US_PER_S = 1000000.0
_FLOW_ID_MULTIPLIER = 0x9E3779B97F4A7C15
_FLOW_ID_BITS = 64
_FLOW_ID_MASK = (1 << _FLOW_ID_BITS) - 1


@dataclass(slots=True, frozen=True)
class HashFigures:
    """Figures of one kind of table for one size of the set.

    Movement is the share of flows that change their owner although
    that owner is in both sets. `unevenness` is the coefficient of
    variation of the flows per weight across targets.
    """

    name: str
    targets: int
    moved_by_removal: float
    moved_by_join: float
    unevenness: float
    lookup_us: float
    build_us: float


def measure_table(kind: type[OwnerTable], count: int) -> HashFigures:
    """Measure one kind of table with `count` targets."""
    targets = _make_targets(count + 1)
    table = kind(targets[:-1])
    removed = targets[count // 2]
    owners = _list_owners(table)
    without = _list_owners(kind(one for one in table.targets if one != removed))
    joined = _list_owners(kind(targets))
    return HashFigures(
        name=kind.__name__,
        targets=count,
        moved_by_removal=_count_moved(owners, without, removed),
        moved_by_join=_count_moved(joined, owners, targets[-1]),
        unevenness=_measure_unevenness(owners, table.targets),
        lookup_us=_time_lookup_us(table),
        build_us=_time_build_us(kind, table.targets),
    )


def measure_all() -> list[HashFigures]:
    """Measure all alternatives at all set sizes."""
    return [
        measure_table(kind, count)
        for count in SET_SIZES
        for kind in ALTERNATIVES
    ]


def _make_targets(count: int) -> tuple[TargetInfo, ...]:
    return tuple(
        TargetInfo(
            target_id=f'vm-{number:04}',
            service=1,
            address=('127.0.0.1', number + 1),
            weight=WEIGHTS[number % len(WEIGHTS)],
            state=TargetState.ALIVE,
            incarnation=1,
            availability_zone='a',
            region='r',
        )
        for number in range(count)
    )


def _list_flow_ids() -> list[int]:
    return [
        number * _FLOW_ID_MULTIPLIER & _FLOW_ID_MASK for number in range(FLOWS)
    ]


def _list_owners(table: OwnerTable) -> list[str]:
    return [table.find_owner(flow_id).target_id for flow_id in _list_flow_ids()]


def _count_moved(
    larger: list[str], smaller: list[str], difference: TargetInfo
) -> float:
    """Return the share of flows moved between targets in both sets."""
    moved = sum(
        before not in {after, difference.target_id}
        for before, after in zip(larger, smaller, strict=True)
    )
    return moved / FLOWS


def _measure_unevenness(
    owners: list[str], targets: tuple[TargetInfo, ...]
) -> float:
    flows_by_owner = Counter(owners)
    shares = [
        flows_by_owner[target.target_id] / target.weight for target in targets
    ]
    return statistics.pstdev(shares) / statistics.fmean(shares)


def _time_lookup_us(table: OwnerTable) -> float:
    flow_ids = _list_flow_ids()
    started_s = time.perf_counter()
    for flow_id in flow_ids:
        table.find_owner(flow_id)
    return (time.perf_counter() - started_s) * _US_PER_S / FLOWS


def _time_build_us(
    kind: type[OwnerTable], targets: tuple[TargetInfo, ...]
) -> float:
    started_s = time.perf_counter()
    for _ in range(BUILDS):
        kind(targets)
    return (time.perf_counter() - started_s) * _US_PER_S / BUILDS


def main() -> None:
    """Print the figures as a table."""
    table = Table(
        'table', 'targets', 'removal', 'join', 'uneven', 'us', 'build us'
    )
    for row in measure_all():
        table.add_row(
            row.name,
            str(row.targets),
            f'{row.moved_by_removal:.4f}',
            f'{row.moved_by_join:.4f}',
            f'{row.unevenness:.3f}',
            f'{row.lookup_us:.1f}',
            f'{row.build_us:.0f}',
        )
    Console().print(table)


if __name__ == '__main__':
    main()

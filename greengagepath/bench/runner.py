"""`make bench`: runs the experiments and writes what they measured."""

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from functools import partial
from multiprocessing import get_context
from pathlib import Path

from rich.console import Console
from rich.table import Table

from ..foundation.exit_codes import ExitCode
from .experiments import COMPARISONS, SEED, Comparison, Row
from .plots import write_plots
from .scenarios import SCENARIOS
from .wall_clock import (
    BODY_BYTES,
    measure_cache,
    measure_packets,
    measure_tags,
)

REPORT_NAME = 'bench.json'
# Experiments that run at a time, each in a process of its own. Figures
# are in virtual time and do not depend on it; more processes would only
# load the machine.
PROCESSES = 4
# Targets of the design page for the data path and for an open flow.
PACKET_BOUND = 2.0
FLOW_BYTES_BOUND = 256.0
_DIGITS = 4


@dataclass(slots=True, frozen=True)
class WallClockFigure:
    """A figure of this machine, which differs from run to run.

    Without a bound it is for information only.
    """

    measure: str
    figure: float
    bound: float | None
    unit: str

    @property
    def is_met(self) -> bool:
        """Whether the figure meets its bound."""
        return self.bound is None or self.figure <= self.bound


@dataclass(slots=True, frozen=True)
class BenchReport:
    """Rows in virtual time and, kept apart, wall-clock figures."""

    rows: list[Row]
    wall_clock: list[WallClockFigure]

    @property
    def missed(self) -> list[str]:
        """Names of the rows that miss their bound."""
        missed = [
            f'{row.measure.name} {row.scenario}'
            for row in self.rows
            if not row.is_met
        ]
        missed.extend(
            figure.measure for figure in self.wall_clock if not figure.is_met
        )
        return missed


def run_benchmark(output_dir: Path, seed: int = SEED) -> ExitCode:
    """Run everything; FAILURE if a bound is missed."""
    output_dir.mkdir(parents=True, exist_ok=True)
    # One after the other, so that the experiments do not slow down the
    # wall-clock measurements.
    report = BenchReport(run_rows(seed), measure_wall_clock())
    write_report(report, output_dir)
    write_plots(report.rows, output_dir)
    console = Console()
    console.print(make_table(report.rows))
    console.print(make_wall_clock_table(report.wall_clock))
    for name in report.missed:
        console.print(f'missed bound: {name}')
    return ExitCode.FAILURE if report.missed else ExitCode.OK


def run_rows(seed: int) -> list[Row]:
    """Run the experiments of all scenarios in a few processes."""
    jobs = [
        partial(run_comparison, scenario, comparison, seed)
        for scenario in range(len(SCENARIOS))
        for comparison in range(len(COMPARISONS))
    ]
    with ProcessPoolExecutor(PROCESSES, get_context('spawn')) as pool:
        pending = [pool.submit(job) for job in jobs]
        return [row for future in pending for row in future.result()]


def write_report(report: BenchReport, output_dir: Path) -> Path:
    """Write `bench.json`; return its path."""
    path = output_dir / REPORT_NAME
    document = {
        'rows': [row_to_json(row) for row in report.rows],
        'wall_clock': [asdict(figure) for figure in report.wall_clock],
        'missed': report.missed,
    }
    path.write_text(f'{json.dumps(document, indent=2)}\n')
    return path


def row_to_json(row: Row) -> dict[str, object]:
    """Return the row with the fields that the design page lists."""
    return {
        'measure': row.measure.name,
        'scenario': row.scenario,
        'naive': row.naive,
        'ours': row.ours,
        'ratio': row.ratio,
        'bound': row.measure.bound,
        'unit': row.measure.unit,
        'seed': row.seed,
    }


def make_table(rows: list[Row]) -> Table:
    """Return the rows as a terminal table."""
    table = Table('measure', 'scenario', 'naive', 'ours', 'bound', 'met')
    for row in rows:
        bound = row.measure.bound
        table.add_row(
            row.measure.name,
            row.scenario,
            f'{row.naive:.4f}',
            f'{row.ours:.4f}',
            '' if bound is None else f'{bound} ({row.measure.better.value})',
            'yes' if row.is_met else 'NO',
        )
    return table


def run_comparison(scenario: int, comparison: int, seed: int) -> list[Row]:
    """Run one comparison; arguments are indexes into both tuples."""
    return COMPARISONS[comparison](Comparison(SCENARIOS[scenario], seed))


def measure_wall_clock() -> list[WallClockFigure]:
    """Measure the data path and the memory of an open flow."""
    figures = [
        WallClockFigure(
            f'packet_cost_{body_bytes}_B',
            round(measure_packets(body_bytes).ratio, _DIGITS),
            PACKET_BOUND,
            'of the bare loop',
        )
        for body_bytes in BODY_BYTES
    ]
    flow = WallClockFigure(
        'open_flow_memory',
        round(measure_cache().bytes_per_entry, _DIGITS),
        FLOW_BYTES_BOUND,
        'B',
    )
    tags = [
        WallClockFigure(
            f'tag_cost_{body_bytes}_B',
            round(measure_tags(body_bytes).envelope_tag_us, _DIGITS),
            None,
            'us',
        )
        for body_bytes in BODY_BYTES
    ]
    return [*figures, flow, *tags]


def make_wall_clock_table(figures: list[WallClockFigure]) -> Table:
    """Return the wall-clock figures as a terminal table."""
    table = Table('wall clock', 'figure', 'bound', 'unit', 'met')
    for figure in figures:
        table.add_row(
            figure.measure,
            f'{figure.figure:.4f}',
            '' if figure.bound is None else f'{figure.bound}',
            figure.unit,
            'yes' if figure.is_met else 'NO',
        )
    return table

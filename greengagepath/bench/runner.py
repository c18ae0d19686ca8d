"""`make bench`: runs the experiments and writes what they measured."""

import json
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from importlib import import_module, util
from multiprocessing import get_context
from pathlib import Path

from rich.console import Console
from rich.table import Table

from ..exit_codes import ExitCode
from .experiments import COMPARISONS, SEED, Comparison, Row
from .plots import write_plots
from .scenarios import SCENARIOS

REPORT_NAME = 'bench.json'
# Each experiment is one process; more of them would disturb nothing
# but the machine, since figures are in virtual time.
PROCESSES = 4
_WALL_CLOCK = 'greengagepath.bench.wall_clock'


@dataclass(slots=True, frozen=True)
class BenchReport:
    """Rows in virtual time, and wall-clock figures apart from them."""

    rows: list[Row]
    wall_clock: list[dict[str, object]]

    @property
    def missed(self) -> list[str]:
        """Names of the rows that miss their bound."""
        missed = [
            f'{row.measure.name} {row.scenario}'
            for row in self.rows
            if not row.is_met
        ]
        missed.extend(
            str(figure['measure'])
            for figure in self.wall_clock
            if not figure.get('is_met', True)
        )
        return missed


def run_benchmark(output_dir: Path) -> ExitCode:
    """Run everything; FAILURE if a bound is missed."""
    output_dir.mkdir(parents=True, exist_ok=True)
    report = BenchReport(run_rows(SEED), _measure_wall_clock())
    write_report(report, output_dir)
    write_plots(report.rows, output_dir)
    console = Console()
    console.print(make_table(report.rows))
    for figure in report.wall_clock:
        console.print(figure)
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
        'wall_clock': report.wall_clock,
        'missed': report.missed,
    }
    path.write_text(f'{json.dumps(document, indent=2)}\n')
    return path


def row_to_json(row: Row) -> dict[str, object]:
    """Return the row as the design page lists its fields."""
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
    """Run one comparison; arguments are places in the lists of both."""
    return COMPARISONS[comparison](Comparison(SCENARIOS[scenario], seed))


def _measure_wall_clock() -> list[dict[str, object]]:
    """Return the figures of the data path, where that part is built."""
    if util.find_spec(_WALL_CLOCK) is None:
        return []
    return import_module(_WALL_CLOCK).measure_wall_clock()

"""Service-level burn as terminal tables and as JSON."""

from collections.abc import Iterable
from dataclasses import dataclass

from rich.box import SIMPLE_HEAD
from rich.console import Group, RenderableType
from rich.table import Table

from ..reports.outcomes import MeasureRow
from ..reports.slo import WINDOW_SECONDS, BurnRow, BurnSeries

NOT_MEASURED = '-'
SECONDS_PER_MINUTE = 60
MEASURE_NAMES = (
    'broken_flows',
    'imbalance',
    'customer_gap',
    'crest_quality',
    'head_of_line',
)
# First column of the terminal table; those before it are the service and
# the objective.
FIRST_TERMINAL_COLUMN = 2
_WRAPPED_COLUMNS = ('customer', 'operation', *MEASURE_NAMES)
_RATE_COLUMNS = tuple(
    f'{seconds // SECONDS_PER_MINUTE}m' for seconds in WINDOW_SECONDS
)
BURN_COLUMNS = (
    'service',
    'objective',
    'customer',
    'operation',
    'good',
    *_RATE_COLUMNS,
    'left',
    'alerts',
)
MEASURE_COLUMNS = ('service', 'customer', 'requests', *MEASURE_NAMES)


@dataclass(slots=True, frozen=True)
class BurnReport:
    """Content of `report`.

    The windows end at `now_s`, in seconds since the epoch.
    """

    now_s: float
    burn: list[BurnRow]
    measures: list[MeasureRow]
    series: list[BurnSeries]


def list_burn_cells(row: BurnRow) -> list[str]:
    """Return the cells of a row, in the order of `BURN_COLUMNS`."""
    rates = [
        _format_measure(row.rates_by_window_s[seconds])
        for seconds in WINDOW_SECONDS
    ]
    return [
        row.service,
        f'{row.target_share:.4g} in {row.threshold_ms} ms',
        row.customer,
        row.operation,
        f'{row.good}/{row.total}',
        *rates,
        f'{row.budget_left:.0%}',
        ' '.join(row.alerts),
    ]


def list_measure_cells(row: MeasureRow) -> list[str]:
    """Return the cells of a row, in the order of `MEASURE_COLUMNS`."""
    measures = [_format_measure(getattr(row, name)) for name in MEASURE_NAMES]
    return [row.service, row.customer, str(row.requests), *measures]


def render_report(report: BurnReport) -> RenderableType:
    """Return up to two tables for each service, for the terminal."""
    parts: list[RenderableType] = []
    for name in sorted({row.service for row in report.burn}):
        rows = [row for row in report.burn if row.service == name]
        parts.append(_render_burn(name, rows))
    for name in sorted({row.service for row in report.measures}):
        measured = [row for row in report.measures if row.service == name]
        parts.append(_render_measures(name, measured))
    return Group(*parts) if parts else 'no requests with an objective'


def _render_burn(service: str, rows: Iterable[BurnRow]) -> Table:
    # To fit a terminal, the service is in the title, and the objective is
    # only in the HTML page and in JSON.
    columns = BURN_COLUMNS[FIRST_TERMINAL_COLUMN:]
    table = _make_table(f'{service}: burn rate by window', columns)
    for row in rows:
        cells = list_burn_cells(row)[FIRST_TERMINAL_COLUMN:]
        table.add_row(*cells, style='red' if row.alerts else None)
    return table


def _render_measures(service: str, rows: Iterable[MeasureRow]) -> Table:
    table = _make_table(f'{service}: measures', MEASURE_COLUMNS[1:])
    for row in rows:
        table.add_row(*list_measure_cells(row)[1:])
    return table


def _make_table(title: str, columns: Iterable[str]) -> Table:
    table = Table(
        title=title,
        title_justify='left',
        box=SIMPLE_HEAD,
        padding=(0, 1, 0, 0),
        pad_edge=False,
    )
    for column in columns:
        table.add_column(
            column.replace('_', ' '),
            overflow='fold',
            no_wrap=column not in _WRAPPED_COLUMNS,
        )
    return table


def _format_measure(number: float | None) -> str:
    return NOT_MEASURED if number is None else f'{number:.3g}'

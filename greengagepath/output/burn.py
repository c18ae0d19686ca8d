"""Service-level burn as terminal tables and as JSON."""

from collections.abc import Iterable
from dataclasses import dataclass

from rich.console import Group, RenderableType
from rich.table import Table

from ..outcomes import MeasureRow
from ..slo import WINDOW_SECONDS, BurnRow, BurnSeries

NOT_MEASURED = '-'
SECONDS_PER_MINUTE = 60
MEASURE_NAMES = (
    'broken_flows',
    'imbalance',
    'customer_gap',
    'crest_quality',
    'head_of_line',
)
_RATE_COLUMNS = tuple(
    f'burn {seconds // SECONDS_PER_MINUTE} min' for seconds in WINDOW_SECONDS
)
BURN_COLUMNS = (
    'service',
    'customer',
    'operation',
    'objective',
    'good',
    'total',
    *(
        f'burn {seconds // SECONDS_PER_MINUTE} min'
        for seconds in WINDOW_SECONDS
    ),
    'budget left',
    'alerts',
)
MEASURE_COLUMNS = ('service', 'customer', 'requests', *MEASURE_NAMES)


@dataclass(slots=True, frozen=True)
class BurnReport:
    """All that `report` shows; `now_s` is where the windows end."""

    now_s: float
    burn: list[BurnRow]
    measures: list[MeasureRow]
    series: list[BurnSeries]


def list_burn_cells(row: BurnRow) -> list[str]:
    """Return the cells of a row, in the order of `BURN_COLUMNS`."""
    rates = [
        _show(row.rates_by_window_s[seconds]) for seconds in WINDOW_SECONDS
    ]
    return [
        row.service,
        row.customer,
        row.operation,
        f'{row.target_share:.4g} in {row.threshold_ms} ms',
        str(row.good),
        str(row.total),
        *rates,
        f'{row.budget_left:.1%}',
        ', '.join(row.alerts),
    ]


def list_measure_cells(row: MeasureRow) -> list[str]:
    """Return the cells of a row, in the order of `MEASURE_COLUMNS`."""
    measures = [_show(getattr(row, name)) for name in MEASURE_NAMES]
    return [row.service, row.customer, str(row.requests), *measures]


def render_report(report: BurnReport) -> RenderableType:
    """Return the tables for the terminal."""
    burn = _make_table('service-level burn', BURN_COLUMNS)
    for row in report.burn:
        style = 'red' if row.alerts else None
        burn.add_row(*list_burn_cells(row), style=style)
    if not report.measures:
        return burn
    measures = _make_table('measures', MEASURE_COLUMNS)
    for measure in report.measures:
        measures.add_row(*list_measure_cells(measure))
    return Group(burn, measures)


def _make_table(title: str, columns: Iterable[str]) -> Table:
    table = Table(title=title)
    for column in columns:
        table.add_column(column)
    return table


def _show(number: float | None) -> str:
    return NOT_MEASURED if number is None else f'{number:.3g}'

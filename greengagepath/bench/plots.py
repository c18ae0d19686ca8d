"""One plot for each measure: naive and ours, by scenario."""

import itertools
from pathlib import Path

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from .experiments import Measure, Row

_SIZE_INCHES = (6.0, 4.0)
_BAR_WIDTH = 0.4
_LOG_SCALE_RATIO = 20.0


def write_plots(rows: list[Row], output_dir: Path) -> list[Path]:
    """Write one PNG for each measure; return the paths."""
    mpl.rcParams['svg.hashsalt'] = 'greengagepath'
    by_name = sorted(rows, key=_get_name)
    return [
        _write_plot(list(group), output_dir)
        for _, group in itertools.groupby(by_name, key=_get_name)
    ]


def _get_name(row: Row) -> str:
    return row.measure.name


def _write_plot(rows: list[Row], output_dir: Path) -> Path:
    measure = rows[0].measure
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    _draw_bars(axes, rows)
    _draw_bound(axes, measure)
    axes.set_title(measure.name)
    axes.set_ylabel(f'{measure.unit} ({measure.better.value} is better)')
    axes.legend()
    path = output_dir / f'{measure.name}.png'
    figure.savefig(path, metadata={'Software': None})
    return path


def _draw_bars(axes: Axes, rows: list[Row]) -> None:
    positions = range(len(rows))
    half = _BAR_WIDTH / 2
    naive = [row.naive for row in rows]
    ours = [row.ours for row in rows]
    axes.bar(
        [position - half for position in positions],
        naive,
        _BAR_WIDTH,
        label='naive',
    )
    axes.bar(
        [position + half for position in positions],
        ours,
        _BAR_WIDTH,
        label='ours',
    )
    axes.set_xticks(list(positions), [row.scenario for row in rows])
    if min(ours) > 0 and max(naive) > _LOG_SCALE_RATIO * min(ours):
        axes.set_yscale('log')


def _draw_bound(axes: Axes, measure: Measure) -> None:
    if measure.bound is not None:
        axes.axhline(measure.bound, linestyle='--', label='bound')

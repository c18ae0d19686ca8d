"""Plots of the report as SVG images; no display is needed."""

import base64
import io
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from ..reports.outcomes import MeasureRow
from ..reports.slo import ALL_CUSTOMERS, BURN_WINDOWS, BurnSeries

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 3.2


def draw_burn(series: list[BurnSeries]) -> str:
    """Return a plot of the burn rate over time, as a data URL."""
    figure, axes = _make_figure()
    for entry in series:
        times = [
            datetime.fromtimestamp(moment, UTC) for moment in entry.times_s
        ]
        rates = [float('nan') if rate is None else rate for rate in entry.rates]
        label = f'{entry.service} {entry.operation}'
        axes.plot(times, rates, marker='.', label=label)
    for window in BURN_WINDOWS:
        axes.axhline(window.factor, linestyle=':', color='grey')
    axes.set_ylabel('burn rate')
    axes.set_xlabel('time (UTC)')
    axes.legend(fontsize='small')
    figure.autofmt_xdate()
    return _encode(figure)


def draw_peak_quality(measures: list[MeasureRow]) -> str:
    """Return a bar chart of the quality at the peak by customer.

    The image is returned as a data URL.
    """
    figure, axes = _make_figure()
    shown = [row for row in measures if row.crest_quality is not None]
    names = [f'{row.service}\n{row.customer}' for row in shown]
    heights = [row.crest_quality or 0 for row in shown]
    colours = ['C0' if row.customer == ALL_CUSTOMERS else 'C1' for row in shown]
    axes.bar(names, heights, color=colours)
    axes.set_ylim(0, 1)
    axes.set_ylabel('good share in the busiest 10 s')
    axes.tick_params(axis='x', labelsize='x-small')
    return _encode(figure)


def _make_figure() -> tuple['Figure', 'Axes']:
    # Imported here, because the import takes most of a second and the
    # other commands do not need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout='constrained')
    return figure, figure.add_subplot()


def _encode(figure: 'Figure') -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format='svg')
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'data:image/svg+xml;base64,{encoded}'

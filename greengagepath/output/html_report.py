"""The report as one HTML page without external files."""

from collections.abc import Iterable
from datetime import UTC, datetime
from html import escape
from importlib import resources
from string import Template

from .burn import (
    BURN_COLUMNS,
    MEASURE_COLUMNS,
    BurnReport,
    list_burn_cells,
    list_measure_cells,
)
from .plots import draw_burn, draw_peak_quality

_PAGE = Template(
    resources.files(__package__).joinpath('report.html').read_text()
)


def render_html(report: BurnReport) -> str:
    """Return the HTML page; all texts from the input are escaped."""
    moment = datetime.fromtimestamp(report.now_s, UTC)
    parts = [
        _render_table(
            BURN_COLUMNS,
            ((list_burn_cells(row), bool(row.alerts)) for row in report.burn),
        )
    ]
    if report.series:
        parts.append(_render_image(draw_burn(report.series), 'burn rate'))
    if report.measures:
        parts.append('<h2>Measures</h2>')
        parts.append(
            _render_table(
                MEASURE_COLUMNS,
                ((list_measure_cells(row), False) for row in report.measures),
            )
        )
        parts.append(
            _render_image(
                draw_peak_quality(report.measures), 'quality at the peak'
            )
        )
    return _PAGE.substitute(
        moment=escape(moment.isoformat(timespec='seconds')),
        body='\n'.join(parts),
    )


def _render_table(
    columns: Iterable[str], rows: Iterable[tuple[list[str], bool]]
) -> str:
    lines = ['<table>', _render_row('th', columns, is_alert=False)]
    for cells, is_alert in rows:
        lines.append(_render_row('td', cells, is_alert=is_alert))
    lines.append('</table>')
    return '\n'.join(lines)


def _render_row(tag: str, cells: Iterable[str], *, is_alert: bool) -> str:
    row = ''.join(f'<{tag}>{escape(cell)}</{tag}>' for cell in cells)
    marker = ' class="alert"' if is_alert else ''
    return f'<tr{marker}>{row}</tr>'


def _render_image(source: str, caption: str) -> str:
    return f'<p><img src="{source}" alt="{escape(caption)}"></p>'

"""Terminal table of the answer to `route`."""

from rich.console import Group, RenderableType
from rich.table import Table

from ..generated.messages import RouteCandidate, RouteReply

# Rows of the table; `--json` has all targets.
MAX_ROWS = 40
_COLUMNS = (
    'target',
    'zone',
    'address',
    'state',
    'requests',
    'expected wait',
    'report age',
    'decision',
)


def render_route(reply: RouteReply, service: str) -> RenderableType:
    """Return the decision of a balancer and a table of the targets."""
    decision = f'a new request for {service} would go to {reply.target_id}'
    if not reply.target_id:
        decision = f'no target would get a new request for {service}'
    table = Table(title='targets, by preference')
    for column in _COLUMNS:
        table.add_column(column)
    for candidate in reply.candidates[:MAX_ROWS]:
        table.add_row(
            *_list_cells(candidate, reply),
            style='yellow' if candidate.left_out else None,
        )
    hidden = len(reply.candidates) - MAX_ROWS
    if hidden > 0:
        table.add_row(f'and {hidden} more, see --json')
    return Group(
        f'{decision}, according to {reply.member_id} in'
        f' {reply.availability_zone} with version'
        f' {reply.configuration_version}',
        table,
    )


def _list_cells(candidate: RouteCandidate, reply: RouteReply) -> list[str]:
    age = f'{candidate.report_age_ms:.0f} ms'
    if candidate.report_age_ms < 0:
        age = 'no report'
    return [
        candidate.target_id,
        candidate.availability_zone,
        candidate.address,
        candidate.state,
        f'{candidate.requests:.1f}',
        f'{candidate.wait_ms:.1f} ms',
        age,
        _name_decision(candidate, reply),
    ]


def _name_decision(candidate: RouteCandidate, reply: RouteReply) -> str:
    if candidate.left_out:
        return f'left out: {candidate.left_out}'
    if candidate.target_id == reply.target_id:
        return 'chosen'
    if candidate.target_id in reply.alternates:
        return 'alternate'
    return 'possible'

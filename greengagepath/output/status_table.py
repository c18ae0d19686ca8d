"""Terminal tables of the balancers, services and targets."""

from collections import Counter
from collections.abc import Iterable

from rich.console import Group, RenderableType
from rich.table import Table

from ..generated.messages import MemberKind, MemberRecord, StatusReply
from .drained_zones import DrainedZoneCount, count_drained_zones

# Rows of one table, so that it stays readable for a large fleet; `--json`
# has all records.
MAX_ROWS = 40
_ALIVE = 'alive'


def render_status(reply: StatusReply) -> RenderableType:
    """Return tables of balancers, services and targets not alive."""
    balancers = [
        entry for entry in reply.records if entry.kind == MemberKind.balancer
    ]
    targets = [
        entry for entry in reply.records if entry.kind == MemberKind.agent
    ]
    not_alive = [entry for entry in targets if entry.state != _ALIVE]
    version = reply.configuration_version
    parts: list[RenderableType] = [
        f'the balancer that answered has version {version} in force',
        _render_balancers(balancers, version),
        _render_services(targets),
    ]
    if reply.drained_zones:
        parts.append(_render_drained_zones(count_drained_zones(reply)))
    if not_alive:
        parts.append(_render_targets(not_alive))
    return Group(*parts)


def _render_balancers(balancers: Iterable[MemberRecord], version: int) -> Table:
    table = Table(title='balancers')
    for column in ('member', 'zone', 'control', 'state', 'version'):
        table.add_column(column)
    ordered = sorted(
        balancers,
        key=lambda entry: (
            entry.configuration_version >= version,
            entry.availability_zone,
            entry.member_id,
        ),
    )
    for entry in ordered[:MAX_ROWS]:
        is_behind = entry.configuration_version < version
        table.add_row(
            entry.member_id,
            entry.availability_zone,
            f'{entry.host}:{entry.control_port}',
            str(entry.state),
            str(entry.configuration_version),
            style='yellow' if is_behind or entry.state != _ALIVE else None,
        )
    _add_overflow_row(table, len(ordered))
    return table


def _render_services(targets: Iterable[MemberRecord]) -> Table:
    counts = Counter((entry.service_id, str(entry.state)) for entry in targets)
    states = sorted({state for _, state in counts})
    table = Table(title='targets by service')
    for column in ('service id', *states):
        table.add_column(column)
    for service_id in sorted({number for number, _ in counts}):
        cells = [str(counts[service_id, state]) for state in states]
        table.add_row(str(service_id), *cells)
    return table


def _render_drained_zones(rows: list[DrainedZoneCount]) -> Table:
    table = Table(title='drained zones')
    for column in ('zone', 'service id', 'targets', 'not yet draining'):
        table.add_column(column)
    for row in rows[:MAX_ROWS]:
        table.add_row(
            row.availability_zone,
            str(row.service_id),
            str(row.targets),
            str(row.not_draining),
            style='yellow' if row.not_draining else None,
        )
    _add_overflow_row(table, len(rows))
    return table


def _render_targets(targets: list[MemberRecord]) -> Table:
    table = Table(title='targets that are not alive')
    for column in ('target', 'zone', 'address', 'service id', 'state'):
        table.add_column(column)
    for entry in sorted(targets, key=_by_member)[:MAX_ROWS]:
        table.add_row(
            entry.member_id,
            entry.availability_zone,
            f'{entry.host}:{entry.data_port}',
            str(entry.service_id),
            str(entry.state),
        )
    _add_overflow_row(table, len(targets))
    return table


def _by_member(record: MemberRecord) -> str:
    return record.member_id


def _add_overflow_row(table: Table, count: int) -> None:
    if count > MAX_ROWS:
        table.add_row(f'and {count - MAX_ROWS} more, see --json')

"""Writes the measured tables of docs/CAPACITY.md."""

from pathlib import Path

from .capacity_points import (
    DESIGN_AGENTS,
    DESIGN_BALANCERS,
    Reading,
    SizePoint,
    fit_line,
    rate_at_design,
)
from .wire_cost import WireCost

PAGE = Path(__file__).resolve().parents[2] / 'docs' / 'CAPACITY.md'
CONTROL_PLANE = 'control plane'
DATA_PLANE = 'data plane'
ROLES = ('balancer', 'bridge', 'agent')
LIMIT_BYTES_PER_S = 18000
LIMIT_CORE_SHARE = 0.039
LIMIT_MEMORY_BYTES = 128_000_000
MS_PER_S = 1000
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000


def write_page(
    points: list[SizePoint], cost: WireCost, process_bytes: int
) -> None:
    """Rewrite the tables of the control plane.

    `process_bytes` is the memory of a process that holds no members.
    """
    lines = [
        *_measured_rows(points),
        '',
        *_fleet_rows(points),
        '',
        *_design_rows(points, cost, process_bytes),
    ]
    replace_section(CONTROL_PLANE, lines)


def replace_section(name: str, lines: list[str]) -> None:
    """Replace the text between the markers of a section.

    Raises ValueError unless the page has each marker once.
    """
    begin = f'<!-- measured {name}: begin -->'
    end = f'<!-- measured {name}: end -->'
    before, rest = PAGE.read_text().split(begin)
    _, after = rest.split(end)
    table = '\n'.join(lines)
    PAGE.write_text(f'{before}{begin}\n\n{table}\n\n{end}{after}')


def _measured_rows(points: list[SizePoint]) -> list[str]:
    rows = [
        'Means for one process, bytes sent and received together:',
        '',
        (
            '| role | balancers + agents | idle B/s | idle messages/s | '
            'idle decisions ms/s | one change, B | one replaced target, B |'
        ),
        '| --- | --- | --- | --- | --- | --- | --- |',
    ]
    for role in ROLES:
        for point in points:
            role_point = point.roles[role]
            rows.append(
                f'| {role} | {point.balancers} + {point.agents} '
                f'| {role_point.idle.total_bytes:,.0f} '
                f'| {role_point.idle.messages:.1f} '
                f'| {role_point.idle.busy_s * MS_PER_S:.2f} '
                f'| {role_point.change.total_bytes:,.0f} '
                f'| {role_point.restart.total_bytes:,.0f} |'
            )
    return rows


def _fleet_rows(points: list[SizePoint]) -> list[str]:
    rows = [
        (
            '| balancers + agents | calls to the object API, 1/s | '
            'configuration in force everywhere after | '
            'member table of one balancer |'
        ),
        '| --- | --- | --- | --- |',
    ]
    rows += [
        f'| {point.balancers} + {point.agents} | {point.calls_per_s:.1f} '
        f'| {point.in_force_s:.2f} s | {point.table_bytes:,} B |'
        for point in points
    ]
    return rows


def _design_rows(
    points: list[SizePoint], cost: WireCost, process_bytes: int
) -> list[str]:
    table = fit_line(points, lambda point: point.table_bytes)
    calls = fit_line(points, lambda point: point.calls_per_s)
    memory = process_bytes + table.at_design
    rows = [
        (
            f'At {DESIGN_BALANCERS} balancers and {DESIGN_AGENTS} agents, from '
            'the lines through these points and the rates of a day. A message '
            f'costs {cost.message_s * US_PER_S:.0f} us at each end: '
            f'{cost.frame_s * US_PER_S:.0f} us for the frame, '
            f'{cost.record_s * US_PER_S:.0f} us for a record, '
            f'{cost.socket_s * US_PER_S:.0f} us for websocket and kernel.'
        ),
        '',
        (
            '| role | control bytes/s (limit 18,000) | messages/s | '
            'share of a core (limit 3.9%) | within the limits |'
        ),
        '| --- | --- | --- | --- | --- |',
    ]
    rows += [_design_row(points, role, cost) for role in ROLES]
    return [
        *rows,
        '',
        (
            f'Memory of a balancer: {process_bytes / BYTES_PER_MB:.0f} MB for '
            'the process without members and '
            f'{table.at_design / BYTES_PER_MB:.1f} MB for its table, '
            f'{memory / BYTES_PER_MB:.0f} MB of 128 MB'
            f'{"" if memory <= LIMIT_MEMORY_BYTES else ": over the limit"}. '
            f'Calls to the object API: {calls.at_design:.1f} per second.'
        ),
    ]


def _design_row(points: list[SizePoint], role: str, cost: WireCost) -> str:
    bytes_per_s = rate_at_design(points, role, _total_bytes)
    messages_per_s = rate_at_design(points, role, _messages)
    share = rate_at_design(points, role, _busy_s)
    share += messages_per_s * cost.message_s
    is_within = bytes_per_s <= LIMIT_BYTES_PER_S and share <= LIMIT_CORE_SHARE
    return (
        f'| {role} | {bytes_per_s:,.0f} | {messages_per_s:.1f} '
        f'| {share:.2%} | {"yes" if is_within else "no"} |'
    )


def _total_bytes(reading: Reading) -> float:
    return reading.total_bytes


def _messages(reading: Reading) -> float:
    return reading.messages


def _busy_s(reading: Reading) -> float:
    return reading.busy_s

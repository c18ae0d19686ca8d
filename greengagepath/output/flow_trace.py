"""The way of one flow, joined from the logs of many processes."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# A line may start with the seconds and the name of its VM, as a bench
# or a log collector prints them.
_LINE = re.compile(r'^\s*(?:(-?\d+\.\d+)\s+(\S+)\s+)?(\{.*\})\s*$')
# Order of the events of one copy of a packet. The time of day may jump,
# so it decides only between lines of the same step.
_STEPS = (
    'flow.routed',
    'flow.refused',
    'flow.offered',
    'target.unanswered',
    'flow.answered',
)
_ORIGIN = frozenset(('time', 'level', 'event', 'role', 'member_id', 'flow'))


@dataclass(slots=True, frozen=True)
class TraceLine:
    """One decision that touched the flow.

    `clock_s` is the collector's time in seconds, None without one.
    """

    clock_s: float | None
    flow: str
    event: str
    member_id: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return the line for a terminal."""
        pairs = ' '.join(f'{name}={got}' for name, got in self.fields.items())
        clock = '' if self.clock_s is None else f'{self.clock_s:10.4f} s  '
        return f'{clock}{self.member_id}  {self.event}  {pairs}'


def collect_trace(wanted: str, lines: Iterable[str]) -> list[TraceLine]:
    """Return what the lines say of flows that contain `wanted`, in order.

    `wanted` is a flow as logs write it, or a part such as the caller's
    address and port. Lines that are no log lines are passed over.
    """
    found = [
        line
        for line in map(_parse, lines)
        if line is not None and wanted in line.flow
    ]
    if all(line.clock_s is not None for line in found):
        return sorted(found, key=_clock)
    return sorted(found, key=_step)


def find_verdict(trace: list[TraceLine]) -> str:
    """Return in one sentence what became of the flow."""
    by_event = {line.event: line for line in trace}
    answered = by_event.get('flow.answered')
    refused = by_event.get('flow.refused')
    offered = by_event.get('flow.offered')
    if answered is not None:
        return _describe_answer(answered)
    if refused is not None:
        reason = refused.fields.get('reason', 'unknown')
        return f'refused by {refused.member_id}: {reason}; it has not run'
    if offered is not None:
        return (
            f'offered to {offered.fields.get("target_id")} by'
            f' {offered.member_id}; no answer was logged'
        )
    return 'routed, but no agent logged it'


def _describe_answer(answered: TraceLine) -> str:
    duration_s = answered.fields.get('duration_s')
    target = answered.fields.get('target_id')
    return f'answered by {target} {duration_s} s after its request'


def _parse(line: str) -> TraceLine | None:
    matched = _LINE.match(line)
    if matched is None:
        return None
    try:
        record = json.loads(matched.group(3))
    except ValueError:
        return None
    flow = record.get('flow')
    if not isinstance(flow, str):
        return None
    clock = matched.group(1)
    return TraceLine(
        None if clock is None else float(clock),
        flow,
        str(record.get('event', '')),
        str(record.get('member_id', '')),
        {name: got for name, got in record.items() if name not in _ORIGIN},
    )


def _clock(line: TraceLine) -> float:
    return line.clock_s or 0.0


def _step(line: TraceLine) -> tuple[int, int, int]:
    step = _STEPS.index(line.event) if line.event in _STEPS else len(_STEPS)
    copy = line.fields.get('copy', 0)
    hops = line.fields.get('hops', 0)
    return (int(copy or 0), step, int(hops or 0))

"""Trace of one flow, collected from the logs of many processes."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# A bench or a log collector may put a time in seconds and the name of the
# VM before the JSON object.
_LINE = re.compile(r'^\s*(?:(-?\d+\.\d+)\s+(\S+)\s+)?(\{.*\})\s*$')
# Order of the events of one copy of a packet. Clocks of VMs may jump, so
# lines are sorted by these steps unless all have a collector's time.
_STEPS = (
    'flow.routed',
    'flow.waiting',
    'flow.refused',
    'flow.offered',
    'target.unanswered',
    'flow.answered_late',
    'flow.tried',
    'flow.reset_by_target',
    'flow.searched',
    'flow.denied',
    'flow.denied_by_all',
    'flow.loss_withdrawn',
    'flow.lost',
    'flow.reset',
    'flow.answered',
)
_ORIGIN = frozenset(('time', 'level', 'event', 'role', 'member_id', 'flow'))


@dataclass(slots=True, frozen=True)
class TraceLine:
    """One logged event of a flow.

    `clock_s` is the collector's time in seconds, or None if the line has
    none. `fields` are the other fields of the event.
    """

    clock_s: float | None
    flow: str
    event: str
    member_id: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return the line for a terminal."""
        pairs = ' '.join(
            f'{name}={entry}' for name, entry in self.fields.items()
        )
        clock = '' if self.clock_s is None else f'{self.clock_s:10.4f} s  '
        return f'{clock}{self.member_id}  {self.event}  {pairs}'


def collect_trace(flow_part: str, lines: Iterable[str]) -> list[TraceLine]:
    """Return the events of the flows that contain `flow_part`, in order.

    `flow_part` is a flow as logs write it, or a part of it such as the
    caller's address and port. Lines that are not log lines are skipped.
    """
    found = [
        line
        for line in map(_parse, lines)
        if line is not None and flow_part in line.flow
    ]
    if all(line.clock_s is not None for line in found):
        return sorted(found, key=_by_clock)
    return sorted(found, key=_by_step)


def find_verdict(trace: list[TraceLine]) -> str:
    """Return the outcome of the flow in one sentence."""
    by_event = {line.event: line for line in trace}
    answered = by_event.get('flow.answered')
    refused = by_event.get('flow.refused')
    offered = by_event.get('flow.offered')
    reset = _find_reset(trace)
    if answered is not None:
        return _describe_answer(answered)
    if reset is not None:
        return _describe_reset(reset)
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


def _find_reset(trace: list[TraceLine]) -> TraceLine | None:
    """Return the first reset that was passed on, else a withheld one."""
    resets = [line for line in trace if line.event == 'flow.reset_by_target']
    passed = [line for line in resets if not line.fields.get('is_withheld')]
    return next(iter(passed + resets), None)


def _describe_reset(reset: TraceLine) -> str:
    target = reset.fields.get('target_id') or 'a target without a heartbeat'
    held = 'held' if reset.fields.get('is_held') else 'did not hold'
    fate = 'withheld' if reset.fields.get('is_withheld') else 'passed on'
    return (
        f'reset by {target} beside {reset.member_id}, which {held} the flow;'
        f' the reset was {fate}'
    )


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
        {name: entry for name, entry in record.items() if name not in _ORIGIN},
    )


def _by_clock(line: TraceLine) -> float:
    return line.clock_s or 0.0


def _by_step(line: TraceLine) -> tuple[int, int, int]:
    step = _STEPS.index(line.event) if line.event in _STEPS else len(_STEPS)
    copy = line.fields.get('copy', 0)
    hops = line.fields.get('hops', 0)
    return (int(copy or 0), step, int(hops or 0))

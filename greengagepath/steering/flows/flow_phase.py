"""Phases of a flow at its target, and the packets that change them.

A flow is over once both ends have closed it, or one has reset it. Until
then the end that has not closed it may wait for as long as an idle flow is
kept, and its packets have to reach the other end.
"""

from enum import Enum, unique


@unique
class FlowPhase(Enum):
    """Which ends of a flow are still open."""

    OPEN = 'open'
    # The caller sends no further data; the target may still respond.
    CLOSED_BY_CALLER = 'closed by caller'
    # The target sends no further data; the caller has not closed its end.
    CLOSED_BY_TARGET = 'closed by target'
    OVER = 'over'


@unique
class FlowEvent(Enum):
    """Packet that may change the phase of a flow."""

    CALLER_FINAL = 'final packet of the caller'
    TARGET_FINAL = 'final packet of the target'
    RESET = 'reset of either end'


# Pairs that are not listed leave the phase as it is: final packets are
# repeated until they are acknowledged, and nothing reopens a flow.
_NEXT_PHASE = {
    (FlowPhase.OPEN, FlowEvent.CALLER_FINAL): FlowPhase.CLOSED_BY_CALLER,
    (FlowPhase.OPEN, FlowEvent.TARGET_FINAL): FlowPhase.CLOSED_BY_TARGET,
    (FlowPhase.CLOSED_BY_CALLER, FlowEvent.TARGET_FINAL): FlowPhase.OVER,
    (FlowPhase.CLOSED_BY_TARGET, FlowEvent.CALLER_FINAL): FlowPhase.OVER,
    (FlowPhase.OPEN, FlowEvent.RESET): FlowPhase.OVER,
    (FlowPhase.CLOSED_BY_CALLER, FlowEvent.RESET): FlowPhase.OVER,
    (FlowPhase.CLOSED_BY_TARGET, FlowEvent.RESET): FlowPhase.OVER,
}
# Phases in which the target still runs requests of the flow. A request may
# arrive after the caller's final packet, out of order.
SERVING_PHASES = frozenset((FlowPhase.OPEN, FlowPhase.CLOSED_BY_CALLER))


def next_phase(phase: FlowPhase, event: FlowEvent) -> FlowPhase:
    """Return the phase of a flow after a packet."""
    return _NEXT_PHASE.get((phase, event), phase)

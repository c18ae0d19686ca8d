"""Copies of the opening packet of a flow that the target holds."""

from ..agent.agent_context import AgentContext
from ..flows.flow_phase import FlowPhase
from ..messages.segments import Segment


def repeat_opening(context: AgentContext, segment: Segment) -> bool:
    """Send the copy to the target; False for an opening of another flow.

    A copy that comes after an end has closed the flow is late: the caller
    has opened the flow long ago. The target would open another one.
    """
    held = context.held_flows.by_flow.get(segment.flow)
    if held is None or not held.has_opened_with(segment):
        return False
    if held.phase is FlowPhase.OPEN:
        held.last_used_s = context.timers.now()
        context.outbox.to_target(segment.raw)
    else:
        context.counts['openings_late'] += 1
    return True

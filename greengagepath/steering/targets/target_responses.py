"""Responses and resets of the target, and what they tell about it.

Load pattern: a target accepts flows and resets them at their first
request. It is never busy, so without a limit it would attract the flows
that its peers should serve, also the next tries of the same callers.
"""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..flows.held_flow import HeldFlow
from ..messages.segments import Segment, describe_flow
from ..openings.placement import average_service_s
from .paced_targets import may_hold_back

_logger = logging.getLogger(__name__)


def record_response(
    context: AgentContext, segment: Segment, held: HeldFlow
) -> None:
    """Record a packet with response data of the target."""
    if segment.is_refusal:
        context.counts['requests_refused'] += 1
        context.held_flows.record_refusal(
            segment.flow, held, context.gate.slots, context.timers.now()
        )
    elif segment.is_failure:
        _record_failure(context, segment, held)
    else:
        _record_answer(context, segment, held)


def record_reset(
    context: AgentContext, segment: Segment, held: HeldFlow
) -> None:
    """Record that the target has reset a flow.

    A request in progress has failed, that is one without response data. It
    has not if the target had closed the flow, or may have lost it by a
    restart.
    """
    is_earlier = held.offered_s <= context.held_flows.restarted_s
    if is_earlier or not held.is_serving:
        return
    _record_failure(context, segment, held)


def _record_failure(
    context: AgentContext, segment: Segment, held: HeldFlow
) -> None:
    has_ended = context.held_flows.record_failure(
        segment.flow,
        held,
        context.gate.slots,
        context.timers.now(),
        may_limit=may_hold_back(context.peers.loads),
    )
    if has_ended:
        context.counts['requests_failed'] += 1


def _record_answer(
    context: AgentContext, segment: Segment, held: HeldFlow
) -> None:
    flows = context.held_flows
    peer_average_s = 0.0
    if flows.pace.is_limited:
        peer_average_s = average_service_s(context.peers.loads)
    duration_s = flows.record_response(
        segment.flow, held, context.timers.now(), peer_average_s
    )
    if duration_s is not None:
        log_event(
            _logger,
            'flow.answered',
            repeats=True,
            flow=describe_flow(segment.flow),
            duration_s=round(duration_s, 4),
            load=flows.load,
            target_id=context.gate.target_id,
        )

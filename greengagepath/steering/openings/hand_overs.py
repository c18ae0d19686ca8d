"""Messages that hand an opening packet to another agent."""

from ..agent.agent_context import AgentContext
from ..flows.held_flow import HeldFlow
from ..messages.peer_messages import PeerKind, PeerMessage

MS_PER_S = 1000


def make_hand_over(context: AgentContext, held: HeldFlow | None) -> PeerMessage:
    """Return the message for an opening packet that was offered here.

    The time that the packet spent here is subtracted from its latency
    objective.
    """
    service = context.identity.service
    offer = held.offer if held else None
    if held is None or offer is None:
        # The agent has restarted since the packet was offered, so its
        # latency objective and priority are not known.
        return PeerMessage(PeerKind.PLACE, service, hops=1)
    objective_ms = offer.objective_ms
    if objective_ms:
        held_s = context.timers.now() - held.offered_s
        objective_ms = max(objective_ms - round(held_s * MS_PER_S), 1)
    message = PeerMessage(
        PeerKind.PLACE,
        service,
        hops=offer.hops + 1,
        balancer=offer.balancer,
        priority=offer.priority,
        objective_ms=objective_ms,
    )
    message.caller_zone = offer.caller_zone
    return message

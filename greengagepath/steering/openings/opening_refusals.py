"""Resets of opening packets that no target accepts."""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..messages.peer_messages import PeerMessage
from ..messages.segments import Segment, describe_flow

# Until this time after its start an agent may not have received the reports
# of all other agents.
WARM_UP_S = 0.5

_logger = logging.getLogger(__name__)


class OpeningRefusals:
    """Resets, counts and logs the openings that are refused."""

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._started_s = context.timers.now()

    @property
    def is_warming_up(self) -> bool:
        """Return whether agents may accept flows that have not reported."""
        return self._context.timers.now() - self._started_s < WARM_UP_S

    def refuse(
        self,
        segment: Segment,
        message: PeerMessage,
        reason: str,
        *,
        finish_s: float | None = None,
        waited_s: float = 0.0,
    ) -> None:
        """Reset the flow of an opening packet.

        `finish_s` is the expected duration of its request and `waited_s`
        how long the packet has waited here, both in seconds.
        """
        context = self._context
        if self.is_warming_up:
            # Agents that have not reported yet may accept the flow; the
            # caller sends copies of the packet after 200 and 600 ms.
            context.counts['dropped_unsettled'] += 1
            return
        context.counts['flows_refused'] += 1
        log_event(
            _logger,
            'flow.refused',
            repeats=True,
            flow=describe_flow(segment.flow),
            copy=segment.copy_number,
            reason=reason,
            finish_s=round(finish_s, 3) if finish_s else None,
            waited_s=round(waited_s, 3),
            goal_ms=message.objective_ms,
            hops=message.hops,
            load=context.held_flows.load,
            phase=context.gate.phase.value,
            agents=len(context.peers.load_by_address),
            version=context.latest_version,
        )
        context.outbox.reset(segment.flow)

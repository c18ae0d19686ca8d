"""Search for the agent whose target holds a flow."""

import logging

from ..foundation.logs import log_event
from .agent_context import AgentContext
from .agent_reports import AgentReports
from .held_flows import HeldFlow
from .peer_messages import PeerKind, PeerMessage
from .recent_map import RecentMap
from .segments import Segment, describe_flow
from .settings import format_address

MAX_OWNERS = 50000
# Searches that one agent starts in a second.
MAX_SEARCHES_PER_S = 2000

_logger = logging.getLogger(__name__)


class OwnerSearch:
    """Forwards packets of flows that the agent's target does not hold.

    A restarted agent does not know which flows its target holds. Until
    `idle_s` after its start it therefore first sends one packet of each
    unknown flow to the target, which returns it if it has no such flow.
    """

    def __init__(
        self,
        context: AgentContext,
        reports: AgentReports,
        owner_by_flow: RecentMap[bytes, bytes],
    ) -> None:
        self._context = context
        self._reports = reports
        self._owner_by_flow = owner_by_flow
        # Balancer to notify, by flow that was tried at the target; empty if
        # another agent has started the search.
        self._balancer_by_tried_flow: RecentMap[bytes, bytes] = RecentMap(
            MAX_OWNERS
        )
        self._searches_left = MAX_SEARCHES_PER_S
        self._try_target_until_s = context.timers.now()
        if not context.identity.is_first_start:
            self._try_target_until_s += context.identity.idle_s

    def handle_unknown(
        self, message: PeerMessage, segment: Segment, held: HeldFlow | None
    ) -> None:
        """Handle a packet of a flow that the target may not hold."""
        if held is None and self._try_target(message, segment):
            return
        if message.kind is PeerKind.SEARCH:
            return
        owner = self._owner_by_flow.get(segment.flow)
        is_known = owner in self._context.peers.load_by_address
        if is_known and message.kind is PeerKind.FORWARD:
            self._context.counts['packets_relayed'] += 1
            self._reports.send_packet(
                owner, PeerKind.RELAY, message.balancer, segment.raw
            )
            return
        self._search_all_agents(segment, message.balancer)

    def handle_returned(self, segment: Segment, held: HeldFlow | None) -> None:
        """Handle a packet of an open flow that the target sent back."""
        self._context.counts['packets_returned'] += 1
        balancer = (
            held.balancer
            if held
            else self._balancer_by_tried_flow.get(segment.flow)
        )
        if balancer:
            self._search_all_agents(segment, balancer)

    def reset_search_limit(self) -> None:
        """Start a new second of the limit on searches."""
        self._searches_left = MAX_SEARCHES_PER_S

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._owner_by_flow.rotate()
        self._balancer_by_tried_flow.rotate()

    def _try_target(self, message: PeerMessage, segment: Segment) -> bool:
        if self._context.timers.now() >= self._try_target_until_s:
            return False
        if self._balancer_by_tried_flow.get(segment.flow) is not None:
            return False
        is_search = message.kind is PeerKind.SEARCH
        self._balancer_by_tried_flow.put(
            segment.flow, b'' if is_search else message.balancer
        )
        self._context.counts['packets_tried'] += 1
        log_event(
            _logger,
            'flow.tried',
            repeats=True,
            flow=describe_flow(segment.flow),
            kind=message.kind.name,
            data_bytes=segment.data_bytes,
            balancer=format_address(message.balancer),
            phase=self._context.gate.phase.value,
            target_id=self._context.gate.target_id,
        )
        self._context.outbox.to_target(segment.raw)
        return True

    def _search_all_agents(self, segment: Segment, balancer: bytes) -> None:
        if self._searches_left <= 0:
            self._context.drop('searches', describe_flow(segment.flow))
            return
        self._searches_left -= 1
        self._context.counts['searches'] += 1
        for address in self._context.peers.agents:
            self._reports.send_packet(
                address, PeerKind.SEARCH, balancer, segment.raw
            )

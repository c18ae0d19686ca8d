"""Search for the agent whose target holds a flow."""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..agent.agent_reports import AgentReports
from ..messages.peer_messages import KNOWN_ONLY, PeerKind, PeerMessage
from ..messages.segments import Segment, describe_flow
from ..recent_map import RecentMap
from ..target_states import IDLE_STATES
from ..targets.target_trials import TargetTrials
from .held_flow import HeldFlow
from .lost_flows import LostFlows

MAX_OWNERS = 50000
# Searches that one agent starts in a second.
MAX_SEARCHES_PER_S = 2000

_logger = logging.getLogger(__name__)


class OwnerSearch:
    """Forwards packets of flows that the agent's target does not hold.

    A restarted agent first tries its own target, unless another agent is
    known to hold the flow. `lost_flows` are those that no target holds.
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
        self._trials = TargetTrials(context, self)
        self.lost_flows = LostFlows(context)
        self._searches_left = MAX_SEARCHES_PER_S

    def handle_unknown(
        self,
        sender: bytes,
        message: PeerMessage,
        segment: Segment,
        held: HeldFlow | None,
    ) -> None:
        """Handle a packet of a flow that the target may not hold."""
        owner = self._owner_by_flow.get(segment.flow)
        is_known = owner in self._context.peers.load_by_address
        if is_known and message.kind is PeerKind.FORWARD:
            self._context.counts['packets_relayed'] += 1
            self._reports.send_packet(
                owner, PeerKind.RELAY, message.balancer, segment.raw
            )
            return
        if held is not None and not held.is_over:
            if message.kind is PeerKind.SEARCH:
                self.confirm_running([sender])
            else:
                self.search_all_agents(segment, message.balancer)
            return
        # The ports of a flow that is over may be those of one at another
        # target, which the own target would reset.
        may_try = held is None
        if message.kind is PeerKind.SEARCH:
            self._handle_search(sender, message, segment, may_try=may_try)
        elif not self.lost_flows.reset_again(segment):
            self._find_owner(message, segment, may_try=may_try)

    def handle_lost(self, segment: Segment, held: HeldFlow) -> None:
        """Handle a sent-back packet of a flow that was held here."""
        self._context.counts['packets_returned'] += 1
        self._trials.reject(segment.flow)
        if held.is_confirmed and not held.is_over and held.matches(segment):
            self.lost_flows.declare(segment)
        elif held.balancer:
            self.search_all_agents(segment, held.balancer)

    def handle_rejected(
        self, flow: bytes, returned: Segment | None = None
    ) -> None:
        """Handle a tried packet that the target has rejected.

        `returned` is the packet, None if the target has reset the flow
        instead of sending it back.
        """
        self._context.counts['packets_returned'] += 1
        self._trials.reject(flow, returned)

    def record_accepted(self, flow: bytes) -> None:
        """Record that the target sent a packet of the flow."""
        self._trials.accept(flow)

    def check_trials(self) -> None:
        """Search for the owners of flows whose trial is unanswered."""
        self._trials.check()
        self.lost_flows.check()

    def stop_trying(self) -> None:
        """Try no more flows: the target has started after this agent."""
        self._trials.stop()

    def reset_search_limit(self) -> None:
        """Start a new second of the limit on searches."""
        self._searches_left = MAX_SEARCHES_PER_S

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._owner_by_flow.rotate()
        self._trials.rotate()
        self.lost_flows.rotate()

    def deny(self, flow: bytes, agents: list[bytes]) -> None:
        """Notify agents that search a flow that the target rejects it."""
        for address in agents:
            self._reports.send_notice(PeerKind.NOT_HELD, flow, address)

    def confirm_running(self, agents: list[bytes]) -> None:
        """Send a report to agents whose search gets no other answer.

        Only in the states in which silence counts as not running.
        """
        if self._context.target_state() in IDLE_STATES:
            self._reports.send_rare_report(agents)

    def poll_agents(self, segment: Segment, balancer: bytes) -> None:
        """Search a flow that is not held here; if no target has it, reset it.

        A poll that is not answered is repeated with the next packet.
        """
        if self._search(segment, balancer, hops=0):
            self.lost_flows.start_poll(segment, balancer)

    def search_all_agents(self, segment: Segment, balancer: bytes) -> None:
        """Search a flow that may be held here, too."""
        self._search(segment, balancer, hops=0)

    def search_known(self, segment: Segment, balancer: bytes) -> None:
        """Search a flow among agents that need not try it."""
        self._search(segment, balancer, hops=KNOWN_ONLY)

    def _handle_search(
        self,
        sender: bytes,
        message: PeerMessage,
        segment: Segment,
        *,
        may_try: bool,
    ) -> None:
        if message.hops == KNOWN_ONLY:
            return
        if may_try and self._trials.give(message, segment, sender):
            return
        if self._context.held_flows.has_evicted:
            self.confirm_running([sender])
        else:
            self.deny(segment.flow, [sender])

    def _find_owner(
        self, message: PeerMessage, segment: Segment, *, may_try: bool
    ) -> None:
        if may_try and self._trials.give(message, segment):
            return
        if self._context.held_flows.has_evicted:
            self.search_all_agents(segment, message.balancer)
        else:
            self.poll_agents(segment, message.balancer)

    def _search(self, segment: Segment, balancer: bytes, *, hops: int) -> bool:
        """Send the packet to all agents; False beyond the limit."""
        if self._searches_left <= 0:
            self._context.drop('searches', describe_flow(segment.flow))
            return False
        self._searches_left -= 1
        self._context.counts['searches'] += 1
        log_event(
            _logger,
            'flow.searched',
            repeats=True,
            flow=describe_flow(segment.flow),
            data_bytes=segment.data_bytes,
            agents=len(self._context.peers.agents),
            known_only=hops == KNOWN_ONLY,
        )
        peers = self._context.peers
        for address in peers.agents:
            if hops != KNOWN_ONLY:
                peers.searches.record_asked(address)
            self._reports.send_packet(
                address, PeerKind.SEARCH, balancer, segment.raw, hops=hops
            )
        return True

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
# Packets that wait for the target's answer; bounds their memory to 1.3 MB.
MAX_TRIALS = 1000
# A running target sends a packet back within a millisecond.
TRIAL_TIMEOUT_S = 0.04

_logger = logging.getLogger(__name__)


class _Trial:
    """A packet that was given to the target, which may hold its flow.

    `balancer` is None if the packet came with another agent's search.
    """

    __slots__ = ('balancer', 'segment', 'tried_s')

    def __init__(
        self, segment: Segment, balancer: bytes | None, tried_s: float
    ) -> None:
        self.segment = segment
        self.balancer = balancer
        self.tried_s = tried_s


class OwnerSearch:
    """Forwards packets of flows that the agent's target does not hold.

    A restarted agent does not know which flows its target holds. Until
    `idle_s` after its start it therefore sends one packet of each unknown
    flow to the target, unless another agent is known to hold the flow.
    If the target rejects the packet or leaves it unanswered, all agents
    are searched.
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
        self._tried_flows: RecentMap[bytes, bool] = RecentMap(MAX_OWNERS)
        self._trial_by_flow: dict[bytes, _Trial] = {}
        self._searches_left = MAX_SEARCHES_PER_S
        self._try_target_until_s = context.timers.now()
        if not context.identity.is_first_start:
            self._try_target_until_s += context.identity.idle_s

    def handle_unknown(
        self, message: PeerMessage, segment: Segment, held: HeldFlow | None
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
        if held is None and self._try_target(message, segment):
            return
        if message.kind is not PeerKind.SEARCH:
            self._search_all_agents(segment, message.balancer)

    def handle_lost(self, segment: Segment, held: HeldFlow) -> None:
        """Handle a sent-back packet of a flow that was held here."""
        self._context.counts['packets_returned'] += 1
        if held.balancer:
            self._search_all_agents(segment, held.balancer)

    def handle_rejected(self, flow: bytes) -> None:
        """Search for the owner after the target rejected the tried packet."""
        self._context.counts['packets_returned'] += 1
        trial = self._trial_by_flow.pop(flow, None)
        if trial is not None:
            self._search_after(trial)

    def record_accepted(self, flow: bytes) -> None:
        """Record that the target sent a packet of the flow."""
        self._trial_by_flow.pop(flow, None)

    def check_trials(self) -> None:
        """Search for the owners of flows whose trial is unanswered."""
        before_s = self._context.timers.now() - TRIAL_TIMEOUT_S
        while self._trial_by_flow:
            flow, trial = next(iter(self._trial_by_flow.items()))
            if trial.tried_s > before_s:
                return
            del self._trial_by_flow[flow]
            self._context.counts['trials_unanswered'] += 1
            self._search_after(trial)

    def stop_trying(self) -> None:
        """Try no more flows: the target has started after this agent."""
        self._try_target_until_s = self._context.timers.now()

    def reset_search_limit(self) -> None:
        """Start a new second of the limit on searches."""
        self._searches_left = MAX_SEARCHES_PER_S

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._owner_by_flow.rotate()
        self._tried_flows.rotate()

    def _try_target(self, message: PeerMessage, segment: Segment) -> bool:
        if self._context.timers.now() >= self._try_target_until_s:
            return False
        is_full = len(self._trial_by_flow) >= MAX_TRIALS
        if is_full or self._tried_flows.get(segment.flow):
            return False
        self._tried_flows.put(segment.flow, True)
        is_search = message.kind is PeerKind.SEARCH
        self._trial_by_flow[segment.flow] = _Trial(
            segment,
            None if is_search else message.balancer,
            self._context.timers.now(),
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

    def _search_after(self, trial: _Trial) -> None:
        if trial.balancer is not None:
            self._search_all_agents(trial.segment, trial.balancer)

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

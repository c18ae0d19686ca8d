"""Flows that no target holds any more.

Load pattern: a target crashes, or all VMs lose power, and the callers go
on with their open flows. Without an answer they repeat their packets
until their deadline; a reset lets them retry on a new flow at once.
A VM that was cut off may be back before all resets are sent, and its
target still holds its flows: losses that were decided without its agent
are withdrawn.
"""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..agent.agent_peers import AgentPeers
from ..balancer.flow_denials import MAX_SEQUENCE_STEP
from ..messages.peer_messages import PeerKind
from ..messages.segments import Segment, describe_flow
from ..settings import format_address
from .losses import Loss, Losses
from .paced_resets import PacedResets

MAX_POLLS = 5000
# Agents answer within a round trip and the time of a trial. After a
# restart, the list of members and the first reports take longer.
POLL_TIMEOUT_S = 2.0
# Agents in one log line.
MAX_LOGGED_AGENTS = 3
# Until this time after its start an agent may not have received the reports
# and rosters of all other processes.
WARM_UP_S = 0.5

_logger = logging.getLogger(__name__)


class _Poll:
    """Agents that have denied that their target holds a flow.

    `segment` is the packet whose flow is searched, and `balancer` the one
    that sent it.
    """

    __slots__ = ('balancer', 'denied_by', 'segment', 'started_s')

    def __init__(
        self, segment: Segment, balancer: bytes, started_s: float
    ) -> None:
        self.balancer = balancer
        self.denied_by: set[bytes] = set()
        self.segment = segment
        self.started_s = started_s


class LostFlows:
    """Resets a flow once it is certain that no target holds it.

    It is certain if the target at which the caller has opened the flow
    sends a packet of it back. Else the service denies the flow once every
    agent of it that is not silent has denied that its target holds the
    flow; an agent that does not know all agents of its service denies
    nothing. The balancer then asks the other services, and the flow is
    reset when it has the denials of all of them.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._poll_by_flow: dict[bytes, _Poll] = {}
        # Flows that the own service has denied, and those that are lost.
        self._denied_flows = Losses(context)
        self._lost_flows = Losses(context)
        self._resets = PacedResets(context, self._lost_flows)
        # Number of running agents at the last check; a poll with fewer denials
        # need not be compared with the agents.
        self._needed_denials = 0
        self._warm_s = context.timers.now() + WARM_UP_S

    def reset_again(self, segment: Segment) -> bool:
        """Reset a flow that is known to be lost; False for others.

        A caller may use the ports of a lost flow again. Its new flow has
        other sequence numbers.
        """
        loss = self._lost_flows.find(segment.flow)
        if loss is None:
            return False
        if abs(segment.acknowledged - loss.sequence) > MAX_SEQUENCE_STEP:
            self._lost_flows.discard(segment.flow)
            return False
        if segment.has_acknowledgement:
            self._resets.add(segment.flow, segment.acknowledged)
        return True

    def declare(self, segment: Segment) -> None:
        """Reset a flow of which its own target sent a packet back."""
        if segment.has_acknowledgement:
            loss = Loss(segment.acknowledged, 'target')
            self._declare(segment.flow, loss)

    def start_poll(self, segment: Segment, balancer: bytes) -> None:
        """Wait for the denials of all agents, which are asked for a flow."""
        if not segment.has_acknowledgement:
            return
        if len(self._poll_by_flow) >= MAX_POLLS:
            self._context.counts['polls_dropped'] += 1
            return
        now_s = self._context.timers.now()
        # A repeated packet starts a new poll, which is then the youngest.
        self._poll_by_flow.pop(segment.flow, None)
        poll = _Poll(segment, balancer, now_s)
        self._poll_by_flow[segment.flow] = poll
        self._decide(segment.flow, poll)

    def record_denial(self, agent: bytes, flow: bytes) -> None:
        """Record that the target of another agent does not hold a flow."""
        poll = self._poll_by_flow.get(flow)
        if poll is not None:
            poll.denied_by.add(agent)
            self._decide(flow, poll)

    def record_lost(self, flow: bytes) -> None:
        """Reset a flow that all services have denied.

        Ignored unless this agent has denied it for its own service, and
        the denial still holds.
        """
        loss = self._denied_flows.find(flow)
        if loss is not None:
            self._denied_flows.discard(flow)
            self._declare(flow, loss)

    def record_owner(self, flow: bytes) -> None:
        """Record that a target holds the flow."""
        self._poll_by_flow.pop(flow, None)
        self._denied_flows.discard(flow)
        self._resets.discard(flow)
        self._lost_flows.discard(flow)

    def check(self) -> None:
        """Decide polls that were answered before all agents were known.

        Polls that are too old are dropped, and the resets that are due
        are sent.
        """
        self._resets.send_due()
        self._needed_denials = sum(
            not self._is_not_running(agent)
            for agent in self._context.peers.present_agents
        )
        before_s = self._context.timers.now() - POLL_TIMEOUT_S
        for flow, poll in tuple(self._poll_by_flow.items()):
            if poll.started_s <= before_s:
                del self._poll_by_flow[flow]
                self._log_unanswered(flow, poll)
            else:
                self._decide(flow, poll)

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._denied_flows.rotate()
        self._lost_flows.rotate()

    def _log_unanswered(self, flow: bytes, poll: _Poll) -> None:
        """Log why a flow that nobody holds could not be reset."""
        self._context.counts['polls_unanswered'] += 1
        missing = set(self._context.peers.present_agents) - poll.denied_by
        log_event(
            _logger,
            'flow.poll_unanswered',
            repeats=True,
            flow=describe_flow(flow),
            missing=[
                format_address(agent)
                for agent in sorted(missing)[:MAX_LOGGED_AGENTS]
            ],
            is_complete=self._context.peers.is_complete,
        )

    def _decide(self, flow: bytes, poll: _Poll) -> None:
        if len(poll.denied_by) < self._needed_denials:
            return
        peers = self._context.peers
        if self._context.timers.now() < self._warm_s or not peers.is_complete:
            return
        missing = set(peers.present_agents) - poll.denied_by
        if all(self._is_not_running(agent) for agent in missing):
            del self._poll_by_flow[flow]
            self._deny(poll)

    def _is_not_running(self, agent: bytes) -> bool:
        read_s = self._context.backlog.last_empty_s
        return self._context.peers.is_not_running(agent, read_s)

    def _deny(self, poll: _Poll) -> None:
        """Notify the balancer that the own service does not hold the flow."""
        segment = poll.segment
        now_s = self._context.timers.now()
        loss = Loss(segment.acknowledged, 'all services', now_s)
        self._denied_flows.put(segment.flow, loss)
        self._context.counts['flows_denied'] += 1
        log_event(
            _logger,
            'flow.denied',
            repeats=True,
            flow=describe_flow(segment.flow),
            agents=len(poll.denied_by),
            missing=_describe_missing(
                self._context.peers, poll.denied_by, now_s
            ),
            after_s=round(now_s - poll.started_s, 4),
            balancer=format_address(poll.balancer),
        )
        message = self._context.make_message(PeerKind.DENIED, body=segment.raw)
        self._context.outbox.to_balancer(poll.balancer, message.encode())

    def _declare(self, flow: bytes, loss: Loss) -> None:
        self._lost_flows.put(flow, loss)
        log_event(
            _logger,
            'flow.lost',
            repeats=True,
            flow=describe_flow(flow),
            denied_by=loss.denied_by,
            age_s=loss.age_s(self._context.timers.now()),
            agents=len(self._context.peers.agents),
            target_id=self._context.gate.target_id,
        )
        self._context.counts['flows_lost'] += 1
        self._resets.add(flow, loss.sequence)


def _describe_missing(
    peers: AgentPeers, denied_by: set[bytes], now_s: float
) -> list[str]:
    """Return the agents without whose word a flow is denied.

    Each with the seconds since its last report, or since it was named by
    others, as in `10.0.0.1 6.52`.
    """
    missing = sorted(peers.agent_seen_s.keys() - denied_by)
    return [
        f'{format_address(agent)} {now_s - peers.agent_seen_s[agent]:.2f}'
        for agent in missing[:MAX_LOGGED_AGENTS]
    ]

"""Forwarding of the packets of open flows by a balancer."""

import logging
from collections import Counter
from collections.abc import Callable

from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ..messages.peer_messages import PeerKind
from ..messages.segments import Segment, describe_flow
from ..recent_map import RecentMap
from ..routes import RouteHolder
from ..settings import format_address
from .flow_denials import DeniedFlow, FlowDenials
from .known_agents import KnownAgents

MAX_OWNERS = 400000

# Sends a message of a kind about a service, with a body, to an agent.
SendToAgent = Callable[[bytes, PeerKind, bytes, bytes], None]

_logger = logging.getLogger(__name__)


class FlowOwner:
    """Agent whose target holds a flow, and the service of the flow."""

    __slots__ = ('agent', 'service')

    def __init__(self, agent: bytes, service: bytes) -> None:
        self.agent = agent
        self.service = service


class OpenFlows:
    """Sends packets of open flows to their owners, or to homes.

    The home of a flow at a service finds the agent of that service whose
    target holds the flow. A flow that all services deny is lost.
    """

    def __init__(
        self,
        timers: TimerService,
        routes: RouteHolder,
        agents: KnownAgents,
        counts: Counter[str],
        send: SendToAgent,
    ) -> None:
        self._timers = timers
        self._routes = routes
        self._agents = agents
        self._counts = counts
        self._send = send
        self._owner_by_flow: RecentMap[bytes, FlowOwner] = RecentMap(MAX_OWNERS)
        self._denials = FlowDenials(timers, agents)

    def forward(self, segment: Segment) -> None:
        """Send a packet to the owner of its flow or, if unknown, to homes."""
        owner = self._owner_by_flow.get(segment.flow)
        if owner is not None:
            agent = self._agents.by_address.get(owner.agent)
            if agent is not None and agent.may_hold_flows_of(owner.service):
                self._counts['packets_forwarded'] += 1
                self._send(
                    owner.agent, PeerKind.FORWARD, owner.service, segment.raw
                )
                return
            self._owner_by_flow.discard(segment.flow)
        self._forward_unknown(segment)

    def record_owner(self, agent: bytes, service: bytes, flow: bytes) -> None:
        """Record that the target of an agent holds a flow."""
        self._owner_by_flow.put(flow, FlowOwner(agent, service))
        self._denials.discard(flow)

    def handle_denial(
        self, home: bytes, service: bytes, segment: Segment
    ) -> None:
        """Handle that no target of a service holds a packet's flow."""
        flow = segment.flow
        owner = self._owner_by_flow.get(flow)
        if owner is not None and owner.service != service:
            return
        # Without an owner all services of the route got the packet.
        asked = self._find_services(flow) if owner is None else set()
        self._owner_by_flow.discard(flow)
        denied = self._denials.record(home, service, segment, asked)
        for other in self._denials.take_unasked(denied):
            searcher = self._agents.find_searcher(other, flow)
            self._send_to_searcher(searcher, other, segment)
        if self._denials.is_lost(denied):
            self._denials.discard(flow)
            self._report_lost(flow, denied)

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._owner_by_flow.rotate()
        self._denials.rotate()

    def _forward_unknown(self, segment: Segment) -> None:
        services = self._find_services(segment.flow)
        if not services:
            self._counts['dropped_no_route'] += 1
            return
        asked = [service for service in services if self._ask(service, segment)]
        if not asked:
            # A change of the route leaves its open flows where they are.
            for service in self._agents.present_services - services:
                self._ask(service, segment)

    def _find_services(self, flow: bytes) -> set[bytes]:
        """Return the services of the flow's route, none without a route."""
        route = self._routes.find(flow)
        return {share.service for share in route.shares} if route else set()

    def _ask(self, service: bytes, segment: Segment) -> bool:
        """Send a packet to its home at a service; False without agents."""
        home = self._agents.find_home(service, segment.flow)
        return self._send_to_searcher(home, service, segment)

    def _send_to_searcher(
        self, agent: bytes | None, service: bytes, segment: Segment
    ) -> bool:
        """Send a packet to the agent that searches it; False without one."""
        if agent is None:
            return False
        self._counts['packets_to_home'] += 1
        self._send(agent, PeerKind.FORWARD, service, segment.raw)
        return True

    def _report_lost(self, flow: bytes, denied: DeniedFlow) -> None:
        """Notify the home that has denied the flow first.

        It is of a service of the route, so it gets the next packets, too.
        """
        self._counts['flows_lost'] += 1
        log_event(
            _logger,
            'flow.denied_by_all',
            repeats=True,
            flow=describe_flow(flow),
            services=len(denied.denied_by),
            after_s=round(self._timers.now() - denied.started_s, 4),
            home=format_address(denied.home),
        )
        self._agents.returns.record_loss(denied.home)
        self._send(denied.home, PeerKind.LOST, denied.service, flow)

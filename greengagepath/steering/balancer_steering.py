"""Decisions of a balancer for each packet of a plain flow."""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from result import Err, Result

from ..logs import log_event
from ..timers import TimerService
from .homes import HomeTable
from .peer_messages import (
    NO_SERVICE,
    PeerKind,
    PeerMessage,
    ReportedState,
    Roster,
    decode_report,
    digest_service,
)
from .recent_map import RecentMap
from .rotation import BalancerStage, Rotation
from .routes import Route, RouteHolder, RouteTable
from .segments import Segment, describe_flow

# Agents report every 250 ms; three lost in a row mean that an agent
# does not run or cannot be reached.
SILENT_S = 0.9
FORGET_S = 60.0
PRESENCE_S = 1.0
CHECK_S = 0.25
# Checks later than this mean that the process itself paused.
PAUSE_S = 0.3
ROTATE_S = 30.0
MAX_OWNERS = 400000
# Agents have had time to report to a balancer that runs this long.
SETTLED_S = 1.5

_logger = logging.getLogger(__name__)


class BalancerOutbox(Protocol):
    """Where the datagrams of a balancer go."""

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send to an agent."""

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send to a balancer."""

    def reset(self, flow: bytes) -> None:
        """Send a reset of a flow that has not opened to its caller."""


class KnownAgent:
    """What a balancer knows of an agent; `service` is empty until told."""

    __slots__ = ('address', 'heard_s', 'service', 'state')

    def __init__(self, address: bytes, heard_s: float) -> None:
        self.address = address
        self.service = NO_SERVICE
        self.state = ReportedState.ABSENT
        self.heard_s = heard_s


    def holds_flows_of(self, service: bytes) -> bool:
        """Return whether flows of the service may be at the target."""
        is_present = self.state is not ReportedState.ABSENT
        return is_present and self.service == service


class FlowOwner:
    """Agent that holds a flow, and the service it held it for."""

    __slots__ = ('agent', 'service')

    def __init__(self, agent: bytes, service: bytes) -> None:
        self.agent = agent
        self.service = service


class ServiceAgents:
    """Agents of one service, ranked for new flows and for open ones."""

    __slots__ = ('known', 'taking')

    def __init__(self, known: list[bytes], taking: list[bytes]) -> None:
        self.known = HomeTable(known)
        self.taking = HomeTable(taking)


class BalancerSteering:
    """Sends packets of callers to agents.

    `on_behind` is called when a peer shows a configuration version
    above the one in force.
    """

    def __init__(
        self,
        address: bytes,
        availability_zone: str,
        timers: TimerService,
        outbox: BalancerOutbox,
        on_behind: Callable[[], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.routes = RouteHolder()
        self.agent_by_address: dict[bytes, KnownAgent] = {}
        self.balancer_seen_s: dict[bytes, float] = {}
        self.rotation = Rotation(timers)
        self.stage = BalancerStage.STARTING
        self._zone = digest_service(availability_zone)
        self._address = address
        self._timers = timers
        self._outbox = outbox
        self._on_behind = on_behind
        self._owner_by_flow: RecentMap[bytes, FlowOwner] = RecentMap(
            MAX_OWNERS
        )
        self._agents_by_service: dict[bytes, ServiceAgents] = {}
        self._started_s = timers.now()
        self._checked_s = self._started_s
        timers.subscribe(PRESENCE_S, self.announce)
        timers.subscribe(CHECK_S, self._check)
        timers.subscribe(ROTATE_S, self._owner_by_flow.rotate)

    @property
    def has_agents(self) -> bool:
        """Return whether any agent has reported."""
        return bool(self._agents_by_service)

    def take_from_caller(self, segment: Segment) -> None:
        """Handle a packet that the fabric delivered."""
        if segment.opens_answer or segment.is_returned:
            self.counts['dropped_forged'] += 1
        elif segment.is_opening:
            self._open(segment)
        else:
            self._forward(segment)

    def take_peer_message(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a datagram of another process."""
        if self.routes.note_version(message.version):
            self._on_behind()
        match message.kind:
            case PeerKind.HELD:
                owner = FlowOwner(sender, message.service)
                self._owner_by_flow.put(message.body, owner)
            case PeerKind.REPORT:
                self._take_report(sender, message)
            case PeerKind.PRESENCE:
                self._take_presence(sender, message)
            case _:
                self.counts['dropped_unexpected'] += 1

    def use_routes(self, table: RouteTable) -> Result[RouteTable, str]:
        """Put a configuration in force unless one as new is."""
        outcome = self.routes.offer(table)
        if outcome.is_ok():
            log_event(
                _logger,
                'configuration.in_force',
                version=table.version,
                routes=len(table.by_destination),
            )
            self.announce()
        return outcome

    def add_agents(self, addresses: list[bytes]) -> None:
        """Add agents that the store or the settings name, and greet them."""
        for address in addresses:
            if address not in self.agent_by_address:
                self._add_agent(address)
                self._greet(self.agent_by_address[address], NO_ROSTER)

    def add_balancers(self, addresses: list[bytes]) -> None:
        """Add balancers that the store or the settings name."""
        for address in addresses:
            if address != self._address:
                self.balancer_seen_s.setdefault(address, self._timers.now())

    def announce(self) -> None:
        """Tell all agents that this balancer lives, and whom it knows."""
        balancers = [self._address, *self.balancer_seen_s]
        for agent in tuple(self.agent_by_address.values()):
            known = self._agents_by_service.get(agent.service)
            agents = list(known.known.addresses) if known else []
            self._greet(agent, Roster(balancers, agents))
        presence = self._encode(
            PeerKind.PRESENCE, self._zone, b'', hops=self.stage
        )
        for address in self.balancer_seen_s:
            self._outbox.to_balancer(address, presence)

    def enter_stage(self, stage: BalancerStage) -> None:
        """Take a stage of this balancer's life and tell the others."""
        if stage is not self.stage:
            self.stage = stage
            self.announce()

    # Packets of callers

    def _open(self, segment: Segment) -> None:
        flow = segment.flow
        route = self.routes.find(flow)
        if route is None:
            self._refuse_route(flow)
            return
        service = route.choose_service(flow)
        home = self._choose_home(service, segment)
        if home is None or service is None:
            self._refuse_agent(flow, route)
            return
        self.counts['openings'] += 1
        self._send(home, PeerKind.OPEN, service, segment.raw)

    def _choose_home(
        self, service: bytes | None, segment: Segment
    ) -> bytes | None:
        known = self._agents_by_service.get(service or NO_SERVICE)
        if known is None or not known.taking.addresses:
            return None
        if not segment.copy:
            return known.taking.find_home(segment.flow)
        # The home of the first copy may be dead without notice.
        ranked = known.taking.rank(segment.flow)
        return ranked[segment.copy % len(ranked)]

    def _forward(self, segment: Segment) -> None:
        flow = segment.flow
        owner = self._owner_by_flow.get(flow)
        if owner is not None:
            agent = self.agent_by_address.get(owner.agent)
            if agent is not None and agent.holds_flows_of(owner.service):
                self.counts['packets_forwarded'] += 1
                self._send(
                    owner.agent, PeerKind.FORWARD, owner.service, segment.raw
                )
                return
            self._owner_by_flow.discard(flow)
        self._forward_unknown(segment)

    def _forward_unknown(self, segment: Segment) -> None:
        route = self.routes.find(segment.flow)
        if route is None:
            self.counts['dropped_no_route'] += 1
            return
        for share in route.shares:
            known = self._agents_by_service.get(share.service)
            home = None
            if known is not None:
                ranked = known.taking if known.taking.addresses else known.known
                home = ranked.find_home(segment.flow)
            if home is not None:
                self.counts['packets_to_home'] += 1
                self._send(home, PeerKind.FORWARD, share.service, segment.raw)

    def _refuse_route(self, flow: bytes) -> None:
        if self.routes.table is None or self.routes.is_behind:
            # The route may be in a version that is not here yet; copies
            # of the packet follow after 200 and 600 ms.
            self.counts['dropped_behind'] += 1
            return
        self.counts['refused_no_route'] += 1
        log_event(
            _logger,
            'flow.refused',
            repeats=True,
            flow=describe_flow(flow),
            reason='no route',
            version=self.routes.version,
        )
        self._outbox.reset(flow)

    def _refuse_agent(self, flow: bytes, route: Route) -> None:
        if self._timers.now() - self._started_s < SETTLED_S:
            self.counts['dropped_unsettled'] += 1
            return
        self.counts['refused_no_agent'] += 1
        log_event(
            _logger,
            'flow.refused',
            repeats=True,
            flow=describe_flow(flow),
            reason='no agent',
            route=route.name,
            version=self.routes.version,
            agents=len(self.agent_by_address),
        )
        self._outbox.reset(flow)

    # Agents

    def _take_report(self, sender: bytes, message: PeerMessage) -> None:
        decoded = decode_report(message.body)
        if isinstance(decoded, Err):
            self.counts['dropped_unreadable'] += 1
            return
        agent = self.agent_by_address.get(sender) or self._add_agent(sender)
        now_s = self._timers.now()
        was_silent = now_s - agent.heard_s > SILENT_S
        agent.heard_s = now_s
        state = decoded.ok_value.state
        if (
            was_silent
            or agent.service != message.service
            or agent.state is not state
        ):
            log_event(
                _logger,
                'agent.changed',
                agent=_format_address(sender),
                state=state.name,
                was=agent.state.name,
                was_silent=was_silent,
            )
            agent.service = message.service
            agent.state = state
            self._rank()

    def _take_presence(self, sender: bytes, message: PeerMessage) -> None:
        self.balancer_seen_s[sender] = self._timers.now()
        if message.service == self._zone and message.hops in _STAGES:
            self.rotation.note(sender, _STAGES[message.hops])

    def _add_agent(self, address: bytes) -> KnownAgent:
        agent = KnownAgent(address, self._timers.now())
        self.agent_by_address[address] = agent
        return agent

    def _rank(self) -> None:
        now_s = self._timers.now()
        known: dict[bytes, list[bytes]] = {}
        taking: dict[bytes, list[bytes]] = {}
        for agent in self.agent_by_address.values():
            if agent.state is ReportedState.ABSENT:
                continue
            known.setdefault(agent.service, []).append(agent.address)
            if now_s - agent.heard_s <= SILENT_S:
                taking.setdefault(agent.service, []).append(agent.address)
        self._agents_by_service = {
            service: ServiceAgents(addresses, taking.get(service, []))
            for service, addresses in known.items()
        }

    def _check(self) -> None:
        now_s = self._timers.now()
        pause_s = now_s - self._checked_s - CHECK_S
        self._checked_s = now_s
        if pause_s > PAUSE_S:
            # Reports of that time wait in the socket.
            self.counts['pauses'] += 1
            for agent in self.agent_by_address.values():
                agent.heard_s += pause_s
        for address, agent in tuple(self.agent_by_address.items()):
            if now_s - agent.heard_s > FORGET_S:
                del self.agent_by_address[address]
        for address, seen_s in tuple(self.balancer_seen_s.items()):
            if now_s - seen_s > FORGET_S:
                del self.balancer_seen_s[address]
        self._rank()

    def _greet(self, agent: KnownAgent, roster: Roster) -> None:
        encoded = self._encode(
            PeerKind.PRESENCE, agent.service, roster.encode()
        )
        self._outbox.to_agent(agent.address, encoded)

    def _send(
        self, address: bytes, kind: PeerKind, service: bytes, body: bytes
    ) -> None:
        self._outbox.to_agent(address, self._encode(kind, service, body))

    def _encode(
        self, kind: PeerKind, service: bytes, body: bytes, hops: int = 0
    ) -> bytes:
        message = PeerMessage(
            kind,
            service,
            hops=hops,
            balancer=self._address,
            version=self.routes.latest_seen,
            body=body,
        )
        return message.encode()


def _format_address(address: bytes) -> str:
    return '.'.join(str(octet) for octet in address)


NO_ROSTER = Roster([], [])
_STAGES = {int(stage): stage for stage in BalancerStage}

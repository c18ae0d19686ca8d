"""Packet and message handling of a balancer for plain flows."""

import logging
from collections import Counter
from collections.abc import Callable

from result import Err, Result

from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ..backlog import Backlog
from ..messages.peer_messages import (
    ASK_REPORT,
    NO_SERVICE,
    PeerKind,
    PeerMessage,
    decode_report,
)
from ..messages.route_codec import decode_routes, encode_routes
from ..messages.route_copies import RouteAssembly, RouteCopy
from ..messages.segments import Segment, describe_flow
from ..neighbours import digest_zone, narrow_zone
from ..routes import Route, RouteHolder, RouteTable
from ..settings import format_address
from .agent_returns import WARM_UP_S
from .balancer_contacts import (
    BalancerContacts,
    BalancerIdentity,
    BalancerOutbox,
)
from .open_flows import OpenFlows

MS_PER_S = 1000
ROTATE_S = 30.0
# Peers are asked once the configuration is missing or outdated at this
# many checks in a row, which gives the store time to deliver it.
PULL_CHECK_S = 0.3
PULL_AFTER_CHECKS = 2
# After its start a balancer reads the store and asks so many processes that
# show a version at the same time, whichever answers first.
MAX_FIRST_PULLS = 3

_logger = logging.getLogger(__name__)


class BalancerSteering:
    """Forwards packets of callers to agents.

    `on_behind` is called when a message shows a configuration version
    above the active one.
    """

    def __init__(
        self,
        identity: BalancerIdentity,
        timers: TimerService,
        outbox: BalancerOutbox,
        on_behind: Callable[[], None],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.routes = RouteHolder()
        self.contacts = BalancerContacts(identity, timers, outbox, self.routes)
        self._address = identity.address
        self._caller_zone = narrow_zone(digest_zone(identity.availability_zone))
        self._timers = timers
        self._outbox = outbox
        self._on_behind = on_behind
        self._open_flows = OpenFlows(
            timers, self.routes, self.contacts.agents, self.counts, self._send
        )
        self._assembly = RouteAssembly()
        self._copy = RouteCopy()
        self._outdated_checks = 0
        self._first_pulls = 0
        self.backlog = Backlog(timers)
        self._started_s = timers.now()
        timers.subscribe(PULL_CHECK_S, self.pull_routes)
        timers.subscribe(ROTATE_S, self._open_flows.rotate)

    def now(self) -> float:
        """Return monotonic seconds, pauses included."""
        return self._timers.now()

    @property
    def has_agents(self) -> bool:
        """Return whether any agent has reported."""
        return bool(self.contacts.agents.by_service)

    def handle_caller_packet(self, segment: Segment) -> None:
        """Handle a packet that the fabric delivered."""
        if segment.is_opening_answer or segment.is_returned:
            self.counts['dropped_forged'] += 1
        elif segment.is_opening:
            self._handle_opening(segment)
        else:
            self._open_flows.forward(segment)

    def handle_peer_message(
        self,
        sender: bytes,
        message: PeerMessage,
        segment: Segment | None = None,
    ) -> None:
        """Handle a datagram of another process.

        `segment` is the caller's packet that a DENIED carries, None if it
        is malformed and for all other messages.
        """
        if self.routes.observe_version(message.version):
            self._on_behind()
        if self.routes.table is None and message.version:
            self._pull_first(sender, message.kind)
        match message.kind:
            case PeerKind.HELD:
                self._open_flows.record_owner(
                    sender, message.service, message.body
                )
            case PeerKind.DENIED if segment is not None:
                self._open_flows.handle_denial(sender, message.service, segment)
            case PeerKind.REPORT:
                self._handle_report(sender, message)
            case PeerKind.PULL:
                self._send_routes(sender, message)
            case PeerKind.PART:
                self._handle_part(sender, message)
            case PeerKind.PRESENCE | PeerKind.ZONES | PeerKind.AGENTS:
                self.contacts.handle_message(sender, message)
            case _:
                self.counts['dropped_unexpected'] += 1

    def apply_routes(self, table: RouteTable) -> Result[RouteTable, str]:
        """Make a configuration active if its version is higher."""
        outcome = self.routes.apply(table)
        if outcome.is_ok():
            self._copy = RouteCopy(table.version, encode_routes(table))
            log_event(
                _logger,
                'configuration.in_force',
                version=table.version,
                routes=len(table.by_destination),
            )
            self.contacts.announce()
        return outcome

    def pull_routes(self) -> None:
        """Ask peers for the configuration while it is missing or outdated."""
        if self.routes.table is not None and not self.routes.is_behind:
            self._outdated_checks = 0
            return
        self._outdated_checks += 1
        if self._outdated_checks < PULL_AFTER_CHECKS:
            return
        self.counts['pulls'] += 1
        self.contacts.query_peers(
            self._encode(PeerKind.PULL, NO_SERVICE, b''), self._outdated_checks
        )

    def _pull_first(self, sender: bytes, kind: PeerKind) -> None:
        """Ask a process that knows of a configuration for its copy."""
        match kind:
            case PeerKind.REPORT:
                send = self._outbox.to_agent
            case PeerKind.PRESENCE:
                send = self._outbox.to_balancer
            case _:
                return
        if self._first_pulls < MAX_FIRST_PULLS:
            self._first_pulls += 1
            self.counts['pulls'] += 1
            send(sender, self._encode(PeerKind.PULL, NO_SERVICE, b''))

    def _send_routes(self, sender: bytes, message: PeerMessage) -> None:
        if not self._copy.version:
            return
        # Messages of agents have their service, those of balancers none.
        is_agent = message.service != NO_SERVICE
        send = self._outbox.to_agent if is_agent else self._outbox.to_balancer
        for part in self._copy.make_parts(message.service):
            send(sender, part.encode())

    def _handle_part(self, sender: bytes, message: PeerMessage) -> None:
        copy = self._assembly.add(message)
        if copy is None or copy.version <= self.routes.version:
            return
        decoded = decode_routes(copy.version, copy.encoded)
        if isinstance(decoded, Err):
            self.counts['dropped_unreadable'] += 1
            return
        log_event(
            _logger,
            'configuration.from_peer',
            peer=format_address(sender),
            version=copy.version,
        )
        self.apply_routes(decoded.ok_value)

    # Packets of callers

    def _handle_opening(self, segment: Segment) -> None:
        if self.backlog.is_stale():
            self.counts['dropped_stale'] += 1
            return
        self._route_opening(segment)

    def _route_opening(self, segment: Segment) -> None:
        flow = segment.flow
        route = self.routes.find(flow)
        if route is None:
            self._refuse_unknown_route(flow)
            return
        service = route.choose_service(flow)
        home = self._choose_home(service, segment)
        if home is None or service is None:
            self._refuse_without_agent(flow, route)
            return
        self.counts['openings'] += 1
        log_event(
            _logger,
            'flow.routed',
            repeats=True,
            flow=describe_flow(flow),
            route=route.name,
            home=format_address(home),
            copy=segment.copy_number,
            version=self.routes.version,
        )
        opening = PeerMessage(
            PeerKind.OPEN,
            service,
            balancer=self._address,
            version=self.routes.latest_seen,
            priority=route.priority,
            objective_ms=round(route.objective_s * MS_PER_S),
            body=segment.raw,
        )
        opening.caller_zone = self._caller_zone
        self._outbox.to_agent(home, opening.encode())

    def _choose_home(
        self, service: bytes | None, segment: Segment
    ) -> bytes | None:
        service_agents = self.contacts.agents.by_service.get(
            service or NO_SERVICE
        )
        if service_agents is None or not service_agents.live.addresses:
            return None
        if not segment.copy_number:
            return service_agents.live.find_home(segment.flow)
        # The home that got the first copy may have crashed unnoticed.
        ranked = service_agents.live.rank(segment.flow)
        return ranked[segment.copy_number % len(ranked)]

    def _refuse_unknown_route(self, flow: bytes) -> None:
        if self.routes.table is None or self.routes.is_behind:
            # The route may be in a version that has not arrived yet; the
            # caller sends copies of the packet after 200 and 600 ms.
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

    def _refuse_without_agent(self, flow: bytes, route: Route) -> None:
        if self._timers.now() - self._started_s < WARM_UP_S:
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
            agents=len(self.contacts.agents.by_address),
        )
        self._outbox.reset(flow)

    # Messages of agents

    def _handle_report(self, sender: bytes, message: PeerMessage) -> None:
        decoded = decode_report(message.body)
        if isinstance(decoded, Err):
            self.counts['dropped_unreadable'] += 1
            return
        agents = self.contacts.agents
        is_new = agents.record_report(sender, message.service, decoded.ok_value)
        # An agent that has just started asks: it knows neither the other
        # agents nor of an evacuation.
        if is_new or message.hops == ASK_REPORT:
            self.contacts.send_roster(agents.by_address[sender])

    def _send(
        self, address: bytes, kind: PeerKind, service: bytes, body: bytes
    ) -> None:
        self._outbox.to_agent(address, self._encode(kind, service, body))

    def _encode(self, kind: PeerKind, service: bytes, body: bytes) -> bytes:
        message = PeerMessage(
            kind,
            service,
            balancer=self._address,
            version=self.routes.latest_seen,
            body=body,
        )
        return message.encode()

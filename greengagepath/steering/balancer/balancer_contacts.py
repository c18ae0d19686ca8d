"""Agents and balancers that exchange messages with a balancer."""

from typing import Protocol

from ...foundation.store_version import StoreVersion
from ...foundation.timers import TimerService
from ..ages import drop_older
from ..messages.peer_messages import (
    MAX_ROSTER,
    NO_SERVICE,
    WHOLE_ROSTER,
    PeerKind,
    PeerMessage,
    Roster,
    digest_service,
)
from ..paced_rounds import PacedRounds
from ..routes import RouteHolder
from ..store_eras import StoreEras, narrow_era
from ..store_freshness import StoreFreshness
from .agent_lists import ASK_S, MAX_LISTED, AgentLists
from .balancer_zones import BalancerZones
from .known_agents import KnownAgent, KnownAgents
from .rotation import BalancerStage, Rotation

REMOVE_AFTER_S = 60.0
# Interval of the PRESENCE to balancers of the own zone, which have to
# notice a silent one.
PRESENCE_S = 1.0
# Agents and the other balancers get one every second, or fewer if there
# are more of them than this.
MAX_PRESENCES_PER_S = 20
ROSTER_CHECK_S = 0.25


class BalancerOutbox(Protocol):
    """Sends the datagrams of a balancer."""

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to an agent."""

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to another balancer."""

    def reset(self, flow: bytes) -> None:
        """Send a reset to the caller of a flow that has not opened."""


class BalancerIdentity:
    """Address and availability zone of a balancer."""

    __slots__ = ('address', 'availability_zone')

    def __init__(self, address: bytes, availability_zone: str) -> None:
        self.address = address
        self.availability_zone = availability_zone


class BalancerContacts:
    """Announces this balancer to agents and to other balancers.

    `stage` is the stage of this balancer's life cycle, `freshness` the age
    of what it knows of the store, `zones` the evacuated zones, and
    `agent_lists` the agents that others have named.
    """

    def __init__(
        self,
        identity: BalancerIdentity,
        timers: TimerService,
        outbox: BalancerOutbox,
        routes: RouteHolder,
    ) -> None:
        self.agents = KnownAgents(timers)
        self.rotation = Rotation(timers)
        self.stage = BalancerStage.STARTING
        # Those of the store that this balancer reads.
        self.eras = StoreEras()
        self.freshness = StoreFreshness(timers)
        self.zones = BalancerZones(identity.address, timers, outbox, routes)
        self._address = identity.address
        self._zone = digest_service(identity.availability_zone)
        self._timers = timers
        self._outbox = outbox
        self._routes = routes
        self._balancer_seen_s: dict[bytes, float] = {}
        self.agent_lists = AgentLists(
            identity.address,
            outbox,
            self.agents,
            self._balancer_seen_s,
            self._greet,
        )
        timers.subscribe(ASK_S, self.agent_lists.ask)
        # Balancers of the own zone, as they announced themselves.
        self._zone_peers: set[bytes] = set()
        self._rosters = 0
        self._roster_rounds = PacedRounds(timers.now())
        self._balancer_rounds = PacedRounds(timers.now())
        timers.subscribe(PRESENCE_S, self._announce_to_zone)
        timers.subscribe(ROSTER_CHECK_S, self._announce_due)
        timers.subscribe(ROSTER_CHECK_S, self._announce_returns)
        timers.subscribe(REMOVE_AFTER_S, self._remove_silent_balancers)

    def add_balancers(self, addresses: list[bytes]) -> None:
        """Add balancers from the store or the settings."""
        now_s = self._timers.now()
        room = MAX_LISTED - len(self._balancer_seen_s)
        for address in addresses[: max(room, 0)]:
            if address != self._address:
                self._balancer_seen_s.setdefault(address, now_s)

    def announce(self) -> None:
        """Send stage and version to all known balancers and agents."""
        # Balancers first: if the link is full, what follows is lost.
        self._send_stage(list(self._balancer_seen_s))
        for agent in tuple(self.agents.by_address.values()):
            self._send_presence(agent, Roster([], []))

    def announce_read(self, started_s: float) -> None:
        """Record a read of the store and tell all known balancers of it."""
        self.freshness.record_read(started_s)
        self._send_stage(list(self._balancer_seen_s))

    def announce_zones_read(
        self, names: list[str], version: StoreVersion, started_s: float
    ) -> None:
        """Record a list of evacuated zones and tell other balancers of it."""
        is_changed = self.zones.record_read(names, version, started_s)
        self.zones.send_to_balancers(self._balancer_seen_s)
        if is_changed:
            self.zones.send_to_agents(self.agents)

    def send_roster(self, agent: KnownAgent) -> None:
        """Send an agent the balancers and the agents of its service.

        A roster that is too long has another part of the agents each
        time.
        """
        balancers = [self._address, *self._balancer_seen_s]
        service_agents = self.agents.by_service.get(agent.service)
        agents = list(service_agents.known.addresses) if service_agents else []
        self._rosters += 1
        start = self._rosters % len(agents) if agents else 0
        roster = Roster(balancers, agents[start:] + agents[:start])
        is_whole = len(balancers) + len(agents) <= MAX_ROSTER
        hops = WHOLE_ROSTER if is_whole and self.agents.is_complete else 0
        self._send_presence(agent, roster, hops=hops)

    def enter_stage(self, stage: BalancerStage) -> None:
        """Set the stage of this balancer and announce a change."""
        if stage is not self.stage:
            self.stage = stage
            self.announce()

    def query_peers(self, datagram: bytes, attempt: int) -> None:
        """Send a query to one balancer and one agent.

        Both are chosen in turn by the number of the attempt.
        """
        balancers = list(self._balancer_seen_s)
        agents = list(self.agents.by_address)
        if balancers:
            asked = balancers[attempt % len(balancers)]
            self._outbox.to_balancer(asked, datagram)
        if agents:
            self._outbox.to_agent(agents[attempt % len(agents)], datagram)

    def handle_message(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a PRESENCE, AGENTS or ZONES of another balancer."""
        if message.kind is PeerKind.PRESENCE:
            self.handle_presence(sender, message)
        elif message.kind is PeerKind.AGENTS:
            self.agent_lists.handle_message(sender, message)
        elif self.zones.handle_notice(sender, message):
            self.zones.send_to_agents(self.agents)

    def handle_presence(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a PRESENCE of another balancer."""
        self._balancer_seen_s[sender] = self._timers.now()
        self.freshness.record_peer(message.body)
        if message.service == self._zone and message.hops in _STAGES:
            self._zone_peers.add(sender)
            self.rotation.update(sender, _STAGES[message.hops])

    def _greet(self, agent: KnownAgent) -> None:
        """Tell an agent that was named of this balancer."""
        self._send_presence(agent, Roster([], []))

    def _announce_to_zone(self) -> None:
        self._send_stage(list(self._zone_peers))

    def _announce_returns(self) -> None:
        """Tell the homes of lost flows of agents that have returned.

        Many return at once after a cut, so they are not told of each.
        """
        for address in self.agents.returns.take_homes():
            agent = self.agents.by_address.get(address)
            if agent is not None:
                self._send_presence(agent, Roster([], []))

    def _announce_due(self) -> None:
        """Send the stages and rosters that are due, in turn."""
        now_s = self._timers.now()
        distant = [
            address
            for address in self._balancer_seen_s
            if address not in self._zone_peers
        ]
        self._send_stage(
            self._balancer_rounds.take(distant, _round_s(distant), now_s)
        )
        agents = list(self.agents.by_address)
        due = self._roster_rounds.take(agents, _round_s(agents), now_s)
        for address in due:
            self.send_roster(self.agents.by_address[address])

    def _send_stage(self, balancers: list[bytes]) -> None:
        presence = self._encode(
            self._zone, self.freshness.encode_own(), hops=self.stage
        )
        for address in balancers:
            self._outbox.to_balancer(address, presence)

    def _remove_silent_balancers(self) -> None:
        removed = drop_older(
            self._balancer_seen_s, self._timers.now() - REMOVE_AFTER_S
        )
        self._zone_peers.difference_update(removed)

    def _send_presence(
        self, agent: KnownAgent, roster: Roster, hops: int = 0
    ) -> None:
        encoded = self._encode(
            agent.service,
            roster.encode(),
            hops=hops,
            priority=narrow_era(self.eras.latest),
            objective_ms=self.agents.returns.age_ms,
        )
        self._outbox.to_agent(agent.address, encoded)
        self.zones.send_to_agent(agent)

    def _encode(
        self,
        service: bytes,
        body: bytes,
        *,
        hops: int = 0,
        priority: int = 0,
        objective_ms: int = 0,
    ) -> bytes:
        message = PeerMessage(
            PeerKind.PRESENCE,
            service or NO_SERVICE,
            hops=hops,
            balancer=self._address,
            version=self._routes.latest_seen,
            priority=priority,
            objective_ms=objective_ms,
            body=body,
        )
        return message.encode()


def _round_s(receivers: list[bytes]) -> float:
    """Return the time in which each receiver gets one PRESENCE."""
    return max(PRESENCE_S, len(receivers) / MAX_PRESENCES_PER_S)


_STAGES = {int(stage): stage for stage in BalancerStage}

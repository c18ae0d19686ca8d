"""Agents and balancers that exchange messages with a balancer."""

from typing import Protocol

from ..foundation.timers import TimerService
from .ages import drop_older
from .known_agents import KnownAgent, KnownAgents
from .peer_messages import (
    NO_SERVICE,
    PeerKind,
    PeerMessage,
    Roster,
    digest_service,
)
from .rotation import BalancerStage, Rotation
from .routes import RouteHolder

REMOVE_AFTER_S = 60.0
PRESENCE_S = 1.0


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

    `stage` is the stage of this balancer's life cycle.
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
        self._address = identity.address
        self._zone = digest_service(identity.availability_zone)
        self._timers = timers
        self._outbox = outbox
        self._routes = routes
        self._balancer_seen_s: dict[bytes, float] = {}
        timers.subscribe(PRESENCE_S, self.announce)
        timers.subscribe(REMOVE_AFTER_S, self._remove_silent_balancers)

    def add_agents(self, addresses: list[bytes]) -> None:
        """Add agents from the store or settings; send them a PRESENCE."""
        for address in addresses:
            if address not in self.agents.by_address:
                self._send_presence(self.agents.add(address), Roster([], []))

    def add_balancers(self, addresses: list[bytes]) -> None:
        """Add balancers from the store or the settings."""
        now_s = self._timers.now()
        for address in addresses:
            if address != self._address:
                self._balancer_seen_s.setdefault(address, now_s)

    def announce(self) -> None:
        """Send a PRESENCE to all known agents and balancers.

        Agents get a roster of the balancers and agents that this
        balancer knows, balancers its stage.
        """
        # The rosters of a large service can fill the link; datagrams that
        # are sent after them are lost.
        presence = self._encode(self._zone, b'', hops=self.stage)
        for address in self._balancer_seen_s:
            self._outbox.to_balancer(address, presence)
        balancers = [self._address, *self._balancer_seen_s]
        for agent in tuple(self.agents.by_address.values()):
            service_agents = self.agents.by_service.get(agent.service)
            agents = (
                list(service_agents.known.addresses) if service_agents else []
            )
            self._send_presence(agent, Roster(balancers, agents))

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

    def handle_presence(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a PRESENCE of another balancer."""
        self._balancer_seen_s[sender] = self._timers.now()
        if message.service == self._zone and message.hops in _STAGES:
            self.rotation.update(sender, _STAGES[message.hops])

    def _remove_silent_balancers(self) -> None:
        drop_older(self._balancer_seen_s, self._timers.now() - REMOVE_AFTER_S)

    def _send_presence(self, agent: KnownAgent, roster: Roster) -> None:
        encoded = self._encode(agent.service, roster.encode())
        self._outbox.to_agent(agent.address, encoded)

    def _encode(self, service: bytes, body: bytes, hops: int = 0) -> bytes:
        message = PeerMessage(
            PeerKind.PRESENCE,
            service or NO_SERVICE,
            hops=hops,
            balancer=self._address,
            version=self._routes.latest_seen,
            body=body,
        )
        return message.encode()


_STAGES = {int(stage): stage for stage in BalancerStage}

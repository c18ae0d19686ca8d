"""Evacuated zones at a balancer, and whom it tells of them."""

import logging
from collections.abc import Iterable
from typing import Protocol

from result import Err

from ...evacuation.notices import MAX_ZONES, ZoneNotice, decode_notice
from ...evacuation.zones import EvacuatedZones
from ...foundation.logs import log_event
from ...foundation.store_version import StoreVersion
from ...foundation.timers import TimerService
from ..messages.peer_messages import (
    NO_SERVICE,
    PeerKind,
    PeerMessage,
    digest_service,
)
from ..routes import RouteHolder
from ..settings import format_address
from ..store_freshness import StoreFreshness
from .known_agents import KnownAgent, KnownAgents

_logger = logging.getLogger(__name__)


class ZoneOutbox(Protocol):
    """Sends the datagrams of a balancer."""

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to an agent."""

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to another balancer."""


class BalancerZones:
    """Passes lists of evacuated zones on to agents and other balancers.

    Nothing is sent before the first list was received, unless a service
    limits the rate of cold targets, so that other deployments have no
    traffic for it. `freshness` is the age of the last list that a balancer
    has read.
    """

    def __init__(
        self,
        address: bytes,
        timers: TimerService,
        outbox: ZoneOutbox,
        routes: RouteHolder,
    ) -> None:
        self.freshness = StoreFreshness(timers)
        self.zones = EvacuatedZones()
        self._address = address
        self._timers = timers
        self._outbox = outbox
        self._routes = routes

    def record_read(
        self, names: Iterable[str], version: StoreVersion, started_s: float
    ) -> bool:
        """Record a list read from the store; return whether it is a change.

        `started_s` is when the read began, in monotonic seconds.
        """
        self.freshness.record_read(started_s)
        digests = frozenset(map(digest_service, names))
        if len(digests) > MAX_ZONES:
            log_event(
                _logger,
                'zones.too_many',
                level=logging.WARNING,
                repeats=True,
                zones=len(digests),
                announced=MAX_ZONES,
                revision=version.revision,
            )
        return self._replace(digests, version, 'store')

    def handle_notice(self, sender: bytes, message: PeerMessage) -> bool:
        """Handle the list of another balancer; True if it is a change.

        `objective_ms` of the message is the age of the sender's read. It
        says nothing of the store if it was in an earlier era.
        """
        decoded = decode_notice(message.body)
        if isinstance(decoded, Err):
            return False
        notice = decoded.ok_value
        if notice.version.era < self.zones.version.era:
            return False
        self.freshness.record_peer_read(message.objective_ms)
        return self._replace(
            notice.digests, notice.version, format_address(sender)
        )

    def send_to_balancers(self, addresses: Iterable[bytes]) -> None:
        """Send the list, which was just read, to other balancers."""
        age_ms = self.freshness.own_age_ms
        encoded = self._encode(NO_SERVICE, 0, age_ms)
        for address in addresses:
            self._outbox.to_balancer(address, encoded)

    def send_to_agents(self, agents: KnownAgents) -> None:
        """Send the list to all agents."""
        for agent in tuple(agents.by_address.values()):
            self.send_to_agent(agent)

    def send_to_agent(self, agent: KnownAgent) -> None:
        """Send the list and the rate of its cold target to one agent.

        Without routes the rate is not known.
        """
        table = self._routes.table
        if table is None:
            return
        rate_by_service = table.cold_per_s_by_service
        if not self.zones.version.is_read and not rate_by_service:
            return
        per_s = rate_by_service.get(agent.service, 0.0)
        self._outbox.to_agent(
            agent.address, self._encode(agent.service, per_s, 0)
        )

    def _replace(
        self, digests: frozenset[bytes], version: StoreVersion, source: str
    ) -> bool:
        """Apply a list; return whether it has to be passed on.

        The first list of an era is passed on even if it names the same
        zones: agents have to learn that they are evacuated in this era.
        """
        earlier = self.zones.digests
        earlier_version = self.zones.version
        if not self.zones.replace(digests, version):
            return False
        is_new_era = version.era > earlier_version.era
        if digests != earlier or is_new_era:
            log_event(
                _logger,
                'zones.changed',
                evacuated=len(digests),
                was=len(earlier),
                era=version.era,
                revision=version.revision,
                source=source,
            )
            return True
        return not earlier_version.is_read

    def _encode(self, service: bytes, per_s: float, age_ms: int) -> bytes:
        notice = ZoneNotice(self.zones.digests, self.zones.version, per_s)
        message = PeerMessage(
            PeerKind.ZONES,
            service,
            balancer=self._address,
            version=self._routes.latest_seen,
            objective_ms=age_ms,
            body=notice.encode(),
        )
        return message.encode()

"""Control plane of one agent, independent of sockets."""

from collections.abc import Callable

import msgspec

from ..foundation.addresses import Address
from ..foundation.timers import Timer
from ..generated.messages import (
    ConfigurationDelta,
    Hello,
    LinkError,
    MemberRecord,
    MemberState,
    Records,
    Service,
)
from .handshake import PROTOCOL_VERSION
from .link_monitor import LinkMonitor
from .overlay import rank_by_hash
from .overlay_links import LinkManager
from .own_record import OwnRecord
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts
from .records import is_balancer
from .views import SeedReader

STEP_S = 0.1
# A balancer is skipped after more than this many attempts without success.
MAX_FAILURES = 2
# A skipped balancer is tried again after this time.
SKIP_UNRESPONSIVE_S = 30.0


class AgentNode:
    """Announces a target to its home balancers.

    Implements `LinkEvents`. Not thread-safe: all calls come from one
    event loop. `on_service` is called with the service of the target
    when a newer configuration version brings it; lower versions are
    ignored.
    """

    def __init__(
        self,
        record: MemberRecord,
        ports: NodePorts,
        on_service: Callable[[Service], None],
    ) -> None:
        self.peers = PeerTable()
        self.own = OwnRecord(record, ports.timers, self._publish_own)
        self.configuration_version = 0
        self._ports = ports
        self._on_service = on_service
        self._link_manager = LinkManager(self.peers, ports)
        self._link_monitor = LinkMonitor(self.peers, ports)
        self._home_selector = HomeSelector(record, ports, self._link_manager)
        self._timers: list[Timer] = []

    def start(self) -> None:
        """Start the timers and the search for home balancers."""
        timers = self._ports.timers
        self._timers = [
            timers.subscribe(STEP_S, self._step),
            timers.subscribe(
                self._ports.limits.heartbeat_s,
                self._link_monitor.send_heartbeats,
            ),
        ]
        self._step()

    def stop(self) -> None:
        """Announce the departure and close all links."""
        for timer in self._timers:
            timer.cancel()
        self.own.update(state=MemberState.left)
        for peer in self.peers:
            self._ports.links.close(peer.link_id)

    def set_state(self, state: MemberState) -> None:
        """Publish the state of the target to its homes."""
        self.own.update(state=state, draining=state is MemberState.draining)

    def link_opened(self, link_id: int, *, outgoing: bool) -> None:
        """Register the link and announce the target on it."""
        now_s = self._ports.timers.now()
        self.peers.open(Peer(link_id, outgoing, now_s))
        self._ports.links.send(
            link_id,
            Hello(record=self.own.record, protocol_version=PROTOCOL_VERSION),
        )

    def link_closed(self, link_id: int) -> None:
        """Remove the link and the candidates received on it."""
        self._link_manager.mark_closed(link_id)
        self._home_selector.remove_link(link_id)
        self.peers.remove(link_id)
        self._publish_homes()

    def link_received(self, link_id: int, message: msgspec.Struct) -> None:
        """Handle a message from a balancer; ignore unknown links."""
        peer = self.peers.by_link(link_id)
        if peer is None:
            return
        peer.last_heard_s = self._ports.timers.now()
        match message:
            case Hello():
                self._receive_hello(peer, message.record)
            case Records():
                self._receive_records(link_id, message)
            case ConfigurationDelta():
                self._receive_delta(message)
            case LinkError():
                self._ports.links.close(link_id)

    def _receive_hello(self, peer: Peer, record: MemberRecord) -> None:
        earlier = self.peers.identify(peer, record, PeerRole.ZONE)
        if earlier is not None:
            self._ports.links.close(earlier.link_id)
        self._link_manager.mark_established(peer.link_id)
        self._home_selector.set_candidates(peer.link_id, [record])
        self._publish_homes()

    def _receive_records(self, link_id: int, message: Records) -> None:
        """Store candidate homes; handle records about this agent itself."""
        candidates = []
        for record in message.records:
            if record.member_id == self.own.member_id:
                self.own.receive_claim(record)
            elif is_balancer(record):
                candidates.append(record)
        if candidates:
            self._home_selector.set_candidates(link_id, candidates)

    def _receive_delta(self, delta: ConfigurationDelta) -> None:
        if delta.version <= self.configuration_version:
            return
        self.configuration_version = delta.version
        for service in delta.changed:
            if service.service_id == self.own.record.service_id:
                self._on_service(service)

    def _step(self) -> None:
        self._link_monitor.close_silent()
        self.own.refute_pending()
        self._link_manager.adjust(self._home_selector.wanted_links())
        self._publish_homes()

    def _publish_homes(self) -> None:
        """Publish which balancers watch this agent.

        A balancer whose link is about to be closed is left out, because
        it would take the closed link for a failure of the target.
        """
        homes = sorted(
            peer.member_id
            for peer in self.peers.with_role(PeerRole.ZONE)
            if peer.unwanted_since_s is None
        )
        self.own.update(homes=homes[: self._ports.limits.homes])

    def _publish_own(self, record: MemberRecord) -> None:
        for peer in self.peers:
            if peer.role is not PeerRole.UNKNOWN:
                self._ports.links.send(peer.link_id, Records(records=[record]))


class HomeSelector:
    """Chooses the home balancers of an agent.

    The last known candidates are kept when all links are lost, so that
    an agent finds other balancers even while the object API is down.
    """

    def __init__(
        self, own: MemberRecord, ports: NodePorts, link_manager: LinkManager
    ) -> None:
        self._own = own
        self._ports = ports
        self._link_manager = link_manager
        self._candidates_by_link: dict[int, list[MemberRecord]] = {}
        self._last_known: dict[str, MemberRecord] = {}
        self._skipped_since_by_id: dict[str, float] = {}
        self._seeds = SeedReader(own.availability_zone, ports)
        self._sample: list[Address] = []

    def set_candidates(
        self, link_id: int, balancers: list[MemberRecord]
    ) -> None:
        """Replace the candidates received on a link."""
        self._candidates_by_link[link_id] = balancers
        self._last_known = {
            record.member_id: record
            for records in self._candidates_by_link.values()
            for record in records
        }

    def remove_link(self, link_id: int) -> None:
        """Drop the candidates received on a closed link."""
        self._candidates_by_link.pop(link_id, None)

    def wanted_links(self) -> dict[str, Address]:
        """Return the addresses to connect to, by member id.

        While no balancer answers, a few seeds are included under keys
        that start with `seed`.
        """
        known = self._last_known
        self._skip_unresponsive(known)
        usable = known.keys() - self._skipped_since_by_id.keys()
        ranked = rank_by_hash(self._own.member_id, usable)
        wanted = {
            home: (known[home].host, known[home].control_port)
            for home in ranked[: self._ports.limits.homes]
        }
        if self._candidates_by_link:
            self._seeds.reset_pause()
            return wanted
        return wanted | {
            f'seed {entry}': entry for entry in self._sample_seeds()
        }

    def _skip_unresponsive(self, known: dict[str, MemberRecord]) -> None:
        """Skip unresponsive balancers for `SKIP_UNRESPONSIVE_S`."""
        now_s = self._ports.timers.now()
        for record in known.values():
            address = (record.host, record.control_port)
            if (
                self._link_manager.attempts_since_success(address)
                > MAX_FAILURES
            ):
                self._skipped_since_by_id.setdefault(record.member_id, now_s)
        self._skipped_since_by_id = {
            member_id: since_s
            for member_id, since_s in self._skipped_since_by_id.items()
            if now_s - since_s < SKIP_UNRESPONSIVE_S
        }

    def _sample_seeds(self) -> list[Address]:
        """Return a random sample, so that no seed gets all new agents."""
        found = self._seeds.addresses()
        if not set(self._sample) <= set(found) or not self._sample:
            count = min(self._ports.limits.homes, len(found))
            self._sample = self._ports.random.sample(found, count)
        return self._sample

"""Control plane of one balancer, independent of sockets."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ..configuration.drains import group_drained_zones
from ..foundation.addresses import Address
from ..foundation.timers import Timer
from ..generated.messages import (
    Configuration,
    ConfigurationDelta,
    ConfigurationOffer,
    ConfigurationPull,
    Digest,
    Hello,
    LinkError,
    MemberRecord,
    MemberState,
    Pull,
    Records,
    RouteQuery,
    StatusQuery,
    StatusReply,
    Versions,
)
from .bridge import BridgeRole
from .bridge_parts import BridgeParts
from .configuration_spread import ConfigurationSpread
from .detector import FailureDetector
from .exchange import RecordExchange
from .handshake import Handshake
from .homes import HomeDirectory
from .link_monitor import LinkMonitor
from .overlay_links import LinkManager
from .own_record import OwnRecord
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts
from .table import MemberTable
from .views import (
    OnTargets,
    OverlayView,
    SeedReader,
    TargetNotifier,
    ZoneMonitor,
)

STEP_S = 0.1
# A scan of the whole table takes about 1 ms with 3,320 members.
SCAN_S = 0.5

OnConfiguration = Callable[[Configuration], None]
AnswerRoute = Callable[[RouteQuery], msgspec.Struct]


def refuse_route(query: RouteQuery) -> LinkError:
    """Answer in the place of a process that chooses no targets."""
    return LinkError(reason=f'no targets of {query.service} are chosen here')


@dataclass(slots=True, frozen=True)
class BalancerListeners:
    """Callbacks for new targets and configurations.

    `on_targets` gets the targets by service id, `on_configuration` each
    configuration that comes into force. `answer_route` answers questions
    of operators about the choice of targets.
    """

    on_targets: OnTargets
    on_configuration: OnConfiguration
    answer_route: AnswerRoute = refuse_route


class BalancerNode:
    """Routes events between the decision modules of a balancer.

    Implements `LinkEvents`. Not thread-safe: all calls come from one
    event loop.
    """

    def __init__(
        self,
        record: MemberRecord,
        ports: NodePorts,
        listeners: BalancerListeners,
    ) -> None:
        self.table = MemberTable(ports.limits, ports.timers)
        self.peers = PeerTable()
        self.own = OwnRecord(record, ports.timers, self._publish_own)
        self.spread = ConfigurationSpread(
            self.table, self.peers, ports.links, self._configuration_applied
        )
        self.bridge = BridgeRole(
            BridgeParts(self.own, self.table, self.peers, ports),
            self.spread.offer,
        )
        self.link_monitor = LinkMonitor(self.peers, ports)
        self._ports = ports
        self._listeners = listeners
        self._target_notifier = TargetNotifier(
            self.table, ports, listeners.on_targets
        )
        self._exchange = RecordExchange(
            self.own, self.table, self.peers, ports, self._target_notifier
        )
        self._handshake = Handshake(self.own, self.peers, ports)
        self._homes = HomeDirectory(self.table, self.peers, ports, record)
        self._monitor = _MembershipMonitor(self, ports)
        self._timers: list[Timer] = []
        self.table.merge(record)

    def start(self) -> None:
        """Start the timers and the search for other balancers."""
        timers = self._ports.timers
        limits = self._ports.limits
        self._timers = [
            timers.subscribe(STEP_S, self._step),
            timers.subscribe(SCAN_S, self._scan),
            timers.subscribe(
                limits.heartbeat_s, self.link_monitor.send_heartbeats
            ),
            timers.subscribe(limits.anti_entropy_s, self._compare_tables),
        ]
        self._step()

    def stop(self) -> None:
        """Announce the departure and close all links."""
        for timer in self._timers:
            timer.cancel()
        self.bridge.stop()
        self.own.update(state=MemberState.left)
        self._exchange.dissemination.flush()
        for peer in self.peers:
            self._ports.links.close(peer.link_id)

    def link_opened(self, link_id: int, *, outgoing: bool) -> None:
        """Start the handshake, or close a link above the limit."""
        self._handshake.open(link_id, outgoing=outgoing)

    def link_closed(self, link_id: int) -> None:
        """Remove the link."""
        self._monitor.link_manager.mark_closed(link_id)
        self._homes.remove_link(link_id)
        self.peers.remove(link_id)

    def link_received(self, link_id: int, message: msgspec.Struct) -> None:
        """Handle a message; ignore unknown links."""
        peer = self.peers.by_link(link_id)
        if peer is None:
            return
        peer.last_heard_s = self._ports.timers.now()
        match message:
            case Hello():
                self._receive_hello(peer, message)
            case Records() if peer.role is not PeerRole.UNKNOWN:
                for record in message.records:
                    self._exchange.merge(record, peer)
            case Versions() if peer.is_balancer:
                self._exchange.merge_versions(message, peer)
            case Digest() if peer.is_balancer:
                self._exchange.receive_digest(peer, message, self.spread)
            case Pull() if peer.is_balancer:
                self._exchange.dissemination.send_buckets(peer, message.buckets)
            case _:
                self._receive_other(link_id, message)

    def _receive_other(self, link_id: int, message: msgspec.Struct) -> None:
        """Handle the messages that operator tools may send as well."""
        match message:
            case ConfigurationDelta():
                self.spread.receive_delta(link_id, message)
            case ConfigurationOffer():
                self.spread.receive_offer(link_id, message.version)
            case ConfigurationPull():
                self.spread.send_since(link_id, message.held_version)
            case StatusQuery():
                self._answer_status(link_id, message)
            case RouteQuery():
                answer = self._listeners.answer_route(message)
                self._ports.links.send(link_id, answer)

    def _answer_status(self, link_id: int, query: StatusQuery) -> None:
        current = self.spread.holder.current
        services = [] if current is None else current.services
        reply = StatusReply(
            query_id=query.query_id,
            configuration_version=self.spread.holder.version,
            records=list(self.table.records()),
            drained_zones=group_drained_zones(services),
        )
        self._ports.links.send(link_id, reply)

    def _receive_hello(self, peer: Peer, hello: Hello) -> None:
        if not self._handshake.accept(peer, hello):
            return
        self._monitor.link_manager.mark_established(peer.link_id)
        self._exchange.merge(hello.record, peer)
        if peer.role is PeerRole.AGENT:
            self._homes.send_candidates(peer)
            self.spread.send_service(peer)
        elif peer.outgoing:
            self._exchange.send_initial_state(peer, self.spread)

    def _publish_own(self, record: MemberRecord) -> None:
        self.table.merge(record)
        self._exchange.dissemination.push(record)

    def _configuration_applied(self, configuration: Configuration) -> None:
        self.table.target_view.set_drained(configuration.services)
        self._exchange.publish_version(configuration.version)
        self._listeners.on_configuration(configuration)
        self._target_notifier.schedule()

    def _compare_tables(self) -> None:
        self._exchange.compare_tables(self.spread)

    def _step(self) -> None:
        """Detect failed members and silent links, then adjust the links."""
        for suspect in self._monitor.silent_members():
            self._exchange.pass_on(suspect, source=None)
        for dead in self._monitor.dead_members():
            self._exchange.pass_on(dead, source=None)
        self.link_monitor.close_silent()
        self.own.refute_pending()
        self._monitor.adjust_links()

    def _scan(self) -> None:
        """Update the bridge slot, unreachable zones and agents' homes."""
        self.bridge.step()
        if self._monitor.zone_monitor.step():
            self._target_notifier.schedule()
        self._homes.send_changed_candidates()


class _MembershipMonitor:
    """Maintains the links of a balancer and detects failed members."""

    def __init__(self, node: BalancerNode, ports: NodePorts) -> None:
        self._node = node
        record = node.own.record
        self.link_manager = LinkManager(node.peers, ports)
        self.zone_monitor = ZoneMonitor(node.own, node.table, ports)
        self._overlay = OverlayView(node.own, node.table, ports)
        self._own_address = (record.host, record.control_port)
        self._seeds = SeedReader(record.availability_zone, ports)
        self._detector = FailureDetector(
            record, node.table, node.peers, ports.timers, ports.limits
        )

    def silent_members(self) -> list[MemberRecord]:
        """Mark silent members as suspect and return their records."""
        return self._detector.check(
            self._overlay.watched(), self._overlay.zone_balancer_ids()
        )

    def dead_members(self) -> list[MemberRecord]:
        """Declare overdue suspects dead and return their records."""
        return self._node.table.expire(self._detector.may_declare_dead)

    def adjust_links(self) -> None:
        """Open and close links as the overlay and bridge slot require."""
        self.link_manager.adjust(self._wanted_links())

    def _wanted_links(self) -> dict[str, Address]:
        wanted = {
            **self._overlay.wanted_links(),
            **self._node.bridge.wanted_links(),
        }
        if self._node.peers.with_role(PeerRole.ZONE):
            self._seeds.reset_pause()
            return wanted
        seeds = set(self._seeds.addresses()) - {self._own_address}
        return wanted | {f'seed {entry}': entry for entry in seeds}

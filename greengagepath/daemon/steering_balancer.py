"""Daemon of a balancer for plain flows."""

import logging
import random
import signal
from typing import Protocol

import gevent
from gevent.event import Event
from result import Err

from ..exit_codes import ExitCode
from ..logs import log_event
from ..steering.balancer_contacts import BalancerIdentity
from ..steering.balancer_steering import BalancerSteering
from ..steering.peer_messages import decode_message
from ..steering.rotation import BalancerStage
from ..steering.segments import Segment
from ..steering.settings import SteeringSettings, pack_address
from ..steering.store import Member, MemberRole, SteeringStore
from ..timers import LoopTimerService
from .datagram_socket import DatagramSocket
from .http_listener import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    HttpListener,
    HttpReply,
    HttpRequest,
)
from .membership_listing import MembershipListing
from .peer_addresses import PeerAddresses
from .route_follower import RouteFollower
from .steering_metrics import SteeringMetrics

READINESS_PATH = '/ready'
# The fabric stops sending after two probes, one each 500 ms; packets
# that are under way follow.
LEAVE_S = 1.9
# The process ends this long before it would be killed.
LEAVE_RESERVE_S = 0.6
LEAVE_POLL_S = 0.1
# A balancer without agents for this long serves to refuse truthfully.
READY_WITHOUT_AGENTS_S = 4.0

_logger = logging.getLogger(__name__)


class PacketCodec(Protocol):
    """Packets of callers on the platform's wire."""

    def decode_from_caller(self, raw: bytes) -> Segment | None:
        """Return a packet, None if the bytes are none."""

    def encode_reset(self, flow: bytes) -> bytes:
        """Return a reset of a flow that has not opened."""

    def caller_address(self, flow: bytes) -> bytes:
        """Return the caller's packed address."""


class BalancerDaemon:
    """Sockets around the decisions of a balancer."""

    def __init__(
        self,
        settings: SteeringSettings,
        codec: PacketCodec,
        store: SteeringStore,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._timers = LoopTimerService()
        self._stopping = Event()
        self._is_leaving = False
        self.steering = BalancerSteering(
            BalancerIdentity(settings.address, settings.availability_zone),
            self._timers,
            self,
            self._note_behind,
        )
        counts = self.steering.counts
        data_address = settings.listening.data or (settings.host, 0)
        self._callers = DatagramSocket(
            data_address,
            self._take_from_caller,
            counts,
            self.steering.backlog.note_empty,
        )
        self._peers = DatagramSocket(
            (settings.host, settings.balancer_port),
            self._take_from_peer,
            counts,
            _ignore_empty,
        )
        self._callers_at = PeerAddresses(data_address[1])
        self._agents_at = PeerAddresses(settings.agent_port)
        self._balancers_at = PeerAddresses(settings.balancer_port)
        self._follower = RouteFollower(store, self.steering, random.Random())
        self._listing = MembershipListing(
            store,
            Member(settings.address, MemberRole.BALANCER),
            self._take_members,
        )
        self._metrics = SteeringMetrics(
            counts, lambda: store.calls, self._read_gauges
        )
        self._started_s = self._timers.now()

    def run(self) -> ExitCode:
        """Serve until SIGTERM, then until the fabric has moved on."""
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, _ignore_reload)
        self._timers.start()
        self._callers.start()
        self._peers.start()
        if self._settings.listening.readiness:
            HttpListener(
                self._settings.listening.readiness, self._answer
            ).start()
        port = self._settings.listening.metrics_port
        self._metrics.serve(self._settings.host, port)
        seeds = [pack_address(host) for host, _ in self._settings.seeds]
        self.steering.contacts.add_balancers([seed for seed in seeds if seed])
        self._follower.start()
        self._listing.start()
        log_event(_logger, 'balancer.started')
        self._stopping.wait()
        self._leave()
        log_event(_logger, 'balancer.stopped', **self.steering.counts)
        return ExitCode.OK

    def _read_gauges(self) -> dict[str, float]:
        contacts = self.steering.contacts
        return {
            'configuration_version': self.steering.routes.version,
            'latest_version': self.steering.routes.latest_seen,
            'agents': len(contacts.agents.by_address),
            'pauses': contacts.agents.pauses,
            'stage': contacts.stage,
        }

    def _leave(self) -> None:
        """Go out of rotation when others are in, and forward till then."""
        asked_s = self._timers.now()
        log_event(_logger, 'balancer.leaving', **self.steering.counts)
        self.steering.contacts.rotation.ask_to_leave()
        self.steering.contacts.enter_stage(BalancerStage.LEAVING)
        limit_s = self._settings.termination_s - LEAVE_S - LEAVE_RESERVE_S
        while not self.steering.contacts.rotation.may_leave():
            if self._timers.now() - asked_s >= limit_s:
                break
            gevent.sleep(LEAVE_POLL_S)
        self._is_leaving = True
        waited_s = round(self._timers.now() - asked_s, 3)
        log_event(_logger, 'balancer.out_of_rotation', waited_s=waited_s)
        gevent.sleep(LEAVE_S)

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send to an agent."""
        self._peers.send(datagram, self._agents_at.find(address))

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send to a balancer."""
        self._peers.send(datagram, self._balancers_at.find(address))

    def reset(self, flow: bytes) -> None:
        """Send a reset to the caller of a flow that has not opened."""
        caller = self._codec.caller_address(flow)
        self._callers.send(
            self._codec.encode_reset(flow), self._callers_at.find(caller)
        )

    def _note_behind(self) -> None:
        self._follower.note_behind()

    def _take_members(
        self, balancers: list[bytes], agents: list[bytes]
    ) -> None:
        self.steering.contacts.add_balancers(balancers)
        self.steering.contacts.add_agents(agents)

    def _take_from_caller(self, raw: bytes, _: str) -> None:
        segment = self._codec.decode_from_caller(raw)
        if segment is None:
            self.steering.counts['dropped_unreadable'] += 1
            return
        self.steering.take_from_caller(segment)

    def _take_from_peer(self, datagram: bytes, host: str) -> None:
        decoded = decode_message(datagram)
        sender = pack_address(host)
        if isinstance(decoded, Err) or sender is None:
            self.steering.counts['dropped_unreadable'] += 1
            return
        self.steering.take_peer_message(sender, decoded.ok_value)

    def _answer(self, request: HttpRequest) -> HttpReply:
        if request.path.partition('?')[0] != READINESS_PATH:
            return HttpReply(NOT_FOUND)
        return HttpReply(OK if self._is_ready() else UNAVAILABLE)

    def _is_ready(self) -> bool:
        if self._is_leaving or self.steering.routes.table is None:
            return False
        age_s = self._timers.now() - self._started_s
        if not self.steering.has_agents and age_s < READY_WITHOUT_AGENTS_S:
            return False
        if self.steering.contacts.stage is BalancerStage.STARTING:
            log_event(_logger, 'balancer.ready', after_s=round(age_s, 3))
            self.steering.contacts.enter_stage(BalancerStage.READY)
        return True


def _ignore_empty() -> None:
    """Reports of peers are worth reading however late."""


def _ignore_reload() -> None:
    log_event(_logger, 'settings.unchanged')

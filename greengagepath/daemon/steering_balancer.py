"""Balancer process for plain flows."""

import logging
import random

import gevent

from ..foundation.exit_codes import ExitCode
from ..foundation.logs import log_event
from ..foundation.start_steps import StartSteps
from ..steering.balancer.balancer_contacts import BalancerIdentity
from ..steering.balancer.balancer_steering import BalancerSteering
from ..steering.balancer.rotation import (
    FAILED_PROBES_S,
    TRANSIT_S,
    BalancerStage,
    find_leave_wait_s,
)
from ..steering.messages.peer_messages import PeerKind, PeerMessage
from ..steering.settings import SteeringSettings
from ..steering.store import MemberList, MemberRole, SteeringStore
from .datagram_socket import DatagramSocket
from .evacuation_follower import EvacuationFollower
from .http_listener import (
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    HttpReply,
    HttpRequest,
)
from .peer_addresses import PeerAddresses
from .route_follower import RouteFollower
from .steering_process import SteeringCodec, SteeringProcess, ignore_empty

LEAVE_POLL_S = 0.02
# A balancer that has found no agent for this long becomes ready: most
# likely there is none, so that it refuses flows for a true reason.
READY_WITHOUT_AGENTS_S = 4.0

_logger = logging.getLogger(__name__)


class BalancerDaemon(SteeringProcess):
    """One balancer process; `run` returns when it has stopped.

    The constructor raises OSError if a UDP port cannot be bound.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        codec: SteeringCodec,
        store: SteeringStore,
        steps: StartSteps | None = None,
    ) -> None:
        super().__init__(settings, store, MemberRole.BALANCER, steps)
        self._codec = codec
        self._is_leaving = False
        self.steering = BalancerSteering(
            BalancerIdentity(settings.address, settings.availability_zone),
            self._timers,
            self,
            lambda: self._follower.request_catch_up(),
        )
        self.steering.contacts.eras = store.eras
        counts = self.steering.counts
        data_address = settings.listening.data or (settings.host, 0)
        self._caller_addresses = PeerAddresses(data_address[1])
        self._callers = DatagramSocket(
            data_address,
            self._handle_caller_packet,
            counts,
            self.steering.backlog.mark_socket_empty,
        )
        self._bind(settings.balancer_port, counts, ignore_empty)
        self._follower = RouteFollower(
            store, self.steering, random.Random(), store.apply_s
        )
        self._evacuations = EvacuationFollower(
            store, self.steering, random.Random(), settings.bounds.evacuate_s
        )
        self._follower.on_applied = self._record_progress
        self._started_s = self._timers.now()

    def run(self) -> ExitCode:
        """Serve until a signal, then until the fabric sends nothing more."""
        self._open(self._settings.listening.readiness)
        self._callers.start()
        self.steering.contacts.add_balancers(self._settings.seeds)
        # Seeds tell agents of this balancer, which then report to it, also
        # while the store does not answer.
        self.steering.contacts.announce()
        self._follower.start()
        if self._settings.bounds.evacuate_s:
            self._evacuations.start()
        self._listing.start()
        log_event(_logger, 'balancer.started', apply_s=self._store.apply_s)
        self._stopping.wait()
        self._leave()
        log_event(_logger, 'balancer.stopped', **self.steering.counts)
        return ExitCode.OK

    def _read_gauges(self) -> dict[str, float]:
        contacts = self.steering.contacts
        return {
            'configuration_version': self.steering.routes.version,
            'latest_version': self.steering.routes.latest_seen,
            'store_age_s': contacts.freshness.age_s,
            'agents': len(contacts.agents.by_address),
            'pauses': contacts.agents.pauses,
            'evacuated_zones': len(contacts.zones.zones.digests),
            'zones_era': contacts.zones.zones.version.era,
            'zones_revision': contacts.zones.zones.version.revision,
            'store_era': self._store.eras.latest,
            'zones_age_s': contacts.zones.freshness.age_s,
            'stage': contacts.stage,
        }

    def _leave(self) -> None:
        """Forward until the balancer may leave the rotation, then leave it."""
        asked_s = self._timers.now()
        log_event(_logger, 'balancer.leaving', **self.steering.counts)
        rotation = self.steering.contacts.rotation
        rotation.request_leave(
            find_leave_wait_s(self._settings.bounds.termination_s)
        )
        self.steering.contacts.enter_stage(BalancerStage.LEAVING)
        while not rotation.may_leave():
            gevent.sleep(LEAVE_POLL_S)
        self._is_leaving = True
        waited_s = round(self._timers.now() - asked_s, 3)
        log_event(
            _logger,
            'balancer.out_of_rotation',
            waited_s=waited_s,
            zone_peers=rotation.count_peers(),
            ready=rotation.count_ready(),
            silent=rotation.count_silent(),
        )
        gevent.sleep(FAILED_PROBES_S + TRANSIT_S)

    def reset(self, flow: bytes) -> None:
        """Send a reset to the caller of a flow that has not been opened."""
        caller = self._codec.caller_address(flow)
        self._callers.send(
            self._codec.encode_reset(flow), self._caller_addresses.find(caller)
        )

    def _hears_only(self, members: MemberList) -> bool:
        agents = self.steering.contacts.agents
        listed = members.find_addresses(MemberRole.AGENT)
        is_listed = set(agents.present_addresses) <= set(listed)
        return agents.knowledge.is_settled and is_listed

    def _add_members(self, members: MemberList) -> None:
        contacts = self.steering.contacts
        contacts.add_balancers(members.find_addresses(MemberRole.BALANCER))
        contacts.agent_lists.record_listed(
            members.find_addresses(MemberRole.AGENT),
            is_vouched=members.is_vouched,
        )

    def _handle_caller_packet(self, raw: bytes, _: str) -> None:
        segment = self._codec.decode_from_caller(raw)
        if segment is None:
            self.steering.counts['dropped_unreadable'] += 1
            return
        self.steering.handle_caller_packet(segment)

    def _handle_peer_message(self, sender: bytes, message: PeerMessage) -> None:
        segment = None
        if message.kind is PeerKind.DENIED:
            segment = self._codec.decode_from_caller(message.body)
        self.steering.handle_peer_message(sender, message, segment)
        if not self._steps.has('agents'):
            self._record_progress()

    def _record_progress(self) -> None:
        if self.steering.routes.table is not None:
            self._steps.record('routes')
        if self.steering.has_agents:
            self._steps.record('agents')

    def _answer(self, request: HttpRequest) -> HttpReply:
        if request.path.partition('?')[0] != self._codec.readiness_path:
            return HttpReply(NOT_FOUND)
        if not self._is_ready():
            return HttpReply(UNAVAILABLE)
        if self.steering.contacts.stage is BalancerStage.STARTING:
            after_s = round(self._timers.now() - self._started_s, 3)
            log_event(_logger, 'balancer.ready', after_s=after_s)
            self._log_start('ready')
            self.steering.contacts.enter_stage(BalancerStage.READY)
        return HttpReply(OK)

    def _is_ready(self) -> bool:
        if self._is_leaving or self.steering.routes.table is None:
            return False
        age_s = self._timers.now() - self._started_s
        return self.steering.has_agents or age_s >= READY_WITHOUT_AGENTS_S

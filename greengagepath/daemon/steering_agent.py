"""Agent process for plain flows."""

import logging
from typing import Protocol

import gevent
from result import Err, Result

from ..foundation.exit_codes import ExitCode
from ..foundation.logs import log_event
from ..foundation.start_steps import StartSteps
from ..steering.agent.agent_context import AgentIdentity
from ..steering.agent.agent_steering import AgentSteering
from ..steering.messages.peer_messages import (
    PeerKind,
    PeerMessage,
    digest_service,
)
from ..steering.messages.segments import Segment
from ..steering.neighbours import digest_zone
from ..steering.settings import SteeringSettings
from ..steering.store import MemberList, MemberRole, SteeringStore
from ..steering.targets.incarnations import Heartbeat
from ..steering.targets.target_gate import HeartbeatOutcome, TargetPhase
from .datagram_socket import DatagramSocket
from .http_listener import (
    BAD_REQUEST,
    NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    HttpReply,
    HttpRequest,
)
from .peer_addresses import PeerAddresses
from .steering_process import SteeringCodec, SteeringProcess, ignore_empty

LEAVE_RESERVE_S = 0.8
LEAVE_POLL_S = 0.1

_logger = logging.getLogger(__name__)


class AgentCodec(SteeringCodec, Protocol):
    """Decodes packets and heartbeats on the platform's wire."""

    def decode_from_target(self, raw: bytes) -> Segment | None:
        """Decode a target's packet; None if it is malformed."""

    def decode_target_id(self, path: str) -> str | None:
        """Return the target id in a path; None if it has none."""

    def decode_heartbeat(
        self, target_id: str, body: bytes, service: str
    ) -> Result[Heartbeat, str]:
        """Decode a heartbeat; the error is the reason of a refusal."""

    @property
    def acknowledgement(self) -> bytes:
        """The body that acknowledges a heartbeat."""


class AgentDaemon(SteeringProcess):
    """One agent process; `run` returns when it has stopped.

    The constructor raises OSError if a UDP port cannot be bound.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        codec: AgentCodec,
        store: SteeringStore,
        steps: StartSteps | None = None,
    ) -> None:
        super().__init__(settings, store, MemberRole.AGENT, steps)
        self._codec = codec
        identity = AgentIdentity(
            settings.address,
            digest_service(settings.service),
            heartbeat_s=settings.heartbeat_ms / 1000,
            idle_s=settings.bounds.flow_lifetime_s,
            is_first_start=settings.first_start,
            zone=digest_zone(settings.availability_zone),
            zone_digest=digest_service(settings.availability_zone),
            cold_bounds=settings.bounds.cold,
        )
        identity.evacuate_s = settings.bounds.evacuate_s
        self.steering = AgentSteering(identity, self._timers, self)
        context = self.steering.context
        self._target_address = settings.target_address or (settings.host, 0)
        data_port = (settings.listening.data or ('', 0))[1]
        self._caller_addresses = PeerAddresses(data_port)
        self._target = DatagramSocket(
            settings.listening.target_outbound or (settings.host, 0),
            self._handle_target_packet,
            context.counts,
            ignore_empty,
        )
        self._bind(
            settings.agent_port,
            context.counts,
            self.steering.backlog.mark_socket_empty,
        )
        self._metrics.durations_by_step['handshake'] = (
            context.held_flows.handshakes
        )
        self._metrics.durations_by_step['request'] = context.held_flows.requests
        self._metrics.durations_by_step['waiting'] = (
            self.steering.waits.durations
        )

    def run(self) -> ExitCode:
        """Serve until a signal, then until the target is gone."""
        listening = self._settings.listening
        self._open(listening.heartbeats, listening.readiness)
        self._target.start()
        self._add_balancers(self._settings.seeds)
        self._listing.start()
        log_event(_logger, 'agent.started', service=self._settings.service)
        self._log_start('serving')
        self._stopping.wait()
        self._leave()
        log_event(_logger, 'agent.stopped', **self.steering.context.counts)
        return ExitCode.OK

    def to_target(self, raw: bytes) -> None:
        """Send a caller's packet to the target."""
        self._target.send(raw, self._target_address)

    def to_caller(self, flow: bytes, raw: bytes) -> None:
        """Send a target's packet to the caller of the flow."""
        caller = self._codec.caller_address(flow)
        self._target.send(raw, self._caller_addresses.find(caller))

    def reset(self, flow: bytes) -> None:
        """Send a reset to the caller of a flow that has not been opened."""
        self.to_caller(flow, self._codec.encode_reset(flow))

    def reset_open(self, flow: bytes, sequence: int) -> None:
        """Send a reset to the caller of an open flow."""
        self.to_caller(flow, self._codec.encode_reset(flow, sequence))

    def _read_gauges(self) -> dict[str, float]:
        context = self.steering.context
        pace_limit = context.held_flows.pace.limit(self._timers.now())
        return {
            'flows_held': len(context.held_flows.by_flow),
            'load': context.held_flows.load,
            'openings_waiting': len(self.steering.waits),
            'open_flows': len(context.held_flows.standing_load),
            'open_flow_routes': context.held_flows.standing_load.count_routes(),
            'open_flows_busy_share': context.estimate_standing_share(),
            'service_s': context.estimate_service_s(),
            'pace_limit': -1 if pace_limit is None else pace_limit,
            'agents': len(context.peers.agents),
            'balancers': len(context.peers.balancers),
            'latest_version': context.latest_version,
            'is_evacuated': context.is_evacuated,
            'zones_era': context.zone.zones.version.era,
            'zones_revision': context.zone.zones.version.revision,
            'store_era': self._store.eras.latest,
            'is_cold_limited': not context.allows_cold(),
        }

    def _leave(self) -> None:
        """Leave the service, and forward while the target still runs."""
        log_event(
            _logger,
            'agent.leaving',
            phase=self.steering.context.gate.phase.value,
            flows=len(self.steering.context.held_flows.by_flow),
        )
        self.steering.leave()
        if self.steering.context.gate.phase is TargetPhase.GONE:
            self._listing.stop()
            self._store.remove_member(self._own)
            return
        end_s = self._timers.now() + self._settings.bounds.termination_s
        end_s -= LEAVE_RESERVE_S
        while self._timers.now() < end_s:
            if self.steering.context.gate.phase is TargetPhase.GONE:
                return
            gevent.sleep(LEAVE_POLL_S)

    def _add_members(self, members: MemberList) -> None:
        # Agents of other services answer with a report that contains
        # their service, and are not stored.
        agents = self.steering.context.peers.record_listed(
            members.find_addresses(MemberRole.AGENT),
            is_vouched=members.is_vouched,
        )
        self._add_balancers(members.find_addresses(MemberRole.BALANCER))
        self.steering.reports.report_to(agents, asks=True)

    def _add_balancers(self, addresses: list[bytes]) -> None:
        peers = self.steering.context.peers
        added = [
            address for address in addresses if peers.record_balancer(address)
        ]
        self.steering.reports.report_to(added, asks=True)

    def _handle_target_packet(self, raw: bytes, _: str) -> None:
        segment = self._codec.decode_from_target(raw)
        if segment is None:
            self.steering.context.counts['dropped_unreadable'] += 1
            return
        self.steering.handle_target_packet(segment)

    def _handle_peer_message(self, sender: bytes, message: PeerMessage) -> None:
        if message.kind is PeerKind.PRESENCE:
            self._listing.record_peer_era(message.priority)
        segment = None
        if message.kind <= PeerKind.SEARCH:
            segment = self._codec.decode_from_caller(message.body)
        self.steering.handle_peer_message(sender, message, segment)

    def _answer(self, request: HttpRequest) -> HttpReply:
        if request.path.partition('?')[0] == self._codec.readiness_path:
            return HttpReply(UNAVAILABLE if self._stopping.is_set() else OK)
        target_id = self._codec.decode_target_id(request.path)
        if target_id is None:
            return HttpReply(NOT_FOUND)
        match request.method:
            case 'PUT':
                return self._handle_heartbeat(target_id, request.body)
            case 'DELETE':
                self.steering.handle_departure(target_id)
                return HttpReply(OK, self._codec.acknowledgement)
        return HttpReply(NOT_ALLOWED)

    def _handle_heartbeat(self, target_id: str, body: bytes) -> HttpReply:
        decoded = self._codec.decode_heartbeat(
            target_id, body, self._settings.service
        )
        if isinstance(decoded, Err):
            self.steering.context.counts['heartbeats_unreadable'] += 1
            log_event(
                _logger,
                'heartbeat.refused',
                level=logging.WARNING,
                repeats=True,
                target_id=target_id,
                reason=decoded.err_value,
            )
            return HttpReply(BAD_REQUEST)
        outcome = self.steering.handle_heartbeat(decoded.ok_value)
        if outcome is HeartbeatOutcome.STALE:
            # What was not applied is not acknowledged: the target reports
            # again at its next interval.
            return HttpReply(UNAVAILABLE)
        return HttpReply(OK, self._codec.acknowledgement)

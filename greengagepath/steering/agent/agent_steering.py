"""Packet and message handling of an agent for plain flows."""

import logging

from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ..backlog import STALE_AFTER_S
from ..flows.flow_phase import FlowEvent
from ..flows.held_flow import HeldFlow
from ..flows.owner_search import MAX_OWNERS, OwnerSearch
from ..messages.peer_messages import PeerKind, PeerMessage
from ..messages.segments import Segment
from ..openings.agent_openings import AgentOpenings
from ..recent_map import RecentMap
from ..targets.incarnations import Heartbeat
from ..targets.paced_targets import PaceWatch
from ..targets.target_gate import HeartbeatOutcome
from ..targets.target_resets import TargetResets
from ..targets.target_responses import record_reset, record_response
from .agent_context import AgentContext, AgentIdentity, AgentOutbox
from .agent_reports import AgentReports
from .agent_routes import AgentRoutes
from .agent_zones import AgentZones
from .leave_notices import LeaveNotices

CHECK_S = 0.02
SWEEP_S = 1.0
ROTATE_S = 30.0

# Kinds of messages about processes instead of a single flow.
_PROCESS_KINDS = frozenset(
    (
        PeerKind.REPORT,
        PeerKind.PRESENCE,
        PeerKind.PART,
        PeerKind.PULL,
        PeerKind.ZONES,
    )
)
# Kinds of messages about the holder of one flow.
_NOTICE_KINDS = frozenset((PeerKind.HELD, PeerKind.NOT_HELD, PeerKind.LOST))

_logger = logging.getLogger(__name__)


class AgentSteering:
    """Admits flows to one target and is the home of part of the flows.

    Every packet for the target passes this agent last, so it can refuse
    or hand over a flow that others sent with an outdated state of the
    target. As a home, it places the opening packets of its share of the
    service's flows.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        timers: TimerService,
        outbox: AgentOutbox,
    ) -> None:
        self.context = AgentContext(identity, timers, outbox)
        self.reports = AgentReports(self.context)
        self._routes = AgentRoutes(self.context)
        self._zones = AgentZones(self.context, self.reports)
        owner_by_flow: RecentMap[bytes, bytes] = RecentMap(MAX_OWNERS)
        self._owner_by_flow = owner_by_flow
        self._openings = AgentOpenings(
            self.context, self.reports, owner_by_flow
        )
        self.waits = self._openings.waits
        self._dispatch = self._openings.dispatch
        self._search = OwnerSearch(self.context, self.reports, owner_by_flow)
        self._resets = TargetResets(self.context, self._openings, self._search)
        self._notices = LeaveNotices(self.context, self.reports)
        self._pace_watch = PaceWatch(self.context)
        self.backlog = self.context.backlog
        timers.subscribe_pauses(self._exclude_pause)
        timers.subscribe(CHECK_S, self._check)
        timers.subscribe(SWEEP_S, self._sweep)
        timers.subscribe(ROTATE_S, self._search.rotate)

    def handle_peer_message(
        self, sender: bytes, message: PeerMessage, segment: Segment | None
    ) -> None:
        """Handle a datagram of another process.

        `segment` is the caller's packet that the message carries, None
        if it carries none.
        """
        context = self.context
        context.latest_version = max(context.latest_version, message.version)
        context.peers.record_message(sender, self.backlog.last_empty_s)
        match message.kind:
            case kind if kind in _PROCESS_KINDS:
                self._handle_process_message(sender, message)
            case _ if message.service != context.identity.service:
                context.drop('foreign_service', message.kind.name)
            case kind if kind in _NOTICE_KINDS:
                self._handle_notice(sender, message.kind, message.body)
            case _ if segment is None:
                context.drop('unreadable_packet', message.kind.name)
            case _ if segment.is_opening:
                if self.backlog.is_stale():
                    context.counts['dropped_stale'] += 1
                    return
                self._openings.handle_opening(message, segment)
            case _:
                self._handle_packet(sender, message, segment)

    def _handle_notice(
        self, sender: bytes, kind: PeerKind, flow: bytes
    ) -> None:
        lost_flows = self._search.lost_flows
        match kind:
            case PeerKind.HELD:
                self._owner_by_flow.put(flow, sender)
                lost_flows.record_owner(flow)
            case PeerKind.NOT_HELD:
                lost_flows.record_denial(sender, flow)
            case _ if flow not in self.context.held_flows.by_flow:
                lost_flows.record_lost(flow)

    def _handle_process_message(
        self, sender: bytes, message: PeerMessage
    ) -> None:
        match message.kind:
            case PeerKind.REPORT:
                self.reports.handle_report(sender, message)
                self._dispatch.serve_after_report(sender)
            case PeerKind.PRESENCE:
                self.reports.handle_presence(sender, message)
            case PeerKind.PART:
                self._routes.handle_part(message)
            case PeerKind.PULL:
                self._routes.send_routes(sender)
            case PeerKind.ZONES:
                self._zones.handle_notice(sender, message)

    def handle_target_packet(self, segment: Segment) -> None:
        """Handle a packet that the target sent or sent back."""
        if segment.is_returned:
            self._handle_returned(segment)
            return
        context = self.context
        held = context.held_flows.by_flow.get(segment.flow)
        if segment.is_reset and self._resets.withhold(segment, held):
            return
        context.gate.record_activity()
        if held is None and segment.is_opening_answer:
            self._openings.drop_answer(segment)
            return
        context.outbox.to_caller(segment.flow, segment.raw)
        self._search.record_accepted(segment.flow)
        if held is None:
            held = context.held_flows.add_existing(
                segment.flow, context.timers.now()
            )
        self._record_target_packet(segment, held)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Handle a heartbeat of the target; return what it changed."""
        gate = self.context.gate
        flows = self.context.held_flows
        is_first = gate.incarnations.current is None
        outcome = gate.handle_heartbeat(heartbeat)
        self._zones.handle_heartbeat(heartbeat, outcome)
        now_s = self.context.timers.now()
        if outcome is HeartbeatOutcome.NEW_INCARNATION:
            flows.forget_load(gate.slots, now_s)
        elif is_first and gate.incarnations.current is not None:
            flows.pace.restart(gate.slots, now_s)
        if gate.incarnations.take_restart():
            self._search.stop_trying()
        if outcome in {
            HeartbeatOutcome.NEW_INCARNATION,
            HeartbeatOutcome.CHANGED,
        }:
            log_event(
                _logger,
                'target.changed',
                target_id=heartbeat.target_id,
                started_ms=heartbeat.started_ms,
                sequence=heartbeat.sequence,
                phase=gate.phase.value,
                outcome=outcome.value,
            )
            self.reports.send_all()
        if outcome is HeartbeatOutcome.STALE:
            _log_stale(self.context, heartbeat)
        return outcome

    def handle_departure(self, target_id: str) -> None:
        """Handle the target's departure; ignore that of an earlier target."""
        if not self.context.gate.handle_departure(target_id):
            self.context.counts['heartbeats_stale'] += 1
            return
        log_event(_logger, 'target.gone', target_id=target_id)
        self.reports.send_all()

    def leave(self) -> None:
        """Stop accepting flows; those at the target continue."""
        self.context.is_leaving = True
        self._notices.start()
        self.reports.send_all()
        self._dispatch.release()

    def _handle_packet(
        self, sender: bytes, message: PeerMessage, segment: Segment
    ) -> None:
        held = self.context.held_flows.by_flow.get(segment.flow)
        if held is None or not held.matches(segment):
            self._search.handle_unknown(sender, message, segment, held)
            return
        self._deliver(segment, held)
        is_relayed = message.kind is not PeerKind.FORWARD
        if is_relayed or message.balancer != held.balancer:
            held.balancer = message.balancer
            self.reports.send_held_to_balancer(segment.flow, message.balancer)
        if message.kind is PeerKind.SEARCH:
            self.reports.send_notice(PeerKind.HELD, segment.flow, sender)

    def _deliver(self, segment: Segment, held: HeldFlow) -> None:
        context = self.context
        now_s = context.timers.now()
        held.last_used_s = now_s
        held.is_confirmed = True
        if segment.data_bytes:
            slots = context.gate.slots
            context.held_flows.record_request(segment.flow, held, slots, now_s)
        event = _find_event(segment, FlowEvent.CALLER_FINAL)
        if event is not None:
            context.held_flows.record_event(segment.flow, held, event, now_s)
        context.outbox.to_target(segment.raw)

    def _handle_returned(self, segment: Segment) -> None:
        # Not recorded as activity of the target: packets for an absent
        # target are sent back too.
        flows = self.context.held_flows
        if segment.is_opening:
            held = flows.by_flow.get(segment.flow)
            self._openings.handle_returned(segment, held)
            return
        held = flows.remove(segment.flow)
        if held is None:
            self._search.handle_rejected(segment.flow, segment)
        else:
            self._search.handle_lost(segment, held)

    def _record_target_packet(self, segment: Segment, held: HeldFlow) -> None:
        """Update a flow after a packet of the target."""
        flows = self.context.held_flows
        now_s = self.context.timers.now()
        held.last_used_s = now_s
        if segment.is_opening_answer:
            self._handle_opened(segment, held)
        elif segment.data_bytes:
            record_response(self.context, segment, held)
        elif segment.is_reset:
            record_reset(self.context, segment, held)
        held.record_sent(segment)
        event = _find_event(segment, FlowEvent.TARGET_FINAL)
        if event is not None:
            flows.record_event(segment.flow, held, event, now_s)
        if not segment.is_opening_answer:
            self._dispatch.serve()

    def _handle_opened(self, segment: Segment, held: HeldFlow) -> None:
        if held.is_answered and held.first_sequence == segment.sequence:
            return
        self.context.held_flows.record_opened(
            held, segment.sequence, self.context.timers.now()
        )
        self.context.counts['flows_opened'] += 1
        self.reports.send_held_to_balancer(segment.flow, held.balancer)
        if held.hops > 1:
            # The home only knows the first agent, to which it sent the
            # flow itself.
            self._notify_home(segment.flow)

    def _notify_home(self, flow: bytes) -> None:
        home = self.context.peers.homes.find_home(flow)
        if home and home != self.context.identity.address:
            self.reports.send_notice(PeerKind.HELD, flow, home)

    def _exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of others."""
        self.context.counts['pauses'] += 1
        self.context.peers.exclude_pause(pause_s)
        if pause_s > STALE_AFTER_S:
            self.context.peers.evidence.void('pause of this process')
        self.context.gate.exclude_pause(pause_s)

    def _check(self) -> None:
        self._openings.check_unanswered()
        self._search.check_trials()
        self._notices.send_due()
        self._pace_watch.check()
        self.context.held_flows.expire_expected(self.context.timers.now())
        self._dispatch.check()
        self.reports.send_due()

    def _sweep(self) -> None:
        now_s = self.context.timers.now()
        self._search.reset_search_limit()
        self._zones.check()
        self.context.held_flows.sweep(now_s, self.context.identity.idle_s)
        self.context.peers.remove_silent()
        self._routes.pull_routes()


def _find_event(segment: Segment, final: FlowEvent) -> FlowEvent | None:
    """Return how a packet closes its flow, None if it does not.

    `final` is the event of a final packet of the end that has sent it.
    """
    if segment.is_reset:
        return FlowEvent.RESET
    return final if segment.is_final else None


def _log_stale(context: AgentContext, heartbeat: Heartbeat) -> None:
    """Log a heartbeat that was not applied, and what it was weighed against."""
    context.counts['heartbeats_stale'] += 1
    current = context.gate.incarnations.current
    if current is None:
        return
    log_event(
        _logger,
        'heartbeat.dropped',
        repeats=True,
        target_id=heartbeat.target_id,
        started_ms=heartbeat.started_ms,
        sequence=heartbeat.sequence,
        is_draining=heartbeat.is_draining,
        current_id=current.target_id,
        current_started_ms=current.started_ms,
        current_sequence=current.sequence,
        current_age_s=round(context.timers.now() - current.last_heard_s, 3),
        phase=context.gate.phase.value,
    )

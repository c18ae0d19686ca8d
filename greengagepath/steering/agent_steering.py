"""Decisions of an agent for each packet of a plain flow."""

import logging
from collections import Counter
from typing import Protocol

from result import Err

from ..logs import log_event
from ..timers import TimerService
from .agent_peers import AgentPeers
from .held_flows import HeldFlow, HeldFlows
from .peer_messages import (
    NO_ADDRESS,
    LoadReport,
    PeerKind,
    PeerMessage,
    ReportedState,
    decode_report,
    decode_roster,
)
from .placement import choose_peer, estimate_finish_s, find_usual_s
from .recent_map import RecentMap
from .segments import Segment, describe_flow
from .target_gate import Heartbeat, HeartbeatOutcome, TargetGate

# Agents that an opening packet passes after its home.
MAX_HOPS = 3
# A target that would finish this much sooner is worth another hop.
HAND_OVER_GAIN_S = 0.004
# Least and longest time between reports to agents of the service.
REPORT_GAP_S = 0.01
REPORT_IDLE_S = 0.1
# Longest time between reports to balancers.
BALANCER_REPORT_S = 0.25
CHECK_S = 0.02
# An opening packet is answered within a millisecond; a target that
# leaves one unanswered at this many checks does not run.
UNANSWERED_CHECKS = 5
# Checks further apart than this mean that the process itself paused.
PAUSE_S = 0.15
SWEEP_S = 1.0
ROTATE_S = 30.0
MAX_OWNERS = 50000
# Searches that one agent starts in a second.
MAX_SEARCHES_PER_S = 2000

_logger = logging.getLogger(__name__)


class AgentOutbox(Protocol):
    """Where the datagrams of an agent go."""

    def to_target(self, raw: bytes) -> None:
        """Send a caller's packet to the target."""

    def to_caller(self, flow: bytes, raw: bytes) -> None:
        """Send a target's packet to the caller of the flow."""

    def reset(self, flow: bytes) -> None:
        """Send a reset of a flow that has not opened to its caller."""

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send to an agent."""

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send to a balancer."""


class AgentIdentity:
    """Who the agent is.

    `idle_s` is how long a silent flow is kept; `is_first_start` is True
    only if no flow can have been opened before this process.
    """

    __slots__ = (
        'address',
        'heartbeat_s',
        'idle_s',
        'is_first_start',
        'service',
    )

    def __init__(
        self,
        address: bytes,
        service: bytes,
        *,
        heartbeat_s: float,
        idle_s: float,
        is_first_start: bool,
    ) -> None:
        self.address = address
        self.service = service
        self.heartbeat_s = heartbeat_s
        self.idle_s = idle_s
        self.is_first_start = is_first_start


class AgentSteering:
    """Last gate of one target, and home of a share of its service's flows."""

    def __init__(
        self,
        identity: AgentIdentity,
        timers: TimerService,
        outbox: AgentOutbox,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.gate = TargetGate(timers, identity.heartbeat_s)
        self.held = HeldFlows()
        self.latest_version = 0
        self.peers = AgentPeers(identity.address, timers)
        self._identity = identity
        self._timers = timers
        self._outbox = outbox
        self._owner_by_flow: RecentMap[bytes, bytes] = RecentMap(MAX_OWNERS)
        # Flows whose packets the target was given without knowing
        # whether it holds them; True if others may be asked afterwards.
        self._tried: RecentMap[bytes, bytes] = RecentMap(MAX_OWNERS)
        started_s = timers.now()
        self._young_until_s = started_s
        if not identity.is_first_start:
            self._young_until_s = started_s + identity.idle_s
        self._checked_s = started_s
        self._reported_s = started_s
        self._balancers_told_s = started_s
        self._reported: tuple[int, ReportedState] | None = None
        self._searches_left = MAX_SEARCHES_PER_S
        self._is_leaving = False
        timers.subscribe(CHECK_S, self._check)
        timers.subscribe(SWEEP_S, self._sweep)
        timers.subscribe(ROTATE_S, self._rotate)

    def take_peer_message(
        self, sender: bytes, message: PeerMessage, segment: Segment | None
    ) -> None:
        """Handle a datagram of another process.

        `segment` is the caller's packet that the message carries, None
        if it carries none.
        """
        self._note_version(message.version)
        match message.kind:
            case PeerKind.REPORT:
                self._take_report(sender, message)
                return
            case PeerKind.PRESENCE:
                self._take_presence(sender, message)
                return
        if message.service != self._identity.service:
            self._drop('foreign_service', message.kind.name)
            return
        if message.kind is PeerKind.HELD:
            self._owner_by_flow.put(message.body, sender)
        elif segment is None:
            self._drop('unreadable_packet', message.kind.name)
        elif segment.is_opening:
            self._take_opening(message, segment)
        else:
            self._take_packet(sender, message, segment)

    def take_from_target(self, segment: Segment) -> None:
        """Handle a packet that the target sent or gave back."""
        if segment.is_returned:
            self._take_returned(segment)
            return
        self._outbox.to_caller(segment.flow, segment.raw)
        self.gate.note_answer()
        now_s = self._timers.now()
        held = self.held.by_flow.get(segment.flow)
        if segment.is_reset:
            if held is not None:
                self.held.note_closed(segment.flow, held, now_s)
            return
        if held is None:
            if segment.opens_answer:
                return
            held = self.held.learn(segment.flow, now_s)
        if segment.opens_answer:
            self._note_opened(segment, held)
        elif segment.is_refusal:
            self.counts['requests_refused'] += 1
            self.held.note_refusal(segment.flow, held, now_s)
        elif segment.data_bytes:
            self.held.note_response(segment.flow, held, now_s)
        if segment.is_final:
            self.held.note_closed(segment.flow, held, now_s)
        held.used_s = now_s

    def take_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Take what the target says of itself."""
        outcome = self.gate.take_heartbeat(heartbeat)
        if outcome is HeartbeatOutcome.NEW_LIFETIME:
            self.held.clear()
        if outcome in {HeartbeatOutcome.NEW_LIFETIME, HeartbeatOutcome.CHANGED}:
            log_event(
                _logger,
                'target.changed',
                target_id=heartbeat.target_id,
                started_ms=heartbeat.started_ms,
                phase=self.gate.phase.value,
                outcome=outcome.value,
            )
            self.report()
        if outcome is HeartbeatOutcome.STALE:
            self.counts['heartbeats_stale'] += 1
        return outcome

    def take_departure(self, target_id: str) -> None:
        """Take that the target leaves; names of other starts are ignored."""
        if not self.gate.take_departure(target_id):
            self.counts['heartbeats_stale'] += 1
            return
        log_event(_logger, 'target.gone', target_id=target_id)
        self.report()

    def leave(self) -> None:
        """Take no more flows; those of the target go on."""
        self._is_leaving = True
        self.report()

    def report(self) -> None:
        """Tell all contacts the load and state now."""
        self._tell_agents()
        self._tell_balancers()

    # Opening packets

    def _take_opening(self, message: PeerMessage, segment: Segment) -> None:
        flow = segment.flow
        held = self.held.by_flow.get(flow)
        if held is not None and not held.is_closed:
            held.used_s = self._timers.now()
            self._outbox.to_target(segment.raw)
            return
        if message.kind is PeerKind.OPEN:
            owner = self._owner_by_flow.get(flow)
            if owner is not None and owner in self.peers.load_by_address:
                self._pass_on(owner, message, segment, message.hops + 1)
                return
        self._place(message, segment)

    def _place(self, message: PeerMessage, segment: Segment) -> None:
        own_s = self._estimate_own_s()
        now_s = self._timers.now()
        best = None
        if message.hops < MAX_HOPS:
            best = choose_peer(self.peers.loads, now_s)
        if own_s is not None:
            margin_s = HAND_OVER_GAIN_S * message.hops
            if best is None or own_s <= best[0] + margin_s:
                self._accept(message, segment)
                return
        if best is None:
            self._refuse(segment.flow, message)
            return
        best[1].note_placement(now_s)
        self._owner_by_flow.put(segment.flow, best[1].address)
        self._pass_on(best[1].address, message, segment, message.hops + 1)

    def _accept(self, message: PeerMessage, segment: Segment) -> None:
        now_s = self._timers.now()
        self.held.accept(segment, message.balancer, message.hops, now_s)
        self.counts['flows_offered'] += 1
        self._outbox.to_target(segment.raw)
        self._report_change()

    def _pass_on(
        self, owner: bytes, message: PeerMessage, segment: Segment, hops: int
    ) -> None:
        self.counts['flows_placed_elsewhere'] += 1
        self._send_agent(
            owner, PeerKind.PLACE, message.balancer, segment.raw, hops
        )

    def _refuse(self, flow: bytes, message: PeerMessage) -> None:
        self.counts['flows_refused'] += 1
        log_event(
            _logger,
            'flow.refused',
            repeats=True,
            flow=describe_flow(flow),
            hops=message.hops,
            phase=self.gate.phase.value,
            agents=len(self.peers.load_by_address),
            version=self.latest_version,
        )
        self._outbox.reset(flow)

    def _estimate_own_s(self) -> float | None:
        if self._is_leaving or not self.gate.is_open:
            return None
        if not self.gate.is_responsive:
            return None
        if self.held.is_full(self._timers.now()):
            return None
        return estimate_finish_s(
            self.held.load,
            self.gate.slots,
            self.held.service_time.usual_s,
            find_usual_s(self.peers.loads),
        )

    def _note_opened(self, segment: Segment, held: HeldFlow) -> None:
        if held.is_answered and held.first_sequence == segment.sequence:
            return
        held.first_sequence = segment.sequence
        held.is_answered = True
        held.opening = None
        self.counts['flows_opened'] += 1
        self._tell_held(segment.flow, held.balancer)
        if held.hops > 1:
            home = self.peers.homes.find_home(segment.flow)
            if home and home != self._identity.address:
                self._send_agent(home, PeerKind.HELD, NO_ADDRESS, segment.flow)

    # Packets of open flows

    def _take_packet(
        self, sender: bytes, message: PeerMessage, segment: Segment
    ) -> None:
        flow = segment.flow
        held = self.held.by_flow.get(flow)
        if held is not None and held.owns(segment):
            self._deliver(message, segment, held)
            if message.kind is not PeerKind.FORWARD or (
                message.balancer != held.balancer
            ):
                held.balancer = message.balancer
                self._tell_held(flow, message.balancer)
            if message.kind is PeerKind.SEARCH:
                self._send_agent(sender, PeerKind.HELD, NO_ADDRESS, flow)
            return
        if self._try_target(message, segment, held):
            return
        if message.kind is PeerKind.SEARCH:
            return
        self._find_owner(message, segment)

    def _deliver(
        self, message: PeerMessage, segment: Segment, held: HeldFlow
    ) -> None:
        now_s = self._timers.now()
        held.used_s = now_s
        if segment.data_bytes:
            self.held.note_request(
                segment.flow, held, self.gate.slots, now_s
            )
        elif segment.is_reset:
            self.held.note_closed(segment.flow, held, now_s)
        self._outbox.to_target(segment.raw)

    def _try_target(
        self, message: PeerMessage, segment: Segment, held: HeldFlow | None
    ) -> bool:
        """Give an unknown packet to the target if it may hold the flow."""
        if held is not None or self._timers.now() >= self._young_until_s:
            return False
        if self._tried.get(segment.flow) is not None:
            return False
        may_search = message.kind is not PeerKind.SEARCH
        self._tried.put(segment.flow, message.balancer if may_search else b'')
        self.counts['packets_tried'] += 1
        self._outbox.to_target(segment.raw)
        return True

    def _find_owner(self, message: PeerMessage, segment: Segment) -> None:
        owner = self._owner_by_flow.get(segment.flow)
        is_known = owner is not None and owner in self.peers.load_by_address
        if is_known and message.kind is PeerKind.FORWARD:
            self._send_agent(
                owner or b'', PeerKind.RELAY, message.balancer, segment.raw
            )
            self.counts['packets_relayed'] += 1
            return
        self._search(segment, message.balancer)

    def _search(self, segment: Segment, balancer: bytes) -> None:
        if self._searches_left <= 0:
            self._drop('searches', describe_flow(segment.flow))
            return
        self._searches_left -= 1
        self.counts['searches'] += 1
        for address in self.peers.agents:
            self._send_agent(address, PeerKind.SEARCH, balancer, segment.raw)

    def _take_returned(self, segment: Segment) -> None:
        self.gate.note_answer()
        held = self.held.remove(segment.flow)
        if segment.is_opening:
            self.counts['openings_returned'] += 1
            self._hand_over(segment, held)
            return
        self.counts['packets_returned'] += 1
        balancer = held.balancer if held else self._tried.get(segment.flow)
        if balancer:
            self._search(segment, balancer)

    def _hand_over(self, segment: Segment, held: HeldFlow | None) -> None:
        """Send an opening packet that the target did not take elsewhere."""
        balancer = held.balancer if held else NO_ADDRESS
        hops = (held.hops if held else 0) + 1
        best = None
        now_s = self._timers.now()
        if hops <= MAX_HOPS:
            best = choose_peer(self.peers.loads, now_s)
        message = PeerMessage(
            PeerKind.PLACE,
            self._identity.service,
            hops=hops,
            balancer=balancer,
        )
        if best is None:
            self._refuse(segment.flow, message)
            return
        best[1].note_placement(now_s)
        self._owner_by_flow.put(segment.flow, best[1].address)
        self._pass_on(best[1].address, message, segment, hops)

    # What peers and this agent tell each other

    def _take_report(self, sender: bytes, message: PeerMessage) -> None:
        decoded = decode_report(message.body)
        if isinstance(decoded, Err):
            self._drop('unreadable_report', decoded.err_value)
        elif message.service != self._identity.service:
            self.peers.remove_agent(sender)
        elif self.peers.take_report(sender, decoded.ok_value):
            self._send_report(sender)

    def _take_presence(self, sender: bytes, message: PeerMessage) -> None:
        decoded = decode_roster(message.body)
        if isinstance(decoded, Err):
            self._drop('unreadable_roster', decoded.err_value)
            return
        if self.peers.note_balancer(sender):
            self._tell_balancer(sender)
        if message.service == self._identity.service:
            self.introduce(self.peers.take_roster(decoded.ok_value))

    def introduce(self, addresses: list[bytes]) -> None:
        """Report to contacts that were not known before."""
        for address in addresses:
            if address in self.peers.balancers:
                self._tell_balancer(address)
            else:
                self._send_report(address)

    def _note_version(self, version: int) -> None:
        self.latest_version = max(self.latest_version, version)

    def _find_state(self) -> ReportedState:
        state = self.gate.report_state()
        if state is ReportedState.READY and self.held.is_full(
            self._timers.now()
        ):
            return ReportedState.FULL
        return state

    def _make_report(self) -> bytes:
        state = self._find_state()
        if self._is_leaving and state is ReportedState.READY:
            state = ReportedState.DRAINING
        report = LoadReport(
            state,
            started_ms=self.gate.started_ms,
            slots=self.gate.slots,
            load=self.held.load,
            service_s=self.held.service_time.usual_s,
        )
        self._reported = (report.load, report.state)
        return self._encode(PeerKind.REPORT, NO_ADDRESS, report.encode())

    def _report_change(self) -> None:
        if self._timers.now() - self._reported_s >= REPORT_GAP_S:
            self._tell_agents()

    def _tell_agents(self) -> None:
        self._reported_s = self._timers.now()
        encoded = self._make_report()
        for address in self.peers.agents:
            self._outbox.to_agent(address, encoded)

    def _tell_balancers(self) -> None:
        self._balancers_told_s = self._timers.now()
        encoded = self._make_report()
        for address in self.peers.balancers:
            self._outbox.to_balancer(address, encoded)

    def _tell_balancer(self, address: bytes) -> None:
        self._outbox.to_balancer(address, self._make_report())

    def _send_report(self, address: bytes) -> None:
        self._outbox.to_agent(address, self._make_report())

    def _tell_held(self, flow: bytes, balancer: bytes) -> None:
        if balancer and balancer != NO_ADDRESS:
            encoded = self._encode(PeerKind.HELD, NO_ADDRESS, flow)
            self._outbox.to_balancer(balancer, encoded)

    def _send_agent(
        self,
        address: bytes,
        kind: PeerKind,
        balancer: bytes,
        body: bytes,
        hops: int = 0,
    ) -> None:
        self._outbox.to_agent(address, self._encode(kind, balancer, body, hops))

    def _encode(
        self, kind: PeerKind, balancer: bytes, body: bytes, hops: int = 0
    ) -> bytes:
        message = PeerMessage(
            kind,
            self._identity.service,
            hops=hops,
            balancer=balancer,
            version=self.latest_version,
            body=body,
        )
        return message.encode()

    # Periodic

    def _check(self) -> None:
        now_s = self._timers.now()
        if now_s - self._checked_s > PAUSE_S:
            self.counts['pauses'] += 1
            self.peers.forgive(now_s - self._checked_s)
        self._checked_s = now_s
        self._check_unanswered()
        state = (self.held.load, self._find_state())
        idle_s = now_s - self._reported_s
        if idle_s >= REPORT_IDLE_S or state != self._reported:
            self._tell_agents()
        if now_s - self._balancers_told_s >= BALANCER_REPORT_S:
            self._tell_balancers()

    def _check_unanswered(self) -> None:
        for flow, held in tuple(self.held.unanswered(UNANSWERED_CHECKS)):
            if held.opening is None:
                continue
            self.counts['openings_unanswered'] += 1
            log_event(
                _logger,
                'target.unanswered',
                repeats=True,
                flow=describe_flow(flow),
                target_id=self.gate.target_id,
            )
            self.gate.note_unanswered(held.offered_s)
            self.held.remove(flow)
            self._hand_over(held.opening, held)

    def _sweep(self) -> None:
        self._searches_left = MAX_SEARCHES_PER_S
        self.held.sweep(self._timers.now(), self._identity.idle_s)
        self.peers.forget_silent()

    def _rotate(self) -> None:
        self._owner_by_flow.rotate()
        self._tried.rotate()

    def _drop(self, reason: str, detail: str) -> None:
        self.counts[f'dropped_{reason}'] += 1
        log_event(
            _logger,
            'datagram.dropped',
            level=logging.WARNING,
            repeats=True,
            reason=reason,
            detail=detail,
        )

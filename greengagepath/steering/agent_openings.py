"""Placement of opening packets: accept, hand over or refuse."""

import logging

from ..foundation.logs import log_event
from .agent_context import AgentContext
from .agent_reports import AgentReports
from .held_flows import HeldFlow
from .paced_targets import LIMIT_PENALTY_S, choose_at_limit, is_acceptable
from .peer_messages import PeerKind, PeerMessage
from .placement import (
    Estimate,
    PeerLoad,
    average_service_s,
    choose_peer,
)
from .recent_map import RecentMap
from .segments import Segment, describe_flow
from .settings import format_address

# An opening packet is forwarded by its home and at most this many more
# agents.
MAX_HOPS = 3
# Another target has to finish sooner by this time per hop so far.
HAND_OVER_GAIN_S = 0.004
# A running target answers an opening packet within a millisecond; if one
# is unanswered after this many checks, the target is not running.
UNANSWERED_CHECKS = 5
MS_PER_S = 1000
# Until this time after its start an agent may not have received the reports
# of all other agents.
WARM_UP_S = 0.5

_logger = logging.getLogger(__name__)


class AgentOpenings:
    """Accepts, hands over or refuses opening packets.

    `owner_by_flow` stores the agent to which this agent sent a flow.
    """

    def __init__(
        self,
        context: AgentContext,
        reports: AgentReports,
        owner_by_flow: RecentMap[bytes, bytes],
    ) -> None:
        self._context = context
        self._reports = reports
        self._owner_by_flow = owner_by_flow
        self._started_s = context.timers.now()

    def handle_opening(self, message: PeerMessage, segment: Segment) -> None:
        """Handle an opening packet from a balancer or another agent."""
        held = self._context.held_flows.by_flow.get(segment.flow)
        if held is not None and not held.is_closed:
            held.last_used_s = self._context.timers.now()
            self._context.outbox.to_target(segment.raw)
            return
        if message.kind is PeerKind.OPEN:
            owner = self._owner_by_flow.get(segment.flow)
            if owner in self._context.peers.load_by_address:
                self._send_place(owner, message, segment)
                return
        is_last_resort = (
            not self._context.allows_cold()
            and self._choose_peer(message) is None
        )
        own = self._estimate_own(is_last_resort=is_last_resort)
        self._place(message, segment, own)

    def handle_returned(self, segment: Segment, held: HeldFlow | None) -> None:
        """Hand over an opening packet that the target sent back or reset.

        If the target has answered an earlier copy, the flow is kept: the
        caller may have acknowledged that answer.
        """
        self._context.counts['openings_returned'] += 1
        if held is not None and held.is_confirmed:
            return
        if held is not None and not held.is_answered:
            self._context.held_flows.remove(segment.flow)
            self._record_failed_opening(held)
        owner = self._owner_by_flow.get(segment.flow)
        if held is None and owner in self._context.peers.load_by_address:
            # Another copy of a packet that was handed over: a second choice
            # could open the flow at two targets.
            self._send_place(owner, self._make_hand_over(None), segment)
            return
        self._hand_over(segment, held)

    def drop_answer(self, segment: Segment) -> None:
        """Drop the answer to an opening packet that is not offered here.

        The packet was handed over, and another target answers it or the
        caller is refused. Or this agent has restarted since; then the
        caller's copies of the packet are placed again.
        """
        context = self._context
        context.counts['dropped_late_answer'] += 1
        owner = self._owner_by_flow.get(segment.flow)
        log_event(
            _logger,
            'flow.answered_late',
            repeats=True,
            flow=describe_flow(segment.flow),
            target_id=context.gate.target_id,
            owner=format_address(owner) if owner else None,
        )

    def check_unanswered(self) -> None:
        """Hand over opening packets that the target has not answered."""
        context = self._context
        for flow, held in tuple(
            context.held_flows.iter_unanswered(UNANSWERED_CHECKS)
        ):
            if held.opening is None:
                continue
            context.counts['openings_unanswered'] += 1
            log_event(
                _logger,
                'target.unanswered',
                repeats=True,
                flow=describe_flow(flow),
                target_id=context.gate.target_id,
            )
            self._record_failed_opening(held)
            context.held_flows.remove(flow)
            self._hand_over(held.opening, held)

    def _record_failed_opening(self, held: HeldFlow) -> None:
        """Mark the target absent if it has sent nothing since the offer."""
        gate = self._context.gate
        state = gate.reported_state()
        gate.record_failed_opening(held.offered_s)
        if gate.reported_state() is not state:
            self._reports.send_all()

    def _place(
        self, message: PeerMessage, segment: Segment, own: Estimate | None
    ) -> None:
        """Choose between this target and those of other agents.

        `own` is None if this target does not accept the flow.
        """
        chosen = self._choose_peer(message)
        if own is not None and _is_own_better(own, chosen, message.hops):
            chosen = None
            estimate = own
        else:
            estimate = chosen[0] if chosen else None
        if not is_acceptable(estimate, message):
            self._place_or_refuse(message, segment, own, estimate)
            return
        if chosen is None:
            self._accept(message, segment, estimate)
        else:
            self._place_at_peer(chosen[1], message, segment)

    def _place_or_refuse(
        self,
        message: PeerMessage,
        segment: Segment,
        own: Estimate | None,
        estimate: Estimate | None,
    ) -> None:
        """Try targets at their limit and distant ones before a refusal.

        `own` is as in `_place`, `estimate` that of the best target.
        """
        if own is not None and is_acceptable(own, message):
            self._accept(message, segment, own)
            return
        peer = self._choose_last_resort(message, segment)
        if peer is None:
            self._refuse(segment, message, estimate)
        else:
            self._place_at_peer(peer, message, segment)

    def _choose_last_resort(
        self, message: PeerMessage, segment: Segment
    ) -> PeerLoad | None:
        """Return a distant agent, else a target at its limit."""
        context = self._context
        if message.hops > MAX_HOPS:
            return None
        distant = context.peers.choose_distant(segment.flow, message.hops)
        if distant is not None:
            context.counts['flows_placed_distantly'] += 1
            return distant
        peer = choose_at_limit(
            context.peers.loads, message, context.timers.now()
        )
        context.counts['flows_placed_at_limit'] += peer is not None
        return peer

    def _hand_over(self, segment: Segment, held: HeldFlow | None) -> None:
        self._place(self._make_hand_over(held), segment, None)

    def _make_hand_over(self, held: HeldFlow | None) -> PeerMessage:
        """Return the message that hands an opening to another agent.

        The time that the packet spent here is subtracted from its latency
        objective.
        """
        service = self._context.identity.service
        offer = held.offer if held else None
        if held is None or offer is None:
            # The agent has restarted since the packet was offered, so
            # its latency objective and priority are not known.
            return PeerMessage(PeerKind.PLACE, service, hops=1)
        objective_ms = offer.objective_ms
        if objective_ms:
            held_s = self._context.timers.now() - held.offered_s
            objective_ms = max(objective_ms - round(held_s * MS_PER_S), 1)
        return PeerMessage(
            PeerKind.PLACE,
            service,
            hops=offer.hops + 1,
            balancer=offer.balancer,
            priority=offer.priority,
            objective_ms=objective_ms,
        )

    def _choose_peer(
        self, message: PeerMessage
    ) -> tuple[Estimate, PeerLoad] | None:
        if message.hops > MAX_HOPS:
            return None
        context = self._context
        return choose_peer(context.peers.loads, context.timers.now())

    def _estimate_own(self, *, is_last_resort: bool) -> Estimate | None:
        """Return the estimate of this target, None if it takes no flow.

        `is_last_resort` tells that no other target accepts the flow.
        """
        context = self._context
        gate = context.gate
        if context.is_leaving or not gate.is_open or not gate.is_responsive:
            return None
        if context.is_evacuated:
            context.counts['openings_evacuated'] += 1
            return None
        if not context.allows_cold(is_last_resort=is_last_resort):
            context.counts['openings_cold'] += 1
            return None
        now_s = context.timers.now()
        if context.held_flows.is_full():
            return None
        peer_average_s = average_service_s(context.peers.loads)
        estimate = Estimate(
            context.held_flows.load,
            gate.slots,
            context.held_flows.service_time.estimate_s(now_s, peer_average_s),
            peer_average_s,
        )
        estimate.add_state_penalty(gate.reported_state())
        if context.held_flows.is_at_limit(now_s):
            estimate.rank_s += LIMIT_PENALTY_S
        return estimate

    def _accept(
        self, message: PeerMessage, segment: Segment, estimate: Estimate
    ) -> None:
        context = self._context
        log_event(
            _logger,
            'flow.offered',
            repeats=True,
            flow=describe_flow(segment.flow),
            target_id=context.gate.target_id,
            hops=message.hops,
            copy=segment.copy_number,
            load=context.held_flows.load,
            finish_s=round(estimate.finish_s, 4),
            version=context.latest_version,
        )
        now_s = context.timers.now()
        is_at_limit = context.held_flows.is_at_limit(now_s)
        context.counts['flows_accepted_at_limit'] += is_at_limit
        context.held_flows.accept(segment, message, now_s)
        if context.cold_limit is not None:
            context.cold_limit.record(now_s)
        context.counts['flows_offered'] += 1
        context.outbox.to_target(segment.raw)
        self._reports.send_change()

    def _place_at_peer(
        self, chosen: PeerLoad, message: PeerMessage, segment: Segment
    ) -> None:
        chosen.record_placement(self._context.timers.now())
        self._owner_by_flow.put(segment.flow, chosen.address)
        self._send_place(chosen.address, message, segment)

    def _send_place(
        self, owner: bytes, message: PeerMessage, segment: Segment
    ) -> None:
        self._context.counts['flows_placed_elsewhere'] += 1
        placed = PeerMessage(
            PeerKind.PLACE,
            self._context.identity.service,
            hops=message.hops + 1,
            balancer=message.balancer,
            version=self._context.latest_version,
            priority=message.priority,
            objective_ms=message.objective_ms,
            body=segment.raw,
        )
        self._context.outbox.to_agent(owner, placed.encode())

    def _refuse(
        self, segment: Segment, message: PeerMessage, estimate: Estimate | None
    ) -> None:
        context = self._context
        if context.timers.now() - self._started_s < WARM_UP_S:
            # Agents that have not reported yet may accept the flow; the
            # caller sends copies of the packet after 200 and 600 ms.
            context.counts['dropped_unsettled'] += 1
            return
        context.counts['flows_refused'] += 1
        log_event(
            _logger,
            'flow.refused',
            repeats=True,
            flow=describe_flow(segment.flow),
            copy=segment.copy_number,
            reason='too late' if estimate else 'no target',
            finish_s=round(estimate.finish_s, 3) if estimate else None,
            goal_ms=message.objective_ms,
            hops=message.hops,
            load=context.held_flows.load,
            phase=context.gate.phase.value,
            agents=len(context.peers.load_by_address),
            version=context.latest_version,
        )
        context.outbox.reset(segment.flow)


def _is_own_better(
    own: Estimate, chosen: tuple[Estimate, PeerLoad] | None, hops: int
) -> bool:
    """Return whether the gain at the other target is below a hop's cost."""
    if chosen is None:
        return True
    return own.rank_s <= chosen[0].rank_s + HAND_OVER_GAIN_S * hops

"""Placement of opening packets: accept, hand over, queue or refuse."""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..agent.agent_reports import AgentReports
from ..flows.held_flow import HeldFlow
from ..messages.peer_messages import PeerKind, PeerMessage
from ..messages.segments import Segment, describe_flow
from ..recent_map import RecentMap
from ..settings import format_address
from ..target_states import RUNNING_STATES
from ..targets.paced_targets import (
    LIMIT_PENALTY_S,
    choose_last_resort,
    is_acceptable,
)
from .hand_overs import make_hand_over
from .opening_copies import repeat_opening
from .opening_dispatch import OpeningDispatch
from .opening_refusals import OpeningRefusals
from .opening_waits import OpeningWaits
from .placement import (
    MAX_HOPS,
    Demand,
    Estimate,
    PeerLoad,
    average_service_s,
    choose_peer,
    is_own_better,
    make_demand,
)

MAX_SENT_COPIES = 5000
# A running target answers an opening packet within a millisecond; if one
# is unanswered after this many checks, the target is not running.
UNANSWERED_CHECKS = 5

_logger = logging.getLogger(__name__)


class AgentOpenings:
    """Accepts, hands over or refuses opening packets.

    `owner_by_flow` stores the agent to which this agent sent a flow, `waits`
    the openings that wait, and `dispatch` places these later.
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
        # Number of the last copy that was sent to the agent of a flow.
        self._sent_copy: RecentMap[bytes, int] = RecentMap(MAX_SENT_COPIES)
        self._refusals = OpeningRefusals(context)
        self.waits = OpeningWaits(context, reports, self._refusals)
        self.dispatch = OpeningDispatch(
            context,
            self.waits,
            self._refusals,
            estimate_own=self._estimate_own,
            accept=self._accept,
            place_at_peer=self._place_at_peer,
        )

    def handle_opening(self, message: PeerMessage, segment: Segment) -> None:
        """Handle an opening packet from a balancer or another agent."""
        if repeat_opening(self._context, segment):
            return
        if self.waits.record_copy(segment):
            return
        if message.kind is PeerKind.OPEN or self._is_later_copy(segment):
            owner = self._owner_by_flow.get(segment.flow)
            load = self._context.peers.load_by_address.get(owner)
            if load and not load.is_newly_silent(self._context.timers.now()):
                self._send_place(owner, message, segment)
                return
        if self.waits.holds_before(message.priority):
            # Openings that wait get the free slots first.
            self._place_or_refuse(message, segment, None)
            self.dispatch.serve()
            return
        own = self._estimate_own()
        if own is None:
            self._count_closed()
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
            self._send_place(
                owner, make_hand_over(self._context, None), segment
            )
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
        self,
        message: PeerMessage,
        segment: Segment,
        own: Estimate | None,
        *,
        may_wait: bool = True,
    ) -> None:
        """Choose between this target and those of other agents.

        `own` is None if this target does not accept the flow.
        """
        demand = make_demand(message, self._context.identity.zone)
        chosen = self._choose_peer(message, demand)
        if own is not None:
            self._add_own_penalties(own, demand)
        if own is not None and is_own_better(own, chosen, message.hops):
            chosen = None
            estimate = own
        else:
            estimate = chosen[0] if chosen else None
        if not is_acceptable(estimate, message):
            self._place_or_refuse(message, segment, estimate, may_wait=may_wait)
            return
        self.waits.record_passed(message.priority)
        if chosen is None:
            self._accept(message, segment, estimate)
        else:
            self._place_at_peer(chosen[1], message, segment)

    def _place_or_refuse(
        self,
        message: PeerMessage,
        segment: Segment,
        estimate: Estimate | None,
        *,
        may_wait: bool = True,
    ) -> None:
        """Try targets at their limit and distant ones before a flow waits.

        `estimate` is that of the best target that was considered. An
        opening that does not wait, or would wait too long, is refused.
        """
        peer = choose_last_resort(self._context, message, segment.flow)
        if peer is not None:
            self._place_at_peer(peer, message, segment)
        elif not may_wait or not self.waits.offer(message, segment):
            self._refusals.refuse(
                segment,
                message,
                'too late' if estimate or self.waits else 'no target',
                finish_s=estimate.finish_s if estimate else None,
            )

    def _hand_over(self, segment: Segment, held: HeldFlow | None) -> None:
        # It was offered to a target, whose answer may still come, so it
        # does not wait.
        message = make_hand_over(self._context, held)
        self._place(message, segment, None, may_wait=False)

    def _choose_peer(
        self, message: PeerMessage, demand: Demand
    ) -> tuple[Estimate, PeerLoad] | None:
        if message.hops > MAX_HOPS:
            return None
        context = self._context
        return choose_peer(
            context.peers.loads, context.timers.now(), demand=demand
        )

    def _add_own_penalties(self, own: Estimate, demand: Demand) -> None:
        """Rank this target in the same way as `choose_peer` the others."""
        context = self._context
        peer_average_s = average_service_s(context.peers.loads)
        own.add_zone_cost(demand, context.identity.zone, peer_average_s)
        own.add_refusal_penalty(demand)

    def _estimate_own(self) -> Estimate | None:
        """Return the estimate of this target, None if it takes no flow."""
        context = self._context
        # FULL can be due to the limit or the rate of a cold target only.
        is_running = context.target_state() in RUNNING_STATES
        if not is_running or context.held_flows.is_full():
            return None
        if not context.allows_cold() and not self._allows_last_resort():
            return None
        now_s = context.timers.now()
        peer_average_s = average_service_s(context.peers.loads)
        estimate = Estimate(
            context.held_flows.load,
            context.gate.slots,
            context.held_flows.service_time.estimate_s(now_s, peer_average_s),
            peer_average_s,
        )
        estimate.add_state_penalty(context.gate.reported_state())
        estimate.add_standing_load(
            context.estimate_standing_share(), peer_average_s
        )
        if context.held_flows.is_at_limit(now_s):
            estimate.rank_s += LIMIT_PENALTY_S
        return estimate

    def _count_closed(self) -> None:
        """Count an opening that this target may not get."""
        context = self._context
        if context.is_evacuated:
            context.counts['openings_evacuated'] += 1
        elif not context.allows_cold():
            context.counts['openings_cold'] += 1

    def _allows_last_resort(self) -> bool:
        """Return whether a cold target may exceed its rate.

        It may, up to the tolerance of the deployment, if no other target
        accepts flows.
        """
        context = self._context
        if choose_peer(context.peers.loads, context.timers.now()):
            return False
        return context.allows_cold(is_last_resort=True)

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
        if make_demand(message, self._context.identity.zone).crosses_zones(
            context.identity.zone
        ):
            context.counts['flows_offered_across_zones'] += 1
        context.outbox.to_target(segment.raw)
        self._reports.send_change()

    def _place_at_peer(
        self, chosen: PeerLoad, message: PeerMessage, segment: Segment
    ) -> None:
        chosen.record_placement(self._context.timers.now())
        self._owner_by_flow.put(segment.flow, chosen.address)
        self._sent_copy.put(segment.flow, segment.copy_number)
        self._send_place(chosen.address, message, segment)

    def _is_later_copy(self, segment: Segment) -> bool:
        """Return whether an earlier copy was sent to another agent.

        An agent that hands the same copy back does not get it again.
        """
        sent = self._sent_copy.get(segment.flow)
        if sent is None or segment.copy_number <= sent:
            return False
        self._sent_copy.put(segment.flow, segment.copy_number)
        return True

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
        placed.caller_zone = message.caller_zone
        self._context.outbox.to_agent(owner, placed.encode())

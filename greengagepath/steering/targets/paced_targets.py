"""Targets whose load is limited, as seen by one agent."""

import logging

from ...foundation.logs import log_event
from ...pace.target_pace import PaceReason
from ..agent.agent_context import AgentContext
from ..agent.distant_agents import choose_distant
from ..messages.peer_messages import PeerMessage, ReportedState
from ..openings.placement import (
    MAX_HOPS,
    Estimate,
    PeerLoad,
    average_service_s,
    should_accept,
)
from ..target_states import RUNNING_STATES

# Added to the rank of a target at its limit, in seconds; above the rank of
# any target that would finish in time.
LIMIT_PENALTY_S = 1.0
# At most this share of the targets is held back because of failures; with
# more of them, the others would be overloaded.
HELD_BACK_DIVISOR = 3
# An opening packet that has been forwarded more often is sent to no target
# at its limit.
MAX_LIMIT_HOPS = 1
MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class PaceWatch:
    """Restarts the pace after a silence, and logs its begin and end."""

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._was_responsive = True
        self._was_limited = False

    def check(self) -> None:
        """Handle changes since the last call; to be called often."""
        context = self._context
        now_s = context.timers.now()
        pace = context.held_flows.pace
        is_responsive = context.gate.is_responsive
        if is_responsive and not self._was_responsive:
            pace.restart(context.gate.slots, now_s, reason=PaceReason.SILENT)
        self._was_responsive = is_responsive
        if pace.is_limited is not self._was_limited:
            self._was_limited = pace.is_limited
            self._log_change()

    def _log_change(self) -> None:
        context = self._context
        pace = context.held_flows.pace
        now_s = context.timers.now()
        log_event(
            _logger,
            'target.paced' if pace.is_limited else 'target.pace_ended',
            repeats=True,
            target_id=context.gate.target_id,
            reason=pace.reason.value,
            limit=pace.limit(now_s),
            load=context.held_flows.load,
            after_s=round(now_s - pace.began_s, 3),
        )


def may_hold_back(loads: list[PeerLoad]) -> bool:
    """Return whether a target may be held back because it fails.

    `loads` are those of the other targets. Reports do not tell why a
    target is at its limit, so all that are at their limit are counted.
    """
    states = [load.report.state for load in loads]
    at_limit = states.count(ReportedState.FULL)
    running = sum(state in RUNNING_STATES for state in states)
    return (at_limit + 1) * HELD_BACK_DIVISOR <= running + 1


def is_acceptable(estimate: Estimate | None, message: PeerMessage) -> bool:
    """Return whether a target should get the opening packet of a message.

    `estimate` is None if there is no such target.
    """
    if estimate is None:
        return False
    objective_s = message.objective_ms / MS_PER_S
    return should_accept(estimate, objective_s, message.priority)


def choose_last_resort(
    context: AgentContext, message: PeerMessage, flow: bytes
) -> PeerLoad | None:
    """Return where to send a flow that no target accepts in time.

    This is an agent beyond the neighbours, else a target at its limit. None
    if there is neither, or if the packet was forwarded too often.
    """
    if message.hops > MAX_HOPS:
        return None
    distant = choose_distant(context.peers, flow, message.hops)
    if distant is not None:
        context.counts['flows_placed_distantly'] += 1
        return distant
    peer = choose_at_limit(context.peers.loads, message, context.timers.now())
    context.counts['flows_placed_at_limit'] += peer is not None
    return peer


def choose_at_limit(
    loads: list[PeerLoad], message: PeerMessage, now_s: float
) -> PeerLoad | None:
    """Return the best target at its limit for a flow, None without one.

    Reports do not tell whether a target is paced or its queue is full; its
    agent decides. A packet is sent to such targets at most twice, so that
    the refusals of a full service cost little.
    """
    if message.hops > MAX_LIMIT_HOPS:
        return None
    peer_average_s = average_service_s(loads)
    best: tuple[Estimate, PeerLoad] | None = None
    for load in loads:
        report = load.report
        is_running = load.is_fresh(now_s) and not load.is_newly_silent(now_s)
        if report.state is not ReportedState.FULL or not is_running:
            continue
        estimate = Estimate(
            load.estimate_load(), report.slots, report.service_s, peer_average_s
        )
        if best is None or estimate.rank_s < best[0].rank_s:
            best = (estimate, load)
    if best is None or not is_acceptable(best[0], message):
        return None
    return best[1]

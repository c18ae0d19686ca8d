"""Packets that an agent gives to its target to learn if it holds a flow."""

import logging
from collections.abc import Callable
from typing import Protocol

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..messages.peer_messages import PeerKind, PeerMessage
from ..messages.segments import Segment, describe_flow
from ..recent_map import RecentMap
from ..settings import format_address

MAX_TRIALS = 50000
# Packets kept until the target's answer; bounds their memory to 1.3 MB.
MAX_KEPT_PACKETS = 1000
# A running target sends a packet back within a millisecond.
TRIAL_TIMEOUT_S = 0.04

_logger = logging.getLogger(__name__)


class _Trial:
    """A flow of which a packet was given to the target.

    `kept` are that packet and those that follow it until the target has
    answered, none afterwards. `balancer` is None if all of them came with
    other agents' searches, and `searchers` are those agents; `tried_s` is
    when the target was sent the first one.
    """

    __slots__ = ('balancer', 'is_rejected', 'kept', 'searchers', 'tried_s')

    def __init__(self, tried_s: float) -> None:
        self.searchers: list[bytes] = []
        self.balancer: bytes | None = None
        self.is_rejected = False
        self.kept: list[Segment] = []
        self.tried_s = tried_s


class TrialOwner(Protocol):
    """Searches the flows whose trial has failed."""

    def poll_agents(self, segment: Segment, balancer: bytes) -> None:
        """Search a flow that the target has rejected."""

    def search_all_agents(self, segment: Segment, balancer: bytes) -> None:
        """Search a flow that a target may hold which does not run yet."""

    def search_known(self, segment: Segment, balancer: bytes) -> None:
        """Search a flow whose packet the target has not answered."""

    def deny(self, flow: bytes, agents: list[bytes]) -> None:
        """Notify searching agents that the target has rejected the flow."""

    def confirm_running(self, agents: list[bytes]) -> None:
        """Show searching agents that this one runs; it denies nothing."""


class TargetTrials:
    """Gives packets of unknown flows to the target of a restarted agent.

    Such an agent does not know which flows its target holds. Until
    `idle_s` after its start the target is given one packet of each
    unknown flow, and holds the flow unless it rejects that: it may work
    on the request, and some packets need no answer. The owner searches
    each packet that was rejected, or that the target has not answered
    for `TRIAL_TIMEOUT_S`. A target that has sent nothing since the
    agent's start may not run yet, so its flows are tried at all targets.
    """

    def __init__(self, context: AgentContext, owner: TrialOwner) -> None:
        self._context = context
        self._owner = owner
        self._trial_by_flow: RecentMap[bytes, _Trial] = RecentMap(MAX_TRIALS)
        # Trials that await the target's answer, the oldest first.
        self._pending_by_flow: dict[bytes, _Trial] = {}
        self._kept_packets = 0
        self._try_until_s = context.timers.now()
        if not context.identity.is_first_start:
            self._try_until_s += context.identity.idle_s

    def give(
        self, message: PeerMessage, segment: Segment, searcher: bytes = b''
    ) -> bool:
        """Give the packet to the target; False if it does not hold the flow.

        A packet that follows one without an answer waits for it.
        `searcher` is the agent that searches the flow, if one does.
        """
        trial = self._trial_by_flow.get(segment.flow)
        if trial is None:
            if self._context.timers.now() >= self._try_until_s:
                return False
            trial = self._start(message, segment)
        elif trial.is_rejected:
            return False
        if message.kind is PeerKind.SEARCH:
            trial.searchers.append(searcher)
            if segment.flow not in self._pending_by_flow:
                self._owner.confirm_running([searcher])
        else:
            trial.balancer = message.balancer
        is_first = not trial.kept
        if segment.flow in self._pending_by_flow:
            self._keep(trial, segment)
        if is_first:
            self._context.outbox.to_target(segment.raw)
        return True

    def accept(self, flow: bytes) -> None:
        """Record that the target has sent a packet of the flow."""
        trial = self._pending_by_flow.pop(flow, None)
        if trial is not None:
            self._deliver_rest(trial)

    def reject(self, flow: bytes, returned: Segment | None = None) -> None:
        """Record that the target does not hold the flow.

        `returned` is the packet that it has sent back, if it has.
        """
        trial = self._trial_by_flow.get(flow)
        if trial is None:
            return
        trial.is_rejected = True
        self._pending_by_flow.pop(flow, None)
        segments = self._take_kept(trial)
        if returned is not None and not segments:
            segments = [returned]
        searchers = trial.searchers
        trial.searchers = []
        self._owner.deny(flow, searchers)
        self._fail(trial, segments, self._owner.poll_agents)

    def check(self) -> None:
        """End the trials that the target has not answered in time."""
        before_s = self._context.timers.now() - TRIAL_TIMEOUT_S
        while self._pending_by_flow:
            flow, trial = next(iter(self._pending_by_flow.items()))
            if trial.tried_s > before_s:
                return
            del self._pending_by_flow[flow]
            self._end_unanswered(flow, trial)

    def stop(self) -> None:
        """Start no more trials: the target has started after this agent."""
        self._try_until_s = self._context.timers.now()
        self._trial_by_flow = RecentMap(MAX_TRIALS)
        self._pending_by_flow.clear()
        self._kept_packets = 0

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._trial_by_flow.rotate()

    def _start(self, message: PeerMessage, segment: Segment) -> _Trial:
        context = self._context
        trial = _Trial(context.timers.now())
        self._trial_by_flow.put(segment.flow, trial)
        self._pending_by_flow[segment.flow] = trial
        context.counts['packets_tried'] += 1
        log_event(
            _logger,
            'flow.tried',
            repeats=True,
            flow=describe_flow(segment.flow),
            kind=message.kind.name,
            data_bytes=segment.data_bytes,
            balancer=format_address(message.balancer),
            phase=context.gate.phase.value,
            target_id=context.gate.target_id,
        )
        return trial

    def _keep(self, trial: _Trial, segment: Segment) -> None:
        if self._kept_packets >= MAX_KEPT_PACKETS:
            self._context.counts['packets_not_kept'] += 1
            return
        self._kept_packets += 1
        trial.kept.append(segment)

    def _take_kept(self, trial: _Trial) -> list[Segment]:
        segments = trial.kept
        trial.kept = []
        self._kept_packets -= len(segments)
        return segments

    def _deliver_rest(self, trial: _Trial) -> list[Segment]:
        """Give the target the packets that waited; return all kept ones."""
        segments = self._take_kept(trial)
        for segment in segments[1:]:
            self._context.outbox.to_target(segment.raw)
        return segments

    def _end_unanswered(self, flow: bytes, trial: _Trial) -> None:
        segments = self._deliver_rest(trial)
        gate = self._context.gate
        if not gate.is_down:
            self._owner.confirm_running(trial.searchers)
        if gate.has_sent_since(trial.tried_s):
            self._context.counts['trials_silent'] += 1
            return
        self._context.counts['trials_unanswered'] += 1
        self._trial_by_flow.discard(flow)
        if gate.is_down:
            self._owner.deny(flow, trial.searchers)
            search = self._owner.poll_agents
        elif gate.is_heard:
            search = self._owner.search_known
        else:
            search = self._owner.search_all_agents
        self._fail(trial, segments, search)

    def _fail(
        self,
        trial: _Trial,
        segments: list[Segment],
        search: Callable[[Segment, bytes], None],
    ) -> None:
        if trial.balancer is None:
            return
        for segment in segments:
            search(segment, trial.balancer)

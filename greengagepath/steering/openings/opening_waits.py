"""Opening packets that wait at this agent until a target has room."""

import logging

from ...foundation.logs import log_event
from ...waiting.opening_queue import OpeningQueue, WaitingOpening
from ...waiting.wait_times import (
    LIMIT_SHARE,
    FinishForecast,
    can_begin_to_wait,
    find_longest_wait_s,
    is_in_time,
)
from ..agent.agent_context import AgentContext
from ..agent.agent_reports import AgentReports
from ..durations import DurationCounts
from ..messages.peer_messages import PeerKind, PeerMessage
from ..messages.segments import Segment, describe_flow
from ..target_states import RUNNING_STATES
from ..targets.service_times import DEFAULT_S
from .opening_refusals import OpeningRefusals
from .placement import (
    MAX_HOPS,
    Estimate,
    PeerLoad,
    average_service_s,
    choose_peer,
    find_accepted_share,
    should_accept,
)

# When a caller sends its opening packet and the copies of it.
COPIES_S = (0.0, 0.2, 0.6)
# Each copy goes to the next home, which is notified this long before where
# the packet waits.
NOTICE_S = 0.05
MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class QueuedOpening(WaitingOpening):
    """An opening packet that waits, and the message that it came with.

    `objective_s` is what was left of the latency objective at its arrival,
    0 if the route has none. `next_copy` is the number of the copy whose
    home is notified next.
    """

    __slots__ = ('message', 'next_copy', 'objective_s', 'segment')

    def __init__(
        self, message: PeerMessage, segment: Segment, now_s: float
    ) -> None:
        super().__init__(segment.flow, message.priority)
        self.message = message
        self.segment = segment
        self.objective_s = message.objective_ms / MS_PER_S
        if self.objective_s:
            self.limit_s = now_s + self.objective_s * LIMIT_SHARE
        self.next_copy = segment.copy_number + 1

    def left_s(self, now_s: float) -> float:
        """Return what is left of the latency objective in seconds.

        0 if the route has none, and above 0 otherwise.
        """
        if not self.objective_s:
            return 0.0
        waited_s = now_s - self.queued_s
        return max(self.objective_s - waited_s, 1 / MS_PER_S)

    def is_notice_due(self, now_s: float) -> bool:
        """Return whether the next copy is sent soon."""
        if self.next_copy >= len(COPIES_S):
            return False
        first_s = COPIES_S[self.segment.copy_number]
        after_s = COPIES_S[self.next_copy] - first_s - NOTICE_S
        return now_s - self.queued_s >= after_s

    def subtract_wait(self, now_s: float) -> None:
        """Subtract the time that the packet waited from its objective."""
        self.message.objective_ms = round(self.left_s(now_s) * MS_PER_S)


class OpeningWaits:
    """Decides which openings wait, and which are served or refused.

    `durations` are the waiting times of the openings that were placed.
    """

    def __init__(
        self,
        context: AgentContext,
        reports: AgentReports,
        refusals: OpeningRefusals,
    ) -> None:
        self.durations = DurationCounts()
        self._context = context
        self._reports = reports
        self._refusals = refusals
        self._queue: OpeningQueue[QueuedOpening] = OpeningQueue()

    def __len__(self) -> int:
        """Return the number of openings that wait."""
        return len(self._queue)

    def holds(self, flow: bytes) -> bool:
        """Return whether the opening packet of a flow waits."""
        return flow in self._queue.by_flow

    def record_copy(self, segment: Segment) -> bool:
        """Return whether the opening already waits; count the copy."""
        if not self.holds(segment.flow):
            return False
        self._context.counts['waiting_copies'] += 1
        return True

    def record_passed(self, priority: int) -> None:
        """Record an opening that is placed while others wait."""
        if self._queue:
            self._queue.record_passed(priority)

    def holds_before(self, priority: int) -> bool:
        """Return whether openings of this or a higher priority wait."""
        return self._queue.holds_before(priority)

    def offer(self, message: PeerMessage, segment: Segment) -> bool:
        """Let an opening wait; False if it would not be served in time."""
        context = self._context
        forecast = self._forecast()
        if (
            self._refusals.is_warming_up
            or context.is_leaving
            or forecast is None
        ):
            return False
        now_s = context.timers.now()
        entry = QueuedOpening(message, segment, now_s)
        longest_s = find_longest_wait_s(entry.objective_s, forecast.service_s)
        entry.latest_s = now_s + longest_s
        finish_s = forecast.finish_after_s(
            self._queue.count_before(entry),
            self._queue.find_overtaking_share(entry.priority),
        )
        share = find_accepted_share(entry.priority)
        is_early = can_begin_to_wait(entry.objective_s, finish_s, share)
        if longest_s <= 0 or not is_early:
            return False
        context.counts['waiting_offered'] += 1
        self._log_wait(entry, finish_s)
        for refused in self._queue.offer(entry, now_s):
            context.counts['waiting_evicted'] += 1
            self._refuse(refused, 'evicted')
        return True

    def check(self) -> None:
        """Refuse what cannot be served in time; notify the next homes."""
        if not self._queue:
            return
        now_s = self._context.timers.now()
        forecast = self._forecast()
        if forecast is None:
            for entry in self._queue.take_all():
                self._refuse(entry, 'no target')
            return
        for entry in self._queue.take_due(
            now_s, forecast.finish_s, forecast.interval_s
        ):
            self._context.counts['waiting_late'] += 1
            self._refuse(entry, 'too late')
        for entry in self._queue.by_flow.values():
            if entry.is_notice_due(now_s):
                self._notify_next_home(entry)

    def pop_best(
        self,
        own: Estimate | None,
        chosen: tuple[Estimate, PeerLoad] | None,
        now_s: float,
    ) -> QueuedOpening | None:
        """Return the opening to place next at one of two targets, if any.

        The time that it waited is subtracted from its latency objective.
        """
        entry = self._queue.pop_best(
            lambda queued: (
                self.fits_own(queued, own, now_s)
                or self.fits_peer(queued, chosen, now_s)
            )
        )
        if entry is not None:
            self._context.counts['waiting_served'] += 1
            self.durations.add(now_s - entry.queued_s)
            entry.subtract_wait(now_s)
        return entry

    def take_all(self) -> list[QueuedOpening]:
        """Return all openings, which no longer wait here."""
        entries = self._queue.take_all()
        self._context.counts['waiting_released'] += len(entries)
        now_s = self._context.timers.now()
        for entry in entries:
            entry.subtract_wait(now_s)
        return entries

    def announce_move(self, entry: QueuedOpening, receiver: bytes) -> None:
        """Notify the homes of all later copies to send them here.

        The agent that receives the opening does not know when the caller
        sends them.
        """
        while entry.next_copy < len(COPIES_S):
            self._notify_next_home(entry, receiver)

    def fits_own(
        self, entry: QueuedOpening, own: Estimate | None, now_s: float
    ) -> bool:
        """Return whether the own target serves the opening in time.

        An opening that waits needs no more room than one that arrives, or
        arriving ones would always be served before it.
        """
        if own is None:
            return False
        if not own.is_waiting:
            return True
        waited_s = now_s - entry.queued_s
        return should_accept(
            own, entry.objective_s, entry.priority
        ) and is_in_time(entry.objective_s, waited_s, own.finish_s)

    def fits_peer(
        self,
        entry: QueuedOpening,
        chosen: tuple[Estimate, PeerLoad] | None,
        now_s: float,
    ) -> bool:
        """Return whether the agent of another target would accept it."""
        if chosen is None:
            return False
        if entry.message.hops > MAX_HOPS and self._is_own_running():
            return False
        left_s = entry.left_s(now_s)
        return should_accept(chosen[0], left_s, entry.priority)

    def _forecast(self) -> FinishForecast | None:
        """Return when requests end at the target that serves the queue.

        It is the own target if that runs: as many homes place flows at
        another one as this home uses. None if no target runs.
        """
        context = self._context
        loads = context.peers.loads
        average_s = average_service_s(loads)
        if self._is_own_running() and context.allows_cold():
            service_s = context.estimate_service_s() or average_s or DEFAULT_S
            return FinishForecast(
                context.held_flows.load, context.gate.slots, service_s
            )
        running = choose_running(loads, context.timers.now())
        if running is None:
            return None
        report = running.report
        service_s = report.service_s or average_s or DEFAULT_S
        return FinishForecast(running.estimate_load(), report.slots, service_s)

    def _is_own_running(self) -> bool:
        return self._context.target_state() in RUNNING_STATES

    def _notify_next_home(
        self, entry: QueuedOpening, receiver: bytes = b''
    ) -> None:
        """Notify the home of the caller's next copy where the packet waits."""
        context = self._context
        ranked = context.peers.homes.rank(entry.flow)
        home = ranked[entry.next_copy % len(ranked)]
        entry.next_copy += 1
        if home not in {context.identity.address, receiver}:
            context.counts['waiting_notices'] += 1
            self._reports.send_notice(PeerKind.HELD, entry.flow, home)

    def _refuse(self, entry: QueuedOpening, reason: str) -> None:
        waited_s = self._context.timers.now() - entry.queued_s
        self._refusals.refuse(
            entry.segment, entry.message, reason, waited_s=waited_s
        )

    def _log_wait(self, entry: QueuedOpening, finish_s: float) -> None:
        context = self._context
        log_event(
            _logger,
            'flow.waiting',
            repeats=True,
            flow=describe_flow(entry.flow),
            copy=entry.segment.copy_number,
            priority=entry.priority,
            finish_s=round(finish_s, 3),
            goal_ms=entry.message.objective_ms,
            hops=entry.message.hops,
            waiting=len(self._queue),
            load=context.held_flows.load,
            version=context.latest_version,
        )


def choose_running(loads: list[PeerLoad], now_s: float) -> PeerLoad | None:
    """Return the best other target, or the least loaded of the full ones."""
    chosen = choose_peer(loads, now_s)
    if chosen is not None:
        return chosen[1]
    running = [
        load
        for load in loads
        if load.report.state in RUNNING_STATES and load.is_fresh(now_s)
    ]
    return min(running, key=PeerLoad.estimate_load, default=None)

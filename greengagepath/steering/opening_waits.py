"""Opening packets that wait at this agent until a target has room."""

import logging

from ..foundation.logs import log_event
from ..waiting.opening_queue import OpeningQueue, WaitingOpening
from ..waiting.wait_times import (
    expect_wait_s,
    find_longest_wait_s,
    is_in_time,
)
from .agent_context import AgentContext
from .agent_peers import AgentPeers
from .agent_reports import AgentReports
from .durations import DurationCounts
from .opening_refusals import OpeningRefusals
from .peer_messages import PeerKind, PeerMessage, ReportedState
from .placement import (
    ACCEPTING_STATES,
    Estimate,
    PeerLoad,
    average_service_s,
    choose_peer,
    find_accepted_share,
    should_accept,
)
from .recent_map import RecentMap
from .segments import Segment, describe_flow
from .service_times import DEFAULT_S

# An opening packet is forwarded by its home and at most this many more
# agents.
MAX_HOPS = 3
# When a caller sends its opening packet and the copies of it.
COPIES_S = (0.0, 0.2, 0.6)
# Each copy goes to the next home, which is notified this long before where
# the packet waits.
NOTICE_S = 0.05
MAX_LATER_COPIES = 1000
MS_PER_S = 1000
# States of targets that may have room soon.
RUNNING_STATES = ACCEPTING_STATES | {ReportedState.FULL}

_logger = logging.getLogger(__name__)


class QueuedOpening(WaitingOpening):
    """An opening packet that waits, and the message that it came with.

    `objective_s` is what was left of the latency objective at its arrival,
    0 if the route has none. `copy_number` is that of the last copy, and
    `next_copy` that of the copy whose home is notified next.
    """

    __slots__ = (
        'copy_number',
        'message',
        'next_copy',
        'objective_s',
        'segment',
    )

    def __init__(
        self, message: PeerMessage, segment: Segment, latest_s: float
    ) -> None:
        super().__init__(segment.flow, message.priority, latest_s)
        self.message = message
        self.segment = segment
        self.objective_s = message.objective_ms / MS_PER_S
        self.copy_number = segment.copy_number
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
        # Copy number up to which a placed opening has been received, for
        # openings whose next home sends copies here.
        self._received_copy: RecentMap[bytes, int] = RecentMap(MAX_LATER_COPIES)

    def __len__(self) -> int:
        """Return the number of openings that wait."""
        return len(self._queue)

    def record_copy(self, segment: Segment) -> bool:
        """Return whether the opening already waits; count the copy."""
        entry = self._queue.by_flow.get(segment.flow)
        if entry is None:
            return False
        entry.copy_number = max(entry.copy_number, segment.copy_number)
        self._context.counts['waiting_copies'] += 1
        return True

    def is_later_copy(self, segment: Segment) -> bool:
        """Return whether the opening has waited here and is placed.

        True once for a flow, so that agents which hand the copy back do
        not get it again.
        """
        received = self._received_copy.get(segment.flow)
        if received is None or segment.copy_number <= received:
            return False
        self._received_copy.discard(segment.flow)
        return True

    def holds_before(self, priority: int) -> bool:
        """Return whether openings of this or a higher priority wait."""
        return bool(len(self._queue)) and self._queue.holds_before(priority)

    def offer(
        self, message: PeerMessage, segment: Segment, estimate: Estimate | None
    ) -> bool:
        """Let an opening wait; False if no slot becomes free in time.

        `estimate` is that of the best target, None if none has room.
        """
        context = self._context
        if self._refusals.is_warming_up or context.is_leaving:
            return False
        if estimate is None and not self._has_running_target():
            return False
        now_s = context.timers.now()
        service_s = _find_service_s(context)
        entry = QueuedOpening(message, segment, now_s)
        longest_s = find_longest_wait_s(entry.objective_s, service_s)
        expected_s = self._expect_s(entry, estimate, service_s)
        if expected_s > longest_s:
            return False
        entry.latest_s = now_s + longest_s
        evicted = self._queue.offer(entry, now_s)
        context.counts['waiting_offered'] += 1
        self._log_wait(entry, expected_s)
        for refused in evicted:
            context.counts['waiting_evicted'] += 1
            self._refuse(refused, 'evicted')
        return True

    def check(self) -> None:
        """Refuse what cannot be served in time; notify the next homes."""
        if not self._queue:
            return
        now_s = self._context.timers.now()
        for entry in self._queue.take_due(now_s):
            self._context.counts['waiting_late'] += 1
            self._refuse(entry, 'waited too long')
        is_servable = self._has_running_target()
        for entry in tuple(self._queue.by_flow.values()):
            if not is_servable:
                self._queue.remove(entry.flow)
                self._refuse(entry, 'no target')
            elif entry.is_notice_due(now_s):
                self._notify_next_home(entry)

    def pop_best(
        self, own: Estimate | None, chosen: tuple[Estimate, PeerLoad] | None
    ) -> QueuedOpening | None:
        """Return the opening to place next at one of two targets, if any.

        The time that it waited is subtracted from its latency objective.
        """
        now_s = self._context.timers.now()
        entry = self._queue.pop_best(
            now_s,
            lambda queued: (
                self.fits_own(queued, own) or self.fits_peer(queued, chosen)
            ),
        )
        if entry is not None:
            self._context.counts['waiting_served'] += 1
            self.durations.add(now_s - entry.queued_s)
            self._record_end(entry)
        return entry

    def take_all(self) -> list[QueuedOpening]:
        """Return all openings, which no longer wait here."""
        entries = self._queue.take_all()
        self._context.counts['waiting_released'] += len(entries)
        for entry in entries:
            self._record_end(entry)
        return entries

    def fits_own(self, entry: QueuedOpening, own: Estimate | None) -> bool:
        """Return whether the own target serves the opening in time.

        An opening that waits needs no more room than one that arrives, or
        arriving ones would always be served before it.
        """
        if own is None:
            return False
        if not own.is_waiting:
            return True
        waited_s = self._context.timers.now() - entry.queued_s
        return should_accept(
            own, entry.objective_s, entry.priority
        ) and is_in_time(entry.objective_s, waited_s, own.finish_s)

    def fits_peer(
        self, entry: QueuedOpening, chosen: tuple[Estimate, PeerLoad] | None
    ) -> bool:
        """Return whether the agent of another target would accept it."""
        if chosen is None:
            return False
        if entry.message.hops > MAX_HOPS and self._is_own_running():
            return False
        left_s = entry.left_s(self._context.timers.now())
        return should_accept(chosen[0], left_s, entry.priority)

    def _record_end(self, entry: QueuedOpening) -> None:
        """Prepare an opening that is placed, and forward its later copies."""
        entry.subtract_wait(self._context.timers.now())
        if entry.next_copy > entry.segment.copy_number + 1:
            self._received_copy.put(entry.flow, entry.copy_number)

    def _expect_s(
        self, entry: QueuedOpening, estimate: Estimate | None, service_s: float
    ) -> float:
        """Return how long the opening is expected to wait, in seconds."""
        excess_s = 0.0
        if estimate is not None:
            share = find_accepted_share(entry.priority)
            excess_s = estimate.finish_s - entry.objective_s * share
        ahead = self._queue.count_ahead(entry.priority, entry.caller)
        slot_interval_s = service_s / self._context.gate.slots
        return expect_wait_s(ahead, slot_interval_s, excess_s)

    def _has_running_target(self) -> bool:
        """Return whether a target of the service may get room."""
        if self._is_own_running():
            return True
        now_s = self._context.timers.now()
        return any(
            _is_running(load, now_s) for load in self._context.peers.loads
        )

    def _is_own_running(self) -> bool:
        return self._reports.state in RUNNING_STATES

    def _notify_next_home(self, entry: QueuedOpening) -> None:
        """Notify the home of the caller's next copy where the packet waits."""
        context = self._context
        ranked = context.peers.homes.rank(entry.flow)
        home = ranked[entry.next_copy % len(ranked)]
        entry.next_copy += 1
        if home != context.identity.address:
            context.counts['waiting_notices'] += 1
            self._reports.send_notice(PeerKind.HELD, entry.flow, home)

    def _refuse(self, entry: QueuedOpening, reason: str) -> None:
        waited_s = self._context.timers.now() - entry.queued_s
        self._refusals.refuse(
            entry.segment, entry.message, reason, waited_s=waited_s
        )

    def _log_wait(self, entry: QueuedOpening, expected_s: float) -> None:
        context = self._context
        log_event(
            _logger,
            'flow.waiting',
            repeats=True,
            flow=describe_flow(entry.flow),
            copy=entry.copy_number,
            priority=entry.priority,
            expected_s=round(expected_s, 3),
            goal_ms=entry.message.objective_ms,
            hops=entry.message.hops,
            waiting=len(self._queue),
            load=context.held_flows.load,
            version=context.latest_version,
        )


def choose_refuge(
    peers: AgentPeers, message: PeerMessage, segment: Segment, now_s: float
) -> PeerLoad | None:
    """Return an agent at which an opening may wait, None if none runs."""
    chosen = choose_peer(peers.loads, now_s)
    if chosen is not None:
        return chosen[1]
    running = [load for load in peers.loads if _is_running(load, now_s)]
    if running:
        return min(running, key=PeerLoad.estimate_load)
    return peers.choose_distant(segment.flow, message.hops)


def _is_running(load: PeerLoad, now_s: float) -> bool:
    return load.report.state in RUNNING_STATES and load.is_fresh(now_s)


def _find_service_s(context: AgentContext) -> float:
    """Return the expected duration of a request in seconds."""
    return (
        context.estimate_service_s()
        or average_service_s(context.peers.loads)
        or DEFAULT_S
    )

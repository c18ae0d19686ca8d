"""State of an agent's target, from its heartbeats and packets."""

from enum import Enum, unique

from ...foundation.timers import TimerService
from ..messages.peer_messages import ReportedState
from .incarnations import Heartbeat, Incarnations, ReportVerdict

# A target is silent after this many heartbeat intervals.
MISSED_HEARTBEATS = 3.5
# A target that runs sends its first heartbeat to a new agent within this
# many intervals.
FIRST_HEARTBEATS = 2.0


@unique
class TargetPhase(Enum):
    """Phase of a target's life cycle, as the target reports it."""

    # No heartbeat since the agent's start.
    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


# Phases in which the target accepts no new flows.
_CLOSED = frozenset((TargetPhase.DRAINING, TargetPhase.GONE))


@unique
class HeartbeatOutcome(Enum):
    """Change that a heartbeat caused."""

    SAME = 'same'
    CHANGED = 'changed'
    # First heartbeat after a restart of the target, or of a new target.
    NEW_INCARNATION = 'new_lifetime'
    # Not applied: possibly of an earlier start, older than the last
    # heartbeat, or sent before the departure of the target.
    STALE = 'stale'


class TargetGate:
    """State of an agent's target, and whether it accepts flows."""

    def __init__(self, timers: TimerService, heartbeat_s: float) -> None:
        self.phase = TargetPhase.UNKNOWN
        self.incarnations = Incarnations(timers, heartbeat_s)
        self.slots = 1
        # Whether a heartbeat that was not applied says that the target
        # drains, while it is not certain which target is the living one.
        self._may_drain = False
        self._timers = timers
        self._heartbeat_s = heartbeat_s
        self._last_seen_s = timers.now()
        self._opening_failed = False
        self.is_heard = False

    @property
    def target_id(self) -> str:
        """Return the id of the target, empty before its first heartbeat."""
        current = self.incarnations.current
        return current.target_id if current else ''

    @property
    def started_ms(self) -> int:
        """Return the target's start in ms since the epoch, 0 if unknown."""
        current = self.incarnations.current
        return current.started_ms if current else 0

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Apply a heartbeat of the living target; return what it changed."""
        was_known = self.incarnations.current is not None
        is_closed = self.phase in _CLOSED
        verdict = self.incarnations.judge(
            heartbeat, reopens=is_closed and not heartbeat.is_draining
        )
        if verdict is ReportVerdict.UNPROVEN:
            self._consider(heartbeat)
            return HeartbeatOutcome.STALE
        self._may_drain = False
        self.record_activity()
        self.slots = heartbeat.slots
        phase = (
            TargetPhase.DRAINING if heartbeat.is_draining else TargetPhase.READY
        )
        changed = phase is not self.phase
        self.phase = phase
        if verdict is ReportVerdict.REPLACED and was_known:
            return HeartbeatOutcome.NEW_INCARNATION
        return HeartbeatOutcome.CHANGED if changed else HeartbeatOutcome.SAME

    def handle_departure(self, target_id: str) -> bool:
        """Record that the target leaves; False if the id is another one."""
        if not self.incarnations.record_departure(target_id):
            return False
        self.phase = TargetPhase.GONE
        return True

    def record_activity(self) -> None:
        """Record that the target sent a packet or a heartbeat."""
        self._opening_failed = False
        self.is_heard = True
        self._last_seen_s = self._timers.now()

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the target's silence."""
        self._last_seen_s += pause_s
        self.incarnations.exclude_pause(pause_s)

    def record_failed_opening(self, offered_s: float) -> None:
        """Record that an opening packet was unanswered or sent back.

        `offered_s` is when the packet was sent. If the target has sent
        anything since, it is running: the packet was lost, or the target
        holds as many flows as it can.
        """
        self._opening_failed = not self.has_sent_since(offered_s)

    def has_sent_since(self, time_s: float) -> bool:
        """Return whether the target has sent anything after `time_s`."""
        return self._last_seen_s > time_s

    @property
    def is_open(self) -> bool:
        """Return whether the phase of the target allows new flows."""
        return self.phase not in _CLOSED and not self._may_drain

    @property
    def is_responsive(self) -> bool:
        """Return whether the target is not silent and answers openings."""
        silent_s = self._timers.now() - self._last_seen_s
        limit_s = self._heartbeat_s * MISSED_HEARTBEATS
        return not self._opening_failed and silent_s < limit_s

    @property
    def is_down(self) -> bool:
        """Return whether the target is most likely not running.

        It has left, is silent, or has not sent anything to this agent.
        """
        intervals = MISSED_HEARTBEATS if self.is_heard else FIRST_HEARTBEATS
        silent_s = self._timers.now() - self._last_seen_s
        is_silent = silent_s >= self._heartbeat_s * intervals
        return is_silent or self.phase is TargetPhase.GONE

    def reported_state(self) -> ReportedState:
        """Return the state for load reports."""
        match self.phase:
            case TargetPhase.GONE:
                return ReportedState.ABSENT
            case TargetPhase.DRAINING:
                return ReportedState.DRAINING
        if self._may_drain:
            return ReportedState.DRAINING
        if not self.is_responsive:
            return ReportedState.ABSENT
        if self.phase is TargetPhase.UNKNOWN:
            return ReportedState.UNHEARD
        return ReportedState.READY

    def _consider(self, heartbeat: Heartbeat) -> None:
        """Close the gate if the living target may be a draining one.

        An agent that has restarted may have acknowledged that before.
        """
        current = self.incarnations.current
        if heartbeat.is_draining and current and not current.was_proven:
            self._may_drain = True

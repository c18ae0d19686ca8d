"""State of an agent's target, from its heartbeats and packets."""

from enum import Enum, unique

from ..foundation.timers import TimerService
from .peer_messages import ReportedState

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


@unique
class HeartbeatOutcome(Enum):
    """Change that a heartbeat caused."""

    SAME = 'same'
    CHANGED = 'changed'
    # First heartbeat after a restart of the target, or of a new target.
    NEW_INCARNATION = 'new_lifetime'
    # Ignored: of an earlier start, older than the last heartbeat, or
    # sent before the departure of the target.
    STALE = 'stale'


class Heartbeat:
    """Message in which a target reports its state to its agent.

    `started_ms` is the target's start in ms since the epoch, 0 if not
    given; `sequence` increases with each heartbeat since that start.
    """

    __slots__ = ('is_draining', 'sequence', 'slots', 'started_ms', 'target_id')

    def __init__(
        self,
        target_id: str,
        *,
        started_ms: int = 0,
        sequence: int = 0,
        slots: int = 1,
        is_draining: bool = False,
    ) -> None:
        self.target_id = target_id
        self.started_ms = started_ms
        self.sequence = sequence
        self.slots = slots
        self.is_draining = is_draining


class TargetGate:
    """State of an agent's target, and whether it accepts flows."""

    def __init__(self, timers: TimerService, heartbeat_s: float) -> None:
        self.phase = TargetPhase.UNKNOWN
        self.target_id = ''
        self.started_ms = 0
        self.slots = 1
        self._timers = timers
        self._heartbeat_s = heartbeat_s
        self._sequence = -1
        self._last_seen_s = timers.now()
        self._opening_failed = False
        self.is_heard = False

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Apply a heartbeat unless it is stale; return what it changed."""
        incarnation = (heartbeat.target_id, heartbeat.started_ms)
        is_new = incarnation != (self.target_id, self.started_ms)
        if self._is_stale(heartbeat, is_new):
            return HeartbeatOutcome.STALE
        self.record_activity()
        self._sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        phase = (
            TargetPhase.DRAINING if heartbeat.is_draining else TargetPhase.READY
        )
        changed = phase is not self.phase
        self.phase = phase
        if is_new:
            known_before = bool(self.target_id)
            self.target_id = heartbeat.target_id
            self.started_ms = heartbeat.started_ms
            if known_before:
                return HeartbeatOutcome.NEW_INCARNATION
        return HeartbeatOutcome.CHANGED if changed else HeartbeatOutcome.SAME

    def handle_departure(self, target_id: str) -> bool:
        """Record that the target leaves; False if the id is another one."""
        if self.target_id and target_id != self.target_id:
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
        return self.phase in {TargetPhase.UNKNOWN, TargetPhase.READY}

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
        if not self.is_responsive:
            return ReportedState.ABSENT
        if self.phase is TargetPhase.UNKNOWN:
            return ReportedState.UNHEARD
        return ReportedState.READY

    def _is_stale(self, heartbeat: Heartbeat, is_new: bool) -> bool:
        if is_new:
            return heartbeat.started_ms < self.started_ms
        return (
            heartbeat.sequence <= self._sequence
            or self.phase is TargetPhase.GONE
        )

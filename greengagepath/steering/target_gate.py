"""What the agent knows of its target first hand."""

from enum import Enum, unique

from ..foundation.timers import TimerService
from .peer_messages import ReportedState

# Heartbeats that may be missed.
MISSED_HEARTBEATS = 3.5


@unique
class TargetPhase(Enum):
    """Part of its life that a target reports."""

    # Not heard since the agent's own start.
    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@unique
class HeartbeatOutcome(Enum):
    """What a heartbeat changed."""

    SAME = 'same'
    CHANGED = 'changed'
    # First of a start of the target that was not known.
    NEW_LIFETIME = 'new_lifetime'
    # Of an earlier start, or overtaken by a later heartbeat.
    STALE = 'stale'


class Heartbeat:
    """What a target says of itself.

    `started_ms` is its start in ms since the epoch, 0 if not told;
    `sequence` increases with each heartbeat of a start.
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
    """State of the target beside an agent, and whether it takes flows."""

    def __init__(self, timers: TimerService, heartbeat_s: float) -> None:
        self.phase = TargetPhase.UNKNOWN
        self.target_id = ''
        self.started_ms = 0
        self.slots = 1
        self._timers = timers
        self._heartbeat_s = heartbeat_s
        self._sequence = -1
        self._last_seen_s = timers.now()
        self._unanswered = False

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatOutcome:
        """Take what the target says, unless something newer is known."""
        lifetime = (heartbeat.target_id, heartbeat.started_ms)
        is_new = lifetime != (self.target_id, self.started_ms)
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
                return HeartbeatOutcome.NEW_LIFETIME
        return HeartbeatOutcome.CHANGED if changed else HeartbeatOutcome.SAME

    def handle_departure(self, target_id: str) -> bool:
        """Note that the target leaves; False if it is not this one."""
        if self.target_id and target_id != self.target_id:
            return False
        self.phase = TargetPhase.GONE
        return True

    def record_activity(self) -> None:
        """Note that the target sent a packet or a heartbeat."""
        self._unanswered = False
        self._last_seen_s = self._timers.now()

    def exclude_pause(self, pause_s: float) -> None:
        """Don't count a pause of this process as silence of the target."""
        self._last_seen_s += pause_s

    def record_failed_opening(self, offered_s: float) -> None:
        """Note that an opening packet was not answered or came back.

        If the target was heard since it was offered, the target runs:
        the packet is lost, or the target holds as many flows as it can.
        """
        self._unanswered = self._last_seen_s <= offered_s

    @property
    def is_open(self) -> bool:
        """Return whether the target may get new flows at all."""
        return self.phase in {TargetPhase.UNKNOWN, TargetPhase.READY}

    @property
    def is_responsive(self) -> bool:
        """Return whether the target has been heard lately."""
        silent_s = self._timers.now() - self._last_seen_s
        limit_s = self._heartbeat_s * MISSED_HEARTBEATS
        return not self._unanswered and silent_s < limit_s

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

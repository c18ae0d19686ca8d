"""Which incarnation of a target is the living one.

An agent hears its target only through reports. A report names the start
that sent it by an id and the time of the start, and has a sequence number
that increases from there. None of these orders two starts: clocks go
forward and back, an id may be kept, and sequences begin anew. A late
report of an earlier start may come at any time, also to an agent that has
restarted and remembers nothing.

What tells them apart is who goes on. The living incarnation reports at
every interval; of an earlier one only what it had already sent can come.
"""

from enum import Enum, unique

from ...foundation.timers import TimerService

# The living incarnation is heard in every span of this many intervals of
# its reports, which are sent about once an interval.
PROOF_INTERVALS = 1.25
# Incarnations that are remembered.
MAX_REMEMBERED = 16

# Id and start time of an incarnation. The flag marks one whose reports have
# the name of another and sequence numbers that begin anew.
_Name = tuple[str, int, bool]


class Heartbeat:
    """Message in which a target reports its state to its agent.

    `started_ms` is the target's start in ms since the epoch by the clock
    of its VM, 0 if not given; `sequence` increases with each heartbeat
    since that start. The target stays cold for `cold_remaining_s`.
    """

    __slots__ = (
        'cold_remaining_s',
        'is_draining',
        'sequence',
        'slots',
        'started_ms',
        'target_id',
    )

    def __init__(
        self,
        target_id: str,
        *,
        started_ms: int = 0,
        sequence: int = 0,
        slots: int = 1,
        is_draining: bool = False,
        cold_remaining_s: float = 0,
    ) -> None:
        self.target_id = target_id
        self.cold_remaining_s = cold_remaining_s
        self.started_ms = started_ms
        self.sequence = sequence
        self.slots = slots
        self.is_draining = is_draining


@unique
class ReportVerdict(Enum):
    """What a report says about the living incarnation."""

    # Of the living incarnation, and newer than its last report.
    CURRENT = 'current'
    # Of another incarnation, which is the living one from now on.
    REPLACED = 'replaced'
    # Possibly late; not applied.
    UNPROVEN = 'unproven'


class Incarnation:
    """One start of a target, as its reports name it.

    `sequence` is the highest one heard. `heard_since_s` is the time of the
    first report after which no other incarnation was heard, None if there
    is none. `was_proven` tells whether it was certainly living at a time,
    `was_current` whether it was taken for the living one. Times are
    monotonic seconds.
    """

    __slots__ = (
        'heard_since_s',
        'last_heard_s',
        'sequence',
        'started_ms',
        'target_id',
        'was_current',
        'was_proven',
    )

    def __init__(self, heartbeat: Heartbeat, now_s: float) -> None:
        self.target_id = heartbeat.target_id
        self.started_ms = heartbeat.started_ms
        self.was_current = False
        self.was_proven = False
        self.heard_since_s: float | None = None
        self.hear(heartbeat.sequence, now_s)

    def hear(self, sequence: int, now_s: float) -> None:
        """Record a report."""
        self.sequence = sequence
        self.last_heard_s = now_s
        if self.heard_since_s is None:
            self.heard_since_s = now_s

    def heard_for_s(self) -> float:
        """Return how long it has reported while no other one has."""
        if self.heard_since_s is None:
            return 0.0
        return self.last_heard_s - self.heard_since_s

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the times."""
        self.last_heard_s += pause_s
        if self.heard_since_s is not None:
            self.heard_since_s += pause_s


class Incarnations:
    """Decides which incarnation is the living one, report by report.

    Another incarnation than the current one is taken for the living one

    - if it has a later start time, which is a hint only, and would not
      make a target accept flows again that has stopped to;
    - if it has a later start time, and no other one was heard for
      `PROOF_INTERVALS`;
    - if it has reported for `PROOF_INTERVALS`, and no other one meanwhile.

    `current` is None before the first report.
    """

    def __init__(self, timers: TimerService, heartbeat_s: float) -> None:
        self.current: Incarnation | None = None
        self._timers = timers
        self._proof_s = PROOF_INTERVALS * heartbeat_s
        self._has_departed = False
        self._by_name: dict[_Name, Incarnation] = {}
        # Whether an earlier incarnation was certainly living since this
        # process started.
        self._had_proof = False
        self._awaits_restart_proof = False

    def judge(self, heartbeat: Heartbeat, *, reopens: bool) -> ReportVerdict:
        """Return what a report means.

        `reopens` tells whether its target would accept flows that the
        current incarnation does not accept.
        """
        heard = self._hear(heartbeat)
        if heard is None:
            return ReportVerdict.UNPROVEN
        if heard is self.current and not self._has_departed:
            return ReportVerdict.CURRENT
        if not self._is_living(heard, reopens=reopens):
            return ReportVerdict.UNPROVEN
        self._replace(heard)
        return ReportVerdict.REPLACED

    def record_departure(self, target_id: str) -> bool:
        """Record that a target has left; False if it is not the current one.

        The message names an id only. If it was late and a target with that
        id lives, its next reports prove it.
        """
        current = self.current
        if current is not None:
            if target_id != current.target_id:
                return False
            current.last_heard_s = self._timers.now()
            current.heard_since_s = None
        self._has_departed = True
        return True

    def take_restart(self) -> bool:
        """Return once whether the target has started after this process.

        True if the current incarnation is certainly living and an earlier
        one certainly was, both heard by this process.
        """
        current = self.current
        if current is None or not current.was_proven:
            return False
        is_restart = self._awaits_restart_proof
        self._awaits_restart_proof = False
        return is_restart

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of targets."""
        for incarnation in self._by_name.values():
            incarnation.exclude_pause(pause_s)

    def _hear(self, heartbeat: Heartbeat) -> Incarnation | None:
        """Return the incarnation of a report, None if the report is old.

        A sequence number that is not higher than one before is of an old
        report, or of a start with the name of an earlier one.
        """
        name = (heartbeat.target_id, heartbeat.started_ms, False)
        found = self._by_name.get(name)
        if found is not None and heartbeat.sequence <= found.sequence:
            name = (heartbeat.target_id, heartbeat.started_ms, True)
            found = self._by_name.get(name)
        now_s = self._timers.now()
        if found is None:
            found = Incarnation(heartbeat, now_s)
            self._remember(name, found)
        elif heartbeat.sequence <= found.sequence:
            return None
        found.hear(heartbeat.sequence, now_s)
        if found.heard_for_s() >= self._proof_s:
            found.was_proven = True
        for other in self._by_name.values():
            if other is not found:
                other.heard_since_s = None
        return found

    def _is_living(self, heard: Incarnation, *, reopens: bool) -> bool:
        current = self.current
        if current is None or heard.heard_for_s() >= self._proof_s:
            return True
        is_later = heard.started_ms > current.started_ms
        if heard.was_current or not is_later:
            return False
        return not reopens or self._are_others_silent(heard)

    def _are_others_silent(self, heard: Incarnation) -> bool:
        before_s = self._timers.now() - self._proof_s
        return all(
            other.last_heard_s <= before_s
            for other in self._by_name.values()
            if other is not heard
        )

    def _replace(self, successor: Incarnation) -> None:
        if self.current is not None and self.current.was_proven:
            self._had_proof = True
        self._awaits_restart_proof = (
            self._had_proof and not successor.was_current
        )
        name = (successor.target_id, successor.started_ms, True)
        if self._by_name.get(name) is successor:
            del self._by_name[name]
            self._by_name[(*name[:2], False)] = successor
        successor.was_current = True
        self.current = successor
        self._has_departed = False

    def _remember(self, name: _Name, incarnation: Incarnation) -> None:
        if len(self._by_name) >= MAX_REMEMBERED:
            oldest = min(
                (
                    name
                    for name, kept in self._by_name.items()
                    if kept is not self.current
                ),
                key=lambda known: self._by_name[known].last_heard_s,
            )
            del self._by_name[oldest]
        self._by_name[name] = incarnation

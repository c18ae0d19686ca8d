"""Transfer of a payload in parts over datagrams, without I/O.

The owner of a sender sends the parts that `next_part` names, passes
ACK bodies to `acknowledge` and calls `check_timeout` when `due_s` is
reached. The owner of a receiver passes parts to `accept` and sends an
ACK whenever `is_ack_due` is true. Time is passed in, in seconds.
"""

from array import array
from collections import deque
from enum import Enum, unique

from .acks import MAX_MISSING_RANGES, Ack, PartRange
from .packets import MAX_BODY_BYTES
from .send_window import SendWindow, TransferLimits

PART_BYTES = MAX_BODY_BYTES
DEFAULT_LIMITS = TransferLimits()
# How far sending may run ahead of the first missing part, in windows.
# It bounds the work for each ACK and the number of missing ranges.
_SPAN_WINDOWS = 8
# A part counts as lost when an acknowledged part was sent later than it
# by more than the reordering window, a share of the round trip. The
# share doubles when a part was wrongly counted as lost.
_MIN_REORDER_WINDOW_S = 0.001
_REORDER_SHARE = 0.25
_MAX_REORDER_SHARE = 4.0

_UNSENT = 0
_IN_FLIGHT = 1
_LOST = 2
_ARRIVED = 3

# An ACK is due after this many new parts, or after the delay.
ACK_EVERY_PARTS = 8
ACK_DELAY_S = 0.002


def count_parts(size: int) -> int:
    """Return the number of parts of a payload of `size` bytes."""
    return max(1, (size + PART_BYTES - 1) // PART_BYTES)


class PartSender:
    """Sends one payload; keeps it and 10 B for each part.

    `payload` is not copied.
    """

    def __init__(
        self,
        payload: bytes,
        now_s: float,
        limits: TransferLimits = DEFAULT_LIMITS,
    ) -> None:
        self.part_count = count_parts(len(payload))
        self.retransmitted = 0
        self._payload = payload
        self._limits = limits
        self._window = SendWindow(limits, now_s)
        self._states = bytearray(self.part_count)
        self._resent = bytearray(self.part_count)
        self._sent_s = array('d', bytes(8 * self.part_count))
        self._lost: deque[int] = deque()
        self._next_unsent = 0
        self._cumulative = 0
        self._in_flight = 0
        self._reorder_share = _REORDER_SHARE
        self._progress_s = now_s
        self._timer_start_s = now_s

    @property
    def is_complete(self) -> bool:
        """Return whether all parts are acknowledged."""
        return self._cumulative == self.part_count

    def body(self, part: int) -> bytes:
        """Return the bytes of one part."""
        return self._payload[part * PART_BYTES : (part + 1) * PART_BYTES]

    def next_part(self, now_s: float) -> int | None:
        """Return the part to send now, counted as sent, or None."""
        if self._in_flight >= self._window.parts:
            return None
        part = self._choose_part()
        if part is None:
            return None
        if not self._in_flight:
            self._timer_start_s = now_s
        self._states[part] = _IN_FLIGHT
        self._sent_s[part] = now_s
        self._in_flight += 1
        return part

    def acknowledge(self, ack: Ack, now_s: float) -> bool:
        """Process an ACK; return False if it covers parts never sent."""
        if ack.end > self._next_unsent:
            return False
        arrived, latest_sent_s = self._mark_arrived_parts(ack, now_s)
        lost = 0
        if arrived:
            lost = self._mark_lost_parts(
                ack, latest_sent_s - self._reorder_window_s()
            )
            self._progress_s = now_s
            self._timer_start_s = now_s
        self._window.record_progress(arrived, lost, now_s)
        return True

    def due_s(self) -> float | None:
        """Return when to call `check_timeout`; None if nothing is in flight."""
        if not self._in_flight:
            return None
        return self._timer_start_s + self._window.timeout_s()

    def check_timeout(self, now_s: float) -> bool:
        """Mark unacknowledged parts as lost after a timeout.

        Returns whether the timeout has passed.
        """
        due_s = self.due_s()
        if due_s is None or now_s < due_s:
            return False
        sent_before_s = now_s - self._window.timeout_s() / 2
        for part in range(self._cumulative, self._next_unsent):
            if self._was_sent_before(part, sent_before_s):
                self._mark_part_lost(part)
        self._window.record_timeout()
        self._timer_start_s = now_s
        return True

    def has_failed(self, now_s: float) -> bool:
        """Return whether `stall_timeout_s` has passed without progress."""
        silence_s = now_s - self._progress_s
        return not self.is_complete and silence_s > self._limits.stall_timeout_s

    def _choose_part(self) -> int | None:
        while self._lost:
            part = self._lost.popleft()
            if self._states[part] == _LOST:
                self._resent[part] = 1
                self.retransmitted += 1
                return part
        span = _SPAN_WINDOWS * self._limits.max_window
        end = min(self.part_count, self._cumulative + span)
        if self._next_unsent >= end:
            return None
        self._next_unsent += 1
        return self._next_unsent - 1

    def _mark_arrived_parts(self, ack: Ack, now_s: float) -> tuple[int, float]:
        # Returns how many parts are new and the latest of their send times.
        arrived = 0
        latest_sent_s = 0.0
        newest = -1
        start = self._cumulative
        for stop, resume in (*ack.missing, (ack.end, ack.end)):
            for part in range(start, stop):
                if self._states[part] == _ARRIVED:
                    continue
                self._mark_part_arrived(part, now_s)
                arrived += 1
                if self._sent_s[part] >= latest_sent_s:
                    latest_sent_s = self._sent_s[part]
                    newest = part
            start = max(start, resume)
        self._cumulative = max(self._cumulative, ack.cumulative)
        if newest >= 0 and not self._resent[newest]:
            self._window.record_rtt(now_s - latest_sent_s)
        return arrived, latest_sent_s

    def _mark_part_arrived(self, part: int, now_s: float) -> None:
        if self._states[part] == _IN_FLIGHT:
            self._in_flight -= 1
        if self._was_loss_spurious(part, now_s):
            share = self._reorder_share * 2
            self._reorder_share = min(share, _MAX_REORDER_SHARE)
        self._states[part] = _ARRIVED

    def _was_loss_spurious(self, part: int, now_s: float) -> bool:
        # Less than half a round trip after the part was sent again, the
        # ACK is for the first copy: it was late, not lost.
        if self._states[part] == _LOST:
            return True
        elapsed_s = now_s - self._sent_s[part]
        late = elapsed_s < self._window.min_rtt_s / 2
        return bool(self._resent[part]) and late

    def _reorder_window_s(self) -> float:
        rtt_s = self._window.rtt_s or self._limits.min_timeout_s
        return max(rtt_s * self._reorder_share, _MIN_REORDER_WINDOW_S)

    def _mark_lost_parts(self, ack: Ack, sent_before_s: float) -> int:
        lost = 0
        for start, stop in ack.missing:
            for part in range(start, stop):
                if self._was_sent_before(part, sent_before_s):
                    self._mark_part_lost(part)
                    lost += 1
        return lost

    def _was_sent_before(self, part: int, moment_s: float) -> bool:
        in_flight = self._states[part] == _IN_FLIGHT
        return in_flight and self._sent_s[part] < moment_s

    def _mark_part_lost(self, part: int) -> None:
        self._states[part] = _LOST
        self._in_flight -= 1
        self._lost.append(part)


@unique
class PartOutcome(Enum):
    """What a receiver did with a part."""

    NEW = 'new'
    DUPLICATE = 'duplicate'
    # Wrong count, index or size; the part was dropped.
    INVALID = 'invalid'


class PartReceiver:
    """Reassembles parts received in any order.

    Keeps at most `part_count` parts of `PART_BYTES`; the owner checks
    `part_count` against its limit with `count_parts` beforehand.
    Raises ValueError if `part_count` is not positive.
    """

    def __init__(self, part_count: int) -> None:
        if part_count < 1:
            raise ValueError(f'part count must be positive, got {part_count}')
        self.part_count = part_count
        self._bodies: dict[int, bytes] = {}
        self._cumulative = 0
        self._end = 0
        self._unacknowledged = 0
        self._ack_due_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether all parts have arrived."""
        return self._cumulative == self.part_count

    def accept(
        self, part: int, part_count: int, body: bytes, now_s: float
    ) -> PartOutcome:
        """Store a part; every valid part schedules an ACK."""
        if not self._is_valid(part, part_count, body):
            return PartOutcome.INVALID
        if part in self._bodies:
            # The sender has not seen the ACK of this part.
            self._ack_due_s = now_s
            return PartOutcome.DUPLICATE
        self._bodies[part] = body
        self._end = max(self._end, part + 1)
        while self._cumulative in self._bodies:
            self._cumulative += 1
        self._schedule_ack(now_s)
        return PartOutcome.NEW

    def is_ack_due(self, now_s: float) -> bool:
        """Return whether an ACK has to be sent now."""
        return self._ack_due_s is not None and self._ack_due_s <= now_s

    def ack_due_s(self) -> float | None:
        """Return when an ACK has to be sent, or None."""
        return self._ack_due_s

    def build_ack(self) -> Ack:
        """Return the ACK to send now; none is due afterwards."""
        self._unacknowledged = 0
        self._ack_due_s = None
        missing = self._missing_ranges()
        end = self._end
        if len(missing) > MAX_MISSING_RANGES:
            end = missing[MAX_MISSING_RANGES][0]
            missing = missing[:MAX_MISSING_RANGES]
        return Ack(self._cumulative, end, tuple(missing))

    def payload(self) -> bytes:
        """Return the payload; the receiver must be complete."""
        return b''.join(self._bodies[part] for part in range(self.part_count))

    def _is_valid(self, part: int, part_count: int, body: bytes) -> bool:
        if part_count != self.part_count or not 0 <= part < part_count:
            return False
        if part == part_count - 1:
            return len(body) <= PART_BYTES
        return len(body) == PART_BYTES

    def _schedule_ack(self, now_s: float) -> None:
        self._unacknowledged += 1
        if self.is_complete or self._unacknowledged >= ACK_EVERY_PARTS:
            self._ack_due_s = now_s
        elif self._ack_due_s is None:
            self._ack_due_s = now_s + ACK_DELAY_S

    def _missing_ranges(self) -> list[PartRange]:
        ranges: list[PartRange] = []
        start: int | None = None
        for part in range(self._cumulative, self._end):
            if part not in self._bodies:
                start = part if start is None else start
            elif start is not None:
                ranges.append((start, part))
                start = None
        return ranges

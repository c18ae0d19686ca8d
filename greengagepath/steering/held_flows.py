"""Flows that the target beside an agent holds."""

from collections.abc import Iterator

from .ages import drop_older
from .durations import DurationCounts
from .peer_messages import PeerMessage
from .segments import Segment
from .service_times import ServiceTime

MAX_FLOWS = 20000
# The caller's request follows the opening packet within a round trip;
# after an outage many callers of opening packets have given up.
REQUEST_EXPECTED_S = 0.15
# A request in progress for longer is not counted as load.
MAX_REQUEST_S = 10.0
# A target that refused is tried with one more request after this time.
LIMIT_STEP_S = 0.25
# Requests for each slot that a target takes in any case; a target also
# refuses what has waited too long, whatever its queue holds.
MIN_LOAD_PER_SLOT = 2
# Late packets of a closed flow are still answered by the target.
CLOSED_RETENTION_S = 3.0
# Acknowledgements lie at most this far above the first sequence number.
MAX_SENT_BYTES = 0x10000000
_SEQUENCE_MASK = 0xFFFFFFFF


class HeldFlow:
    """One flow at the target.

    `service_rounds` is how many requests one after the other its slot works on
    until this one is done, estimated when the request came.
    `offer` and `opening` are kept until the target answers, to hand the
    flow over; `first_sequence` is the target's, None if its answer was
    not seen.
    """

    __slots__ = (
        'balancer',
        'first_sequence',
        'hops',
        'is_answered',
        'is_closed',
        'last_used_s',
        'offer',
        'offered_s',
        'opening',
        'request_started_s',
        'service_rounds',
        'unanswered_checks',
    )

    def __init__(self, balancer: bytes, hops: int, now_s: float) -> None:
        self.balancer = balancer
        self.unanswered_checks = 0
        self.hops = hops
        self.offer: PeerMessage | None = None
        self.opening: Segment | None = None
        self.first_sequence: int | None = None
        self.is_answered = False
        self.is_closed = False
        self.offered_s = now_s
        self.last_used_s = now_s
        self.request_started_s: float | None = None
        self.service_rounds = 1.0

    def matches(self, segment: Segment) -> bool:
        """Return whether the caller's packet belongs to this opening.

        Two targets may answer copies of one opening packet; the caller
        acknowledges the first sequence number of one of them.
        """
        if not self.is_answered:
            return False
        if self.first_sequence is None or not segment.has_acknowledgement:
            return True
        ahead = (segment.acknowledged - self.first_sequence) & _SEQUENCE_MASK
        return ahead < MAX_SENT_BYTES


class HeldFlows:
    """All flows of the target, and the work they cause."""

    def __init__(self) -> None:
        self.by_flow: dict[bytes, HeldFlow] = {}
        self.service_time = ServiceTime()
        self.handshakes = DurationCounts()
        self.requests = DurationCounts()
        self._expected_since_s: dict[bytes, float] = {}
        self._started_s_by_flow: dict[bytes, float] = {}
        self._limit: int | None = None
        self._limit_set_s = 0.0

    @property
    def load(self) -> int:
        """Return requests in progress and those about to come."""
        return len(self._expected_since_s) + len(self._started_s_by_flow)

    def accept(
        self, segment: Segment, offer: PeerMessage, now_s: float
    ) -> HeldFlow:
        """Add the flow of an opening packet that goes to the target."""
        held = HeldFlow(offer.balancer, offer.hops, now_s)
        held.offer = offer
        held.opening = segment
        self._add(segment.flow, held)
        self._expected_since_s[segment.flow] = now_s
        return held

    def add_existing(self, flow: bytes, now_s: float) -> HeldFlow:
        """Add a flow that was opened before this process started."""
        held = HeldFlow(b'', 0, now_s)
        held.is_answered = True
        self._add(flow, held)
        return held

    def record_request(
        self, flow: bytes, held: HeldFlow, slots: int, now_s: float
    ) -> None:
        """Note data on its way to the target."""
        held.last_used_s = now_s
        self._expected_since_s.pop(flow, None)
        if held.request_started_s is None:
            held.request_started_s = now_s
            waiting = max(len(self._started_s_by_flow) - slots + 1, 0)
            held.service_rounds = 1 + waiting / slots
            self._started_s_by_flow[flow] = now_s

    def record_opened(
        self, held: HeldFlow, sequence: int, now_s: float
    ) -> None:
        """Note the target's answer to an opening packet."""
        held.first_sequence = sequence
        held.is_answered = True
        held.offer = None
        held.opening = None
        self.handshakes.add(now_s - held.offered_s)

    def record_response(
        self, flow: bytes, held: HeldFlow, now_s: float
    ) -> float | None:
        """Note data from the target, which ends the work.

        Return how many seconds the work took, None if there was none.
        """
        held.last_used_s = now_s
        if held.request_started_s is None:
            return None
        duration_s = now_s - held.request_started_s
        self.requests.add(duration_s)
        if flow in self._started_s_by_flow:
            self.service_time.add(duration_s / held.service_rounds, now_s)
        held.request_started_s = None
        self._started_s_by_flow.pop(flow, None)
        return duration_s

    def record_refusal(
        self, flow: bytes, held: HeldFlow, slots: int, now_s: float
    ) -> None:
        """Note that the target refused a request, since its queue is full.

        The load at that moment, without the request, is its limit.
        """
        held.last_used_s = now_s
        held.request_started_s = None
        self._started_s_by_flow.pop(flow, None)
        self._limit = max(self.load, slots * MIN_LOAD_PER_SLOT)
        self._limit_set_s = now_s

    def is_full(self, now_s: float) -> bool:
        """Return whether one more flow would probably be refused."""
        if self._limit is None:
            return False
        risen = int((now_s - self._limit_set_s) / LIMIT_STEP_S)
        return self.load >= self._limit + risen

    def record_closed(self, flow: bytes, held: HeldFlow, now_s: float) -> None:
        """Note that the target ended the flow."""
        held.is_closed = True
        held.last_used_s = now_s
        self._expected_since_s.pop(flow, None)
        self._started_s_by_flow.pop(flow, None)

    def remove(self, flow: bytes) -> HeldFlow | None:
        """Forget a flow that the target does not hold."""
        self._expected_since_s.pop(flow, None)
        self._started_s_by_flow.pop(flow, None)
        return self.by_flow.pop(flow, None)

    def clear(self) -> None:
        """Forget all flows, which a restarted target has lost."""
        self.by_flow.clear()
        self._expected_since_s.clear()
        self._started_s_by_flow.clear()
        self.service_time = ServiceTime()
        self._limit = None

    def iter_unanswered(
        self, min_checks: int
    ) -> Iterator[tuple[bytes, HeldFlow]]:
        """Yield flows not answered at that many calls, this one included.

        Calls and not seconds are counted: after a pause of the process
        the answers wait in its socket.
        """
        for flow in tuple(self._expected_since_s):
            held = self.by_flow[flow]
            if held.is_answered:
                continue
            held.unanswered_checks += 1
            if held.unanswered_checks >= min_checks:
                yield flow, held

    def expire_expected(self, now_s: float) -> None:
        """Don't count flows any more whose request has not come."""
        before_s = now_s - REQUEST_EXPECTED_S
        while self._expected_since_s:
            flow, since_s = next(iter(self._expected_since_s.items()))
            if since_s >= before_s:
                return
            del self._expected_since_s[flow]

    def sweep(self, now_s: float, idle_s: float) -> None:
        """Drop closed and idle flows, and work that takes too long."""
        drop_older(self._started_s_by_flow, now_s - MAX_REQUEST_S)
        closed_before_s = now_s - CLOSED_RETENTION_S
        idle_before_s = now_s - idle_s
        old = [
            flow
            for flow, held in self.by_flow.items()
            if held.last_used_s < idle_before_s
            or (held.is_closed and held.last_used_s < closed_before_s)
        ]
        for flow in old:
            self.remove(flow)

    def _add(self, flow: bytes, held: HeldFlow) -> None:
        if len(self.by_flow) >= MAX_FLOWS:
            self.remove(next(iter(self.by_flow)))
        self.by_flow[flow] = held

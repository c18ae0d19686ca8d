"""Flows that an agent's target holds, and the load they cause."""

import math
from collections.abc import Iterator

from ...pace.target_pace import TargetPace
from ...routing.standing_load import StandingLoad
from ..ages import drop_older
from ..durations import DurationCounts
from ..messages.peer_messages import PeerMessage
from ..messages.segments import Segment
from ..targets.service_times import ServiceTime
from .flow_phase import FlowEvent, next_phase
from .held_flow import HeldFlow

MAX_FLOWS = 20000
# How long an opened flow counts as load without a request. The request
# follows the opening packet within a round trip, but after an outage many
# callers have timed out and send none.
REQUEST_EXPECTED_S = 0.15
# A request that runs for longer is no longer counted as load.
MAX_REQUEST_S = 10.0
# A flow that is over is kept this long after its last packet, since the
# target still answers late ones: each end repeats what is not acknowledged
# for up to 11 s.
OVER_RETENTION_S = 15.0


class HeldFlows:
    """All flows of the target, and the load that they cause.

    `restarted_s` is when the target has started again, in monotonic seconds,
    or minus infinity; it may not know flows that were offered before.
    """

    def __init__(self) -> None:
        self.by_flow: dict[bytes, HeldFlow] = {}
        self.service_time = ServiceTime()
        self.standing_load = StandingLoad()
        self.handshakes = DurationCounts()
        self.requests = DurationCounts()
        self.pace = TargetPace()
        # Flows with an answer are removed at the next check.
        self._offered_by_flow: dict[bytes, HeldFlow] = {}
        self._expected_since_s: dict[bytes, float] = {}
        self._started_s_by_flow: dict[bytes, float] = {}
        # Flows that are over, the first to be so first; they make room.
        self._over: dict[bytes, None] = {}
        # Whether open flows were removed because there were too many.
        self.has_evicted = False
        self.restarted_s = -math.inf

    @property
    def load(self) -> int:
        """Return the number of requests in progress or expected."""
        return len(self._expected_since_s) + len(self._started_s_by_flow)

    def accept(
        self, segment: Segment, offer: PeerMessage, now_s: float
    ) -> HeldFlow:
        """Add the flow of an opening packet that is sent to the target."""
        held = HeldFlow(offer.balancer, offer.hops, now_s)
        held.offer = offer
        held.opening = segment
        held.opening_sequence = segment.sequence
        self._add(segment.flow, held)
        self._offered_by_flow[segment.flow] = held
        self._expected_since_s[segment.flow] = now_s
        self.standing_load.record_opening(segment.flow)
        return held

    def add_existing(self, flow: bytes, now_s: float) -> HeldFlow:
        """Add a flow that was opened before this process started."""
        held = HeldFlow(b'', 0, now_s)
        held.is_confirmed = True
        self._add(flow, held)
        return held

    def record_request(
        self, flow: bytes, held: HeldFlow, slots: int, now_s: float
    ) -> None:
        """Record request data that is sent to the target.

        A target that has closed the flow runs no request of it; the data
        are repeated.
        """
        held.last_used_s = now_s
        self._expected_since_s.pop(flow, None)
        if held.request_started_s is None and held.is_serving:
            held.request_started_s = now_s
            waiting = max(len(self._started_s_by_flow) - slots + 1, 0)
            held.service_rounds = 1 + waiting / slots
            self._started_s_by_flow[flow] = now_s
            self.standing_load.record_request(flow, now_s)

    def record_opened(
        self, held: HeldFlow, sequence: int, now_s: float
    ) -> None:
        """Record the target's answer to an opening packet."""
        held.first_sequence = sequence
        held.sent_numbers = 0
        held.offer = None
        held.opening = None
        self.handshakes.add(now_s - held.offered_s)

    def record_response(
        self,
        flow: bytes,
        held: HeldFlow,
        now_s: float,
        peer_average_s: float = 0.0,
    ) -> float | None:
        """Record response data of the target, which ends the request.

        `peer_average_s` is the service time of the other targets, 0 if
        unknown. Return the duration of the request in seconds, None if
        none was in progress.
        """
        held.last_used_s = now_s
        if held.request_started_s is None:
            return None
        duration_s = now_s - held.request_started_s
        self.requests.add(duration_s)
        if flow in self._started_s_by_flow:
            service_s = duration_s / held.service_rounds
            self.service_time.add(service_s, now_s)
            self.pace.record_answer(service_s, peer_average_s, self.load, now_s)
        held.request_started_s = None
        self._started_s_by_flow.pop(flow, None)
        return duration_s

    def record_refusal(
        self, flow: bytes, held: HeldFlow, slots: int, now_s: float
    ) -> None:
        """Record that the target refused a request as its queue is full.

        The load at that moment, without the request, becomes the limit.
        """
        held.end_request(now_s)
        self._started_s_by_flow.pop(flow, None)
        self.pace.slots = slots
        self.pace.record_rejection(self.load, now_s)

    def record_failure(
        self,
        flow: bytes,
        held: HeldFlow,
        slots: int,
        now_s: float,
        *,
        may_limit: bool = True,
    ) -> bool:
        """Record a response or reset by which a request has failed.

        It is no service time, since failures are often fast. With
        `may_limit`, it lowers the limit of the load. Return whether a
        request was in progress.
        """
        if held.request_started_s is None:
            return False
        if may_limit and flow in self._started_s_by_flow:
            self.pace.slots = slots
            self.pace.record_failure(self.load, now_s)
        held.end_request(now_s)
        self._started_s_by_flow.pop(flow, None)
        return True

    def is_at_limit(self, now_s: float) -> bool:
        """Return whether the target should get no flow that others accept."""
        limit = self.pace.limit(now_s)
        return limit is not None and self.load >= limit

    def is_full(self) -> bool:
        """Return whether the target would probably refuse another flow."""
        queue_limit = self.pace.queue_limit
        return queue_limit is not None and self.load >= queue_limit

    def record_event(
        self, flow: bytes, held: HeldFlow, event: FlowEvent, now_s: float
    ) -> None:
        """Record a packet that closes or resets the flow.

        A flow that is closed at either end brings no further request, but
        one may be in progress until the target closes it.
        """
        held.phase = next_phase(held.phase, event)
        held.last_used_s = now_s
        self.standing_load.discard(flow)
        self._expected_since_s.pop(flow, None)
        if not held.is_serving:
            self._offered_by_flow.pop(flow, None)
            self._started_s_by_flow.pop(flow, None)
        if held.is_over:
            self._over[flow] = None

    def remove(self, flow: bytes) -> HeldFlow | None:
        """Remove a flow that the target does not hold; return it."""
        self._expected_since_s.pop(flow, None)
        self._offered_by_flow.pop(flow, None)
        self._started_s_by_flow.pop(flow, None)
        self.standing_load.discard(flow)
        self._over.pop(flow, None)
        return self.by_flow.pop(flow, None)

    def forget_load(self, slots: int, now_s: float) -> None:
        """Count no request of before the restart of the target.

        The flows are kept: the target may have opened some of them before
        its first heartbeat, and rejects the packets of the others.
        Opening packets that are unanswered can still be handed over.
        """
        self._started_s_by_flow.clear()
        self.standing_load.clear_flows()
        self.service_time = ServiceTime()
        self.restarted_s = now_s
        self.pace.restart(slots, now_s)

    def iter_unanswered(
        self, min_checks: int
    ) -> Iterator[tuple[bytes, HeldFlow]]:
        """Yield flows without an answer after `min_checks` calls.

        The present call is included. Calls are counted instead of
        seconds because the answers are still queued in the socket after
        a pause of the process.
        """
        for flow, held in tuple(self._offered_by_flow.items()):
            if held.is_answered:
                del self._offered_by_flow[flow]
                continue
            held.unanswered_checks += 1
            if held.unanswered_checks >= min_checks:
                yield flow, held

    def expire_expected(self, now_s: float) -> None:
        """Stop counting flows whose request has not arrived in time."""
        before_s = now_s - REQUEST_EXPECTED_S
        while self._expected_since_s:
            flow, since_s = next(iter(self._expected_since_s.items()))
            if since_s >= before_s:
                return
            del self._expected_since_s[flow]
            self.standing_load.discard(flow)

    def sweep(self, now_s: float, idle_s: float) -> None:
        """Remove idle flows and old ones; stop counting overlong requests.

        Flows without a packet for `idle_s` seconds are idle.
        """
        drop_older(self._started_s_by_flow, now_s - MAX_REQUEST_S)
        over_before_s = now_s - OVER_RETENTION_S
        idle_before_s = now_s - idle_s
        old = [
            flow
            for flow, held in self.by_flow.items()
            if held.last_used_s < idle_before_s
            or (held.is_over and held.last_used_s < over_before_s)
        ]
        for flow in old:
            self.remove(flow)

    def _add(self, flow: bytes, held: HeldFlow) -> None:
        self._over.pop(flow, None)
        if len(self.by_flow) >= MAX_FLOWS:
            self.has_evicted = self.has_evicted or not self._over
            self.remove(next(iter(self._over or self.by_flow)))
        self.by_flow[flow] = held

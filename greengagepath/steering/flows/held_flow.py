"""One flow that an agent's target holds."""

from ..messages.peer_messages import PeerMessage
from ..messages.segments import Segment
from .flow_phase import SERVING_PHASES, FlowPhase

# A packet of the target that ends further beyond what it has sent so far
# does not belong to the flow.
MAX_SENT_BYTES = 0x10000000
_SEQUENCE_MASK = 0xFFFFFFFF


class HeldFlow:
    """One flow at the target.

    `service_rounds` is how many requests a slot has to run one after the
    other until that of this flow is done, estimated at its arrival.
    `offer` (the message) and `opening` (its packet) are kept until the
    target answers, so that the flow can be handed over to another agent.
    `first_sequence` is the target's first sequence number, None if its
    answer was not seen, and `sent_numbers` how many sequence numbers the
    target has used since. `is_confirmed` tells whether the flow is open at
    this target: the caller has acknowledged the target's answer.
    `opening_sequence` is the caller's first sequence number, None if its
    opening packet was not seen. All times are monotonic seconds.
    """

    __slots__ = (
        'balancer',
        'first_sequence',
        'hops',
        'is_confirmed',
        'last_used_s',
        'offer',
        'offered_s',
        'opening',
        'opening_sequence',
        'phase',
        'request_started_s',
        'sent_numbers',
        'service_rounds',
        'unanswered_checks',
    )

    def __init__(self, balancer: bytes, hops: int, now_s: float) -> None:
        self.balancer = balancer
        self.unanswered_checks = 0
        self.hops = hops
        self.offer: PeerMessage | None = None
        self.opening: Segment | None = None
        self.opening_sequence: int | None = None
        self.phase = FlowPhase.OPEN
        self.first_sequence: int | None = None
        self.sent_numbers = 0
        self.is_confirmed = False
        self.offered_s = now_s
        self.last_used_s = now_s
        self.request_started_s: float | None = None
        self.service_rounds = 1.0

    @property
    def is_answered(self) -> bool:
        """Return whether the target has answered the opening packet."""
        return self.offer is None

    @property
    def is_over(self) -> bool:
        """Return whether both ends have closed the flow, or one reset it."""
        return self.phase is FlowPhase.OVER

    @property
    def is_serving(self) -> bool:
        """Return whether the target still runs requests of the flow."""
        return self.phase in SERVING_PHASES

    def has_opened_with(self, opening: Segment) -> bool:
        """Return whether an opening packet is a copy of that of this flow.

        A caller that has closed a flow may use its ports for another one.
        """
        if self.phase is FlowPhase.OPEN:
            return True
        if self.opening_sequence is None:
            return self.is_serving
        return self.opening_sequence == opening.sequence

    def matches(self, segment: Segment) -> bool:
        """Return whether the caller's packet belongs to the target's answer.

        Two targets may answer copies of one opening packet; the caller
        acknowledges the first sequence number of one of them, and never
        more than that target has sent.
        """
        if not self.is_answered:
            return False
        if self.first_sequence is None or not segment.has_acknowledgement:
            return True
        ahead = (segment.acknowledged - self.first_sequence) & _SEQUENCE_MASK
        return ahead <= self.sent_numbers

    def end_request(self, now_s: float) -> None:
        """Record that the target has answered the request."""
        self.last_used_s = now_s
        self.request_started_s = None

    def record_sent(self, segment: Segment) -> None:
        """Record the sequence numbers that a packet of the target uses.

        An answer to an opening packet and the end of the flow use one
        each, like a byte of data.
        """
        if self.first_sequence is None:
            return
        has_extra = segment.is_opening_answer or segment.is_final
        end = segment.sequence + segment.data_bytes + has_extra
        added = (end - self.first_sequence - self.sent_numbers) & _SEQUENCE_MASK
        if added < MAX_SENT_BYTES:
            self.sent_numbers = min(self.sent_numbers + added, _SEQUENCE_MASK)

"""Reassembly of requests from their parts."""

from collections import OrderedDict
from dataclasses import dataclass

from ..foundation.timers import TimerService
from ..protocol.transfer import PART_BYTES, PartReceiver, count_parts
from .replies import Route
from .request_records import Attempt

# Space for the fields of a request other than its body.
REQUEST_OVERHEAD_BYTES = 16384
# An incomplete request is dropped after this long without a new part; a
# caller retransmits missing parts several times within it.
STALL_TIMEOUT_S = 15.0


@dataclass(slots=True)
class PartialRequest:
    """An incomplete request.

    `last_part_s` is when its latest part arrived.
    """

    receiver: PartReceiver
    route: Route
    last_part_s: float


class Reassembly:
    """Bounded set of incomplete requests.

    `max_request_bytes` limits one request. `max_total_bytes` limits the
    memory reserved for the parts of all requests, received or not.
    """

    def __init__(
        self,
        timers: TimerService,
        max_request_bytes: int,
        max_total_bytes: int,
    ) -> None:
        self._timers = timers
        self.replace_limits(max_request_bytes, max_total_bytes)
        self._partials_by_attempt: OrderedDict[Attempt, PartialRequest] = (
            OrderedDict()
        )
        self.reserved_bytes = 0

    def __len__(self) -> int:
        """Return the number of incomplete requests."""
        return len(self._partials_by_attempt)

    def replace_limits(
        self, max_request_bytes: int, max_total_bytes: int
    ) -> None:
        """Apply new limits from the configuration."""
        self._max_parts = count_parts(
            max_request_bytes + REQUEST_OVERHEAD_BYTES
        )
        self.max_total_bytes = max_total_bytes

    def is_acceptable(self, part_count: int) -> bool:
        """Return whether a request may have this number of parts."""
        return 1 <= part_count <= self._max_parts

    def receiver_for(
        self, route: Route, part_count: int
    ) -> PartReceiver | None:
        """Return the receiver of an attempt, or None if there is no room.

        `is_acceptable` must hold for `part_count`.
        """
        attempt = route.attempt
        now_s = self._timers.now()
        partial = self._partials_by_attempt.get(attempt)
        if partial is None:
            needed_bytes = part_count * PART_BYTES
            if self.reserved_bytes + needed_bytes > self.max_total_bytes:
                return None
            partial = PartialRequest(PartReceiver(part_count), route, now_s)
            self._partials_by_attempt[attempt] = partial
            self.reserved_bytes += needed_bytes
        partial.last_part_s = now_s
        self._partials_by_attempt.move_to_end(attempt)
        return partial.receiver

    def discard(self, attempt: Attempt) -> None:
        """Drop the parts of an attempt, if there are any."""
        partial = self._partials_by_attempt.pop(attempt, None)
        if partial is not None:
            self.reserved_bytes -= partial.receiver.part_count * PART_BYTES

    def routes(self) -> list[Route]:
        """Return the routes of the incomplete requests."""
        return [entry.route for entry in self._partials_by_attempt.values()]

    def due_acks(self) -> list[PartialRequest]:
        """Return the requests whose ACK is due."""
        now_s = self._timers.now()
        return [
            partial
            for partial in self._partials_by_attempt.values()
            if partial.receiver.is_ack_due(now_s)
        ]

    def expire(self) -> None:
        """Drop requests that got no part for `STALL_TIMEOUT_S`."""
        stalled_since_s = self._timers.now() - STALL_TIMEOUT_S
        for attempt, partial in tuple(self._partials_by_attempt.items()):
            if partial.last_part_s > stalled_since_s:
                return
            self.discard(attempt)

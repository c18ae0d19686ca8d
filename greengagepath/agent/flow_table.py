"""Table of the flows at an agent.

It holds the address of each flow's caller and the request numbers that
the flow has begun. An entry is kept for longer than its flow may begin
requests, so that the agent can tell that a request was never begun
while datagrams of it may still be in transit.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..foundation.addresses import Address
from ..foundation.timers import TimerService
from ..protocol.tags import REPLAY_WINDOW_BITS, ReplayWindow

# A flow may begin requests for this long after its token was issued; then
# the caller has to open another flow. Transfers of answers may go on.
FLOW_LIFETIME_S = 600.0
# For this long after that, the agent still knows which requests of the
# flow were never begun.
FLOW_GRACE_S = 60.0
# A flow without open requests stops counting as active after this long
# without a datagram. Most flows carry only one request.
IDLE_S = 1.0
# For this long after a caller has changed its address, late datagrams
# from the previous address do not change it back.
REORDER_S = 1.0
# An idle flow keeps its entry, of about 500 B, until its token is too old
# or the table needs the space. This is the ratio of all entries to active
# flows.
ENTRIES_PER_ACTIVE_FLOW = 16


class RequestWindow(ReplayWindow):
    """Request numbers that a flow has begun."""

    __slots__ = ()

    def may_have_begun(self, number: int) -> bool:
        """Return False only if the number has certainly not been begun.

        Numbers too far below the highest one are no longer tracked and
        count as begun.
        """
        age = self._highest - number
        if age >= REPLAY_WINDOW_BITS:
            return True
        return age >= 0 and bool(self._bits >> age & 1)


@dataclass(slots=True)
class FlowEntry:
    """State of one flow at an agent.

    `issued_s` is when its token was issued, in whole seconds; it is
    moved to a later time if the flow is still in use when its entry is
    due for removal. `moved_s` is when the caller last changed its
    address from `previous_caller` to `caller`.
    """

    issued_s: int
    caller: Address
    previous_caller: Address | None = None
    moved_s: float = 0.0
    open_requests: int = 0
    window: RequestWindow = field(default_factory=RequestWindow)

    def update_caller(self, caller: Address, now_s: float) -> bool:
        """Store the address of a new datagram; return whether it changed.

        A late datagram from the previous address changes nothing.
        """
        if caller == self.caller:
            return False
        is_late = now_s - self.moved_s < REORDER_S
        if caller == self.previous_caller and is_late:
            return False
        self.previous_caller = self.caller
        self.caller = caller
        self.moved_s = now_s
        return True


class FlowTable:
    """Bounded table of flows by flow id.

    `max_active` limits the flows that have open requests or have sent a
    datagram within `IDLE_S`; `capacity` limits all entries. A full table
    evicts idle flows, those with the oldest tokens first.
    """

    def __init__(self, timers: TimerService, max_active: int) -> None:
        self.max_active = max_active
        self._timers = timers
        self._entries_by_flow: dict[int, FlowEntry] = {}
        # Time of the last datagram of each active flow, oldest first.
        self._last_seen_by_flow: OrderedDict[int, float] = OrderedDict()
        self._flow_ids_by_issue: dict[int, list[int]] = {}
        # Flows with tokens issued up to this time get no new entry. Those
        # that never had one have begun no request.
        self._rejected_until_s = -1
        # Entries of flows with tokens issued up to this time may have been
        # evicted.
        self._evicted_until_s = -1

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries_by_flow)

    @property
    def active(self) -> int:
        """Number of flows with a recent datagram or open requests."""
        return len(self._last_seen_by_flow)

    @property
    def capacity(self) -> int:
        """Maximum number of entries."""
        return self.max_active * ENTRIES_PER_ACTIVE_FLOW

    @property
    def is_full(self) -> bool:
        """Whether the number of active flows has reached its limit."""
        return self.active >= self.max_active

    def find(self, flow_id: int) -> FlowEntry | None:
        """Return the entry of a flow, or None."""
        return self._entries_by_flow.get(flow_id)

    def touch(
        self, flow_id: int, issued_s: int, caller: Address
    ) -> FlowEntry | None:
        """Return the entry of a flow that has sent a datagram.

        Creates the entry if needed; returns None if there is no room.
        A flow that got no entry never gets one later. Otherwise a
        request of it that was refused could run once there is room.
        """
        entry = self._entries_by_flow.get(flow_id)
        now_s = self._timers.now()
        if entry is None:
            if self.is_full or not self._make_room():
                self._rejected_until_s = int(now_s)
            if issued_s <= self._rejected_until_s:
                return None
            entry = FlowEntry(issued_s, caller)
            self._entries_by_flow[flow_id] = entry
            self._index_by_issue(flow_id, issued_s)
        elif issued_s > entry.issued_s:
            entry.issued_s = issued_s
            self._index_by_issue(flow_id, issued_s)
        entry.update_caller(caller, now_s)
        self._last_seen_by_flow[flow_id] = now_s
        self._last_seen_by_flow.move_to_end(flow_id)
        return entry

    def may_begin_requests(self, issued_s: int) -> bool:
        """Return whether flows with tokens of this time may begin requests."""
        return self._timers.now() < issued_s + FLOW_LIFETIME_S

    def is_known_unused(self, issued_s: int) -> bool:
        """Return whether a flow without an entry has certainly begun nothing.

        False if its entry may have been evicted or have expired.
        """
        if issued_s <= self._evicted_until_s:
            return False
        return self._timers.now() < issued_s + FLOW_LIFETIME_S + FLOW_GRACE_S

    def expire(self) -> None:
        """Remove flows whose tokens and grace period have expired."""
        self._deactivate_idle()
        for issued_s in sorted(self._flow_ids_by_issue):
            # Add a second because issue times are whole seconds.
            if self.is_known_unused(issued_s + 1):
                return
            for flow_id in self._flow_ids_by_issue.pop(issued_s):
                self._remove_if_idle(flow_id, issued_s)

    def _index_by_issue(self, flow_id: int, issued_s: int) -> None:
        self._flow_ids_by_issue.setdefault(issued_s, []).append(flow_id)

    def _deactivate_idle(self) -> None:
        now_s = self._timers.now()
        while self._last_seen_by_flow:
            flow_id, last_seen_s = next(iter(self._last_seen_by_flow.items()))
            if last_seen_s > now_s - IDLE_S:
                return
            self._last_seen_by_flow.pop(flow_id)
            entry = self._entries_by_flow.get(flow_id)
            if entry is not None and entry.open_requests:
                self._last_seen_by_flow[flow_id] = now_s

    def _make_room(self) -> bool:
        if len(self) < self.capacity:
            return True
        now_s = int(self._timers.now())
        for issued_s in sorted(self._flow_ids_by_issue):
            if issued_s < now_s and self._evict_one(issued_s):
                self._evicted_until_s = max(self._evicted_until_s, issued_s)
                return True
        return False

    def _evict_one(self, issued_s: int) -> bool:
        flow_ids = self._flow_ids_by_issue[issued_s]
        while flow_ids:
            if self._remove_if_idle(flow_ids.pop(), issued_s):
                return True
        self._flow_ids_by_issue.pop(issued_s)
        return False

    def _remove_if_idle(self, flow_id: int, issued_s: int) -> bool:
        entry = self._entries_by_flow.get(flow_id)
        if entry is None or entry.issued_s > issued_s:
            return False
        if entry.open_requests or flow_id in self._last_seen_by_flow:
            # Still in use: check it again with the tokens issued now.
            entry.issued_s = int(self._timers.now())
            self._index_by_issue(flow_id, entry.issued_s)
            return False
        self._entries_by_flow.pop(flow_id)
        return True

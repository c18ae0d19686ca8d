"""Flows at an agent: which requests they have begun, and their caller.

An entry outlives the time in which its flow may begin requests, so that
"never begun" is known while such a request could still be in transit.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..foundation.addresses import Address
from ..foundation.timers import TimerService
from ..protocol.tags import REPLAY_WINDOW_BITS, ReplayWindow

# A flow begins requests for this long after its token was issued; the
# caller then opens another one. Answers in transfer are not limited.
FLOW_LIFETIME_S = 600.0
# How long after that an old request is still known to be refused.
FLOW_GRACE_S = 60.0
# A flow without open requests that was silent for this long does not
# count as active; most flows carry one request.
IDLE_S = 1.0
# Datagrams of the previous address may still arrive this long after the
# caller has moved; they do not move the flow back.
REORDER_S = 1.0
# Idle and finished flows keep an entry, of about 500 B, until their
# token is too old or the place is needed.
ENTRIES_PER_ACTIVE_FLOW = 16


class RequestWindow(ReplayWindow):
    """Request numbers that a flow has begun."""

    __slots__ = ()

    def may_have_begun(self, number: int) -> bool:
        """Return whether the number was begun or is too old to tell."""
        age = self._highest - number
        if age >= REPLAY_WINDOW_BITS:
            return True
        return age >= 0 and bool(self._bits >> age & 1)


@dataclass(slots=True)
class FlowEntry:
    """What the agent keeps of a flow.

    `issued_s` is when its token was issued, later if the flow was in use
    when it should have been forgotten.
    """

    issued_s: int
    caller: Address
    previous_caller: Address | None = None
    moved_s: float = 0.0
    open_requests: int = 0
    window: RequestWindow = field(default_factory=RequestWindow)

    def update_caller(self, caller: Address, now_s: float) -> bool:
        """Take the address of a new datagram; return if it changed."""
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

    `max_active` bounds the flows that have open requests or have been
    heard from lately, `capacity` all entries. A full table forgets idle
    flows, those with the oldest tokens first.
    """

    def __init__(self, timers: TimerService, max_active: int) -> None:
        self.max_active = max_active
        self._timers = timers
        self._entries_by_flow: dict[int, FlowEntry] = {}
        # Last datagram of each active flow, the longest ago first.
        self._last_seen_by_flow: OrderedDict[int, float] = OrderedDict()
        self._flow_ids_by_issue: dict[int, list[int]] = {}
        # Tokens issued until then get no entry; their flows began nothing.
        self._rejected_until_s = -1
        # Flows with tokens issued until then may have been forgotten.
        self._evicted_until_s = -1

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries_by_flow)

    @property
    def active(self) -> int:
        """Flows that were heard from lately or have open requests."""
        return len(self._last_seen_by_flow)

    @property
    def capacity(self) -> int:
        """Entries that the table can hold."""
        return self.max_active * ENTRIES_PER_ACTIVE_FLOW

    @property
    def is_full(self) -> bool:
        """Whether the table takes no further flow."""
        return self.active >= self.max_active

    def find(self, flow_id: int) -> FlowEntry | None:
        """Return the entry of a flow."""
        return self._entries_by_flow.get(flow_id)

    def touch(
        self, flow_id: int, issued_s: int, caller: Address
    ) -> FlowEntry | None:
        """Return the entry of a flow just heard from, made if needed.

        Returns None if there is no place for a new one. Such a flow
        never gets an entry later, so that a request of it that was
        refused cannot run when the table has emptied.
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
        """Return whether a token of that time may begin requests."""
        return self._timers.now() < issued_s + FLOW_LIFETIME_S

    def is_known_unused(self, issued_s: int) -> bool:
        """Return whether a flow without entry has begun nothing."""
        if issued_s <= self._evicted_until_s:
            return False
        return self._timers.now() < issued_s + FLOW_LIFETIME_S + FLOW_GRACE_S

    def expire(self) -> None:
        """Forget flows whose tokens are too old to begin a request."""
        self._deactivate_idle()
        for issued_s in sorted(self._flow_ids_by_issue):
            # Another second, as times of issue are whole seconds.
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
            # Looked at again when the present second is looked at.
            entry.issued_s = int(self._timers.now())
            self._index_by_issue(flow_id, entry.issued_s)
            return False
        self._entries_by_flow.pop(flow_id)
        return True

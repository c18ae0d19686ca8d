"""Opening packets that wait until a target has room.

Load pattern: demand doubles for seconds, targets queue few requests, and
a refused caller returns at once from a new port. A target serves a few
dozen requests within the latency objective of a route, so a longer queue
would only contain packets that are late.
"""

from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

from ..foundation.fair_shares import FairShares, StartTag

MAX_WAITING = 128
# Callers whose start tags are kept. Those without a waiting packet are
# dropped when there are more.
MAX_CALLERS = 1024
CALLER_BYTES = 4
CALLER_SHARE = 1.0
# Cost of one opening packet; the duration of its request is not known.
OPENING_COST = 1.0


class WaitingOpening:
    """An opening packet that waits.

    `caller` is the address at the end of the packed flow, `priority` that
    of its route (0 is highest). `queued_s` is set by the queue, `latest_s`
    is when it can no longer be served in time; both are times of the timer
    service in seconds.
    """

    __slots__ = ('caller', 'flow', 'latest_s', 'priority', 'queued_s')

    def __init__(self, flow: bytes, priority: int, latest_s: float) -> None:
        self.flow = flow
        self.caller = flow[-CALLER_BYTES:]
        self.priority = priority
        self.latest_s = latest_s
        self.queued_s = 0.0


Entry = TypeVar('Entry', bound=WaitingOpening)


class OpeningQueue(Generic[Entry]):
    """Orders entries by priority, fair share of the caller and time left.

    `by_flow` contains the entries in order of arrival.
    """

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self.by_flow: dict[bytes, Entry] = {}
        self._limit = limit
        self._shares = FairShares()
        self._tag_by_caller: dict[bytes, StartTag] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.by_flow)

    def offer(self, entry: Entry, now_s: float) -> list[Entry]:
        """Add an entry; return those evicted, which may include it.

        In a full queue the newest entry of the lowest priority is evicted,
        of the caller with most entries of that priority.
        """
        tag = self._find_tag(entry.caller)
        if not self._has_caller(entry.caller):
            self._shares.activate(tag)
        entry.queued_s = now_s
        self.by_flow[entry.flow] = entry
        if len(self.by_flow) <= self._limit:
            return []
        evicted = self._find_eviction()
        del self.by_flow[evicted.flow]
        return [evicted]

    def take_due(self, now_s: float) -> list[Entry]:
        """Remove and return the entries that cannot be served in time."""
        due = [
            entry for entry in self.by_flow.values() if entry.latest_s < now_s
        ]
        for entry in due:
            del self.by_flow[entry.flow]
        return due

    def pop_best(
        self, now_s: float, can_serve: Callable[[Entry], bool]
    ) -> Entry | None:
        """Remove and return the first entry that can be served now, if any.

        It is charged to its caller.
        """
        servable = [
            entry
            for entry in self.by_flow.values()
            if entry.latest_s >= now_s and can_serve(entry)
        ]
        best = min(servable, key=self._rank, default=None)
        if best is not None:
            del self.by_flow[best.flow]
            self._shares.charge(self._find_tag(best.caller), OPENING_COST)
        return best

    def remove(self, flow: bytes) -> None:
        """Remove the entry of a flow, if there is one."""
        self.by_flow.pop(flow, None)

    def take_all(self) -> list[Entry]:
        """Remove and return all entries, the first to be served first."""
        entries = sorted(self.by_flow.values(), key=self._rank)
        self.by_flow.clear()
        return entries

    def holds_before(self, priority: int) -> bool:
        """Return whether an entry of this or a higher priority waits."""
        return any(
            entry.priority <= priority for entry in self.by_flow.values()
        )

    def count_ahead(self, priority: int, caller: bytes) -> int:
        """Return how many entries are served before a new one.

        While the entries of this caller are served, each other caller of
        the same priority is served as often, and once more before the new
        entry.
        """
        ahead = 0
        same: Counter[bytes] = Counter()
        for entry in self.by_flow.values():
            ahead += entry.priority < priority
            if entry.priority == priority:
                same[entry.caller] += 1
        own = same.pop(caller, 0)
        return ahead + own + sum(min(count, own + 1) for count in same.values())

    def _rank(self, entry: Entry) -> tuple[int, float, float]:
        start = self._tag_by_caller[entry.caller].start
        return entry.priority, start, entry.latest_s

    def _find_eviction(self) -> Entry:
        """Return the entry to evict; the last in order of arrival."""
        lowest = max(entry.priority for entry in self.by_flow.values())
        candidates = [
            entry for entry in self.by_flow.values() if entry.priority == lowest
        ]
        counts = Counter(entry.caller for entry in candidates)
        most = max(counts.values())
        newest = [entry for entry in candidates if counts[entry.caller] == most]
        return newest[-1]

    def _has_caller(self, caller: bytes) -> bool:
        return any(entry.caller == caller for entry in self.by_flow.values())

    def _find_tag(self, caller: bytes) -> StartTag:
        tag = self._tag_by_caller.get(caller)
        if tag is None:
            if len(self._tag_by_caller) >= MAX_CALLERS:
                self._drop_idle_callers()
            tag = self._shares.make_tag(CALLER_SHARE)
            self._tag_by_caller[caller] = tag
        return tag

    def _drop_idle_callers(self) -> None:
        waiting = {entry.caller for entry in self.by_flow.values()}
        self._tag_by_caller = {
            caller: tag
            for caller, tag in self._tag_by_caller.items()
            if caller in waiting
        }

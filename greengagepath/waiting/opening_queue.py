"""Opening packets that wait until a target has room.

Load pattern: demand doubles for seconds, targets queue few requests, and
a refused caller returns at once from a new port. A target serves a few
dozen requests within the latency objective of a route, so a longer queue
would only contain packets that are late.
"""

import math
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
# Weight that a served opening keeps when the next one is served.
SERVED_MEMORY = 0.95


class WaitingOpening:
    """An opening packet that waits.

    `caller` is the address at the end of the packed flow, `priority` that
    of its route (0 is highest). `queued_s` is set by the queue, `latest_s`
    is until when it may wait, and `limit_s` by when its request has to be
    finished. All are times of the timer service in seconds.
    """

    __slots__ = (
        'caller',
        'flow',
        'latest_s',
        'limit_s',
        'priority',
        'queued_s',
    )

    def __init__(self, flow: bytes, priority: int) -> None:
        self.flow = flow
        self.caller = flow[-CALLER_BYTES:]
        self.priority = priority
        self.queued_s = 0.0
        self.latest_s = math.inf
        self.limit_s = math.inf


Entry = TypeVar('Entry', bound=WaitingOpening)


class OpeningQueue(Generic[Entry]):
    """Orders entries by priority, fair share of the caller and time left.

    `by_flow` contains the entries in order of arrival.
    """

    def __init__(self, limit: int = MAX_WAITING) -> None:
        self.by_flow: dict[bytes, Entry] = {}
        self._limit = limit
        self._shares = FairShares()
        self.tag_by_caller: dict[bytes, StartTag] = {}
        # Openings of each priority that were served lately.
        self._served_by_priority: Counter[int] = Counter()
        # The entries in their order, None after a change.
        self._ordered: list[Entry] | None = None

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.by_flow)

    def offer(self, entry: Entry, now_s: float) -> list[Entry]:
        """Add an entry; return those evicted, which may include it.

        In a full queue the newest entry of the lowest priority is evicted,
        of the caller with most entries of that priority.
        """
        self._add(entry)
        entry.queued_s = now_s
        if len(self.by_flow) <= self._limit:
            return []
        evicted = self._find_eviction()
        self._remove(evicted)
        return [evicted]

    def count_before(self, entry: Entry) -> int:
        """Return how many entries would be served before a new one."""
        self._add(entry)
        position = self.list_ordered().index(entry)
        self._remove(entry)
        return position

    def list_ordered(self) -> list[Entry]:
        """Return the entries in the order in which they are served."""
        if self._ordered is None:
            self._ordered = self._sort()
        return self._ordered

    def take_due(
        self, now_s: float, finish_s: float, interval_s: float
    ) -> list[Entry]:
        """Remove and return the entries that cannot be served in time.

        `finish_s` is how long the request of the first entry takes from
        now on, `interval_s` by how much later that of each next entry
        ends.
        """
        due = []
        end_s = now_s + finish_s
        for entry in self.list_ordered():
            if entry.latest_s < now_s or entry.limit_s < end_s:
                due.append(entry)
            else:
                end_s += interval_s
        for late in due:
            self._remove(late)
        return due

    def pop_best(self, can_serve: Callable[[Entry], bool]) -> Entry | None:
        """Remove and return the first entry that can be served, if any.

        It is charged to its caller.
        """
        best = next(filter(can_serve, self.list_ordered()), None)
        if best is not None:
            self._remove(best)
            self.record_passed(best.priority)
            self._shares.charge(self._find_tag(best.caller), OPENING_COST)
        return best

    def record_passed(self, priority: int) -> None:
        """Record an opening that is placed while others wait."""
        for known in self._served_by_priority:
            self._served_by_priority[known] *= SERVED_MEMORY
        self._served_by_priority[priority] += 1

    def find_overtaking_share(self, priority: int) -> float:
        """Return the share of recent slots that higher priorities got."""
        total = sum(self._served_by_priority.values())
        higher = sum(
            served
            for known, served in self._served_by_priority.items()
            if known < priority
        )
        return higher / total if total else 0.0

    def take_all(self) -> list[Entry]:
        """Remove and return all entries, the first to be served first."""
        entries = self.list_ordered()
        self.by_flow.clear()
        self._ordered = None
        return entries

    def holds_before(self, priority: int) -> bool:
        """Return whether an entry of this or a higher priority waits."""
        return any(
            entry.priority <= priority for entry in self.by_flow.values()
        )

    def _add(self, entry: Entry) -> None:
        tag = self._find_tag(entry.caller)
        if not self._has_caller(entry.caller):
            self._shares.activate(tag)
        self.by_flow[entry.flow] = entry
        self._ordered = None

    def _remove(self, entry: Entry) -> None:
        del self.by_flow[entry.flow]
        self._ordered = None

    def _sort(self) -> list[Entry]:
        taken: Counter[bytes] = Counter()
        ranked = []
        for queued in sorted(self.by_flow.values(), key=_rank_for_caller):
            start = self.tag_by_caller[queued.caller].start
            start += taken[queued.caller] * OPENING_COST / CALLER_SHARE
            taken[queued.caller] += 1
            rank = (queued.priority, start, queued.limit_s, len(ranked))
            ranked.append((rank, queued))
        ranked.sort()
        return [ranked_entry for _, ranked_entry in ranked]

    def _find_eviction(self) -> Entry:
        """Return the entry to evict; the last in order of arrival."""
        lowest = max(entry.priority for entry in self.by_flow.values())
        candidates = [
            entry for entry in self.by_flow.values() if entry.priority == lowest
        ]
        counts = Counter(entry.caller for entry in candidates)
        most = max(counts.values())
        fullest = [
            candidate
            for candidate in candidates
            if counts[candidate.caller] == most
        ]
        return fullest[-1]

    def _has_caller(self, caller: bytes) -> bool:
        return any(entry.caller == caller for entry in self.by_flow.values())

    def _find_tag(self, caller: bytes) -> StartTag:
        tag = self.tag_by_caller.get(caller)
        if tag is None:
            if len(self.tag_by_caller) >= MAX_CALLERS:
                self._drop_idle_callers()
            tag = self._shares.make_tag(CALLER_SHARE)
            self.tag_by_caller[caller] = tag
        return tag

    def _drop_idle_callers(self) -> None:
        waiting = {entry.caller for entry in self.by_flow.values()}
        self.tag_by_caller = {
            caller: tag
            for caller, tag in self.tag_by_caller.items()
            if caller in waiting
        }


def _rank_for_caller(entry: WaitingOpening) -> tuple[int, float]:
    return entry.priority, entry.limit_s

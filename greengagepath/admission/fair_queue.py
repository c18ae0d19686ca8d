"""Weighted fair queue between customers, by cost in seconds of a slot.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over one line for
each customer; a line keeps short and long work apart.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ..generated.messages import SizeClass

# Lines of customers without queued work that are kept for their debt.
MAX_IDLE_LINES = 1024
DEFAULT_SHARE = 1.0
# One line for all customers that the configuration does not list.
UNLISTED_CUSTOMER = -1


@dataclass(slots=True)
class QueuedRequest:
    """A request offered to the gate.

    `deadline_s` is the time of the timer service at which the caller
    gives up. The gate sets `queued_s`, `expected_s` (cost in seconds of
    a slot), `likely_s` (a cost that most requests stay below) and, where
    it is unknown, `size_class`. `payload` belongs to the caller of the
    gate.
    """

    request_id: bytes
    customer_id: int
    operation: str
    deadline_s: float
    size_class: SizeClass = SizeClass.unknown
    payload: object = None
    queued_s: float = 0.0
    expected_s: float = 0.0
    likely_s: float = 0.0


@dataclass(slots=True)
class Line:
    """Queued requests of one customer; `virtual_s` is its start tag."""

    customer_id: int
    share: float = DEFAULT_SHARE
    virtual_s: float = 0.0
    short: deque[QueuedRequest] = field(default_factory=deque)
    long: deque[QueuedRequest] = field(default_factory=deque)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.short) + len(self.long)

    def of_class(self, size_class: SizeClass) -> deque[QueuedRequest]:
        """Return the queued requests of a class, oldest first."""
        return self.long if size_class == SizeClass.long else self.short

    def newest(self) -> QueuedRequest:
        """Return the request queued last; the line must not be empty."""
        tails = [queue[-1] for queue in (self.long, self.short) if queue]
        return max(tails, key=lambda request: request.queued_s)


class FairQueue:
    """Picks the customer that has had the least cost for its share.

    With `shares_by_customer` given, customers outside it share one line,
    so that made-up ids gain nothing.
    """

    def __init__(self) -> None:
        self._lines_by_customer: dict[int, Line] = {}
        self._requests_by_id: dict[bytes, QueuedRequest] = {}
        self._shares_by_customer: Mapping[int, float] = {}
        self._virtual_s = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests_by_id)

    def replace_shares(self, shares_by_customer: Mapping[int, float]) -> None:
        """Take new shares from the configuration."""
        self._shares_by_customer = dict(shares_by_customer)
        for line in self._lines_by_customer.values():
            line.share = self._share_of(line.customer_id)

    def push(self, request: QueuedRequest) -> None:
        """Append to the line of the request's customer."""
        line = self._line(request.customer_id)
        if not line:
            line.virtual_s = max(line.virtual_s, self._virtual_s)
        line.of_class(request.size_class).append(request)
        self._requests_by_id[request.request_id] = request

    def pop(self, size_class: SizeClass) -> QueuedRequest | None:
        """Take the next request of a class and charge its customer."""
        line = self._next_line(size_class)
        if line is None:
            return None
        request = line.of_class(size_class).popleft()
        self._requests_by_id.pop(request.request_id)
        self._virtual_s = max(self._virtual_s, line.virtual_s)
        line.virtual_s += request.expected_s / line.share
        return request

    def correct(self, customer_id: int, difference_s: float) -> None:
        """Charge what a request cost beyond its expected cost."""
        line = self._line(customer_id)
        line.virtual_s += difference_s / line.share

    def remove(self, request_id: bytes) -> QueuedRequest | None:
        """Take a request out of the queue, if it is queued."""
        request = self._requests_by_id.pop(request_id, None)
        if request is not None:
            line = self._line(request.customer_id)
            line.of_class(request.size_class).remove(request)
        return request

    def oldest(self, size_class: SizeClass) -> QueuedRequest | None:
        """Return the head that has waited longest in a class."""
        if not self._requests_by_id:
            return None
        heads = [
            line.of_class(size_class)[0]
            for line in self._lines_by_customer.values()
            if line.of_class(size_class)
        ]
        return min(heads, key=lambda head: head.queued_s, default=None)

    def work_ahead_s(self, customer_id: int, size_class: SizeClass) -> float:
        """Return the cost served before a new request of a customer.

        At most all queued cost of the class, and at most what passes
        while the customer's own queued cost is served at its share.
        """
        total_s = 0.0
        active_share = 0.0
        for line in self._lines_by_customer.values():
            if line.of_class(size_class):
                active_share += line.share
                total_s += _cost_s(line, size_class)
        own = self._line(customer_id)
        if not own.of_class(size_class):
            active_share += own.share
        # The request's own turn: one round of the other customers.
        turn_s = total_s / max(len(self), 1) * active_share / own.share
        own_s = _cost_s(own, size_class) * active_share / own.share
        return min(total_s, own_s + turn_s)

    def eviction_for(self, customer_id: int) -> QueuedRequest | None:
        """Return the request to give up for a new one in a full queue.

        It is the newest of the line that holds most for its share, or
        None if that is the customer's own line.
        """
        own = self._line(customer_id)
        fullest = max(
            self._lines_by_customer.values(),
            key=lambda line: len(line) / line.share,
        )
        if len(fullest) / fullest.share <= (len(own) + 1) / own.share:
            return None
        return fullest.newest()

    def queued(self) -> Iterator[QueuedRequest]:
        """Return the queued requests in order of arrival."""
        return iter(tuple(self._requests_by_id.values()))

    def _line(self, customer_id: int) -> Line:
        if self._shares_by_customer and (
            customer_id not in self._shares_by_customer
        ):
            customer_id = UNLISTED_CUSTOMER
        line = self._lines_by_customer.get(customer_id)
        if line is None:
            self._forget_idle_lines()
            line = Line(customer_id, share=self._share_of(customer_id))
            line.virtual_s = self._virtual_s
            self._lines_by_customer[customer_id] = line
        return line

    def _share_of(self, customer_id: int) -> float:
        return self._shares_by_customer.get(customer_id, DEFAULT_SHARE)

    def _next_line(self, size_class: SizeClass) -> Line | None:
        if not self._requests_by_id:
            return None
        waiting = [
            line
            for line in self._lines_by_customer.values()
            if line.of_class(size_class)
        ]
        return min(waiting, key=lambda line: line.virtual_s, default=None)

    def _forget_idle_lines(self) -> None:
        if len(self._lines_by_customer) < MAX_IDLE_LINES:
            return
        self._lines_by_customer = {
            customer_id: line
            for customer_id, line in self._lines_by_customer.items()
            if line
        }


def _cost_s(line: Line, size_class: SizeClass) -> float:
    return sum(request.expected_s for request in line.of_class(size_class))

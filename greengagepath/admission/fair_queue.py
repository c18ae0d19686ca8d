"""Weighted fair queueing between customers.

Start-time fair queueing over one queue for each customer, which keeps
short and long work apart. Costs are in seconds of a slot.
"""

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ..foundation.fair_shares import FairShares, StartTag
from ..generated.messages import SizeClass

# Number of customer queues at which the empty ones are removed. Until
# then an empty queue is kept for its start tag, which stands for the
# cost that its customer has already been charged.
MAX_IDLE_QUEUES = 1024
DEFAULT_SHARE = 1.0
# Id of the queue shared by customers that the configuration omits.
UNLISTED_CUSTOMER = -1


@dataclass(slots=True)
class QueuedRequest:
    """A request offered to the gate.

    `deadline_s` is the time of the timer service at which the caller
    stops waiting. The gate sets `queued_s` (time of the offer),
    `expected_s` (mean cost in seconds of a slot), `conservative_s` (a
    cost that most requests stay below) and, if unknown, `size_class`.
    `payload` is not used by the gate.
    """

    request_id: bytes
    customer_id: int
    operation: str
    deadline_s: float
    size_class: SizeClass = SizeClass.unknown
    payload: object = None
    queued_s: float = 0.0
    expected_s: float = 0.0
    conservative_s: float = 0.0


@dataclass(slots=True)
class CustomerQueue:
    """Queued requests of one customer, and the tag of its next one."""

    customer_id: int
    tag: StartTag
    short: deque[QueuedRequest] = field(default_factory=deque)
    long: deque[QueuedRequest] = field(default_factory=deque)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.short) + len(self.long)

    def requests_of(self, size_class: SizeClass) -> deque[QueuedRequest]:
        """Return the queue of a size class, oldest request first.

        Requests of unknown size are queued as short.
        """
        return self.long if size_class == SizeClass.long else self.short

    def newest(self) -> QueuedRequest:
        """Return the request queued last.

        Raises ValueError if the queue is empty.
        """
        tails = [queue[-1] for queue in (self.long, self.short) if queue]
        return max(tails, key=lambda request: request.queued_s)


class FairQueue:
    """Serves the customer with the least served cost for its share.

    After `replace_shares` with at least one customer, all others share
    one queue, so that invented customer ids bring no advantage.
    """

    def __init__(self) -> None:
        self._queues_by_customer: dict[int, CustomerQueue] = {}
        self._requests_by_id: dict[bytes, QueuedRequest] = {}
        # New shares do not move requests that are already queued.
        self._queues_by_request_id: dict[bytes, CustomerQueue] = {}
        self._shares_by_customer: Mapping[int, float] = {}
        self._fair_shares = FairShares()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests_by_id)

    def replace_shares(self, shares_by_customer: Mapping[int, float]) -> None:
        """Replace the shares, as given in the configuration."""
        self._shares_by_customer = dict(shares_by_customer)
        for queue in self._queues_by_customer.values():
            queue.tag.share = self._share_of(queue.customer_id)

    def push(self, request: QueuedRequest) -> None:
        """Append a request to the queue of its customer."""
        queue = self._get_queue(request.customer_id)
        if not queue:
            self._fair_shares.activate(queue.tag)
        queue.requests_of(request.size_class).append(request)
        self._requests_by_id[request.request_id] = request
        self._queues_by_request_id[request.request_id] = queue

    def pop(self, size_class: SizeClass) -> QueuedRequest | None:
        """Remove and return the next request of a size class, if any.

        Its expected cost is charged to the customer.
        """
        queue = self._select_queue(size_class)
        if queue is None:
            return None
        request = queue.requests_of(size_class).popleft()
        self._requests_by_id.pop(request.request_id)
        self._queues_by_request_id.pop(request.request_id)
        self._fair_shares.charge(queue.tag, request.expected_s)
        return request

    def adjust_charge(self, customer_id: int, difference_s: float) -> None:
        """Charge the difference between actual and expected cost.

        `difference_s` is in seconds of a slot, negative for a refund.
        """
        queue = self._get_queue(customer_id)
        self._fair_shares.adjust(queue.tag, difference_s)

    def remove(self, request_id: bytes) -> QueuedRequest | None:
        """Remove and return a request, or None if it is not queued."""
        request = self._requests_by_id.pop(request_id, None)
        if request is not None:
            queue = self._queues_by_request_id.pop(request_id)
            queue.requests_of(request.size_class).remove(request)
        return request

    def oldest(self, size_class: SizeClass) -> QueuedRequest | None:
        """Return the request of a size class that has waited longest."""
        if not self._requests_by_id:
            return None
        heads = [
            queue.requests_of(size_class)[0]
            for queue in self._queues_by_customer.values()
            if queue.requests_of(size_class)
        ]
        return min(heads, key=lambda head: head.queued_s, default=None)

    def work_ahead_s(self, customer_id: int, size_class: SizeClass) -> float:
        """Return the cost expected to be served before a new request.

        It is in seconds of a slot: the queued cost of the size class,
        or, if less, the cost that is served to all customers while this
        one is served its own queued cost at its share.
        """
        total_s = 0.0
        active_share = 0.0
        for queue in self._queues_by_customer.values():
            if queue.requests_of(size_class):
                active_share += queue.tag.share
                total_s += _cost_s(queue, size_class)
        own = self._get_queue(customer_id)
        if not own.requests_of(size_class):
            active_share += own.tag.share
        # The new request itself waits for one round of the customers.
        turn_s = total_s / max(len(self), 1) * active_share / own.tag.share
        own_s = _cost_s(own, size_class) * active_share / own.tag.share
        return min(total_s, own_s + turn_s)

    def find_eviction(self, customer_id: int) -> QueuedRequest | None:
        """Return the request to evict for a new one when the queue is full.

        It is the newest request of the customer with the most requests
        for its share, or None if no customer has more than the customer
        of the new request would have.
        """
        own = self._get_queue(customer_id)
        fullest = max(
            self._queues_by_customer.values(),
            key=lambda queue: len(queue) / queue.tag.share,
        )
        if len(fullest) / fullest.tag.share <= (len(own) + 1) / own.tag.share:
            return None
        return fullest.newest()

    def queued(self) -> Iterator[QueuedRequest]:
        """Return the queued requests in order of arrival."""
        return iter(tuple(self._requests_by_id.values()))

    def _get_queue(self, customer_id: int) -> CustomerQueue:
        if self._shares_by_customer and (
            customer_id not in self._shares_by_customer
        ):
            customer_id = UNLISTED_CUSTOMER
        queue = self._queues_by_customer.get(customer_id)
        if queue is None:
            self._remove_idle_queues()
            share = self._share_of(customer_id)
            queue = CustomerQueue(
                customer_id, self._fair_shares.make_tag(share)
            )
            self._queues_by_customer[customer_id] = queue
        return queue

    def _share_of(self, customer_id: int) -> float:
        return self._shares_by_customer.get(customer_id, DEFAULT_SHARE)

    def _select_queue(self, size_class: SizeClass) -> CustomerQueue | None:
        if not self._requests_by_id:
            return None
        waiting = [
            queue
            for queue in self._queues_by_customer.values()
            if queue.requests_of(size_class)
        ]
        return min(waiting, key=lambda queue: queue.tag.start, default=None)

    def _remove_idle_queues(self) -> None:
        if len(self._queues_by_customer) < MAX_IDLE_QUEUES:
            return
        self._queues_by_customer = {
            customer_id: queue
            for customer_id, queue in self._queues_by_customer.items()
            if queue
        }


def _cost_s(queue: CustomerQueue, size_class: SizeClass) -> float:
    return sum(request.expected_s for request in queue.requests_of(size_class))

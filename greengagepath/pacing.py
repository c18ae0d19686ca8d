"""Deficit round robin of outgoing datagrams by flow, without I/O.

Shreedhar and Varghese, "Efficient fair queuing using deficit round
robin", 1995. The size of a flow's next datagram is not known before it
is taken, so a flow may overdraw its credit by one datagram and pays it
back in its next turns; each flow still gets its share of the bytes.
"""

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

from .packets import MAX_DATAGRAM_BYTES

Key = TypeVar('Key', bound=Hashable)
# Returns the next datagram at a time in seconds, or None if there is
# none now, such as with a window that is full.
Source = Callable[[float], bytes | None]

QUANTUM_BYTES = MAX_DATAGRAM_BYTES


@dataclass(slots=True)
class _Queue(Generic[Key]):
    key: Key
    source: Source
    weight: float
    credit: float = 0.0
    is_active: bool = False


class DeficitRoundRobin(Generic[Key]):
    """Takes datagrams of all flows in turn, in proportion to weights.

    Holds at most `max_flows`, and no datagrams: these stay with the
    sources until their turn.
    """

    def __init__(
        self, max_flows: int, quantum_bytes: int = QUANTUM_BYTES
    ) -> None:
        self.max_flows = max_flows
        self._quantum_bytes = quantum_bytes
        self._queues_by_key: dict[Key, _Queue[Key]] = {}
        self._active: deque[_Queue[Key]] = deque()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._queues_by_key)

    def add(self, key: Key, source: Source, weight: float = 1.0) -> bool:
        """Add a flow and activate it; False if there is no room.

        Raises ValueError if the weight is not positive.
        """
        if weight <= 0:
            raise ValueError(f'weight must be positive, got {weight}')
        known = self._queues_by_key.get(key)
        if known is None and len(self) >= self.max_flows:
            return False
        if known is None:
            known = _Queue(key, source, weight)
            self._queues_by_key[key] = known
        known.source = source
        known.weight = weight
        self.activate(key)
        return True

    def activate(self, key: Key) -> None:
        """Note that a flow may have datagrams again, as after an ACK."""
        queue = self._queues_by_key.get(key)
        if queue is not None and not queue.is_active:
            queue.is_active = True
            self._active.append(queue)

    def remove(self, key: Key) -> None:
        """Forget a flow."""
        queue = self._queues_by_key.pop(key, None)
        if queue is not None and queue.is_active:
            self._active.remove(queue)

    def take(self, now_s: float) -> tuple[Key, bytes] | None:
        """Return the next datagram and its flow, or None."""
        while self._active:
            queue = self._active[0]
            if queue.credit <= 0:
                queue.credit += self._quantum_bytes * queue.weight
                self._active.rotate(-1)
                continue
            datagram = queue.source(now_s)
            if datagram is None:
                self._deactivate(queue)
                continue
            queue.credit -= len(datagram)
            return queue.key, datagram
        return None

    def _deactivate(self, queue: _Queue[Key]) -> None:
        # Credit is not saved up while a flow has nothing to send; what
        # it has overdrawn stays.
        queue.credit = min(queue.credit, 0.0)
        queue.is_active = False
        self._active.popleft()

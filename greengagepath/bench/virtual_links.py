"""Control links in virtual time, with simulated faults."""

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..foundation.addresses import Address
from ..foundation.timers import VirtualTimerService
from ..generated.messages import Heartbeat, MemberRecord, Records
from ..membership.ports import LinkEvents
from ..membership.records import order_of
from ..protocol.codec import encode_body, encode_link_message
from .virtual_processes import ProcessClock

CONNECT_TIMEOUT_S = 2.0
# Key id, sequence and tag of a frame 25 B, websocket header with mask
# 8 B, TCP and IP headers 52 B for the segment and as much for its
# acknowledgement.
FRAME_OVERHEAD_BYTES = 137
# Sequence number of a heartbeat after a day; it takes 5 B in CBOR.
HEARTBEATS_PER_DAY = 86400


@dataclass(slots=True)
class Traffic:
    """Messages and bytes that one process sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    sent_by_type: dict[str, int] = field(default_factory=dict)

    def count_sent(self, message: msgspec.Struct, size: int) -> None:
        """Count a message of `size` bytes."""
        kind = type(message).__name__
        self.sent_messages += 1
        self.sent_bytes += size
        self.sent_by_type[kind] = self.sent_by_type.get(kind, 0) + size


class MessageSizes:
    """Sizes on the wire; each version of a record is encoded once."""

    def __init__(self) -> None:
        self._sizes_by_record: dict[tuple[object, ...], int] = {}
        self._empty_bytes = _count_bytes(Records(records=[]))
        self._heartbeat_bytes = _count_bytes(
            Heartbeat(sequence=HEARTBEATS_PER_DAY)
        )

    def count(self, message: msgspec.Struct) -> int:
        """Return bytes with all headers."""
        match message:
            case Heartbeat():
                return self._heartbeat_bytes
            case Records():
                return self._empty_bytes + sum(
                    self._count_record(record) for record in message.records
                )
        return _count_bytes(message)

    def _count_record(self, record: MemberRecord) -> int:
        key = (record.member_id, *order_of(record))
        size = self._sizes_by_record.get(key)
        if size is None:
            size = len(encode_body(record))
            self._sizes_by_record[key] = size
        return size


def _count_bytes(message: msgspec.Struct) -> int:
    return len(encode_link_message(message)) + FRAME_OVERHEAD_BYTES


@dataclass(slots=True, eq=False)
class Endpoint:
    """One end of a link.

    `held` contains deliveries that wait for the end of a pause or of a
    partition. If `is_silenced`, all that is sent is lost.
    """

    owner: 'VirtualLinks'
    link_id: int
    peer: 'Endpoint | None' = None
    is_open: bool = True
    is_silenced: bool = False
    held: deque[Callable[[], None]] = field(default_factory=deque)


class VirtualNetwork:
    """Delivers messages between the processes that are attached to it.

    Partitions separate locations; they hold back what is sent. With
    `counts_bytes` the sizes of messages are counted.
    """

    def __init__(
        self,
        timers: VirtualTimerService,
        latency_s: float = 0.001,
        *,
        counts_bytes: bool = False,
    ) -> None:
        self.timers = timers
        self.latency_s = latency_s
        self._sizes = MessageSizes() if counts_bytes else None
        self.links_by_address: dict[Address, VirtualLinks] = {}
        self._blocked: set[frozenset[str]] = set()

    def count_bytes(self, message: msgspec.Struct) -> int:
        """Return the size on the wire, 0 if sizes are not counted."""
        return 0 if self._sizes is None else self._sizes.count(message)

    def block(self, first: str, second: str) -> None:
        """Start a partition between two locations."""
        self._blocked.add(frozenset((first, second)))

    def unblock(self, first: str, second: str) -> None:
        """End a partition and deliver what was held back."""
        self._blocked.discard(frozenset((first, second)))
        for links in tuple(self.links_by_address.values()):
            links.release()

    def is_blocked(self, first: str, second: str) -> bool:
        """Return whether a partition separates the locations."""
        return frozenset((first, second)) in self._blocked


class VirtualLinks:
    """Implements `LinkService` for one process at one location."""

    def __init__(
        self, network: VirtualNetwork, clock: ProcessClock, location: str
    ) -> None:
        self.clock = clock
        self.location = location
        self.traffic = Traffic()
        self.events: LinkEvents | None = None
        self.network = network
        self._ids = itertools.count(1)
        self.ends_by_link: dict[int, Endpoint] = {}

    def listen(self, address: Address, events: LinkEvents) -> None:
        """Accept links at the address."""
        self.events = events
        self.network.links_by_address[address] = self

    def connect(self, address: Address) -> int:
        """Open a link and return its id.

        It is closed after the latency if nothing listens there.
        """
        end = self._create_end()
        self.network.timers.call_after(
            self.network.latency_s,
            lambda: self._finish_connecting(end, address),
        )
        return end.link_id

    def send(self, link_id: int, message: msgspec.Struct) -> bool:
        """Send a message to the peer; return False on a closed link."""
        end = self.ends_by_link.get(link_id)
        if end is None or end.peer is None or not end.is_open:
            return False
        size = self.network.count_bytes(message)
        self.traffic.count_sent(message, size)
        if not end.is_silenced:
            end.peer.owner.deliver_later(
                end, lambda links: links.receive(end.peer, message, size)
            )
        return True

    def close(self, link_id: int) -> None:
        """Close the link; the peer's end closes as it does on a FIN."""
        end = self.ends_by_link.get(link_id)
        if end is not None and end.is_open:
            self._close_end(end)
            self._notify_peer(end)

    def silence(self, link_id: int) -> None:
        """Lose all that is sent on this link, in both directions."""
        end = self.ends_by_link[link_id]
        end.is_silenced = True
        if end.peer is not None:
            end.peer.is_silenced = True

    def kill(self, *, silently: bool) -> None:
        """End the process; its host sends no FIN if `silently`."""
        self.clock.is_dead = True
        for end in tuple(self.ends_by_link.values()):
            end.is_open = False
            if not silently:
                self._notify_peer(end)
        self.ends_by_link.clear()

    def release(self) -> None:
        """Deliver what was held back to ends that are reachable now."""
        for end in tuple(self.ends_by_link.values()):
            while end.held and _is_reachable(end):
                end.held.popleft()()

    def deliver_later(
        self, source: Endpoint, action: Callable[['VirtualLinks'], None]
    ) -> None:
        """Run `action` here after the latency, in the order of sending."""
        self.network.timers.call_after(
            self.network.latency_s,
            lambda: self._deliver(source.peer, action),
        )

    def receive(
        self, end: Endpoint, message: msgspec.Struct, size: int
    ) -> None:
        """Pass a message that has arrived to the process."""
        if end.is_open and self.events is not None:
            self.traffic.received_messages += 1
            self.traffic.received_bytes += size
            self.clock.run(
                lambda: self.events.link_received(end.link_id, message)
            )

    def _deliver(
        self, end: Endpoint, action: Callable[['VirtualLinks'], None]
    ) -> None:
        if end.held or not _is_reachable(end):
            end.held.append(lambda: action(self))
        else:
            action(self)

    def _create_end(self) -> Endpoint:
        end = Endpoint(self, next(self._ids))
        self.ends_by_link[end.link_id] = end
        return end

    def _finish_connecting(self, end: Endpoint, address: Address) -> None:
        """Establish the link, or close it at once or after a timeout."""
        listener = self.network.links_by_address.get(address)
        if listener is None or listener.clock.is_dead:
            self._close_end(end)
            return
        is_blocked = self.network.is_blocked(self.location, listener.location)
        if is_blocked or not listener.clock.is_running:
            self.network.timers.call_after(
                CONNECT_TIMEOUT_S, lambda: self._close_end(end)
            )
            return
        if end.is_open and self.clock.is_running:
            self._establish(end, listener)

    def _establish(self, end: Endpoint, listener: 'VirtualLinks') -> None:
        peer_end = listener._create_end()
        end.peer = peer_end
        peer_end.peer = end
        listener.events.link_opened(peer_end.link_id, outgoing=False)
        self.events.link_opened(end.link_id, outgoing=True)

    def _close_end(self, end: Endpoint) -> None:
        """Close this end and schedule the event for the process."""
        if end.is_open:
            end.is_open = False
            self.ends_by_link.pop(end.link_id, None)
            self.clock.call_after(
                0, lambda: self.events.link_closed(end.link_id)
            )

    def _notify_peer(self, end: Endpoint) -> None:
        if end.peer is not None and not end.is_silenced:
            end.peer.owner.deliver_later(
                end, lambda links: links._close_end(end.peer)
            )


def _is_reachable(end: Endpoint) -> bool:
    """Return whether messages of the peer can be delivered here."""
    owner = end.owner
    if owner.clock.is_paused:
        return False
    return not owner.network.is_blocked(owner.location, end.peer.owner.location)

"""Opens and closes the outgoing links of a node."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..foundation.addresses import Address
from .peers import PeerTable
from .ports import NodePorts

# A link that is no longer wanted stays open this long, because the views
# of two balancers do not change at the same moment.
UNWANTED_S = 3.0
FIRST_RETRY_S = 0.2
MAX_DOUBLINGS = 6


@dataclass(slots=True)
class _Attempts:
    """Connection attempts to one address since the last success."""

    count: int = 0
    next_attempt_s: float = 0
    link_id: int | None = None


class LinkManager:
    """Connects to wanted addresses with jittered exponential backoff.

    There is at most one attempt at a time for each wanted address.
    """

    def __init__(self, peers: PeerTable, ports: NodePorts) -> None:
        self._peers = peers
        self._ports = ports
        self._attempts_by_address: dict[Address, _Attempts] = {}

    def adjust(self, addresses_by_member: Mapping[str, Address]) -> None:
        """Open missing links to the wanted members, close unwanted ones.

        A member whose id is not known yet is keyed by any unique text.
        """
        missing = {
            address
            for member_id, address in addresses_by_member.items()
            if self._peers.by_member(member_id) is None
        }
        self._open(missing)
        self._close_unwanted(addresses_by_member)

    def mark_closed(self, link_id: int) -> None:
        """Record that an attempt failed or its link has closed."""
        for attempts in self._attempts_by_address.values():
            if attempts.link_id == link_id:
                attempts.link_id = None

    def mark_established(self, link_id: int) -> None:
        """Record that the Hello of the other end has arrived."""
        for attempts in self._attempts_by_address.values():
            if attempts.link_id == link_id:
                attempts.count = 0

    def attempts_since_success(self, address: Address) -> int:
        """Return the number of attempts since the last success."""
        attempts = self._attempts_by_address.get(address)
        return 0 if attempts is None else attempts.count

    def _open(self, addresses: Iterable[Address]) -> None:
        now_s = self._ports.timers.now()
        wanted = frozenset(addresses)
        for gone in self._attempts_by_address.keys() - wanted:
            if self._attempts_by_address[gone].link_id is None:
                self._attempts_by_address.pop(gone)
        for address in sorted(wanted):
            attempts = self._attempts_by_address.setdefault(
                address, _Attempts()
            )
            if attempts.link_id is None and attempts.next_attempt_s <= now_s:
                attempts.next_attempt_s = now_s + self._pause_s(attempts.count)
                attempts.count += 1
                attempts.link_id = self._ports.links.connect(address)

    def _pause_s(self, count: int) -> float:
        pause_s = FIRST_RETRY_S * 2 ** min(count, MAX_DOUBLINGS)
        pause_s = min(pause_s, self._ports.limits.reconnect_max_s)
        return pause_s * self._ports.random.uniform(0.5, 1)

    def _close_unwanted(self, wanted_ids: Iterable[str]) -> None:
        wanted = frozenset(wanted_ids)
        now_s = self._ports.timers.now()
        for peer in self._peers:
            is_kept = not peer.outgoing or peer.member_id in wanted
            if is_kept or not peer.is_balancer:
                peer.unwanted_since_s = None
            elif peer.unwanted_since_s is None:
                peer.unwanted_since_s = now_s
            elif now_s - peer.unwanted_since_s > UNWANTED_S:
                self._ports.links.close(peer.link_id)

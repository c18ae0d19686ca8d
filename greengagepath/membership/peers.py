"""Open links of a node and the members at their other ends."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique

from ..generated.messages import MemberRecord


@unique
class PeerRole(Enum):
    """Role of the other end, known once its Hello has arrived."""

    UNKNOWN = 'unknown'
    # A balancer of the same availability zone.
    ZONE = 'zone'
    # A balancer of another availability zone.
    BRIDGE = 'bridge'
    AGENT = 'agent'


@dataclass(slots=True)
class Peer:
    """One open link and what is queued for it.

    `pending_records` holds the newest record of each member to be sent,
    `pending_version_ids` the members of which only the configuration
    version rose. `needs_digest` is set when records had to be dropped.
    """

    link_id: int
    outgoing: bool
    last_heard_s: float
    role: PeerRole = PeerRole.UNKNOWN
    member_id: str = ''
    pending_records: dict[str, MemberRecord] = field(default_factory=dict)
    pending_version_ids: set[str] = field(default_factory=set)
    needs_digest: bool = False
    unwanted_since_s: float | None = None

    @property
    def is_balancer(self) -> bool:
        """Whether the other end has sent a Hello as a balancer."""
        return self.role in {PeerRole.ZONE, PeerRole.BRIDGE}


class PeerTable:
    """Open links by id and by the member at the other end."""

    def __init__(self) -> None:
        self._peers_by_link: dict[int, Peer] = {}
        self._peers_by_member: dict[str, Peer] = {}

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._peers_by_link)

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over a copy, so that links may close during iteration."""
        return iter(tuple(self._peers_by_link.values()))

    def open(self, peer: Peer) -> None:
        """Add a link whose other end is not known yet."""
        self._peers_by_link[peer.link_id] = peer

    def identify(
        self, peer: Peer, record: MemberRecord, role: PeerRole
    ) -> Peer | None:
        """Set the member at the other end; return an earlier link to it."""
        earlier = self._peers_by_member.get(record.member_id)
        peer.member_id = record.member_id
        peer.role = role
        self._peers_by_member[record.member_id] = peer
        return None if earlier is peer else earlier

    def prefer(self, peer: Peer) -> None:
        """Make this the link by which its member is found."""
        self._peers_by_member[peer.member_id] = peer

    def by_link(self, link_id: int) -> Peer | None:
        """Return the link, or None if it is not open."""
        return self._peers_by_link.get(link_id)

    def by_member(self, member_id: str) -> Peer | None:
        """Return the open link to a member, or None."""
        return self._peers_by_member.get(member_id)

    def remove(self, link_id: int) -> Peer | None:
        """Remove a closed link and return it, or None if it is unknown."""
        peer = self._peers_by_link.pop(link_id, None)
        if peer is not None and self.by_member(peer.member_id) is peer:
            self._peers_by_member.pop(peer.member_id)
        return peer

    def with_role(self, *roles: PeerRole) -> list[Peer]:
        """Return the links whose other end has one of the roles."""
        return [
            peer for peer in self._peers_by_link.values() if peer.role in roles
        ]

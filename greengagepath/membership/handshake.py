"""Handshake on the links of a balancer."""

import msgspec

from ..generated.messages import Hello, LinkError, MemberKind, MemberRecord
from .own_record import OwnRecord
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts

PROTOCOL_VERSION = 1


class Handshake:
    """Exchanges Hello messages and identifies the other end of a link."""

    def __init__(
        self, own: OwnRecord, peers: PeerTable, ports: NodePorts
    ) -> None:
        self._own = own
        self._peers = peers
        self._ports = ports

    def open(self, link_id: int, *, outgoing: bool) -> None:
        """Register a link, or refuse it if there are too many.

        The side that opened the link sends its Hello first.
        """
        now_s = self._ports.timers.now()
        peer = Peer(link_id, outgoing, now_s)
        if len(self._peers) >= self._ports.limits.links:
            self._refuse(peer, 'too many links at this balancer')
            return
        self._peers.open(peer)
        if outgoing:
            self._send_hello(link_id)

    def accept(self, peer: Peer, hello: Hello) -> bool:
        """Check and answer a Hello; return whether the link is kept."""
        if hello.protocol_version != PROTOCOL_VERSION:
            self._refuse(peer, 'unknown protocol version')
            return False
        if hello.record.member_id == self._own.member_id:
            self._refuse(peer, 'this is a link to the member itself')
            return False
        earlier = self._peers.identify(
            peer, hello.record, self._role_of(hello.record)
        )
        if not peer.outgoing:
            self._send_hello(peer.link_id)
        if earlier is None:
            return True
        return self._drop_duplicate(peer, earlier) is not peer

    def _drop_duplicate(self, peer: Peer, earlier: Peer) -> Peer:
        """Close one of two links to a member and return it.

        The link opened by the member with the smaller id is kept. Of two
        links in the same direction the earlier one is closed: it must be
        broken, although its end has not been detected yet.
        """
        is_own_id_smaller = self._own.member_id < peer.member_id
        dropped, kept = earlier, peer
        if (
            peer.outgoing != earlier.outgoing
            and peer.outgoing != is_own_id_smaller
        ):
            dropped, kept = peer, earlier
        self._peers.prefer(kept)
        self._ports.links.close(dropped.link_id)
        return dropped

    def _role_of(self, record: MemberRecord) -> PeerRole:
        if record.kind is MemberKind.agent:
            return PeerRole.AGENT
        if record.availability_zone == self._own.record.availability_zone:
            return PeerRole.ZONE
        return PeerRole.BRIDGE

    def _refuse(self, peer: Peer, reason: str) -> None:
        self._send(peer.link_id, LinkError(reason=reason))
        self._ports.links.close(peer.link_id)

    def _send_hello(self, link_id: int) -> None:
        self._send(
            link_id,
            Hello(record=self._own.record, protocol_version=PROTOCOL_VERSION),
        )

    def _send(self, link_id: int, message: msgspec.Struct) -> None:
        self._ports.links.send(link_id, message)

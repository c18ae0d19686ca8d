"""Distribution of home candidates to linked agents."""

from ..generated.messages import MemberRecord, Records
from .overlay import rank_by_hash
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts
from .table import MemberTable

# Balancers sent to an agent in addition to its homes, as a fallback.
SPARE_HOMES = 3


class HomeDirectory:
    """Sends each agent the balancers that rank first as its homes."""

    def __init__(
        self,
        table: MemberTable,
        peers: PeerTable,
        ports: NodePorts,
        own: MemberRecord,
    ) -> None:
        self._table = table
        self._peers = peers
        self._ports = ports
        self._zone = own.availability_zone
        self._seen_version = -1
        self._sent_by_link: dict[int, list[tuple[str, int]]] = {}

    def send_changed_candidates(self) -> None:
        """Send candidates to each agent whose candidates have changed."""
        if self._seen_version == self._table.version:
            return
        self._seen_version = self._table.version
        for peer in self._peers.with_role(PeerRole.AGENT):
            self.send_candidates(peer)

    def send_candidates(self, peer: Peer) -> None:
        """Send one agent its candidates unless they were sent before."""
        candidates = self._candidates(peer.member_id)
        sent = [(entry.member_id, entry.incarnation) for entry in candidates]
        if self._sent_by_link.get(peer.link_id) != sent:
            self._sent_by_link[peer.link_id] = sent
            self._ports.links.send(peer.link_id, Records(records=candidates))

    def remove_link(self, link_id: int) -> None:
        """Remove the state of a closed link."""
        self._sent_by_link.pop(link_id, None)

    def _candidates(self, agent_id: str) -> list[MemberRecord]:
        balancers = {
            record.member_id: record
            for record in self._table.balancers()
            if record.availability_zone == self._zone
        }
        count = self._ports.limits.homes + SPARE_HOMES
        ranked = rank_by_hash(agent_id, balancers)[:count]
        return [balancers[member_id] for member_id in ranked]

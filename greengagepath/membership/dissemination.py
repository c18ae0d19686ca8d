"""How changed records spread: push, and digests that repair it."""

from collections.abc import Iterable

from ..generated.messages import Digest, DigestEntry, MemberRecord, Records
from ..timers import Timer
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts
from .records import BUCKETS
from .table import MemberTable

# Changes wait this long for others. Ten hops of 20 ms keep a change
# well under the second that is left of the 5 s for a dead target.
FLUSH_S = 0.02
# Records in one message; a schema limit of 10,000 bounds what arrives.
MAX_RECORDS = 1000


class Dissemination:
    """Queues changes for each link and sends them in batches.

    A change goes to all balancers of the zone that are linked, except
    the one it came from. Links to other zones carry only records of the
    own zone: the other zones' bridges send their own.
    """

    def __init__(
        self, table: MemberTable, peers: PeerTable, ports: NodePorts, zone: str
    ) -> None:
        self._table = table
        self._peers = peers
        self._ports = ports
        self._zone = zone
        self._flush_timer: Timer | None = None
        self.dropped_records = 0

    def push(self, record: MemberRecord, source: Peer | None = None) -> None:
        """Queue a change for all links that should carry it."""
        for peer in self._peers.with_role(PeerRole.ZONE, PeerRole.BRIDGE):
            if peer is not source and self._carries(peer, record):
                self.push_to(peer, record)

    def push_to(self, peer: Peer, record: MemberRecord) -> None:
        """Queue a record for one link.

        With a full queue the record is dropped, and a digest follows.
        """
        limit = self._ports.limits.link_queue
        if record.member_id not in peer.pending and len(peer.pending) >= limit:
            peer.needs_digest = True
            self.dropped_records += 1
            return
        peer.pending[record.member_id] = record
        if self._flush_timer is None:
            self._flush_timer = self._ports.timers.call_after(
                FLUSH_S, self.flush
            )

    def flush(self) -> None:
        """Send what is queued."""
        self._flush_timer = None
        for peer in self._peers:
            if peer.pending:
                records = list(peer.pending.values())
                peer.pending.clear()
                if not self._ports.links.send(
                    peer.link_id, Records(records=records)
                ):
                    peer.needs_digest = True

    def make_digest(self, configuration_version: int) -> Digest:
        """Return the checksums of all buckets that hold records."""
        return Digest(
            entries=[
                DigestEntry(bucket=bucket, checksum=checksum)
                for bucket, checksum in enumerate(
                    self._table.checksums.values_by_bucket
                )
                if checksum
            ],
            configuration_version=configuration_version,
        )

    def differing_buckets(self, digest: Digest) -> list[int]:
        """Return the buckets in which the sender's table differs."""
        theirs_by_bucket = {
            entry.bucket: entry.checksum for entry in digest.entries
        }
        ours_by_bucket = self._table.checksums.values_by_bucket
        return [
            bucket
            for bucket in range(BUCKETS)
            if ours_by_bucket[bucket] != theirs_by_bucket.get(bucket, 0)
        ]

    def send_buckets(self, peer: Peer, buckets: Iterable[int]) -> None:
        """Send the records of the buckets, tombstones included."""
        found = self._table.records_in(buckets)
        for start in range(0, len(found), MAX_RECORDS):
            batch = found[start : start + MAX_RECORDS]
            self._ports.links.send(peer.link_id, Records(records=batch))

    def _carries(self, peer: Peer, record: MemberRecord) -> bool:
        return (
            peer.role is PeerRole.ZONE or record.availability_zone == self._zone
        )

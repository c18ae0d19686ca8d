"""Dissemination of records: push, repaired by digests."""

from collections.abc import Iterable

from ..foundation.timers import Timer
from ..generated.messages import (
    Digest,
    DigestEntry,
    MemberRecord,
    Records,
    Versions,
)
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts
from .records import BUCKETS
from .table import MemberTable

# Changes are batched for this time. Ten hops of 20 ms stay well under the
# second that is left of the 5 s in which a dead target must be removed.
FLUSH_S = 0.02
# Reports of versions in force are batched longer: with 520 balancers they
# are most of the traffic of a configuration change. An operator waits
# for them, which limits the delay.
FLUSH_VERSIONS_S = 0.3
# Records in one message. The schema limits received messages to 10,000.
MAX_RECORDS = 1000


class Dissemination:
    """Queues changes for each link and sends them in batches.

    A change goes to all linked balancers of the zone except its sender.
    Links to other zones carry only records of this zone, because the
    bridges of the other zones send theirs.
    """

    def __init__(
        self, table: MemberTable, peers: PeerTable, ports: NodePorts, zone: str
    ) -> None:
        self._table = table
        self._peers = peers
        self._ports = ports
        self._zone = zone
        self._flush_timer: Timer | None = None
        self._versions_timer: Timer | None = None
        self.dropped_records = 0

    def push(self, record: MemberRecord, source: Peer | None = None) -> None:
        """Queue a changed record for all links that should carry it."""
        for peer in self._peers.with_role(PeerRole.ZONE, PeerRole.BRIDGE):
            if peer is not source and self._should_send(peer, record):
                self.push_to(peer, record)

    def push_to(self, peer: Peer, record: MemberRecord) -> None:
        """Queue a record for one link.

        If the queue is full, the record is dropped and counted, and a
        digest is sent later to repair the loss.
        """
        limit = self._ports.limits.link_queue
        if (
            record.member_id not in peer.pending_records
            and len(peer.pending_records) >= limit
        ):
            peer.needs_digest = True
            self.dropped_records += 1
            return
        peer.pending_records[record.member_id] = record
        if self._flush_timer is None:
            self._flush_timer = self._ports.timers.call_after(
                FLUSH_S, self.flush
            )

    def push_version(
        self, record: MemberRecord, source: Peer | None = None
    ) -> None:
        """Queue a higher configuration version for all links but `source`.

        Versions are batched longer than records: one that arrives from a
        peer in the meantime need not be sent to it.
        """
        for peer in self._peers.with_role(PeerRole.ZONE, PeerRole.BRIDGE):
            if peer is not source and self._should_send(peer, record):
                peer.pending_version_ids.add(record.member_id)
        if source is not None:
            source.pending_version_ids.discard(record.member_id)
        if self._versions_timer is None:
            self._versions_timer = self._ports.timers.call_after(
                FLUSH_VERSIONS_S, self._flush_versions
            )

    def flush(self) -> None:
        """Send the queued records on all links."""
        self._flush_timer = None
        for peer in self._peers:
            if peer.pending_records:
                records = list(peer.pending_records.values())
                peer.pending_records.clear()
                if not self._ports.links.send(
                    peer.link_id, Records(records=records)
                ):
                    peer.needs_digest = True

    def _flush_versions(self) -> None:
        self._versions_timer = None
        for peer in self._peers:
            found = [
                self._table.get(entry)
                for entry in sorted(peer.pending_version_ids)
            ]
            peer.pending_version_ids.clear()
            records = [entry for entry in found if entry is not None]
            if records:
                self._send_versions(peer, records)

    def _send_versions(self, peer: Peer, records: list[MemberRecord]) -> None:
        message = Versions(
            member_ids=[entry.member_id for entry in records],
            incarnations=[entry.incarnation for entry in records],
            configuration_versions=[
                entry.configuration_version for entry in records
            ],
        )
        if not self._ports.links.send(peer.link_id, message):
            peer.needs_digest = True

    def make_digest(self, configuration_version: int) -> Digest:
        """Return a digest with the checksums of all non-empty buckets."""
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
        """Return the buckets in which the digest differs from this table."""
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
        """Send the records in the buckets, tombstones included."""
        found = self._table.records_in(buckets)
        for start in range(0, len(found), MAX_RECORDS):
            batch = found[start : start + MAX_RECORDS]
            self._ports.links.send(peer.link_id, Records(records=batch))

    def _should_send(self, peer: Peer, record: MemberRecord) -> bool:
        return (
            peer.role is PeerRole.ZONE or record.availability_zone == self._zone
        )

"""How changed records spread: push, and digests that repair it."""

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

# Changes wait this long for others. Ten hops of 20 ms keep a change
# well under the second that is left of the 5 s for a dead target.
FLUSH_S = 0.02
# An operator waits for the versions in force; at 520 balancers the
# reports of each change are most of the traffic, so they are batched.
FLUSH_VERSIONS_S = 0.3
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
        self._versions_timer: Timer | None = None
        self.dropped_records = 0

    def push(self, record: MemberRecord, source: Peer | None = None) -> None:
        """Queue a change for all links that should carry it."""
        for peer in self._peers.with_role(PeerRole.ZONE, PeerRole.BRIDGE):
            if peer is not source and self._should_send(peer, record):
                self.push_to(peer, record)

    def push_to(self, peer: Peer, record: MemberRecord) -> None:
        """Queue a record for one link.

        With a full queue the record is dropped, and a digest follows.
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
        """Queue a risen configuration version for all links but one.

        These wait longer than records: what comes from the other end
        meanwhile need not be sent to it.
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
        """Send what is queued."""
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

    def _should_send(self, peer: Peer, record: MemberRecord) -> bool:
        return (
            peer.role is PeerRole.ZONE or record.availability_zone == self._zone
        )

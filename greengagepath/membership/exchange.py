"""Exchange of member records over links."""

from ..generated.messages import (
    Digest,
    MemberRecord,
    MemberState,
    Pull,
    Versions,
)
from .configuration_spread import ConfigurationSpread
from .dissemination import Dissemination
from .own_record import OwnRecord
from .peers import Peer, PeerRole, PeerTable
from .ports import NodePorts
from .records import is_gone
from .table import CHANGES, MemberTable, MergeOutcome
from .views import FirstSync, TargetNotifier

# A balancer starts no periodic comparison within this time after it has
# received higher configuration versions. While versions spread, all tables
# differ in all buckets, and a comparison would exchange whole tables for
# nothing.
VERSION_QUIET_S = 3.0


class RecordExchange:
    """Merges received records and versions and forwards the changes."""

    def __init__(
        self,
        own: OwnRecord,
        table: MemberTable,
        peers: PeerTable,
        ports: NodePorts,
        target_notifier: TargetNotifier,
    ) -> None:
        self._own = own
        self._table = table
        self._peers = peers
        self._ports = ports
        self._target_notifier = target_notifier
        self._first_sync = FirstSync(ports)
        self._last_version_change_s = 0.0
        self.dissemination = Dissemination(
            table, peers, ports, own.record.availability_zone
        )

    def merge(self, record: MemberRecord, source: Peer) -> None:
        """Merge a record from a link; answer a stale one with a newer."""
        if record.member_id == self._own.member_id:
            self._own.receive_claim(record)
            return
        outcome = self._table.merge(record)
        if outcome in CHANGES:
            self.pass_on(record, source)
        elif outcome is MergeOutcome.VERSION:
            self.dissemination.push_version(record, source)
        elif outcome is MergeOutcome.STALE:
            self._send_newer(record, source)

    def merge_versions(self, versions: Versions, source: Peer) -> None:
        """Merge versions in force from a link and forward the higher ones."""
        columns = zip(
            versions.member_ids,
            versions.incarnations,
            versions.configuration_versions,
            strict=False,
        )
        for member_id, incarnation, version in columns:
            source.pending_version_ids.discard(member_id)
            if self._table.raise_version(member_id, incarnation, version):
                self._last_version_change_s = self._ports.timers.now()
                record = self._table.get(member_id)
                self.dissemination.push_version(record, source)

    def publish_version(self, configuration_version: int) -> None:
        """Announce the configuration version in force at this balancer."""
        own = self._own
        own.raise_version(configuration_version)
        self._table.raise_version(
            own.member_id, own.record.incarnation, configuration_version
        )
        self.dissemination.push_version(own.record)

    def pass_on(self, record: MemberRecord, source: Peer | None) -> None:
        """Push a changed record to the linked balancers.

        A suspected or dead member that is linked gets the record too, so
        that it can refute it.
        """
        self.dissemination.push(record, source)
        member = self._peers.by_member(record.member_id)
        is_suspected = is_gone(record) or record.state is MemberState.suspect
        if is_suspected and member is not None and member is not source:
            self.dissemination.push_to(member, record)
        self._target_notifier.schedule()

    def receive_digest(
        self, peer: Peer, digest: Digest, spread: ConfigurationSpread
    ) -> None:
        """Compare tables and configuration versions with the sender."""
        spread.receive_offer(peer.link_id, digest.configuration_version)
        buckets = self.dissemination.differing_buckets(digest)
        if buckets and not self._first_sync.is_running:
            self._ports.links.send(peer.link_id, Pull(buckets=buckets))
            self.dissemination.send_buckets(peer, buckets)

    def send_initial_state(
        self, peer: Peer, spread: ConfigurationSpread
    ) -> None:
        """Schedule a comparison of tables over a new link."""
        self._first_sync.schedule(lambda: self.send_digest(peer, spread))

    def send_digest(self, peer: Peer, spread: ConfigurationSpread) -> None:
        """Start a comparison of tables unless the link has closed."""
        if self._peers.by_link(peer.link_id) is peer:
            peer.needs_digest = False
            digest = self.dissemination.make_digest(spread.holder.version)
            self._ports.links.send(peer.link_id, digest)

    def compare_tables(self, spread: ConfigurationSpread) -> None:
        """Send a digest to each balancer for which records were dropped.

        If there is none, send one to a random linked balancer.
        """
        quiet_s = self._ports.timers.now() - self._last_version_change_s
        if quiet_s < VERSION_QUIET_S:
            return
        linked = self._peers.with_role(PeerRole.ZONE, PeerRole.BRIDGE)
        chosen = [peer for peer in linked if peer.needs_digest]
        if linked and not chosen:
            chosen = [self._ports.random.choice(linked)]
        for peer in chosen:
            self.send_digest(peer, spread)

    def _send_newer(self, record: MemberRecord, source: Peer) -> None:
        """Send the newer record; an agent gets only its own."""
        held = self._table.get(record.member_id)
        is_concerned = source.is_balancer or (
            source.member_id == record.member_id
        )
        if held is not None and is_concerned:
            self.dissemination.push_to(source, held)

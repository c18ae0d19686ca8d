"""Table of all members known to a process."""

from collections.abc import Callable, Collection, Iterable, Mapping
from enum import Enum, unique

import msgspec

from ..configuration.drains import list_drained_zones
from ..foundation.timers import TimerService
from ..generated.messages import (
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
)
from ..generated.settings import LimitSettings
from ..routing.targets import TargetInfo
from .records import (
    BUCKETS,
    bucket_of,
    checksum_of,
    is_balancer,
    is_gone,
    order_of,
    target_of,
)


@unique
class MergeOutcome(Enum):
    """Result of merging a record into the table."""

    NEW = 'new'
    UPDATED = 'updated'
    # Only the configuration version in force is higher.
    VERSION = 'version'
    # The table already holds exactly this record.
    KNOWN = 'known'
    # The table holds a newer record.
    STALE = 'stale'
    # The table is full, or the record is a tombstone of an unknown member.
    REFUSED = 'refused'


CHANGES = frozenset((MergeOutcome.NEW, MergeOutcome.UPDATED))


class BucketChecksums:
    """Exclusive-or of the checksums of the records in each bucket.

    Tombstones are left out: they expire at different moments at each
    member, so the checksums of equal tables would keep differing.
    """

    __slots__ = ('values_by_bucket',)

    def __init__(self) -> None:
        self.values_by_bucket = [0 for _ in range(BUCKETS)]

    def toggle(self, record: MemberRecord) -> None:
        """Add the record, or remove it if it was added before."""
        if not is_gone(record):
            bucket = bucket_of(record.member_id)
            self.values_by_bucket[bucket] ^= checksum_of(record)


class TargetView:
    """Converts records of agents to targets for routing.

    `drained_ids` are the targets that the configuration drains,
    `drained_zones` the service ids and zones whose targets it drains,
    `unreachable_zones` the zones that no bridge reaches.
    """

    def __init__(self) -> None:
        self.drained_ids: frozenset[str] = frozenset()
        self.drained_zones: frozenset[tuple[int, str]] = frozenset()
        self.unreachable_zones: frozenset[str] = frozenset()

    def set_drained(self, services: Collection[Service]) -> None:
        """Replace the targets and zones that the services drain."""
        self.drained_ids = frozenset(
            target_id
            for service in services
            for target_id in service.drained_targets
        )
        self.drained_zones = frozenset(
            (service.service_id, zone)
            for service in services
            for zone in list_drained_zones(service)
        )

    def build(
        self, records: Iterable[MemberRecord]
    ) -> Mapping[int, tuple[TargetInfo, ...]]:
        """Return the targets of each service, sorted by id."""
        targets_by_service: dict[int, list[TargetInfo]] = {}
        for record in sorted(records, key=lambda entry: entry.member_id):
            if record.kind is MemberKind.agent and not is_gone(record):
                target = self._describe(record)
                targets = targets_by_service.setdefault(target.service, [])
                targets.append(target)
        return {
            service: tuple(targets)
            for service, targets in targets_by_service.items()
        }

    def _describe(self, record: MemberRecord) -> TargetInfo:
        zone = record.availability_zone
        is_drained = (
            record.member_id in self.drained_ids
            or (record.service_id, zone) in self.drained_zones
        )
        return target_of(
            record,
            is_drained=is_drained,
            is_unreachable=zone in self.unreachable_zones,
        )


class MemberTable:
    """Merges records by incarnation, record version and state.

    Tombstones have a limit of their own. `refused_records` counts the
    records refused because the table was full. `version` rises with each
    change other than a higher configuration version.
    """

    def __init__(self, limits: LimitSettings, timers: TimerService) -> None:
        self._limits = limits
        self._timers = timers
        self._records_by_id: dict[str, MemberRecord] = {}
        # In order of insertion, so the oldest tombstone is first.
        self._gone_since_by_id: dict[str, float] = {}
        self._suspect_since_by_id: dict[str, float] = {}
        self.checksums = BucketChecksums()
        self.target_view = TargetView()
        self.refused_records = 0
        self.version = 0
        # Cached: read several times a second, changed a few times a minute.
        self._balancers: tuple[MemberRecord, ...] = ()
        self._balancers_version = -1

    def get(self, member_id: str) -> MemberRecord | None:
        """Return the record of a member, tombstones included."""
        return self._records_by_id.get(member_id)

    def records(self) -> tuple[MemberRecord, ...]:
        """Return all records, tombstones included."""
        return tuple(self._records_by_id.values())

    def balancers(self) -> tuple[MemberRecord, ...]:
        """Return the balancers that are not gone."""
        if self._balancers_version != self.version:
            self._balancers_version = self.version
            self._balancers = tuple(
                filter(is_balancer, self._records_by_id.values())
            )
        return self._balancers

    def merge(self, record: MemberRecord) -> MergeOutcome:
        """Store the record if it is newer than the one in the table."""
        held = self._records_by_id.get(record.member_id)
        if held is None:
            return self._insert(record)
        if order_of(record) > order_of(held):
            self._store(_with_higher_version(record, held))
            return MergeOutcome.UPDATED
        if self.raise_version(
            record.member_id, record.incarnation, record.configuration_version
        ):
            return MergeOutcome.VERSION
        if order_of(record) < order_of(held):
            return MergeOutcome.STALE
        return MergeOutcome.KNOWN

    def raise_version(
        self, member_id: str, incarnation: int, configuration_version: int
    ) -> bool:
        """Store a higher configuration version; return True if stored.

        This does not raise the version of the table: up to 520 balancers
        report each new configuration, and nothing is derived from it.
        """
        held = self._records_by_id.get(member_id)
        is_newer = (
            held is not None
            and not is_gone(held)
            and held.incarnation == incarnation
            and held.configuration_version < configuration_version
        )
        if is_newer:
            raised = msgspec.structs.replace(
                held, configuration_version=configuration_version
            )
            self.checksums.toggle(held)
            self.checksums.toggle(raised)
            self._records_by_id[member_id] = raised
        return is_newer

    def suspect(self, member_id: str) -> MemberRecord | None:
        """Mark a member as suspect; return its record if it changed."""
        held = self._records_by_id.get(member_id)
        if held is None or held.state not in _WATCHED_STATES:
            return None
        return self._replace_state(held, MemberState.suspect)

    def expire(
        self, may_declare_dead: Callable[[MemberRecord], bool]
    ) -> list[MemberRecord]:
        """Declare overdue suspects dead and drop expired tombstones.

        Returns the records of the members declared dead. Suspects that
        `may_declare_dead` rejects stay as they are.
        """
        now_s = self._timers.now()
        overdue = [
            self._records_by_id[member_id]
            for member_id, since_s in self._suspect_since_by_id.items()
            if now_s - since_s >= self._limits.dead_after_s
        ]
        dead = [
            self._replace_state(record, MemberState.dead)
            for record in overdue
            if may_declare_dead(record)
        ]
        self._drop_tombstones(now_s)
        return dead

    def discard(self, member_ids: Iterable[str]) -> None:
        """Remove members without leaving tombstones."""
        for member_id in member_ids:
            self._remove(member_id)

    def records_in(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return the records in the buckets, tombstones included."""
        wanted = frozenset(buckets)
        return [
            record
            for record in self._records_by_id.values()
            if bucket_of(record.member_id) in wanted
        ]

    def targets_by_service(self) -> Mapping[int, tuple[TargetInfo, ...]]:
        """Return the targets of each service, sorted by id."""
        return self.target_view.build(self._records_by_id.values())

    def _insert(self, record: MemberRecord) -> MergeOutcome:
        if is_gone(record):
            return MergeOutcome.REFUSED
        live = len(self._records_by_id) - len(self._gone_since_by_id)
        if live >= self._limits.members:
            self.refused_records += 1
            return MergeOutcome.REFUSED
        self._store(record)
        return MergeOutcome.NEW

    def _replace_state(
        self, held: MemberRecord, state: MemberState
    ) -> MemberRecord:
        changed = msgspec.structs.replace(held, state=state)
        self._store(changed)
        return changed

    def _store(self, record: MemberRecord) -> None:
        member_id = record.member_id
        self._remove(member_id)
        self._records_by_id[member_id] = record
        now_s = self._timers.now()
        if is_gone(record):
            self._gone_since_by_id[member_id] = now_s
            return
        self.checksums.toggle(record)
        if record.state is MemberState.suspect:
            self._suspect_since_by_id[member_id] = now_s

    def _remove(self, member_id: str) -> None:
        self.version += 1
        held = self._records_by_id.pop(member_id, None)
        if held is not None:
            self.checksums.toggle(held)
        self._gone_since_by_id.pop(member_id, None)
        self._suspect_since_by_id.pop(member_id, None)

    def _drop_tombstones(self, now_s: float) -> None:
        excess = len(self._gone_since_by_id) - self._limits.tombstones
        expired = []
        for member_id, since_s in self._gone_since_by_id.items():
            is_old = now_s - since_s > self._limits.tombstone_s
            if len(expired) >= excess and not is_old:
                break
            expired.append(member_id)
        self.discard(expired)


def _with_higher_version(
    record: MemberRecord, held: MemberRecord
) -> MemberRecord:
    """Return the record with the higher of both configuration versions.

    The held version may have been reported separately in the meantime.
    """
    is_lower = record.configuration_version < held.configuration_version
    if record.incarnation == held.incarnation and is_lower:
        return msgspec.structs.replace(
            record, configuration_version=held.configuration_version
        )
    return record


_WATCHED_STATES = (MemberState.alive, MemberState.draining)

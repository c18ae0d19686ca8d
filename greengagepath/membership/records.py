"""Ordering, checksums and conversion of member records."""

from ..generated.messages import MemberKind, MemberRecord, MemberState
from ..routing.targets import TargetInfo, TargetState
from .hashes import hash_text

# With 3,320 members each of the 64 buckets has 52 records. A digest takes
# about 2 KB, the exchange of one differing bucket about 10 KB.
BUCKETS = 64

# Of two records with equal versions the higher precedence wins, so that a
# suspicion holds until the suspected member raises its record version.
_PRECEDENCE_BY_STATE = {
    MemberState.alive: 0,
    MemberState.draining: 0,
    MemberState.suspect: 1,
    MemberState.dead: 2,
    MemberState.left: 3,
}
_GONE_STATES = (MemberState.dead, MemberState.left)


def order_of(record: MemberRecord) -> tuple[int, int, int]:
    """Return the sort key of a record; the newer record has the higher."""
    return (
        record.incarnation,
        record.record_version,
        _PRECEDENCE_BY_STATE[record.state],
    )


def is_gone(record: MemberRecord) -> bool:
    """Return whether the record is a tombstone: dead or left."""
    return record.state in _GONE_STATES


def is_balancer(record: MemberRecord) -> bool:
    """Return whether the member is a balancer that is not gone."""
    return record.kind is MemberKind.balancer and not is_gone(record)


def bucket_of(member_id: str) -> int:
    """Return the digest bucket of a member."""
    return hash_text(member_id) % BUCKETS


def checksum_of(record: MemberRecord) -> int:
    """Return 64 bits over id, order and configuration version."""
    incarnation, version, precedence = order_of(record)
    return hash_text(
        f'{record.member_id}/{incarnation}/{version}/{precedence}'
        f'/{record.configuration_version}'
    )


def target_of(
    record: MemberRecord, *, is_drained: bool, is_unreachable: bool
) -> TargetInfo:
    """Return an agent's record as a target for routing.

    A drained target stays DRAINING even while it is suspected, so that a
    suspicion cannot cause new work to be sent to it.
    """
    state = TargetState.ALIVE
    if is_unreachable or record.state is MemberState.suspect:
        state = TargetState.SUSPECT
    if is_drained or record.draining or record.state is MemberState.draining:
        state = TargetState.DRAINING
    return TargetInfo(
        target_id=record.member_id,
        service=record.service_id,
        address=(record.host, record.data_port),
        weight=record.weight,
        state=state,
        incarnation=record.incarnation,
        availability_zone=record.availability_zone,
        region=record.region,
        started_ms=record.started_ms,
    )

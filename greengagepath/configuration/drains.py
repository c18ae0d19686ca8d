"""Drained targets of a service, named singly or by availability zone.

`drained_targets` of a service holds member ids, and for each drained
zone one entry `availability_zone=ZONE`. Processes and tools of earlier
builds keep and forward such an entry like the id of an unknown target;
a field of its own would be lost once one of them had passed it on.
"""

from collections.abc import Collection, Iterable

from msgspec import structs

from ..generated.messages import (
    DrainedZone,
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
)

ZONE_PREFIX = 'availability_zone='
_GONE_STATES = (MemberState.dead, MemberState.left)


def make_zone_entry(zone: str) -> str:
    """Return the entry of `drained_targets` that drains a zone."""
    return f'{ZONE_PREFIX}{zone}'


def list_drained_zones(service: Service) -> frozenset[str]:
    """Return the zones in which all targets of the service are drained."""
    return frozenset(
        entry.removeprefix(ZONE_PREFIX)
        for entry in service.drained_targets
        if entry.startswith(ZONE_PREFIX)
    )


def is_drained(service: Service, member_id: str, zone: str) -> bool:
    """Return whether a target of the service is drained.

    It is drained if its member id or its availability zone is listed.
    """
    drained = service.drained_targets
    return member_id in drained or make_zone_entry(zone) in drained


def change_drained(
    service: Service, entries: Collection[str], *, drained: bool
) -> Service:
    """Return the service with entries of `drained_targets` added or removed."""
    before = frozenset(service.drained_targets)
    after = before.union(entries) if drained else before.difference(entries)
    return structs.replace(service, drained_targets=sorted(after))


def keep_drained_targets(
    held: Collection[Service], wanted: Iterable[Service]
) -> list[Service]:
    """Return the wanted services with the drained targets of `held`.

    A service that is not in `held` is drained in the zones in which all
    of those are, so that it does not start in an evacuated zone.
    """
    drained_by_id = {entry.service_id: entry.drained_targets for entry in held}
    everywhere = _list_zones_of_all(held)
    return [
        structs.replace(
            entry,
            drained_targets=drained_by_id.get(entry.service_id, everywhere),
        )
        for entry in wanted
    ]


def group_drained_zones(services: Iterable[Service]) -> list[DrainedZone]:
    """Return the drained zones with the ids of their services, by zone."""
    ids_by_zone: dict[str, list[int]] = {}
    for service in services:
        for zone in list_drained_zones(service):
            ids_by_zone.setdefault(zone, []).append(service.service_id)
    return [
        DrainedZone(availability_zone=name, service_ids=service_ids)
        for name, service_ids in sorted(ids_by_zone.items())
    ]


def list_known_zones(records: Iterable[MemberRecord]) -> list[str]:
    """Return the sorted zones of all members, gone ones included.

    A zone whose members have all failed can still be drained.
    """
    return sorted({record.availability_zone for record in records})


def list_targets(records: Iterable[MemberRecord]) -> list[MemberRecord]:
    """Return the records of targets that are neither dead nor left."""
    return [
        record
        for record in records
        if record.kind == MemberKind.agent and record.state not in _GONE_STATES
    ]


def find_unserved(
    services: Iterable[Service], records: Iterable[MemberRecord]
) -> list[Service]:
    """Return the services that have targets, all of them drained."""
    targets_by_service: dict[int, list[MemberRecord]] = {}
    for target in list_targets(records):
        targets_by_service.setdefault(target.service_id, []).append(target)
    return [
        service
        for service in services
        if _is_unserved(service, targets_by_service.get(service.service_id, []))
    ]


def _is_unserved(service: Service, targets: Collection[MemberRecord]) -> bool:
    return bool(targets) and all(
        is_drained(service, target.member_id, target.availability_zone)
        for target in targets
    )


def _list_zones_of_all(services: Collection[Service]) -> list[str]:
    drained = [list_drained_zones(service) for service in services]
    shared = frozenset.intersection(*drained) if drained else frozenset()
    return sorted(map(make_zone_entry, shared))

"""Targets that are left in drained availability zones."""

from dataclasses import dataclass

from ..configuration.drains import list_targets
from ..generated.messages import MemberState, StatusReply


@dataclass(slots=True, frozen=True)
class DrainedZoneCount:
    """Targets of one service in one drained zone.

    `targets` are neither dead nor left, `not_draining` of them have not
    reported that they drain. Member records carry no flows.
    """

    availability_zone: str
    service_id: int
    targets: int
    not_draining: int


def count_drained_zones(reply: StatusReply) -> list[DrainedZoneCount]:
    """Return a count for each drained zone and service, in that order."""
    places = [
        (zone.availability_zone, service_id)
        for zone in reply.drained_zones
        for service_id in sorted(zone.service_ids)
    ]
    return [_count(reply, *place) for place in places]


def _count(reply: StatusReply, zone: str, service_id: int) -> DrainedZoneCount:
    targets = [
        record
        for record in list_targets(reply.records)
        if record.availability_zone == zone and record.service_id == service_id
    ]
    not_draining = [
        record
        for record in targets
        if not record.draining and record.state != MemberState.draining
    ]
    return DrainedZoneCount(zone, service_id, len(targets), len(not_draining))

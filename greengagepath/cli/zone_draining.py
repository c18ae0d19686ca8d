"""Planning of `drain --zone` and `undrain --zone`."""

from collections.abc import Collection
from dataclasses import dataclass

from result import Err, Ok, Result

from ..configuration.drains import (
    find_unserved,
    list_drained_zones,
    list_known_zones,
)
from ..configuration.rollout import (
    ChangePlan,
    StoredConfiguration,
    UnknownName,
    plan_zone_drain,
)
from ..daemon.connections import Connections
from ..generated.messages import MemberRecord, Service
from ..output.console import print_warning


@dataclass(slots=True, frozen=True)
class ZoneRequest:
    """Zones to drain, or to undrain if `drained` is False.

    `service` is the name of the service that this applies to; None for
    all services.
    """

    zones: tuple[str, ...]
    service: str | None
    drained: bool


@dataclass(slots=True, frozen=True)
class NoBalancerAnswered:
    """Member records could not be queried; `reason` is the error text."""

    reason: str


def plan_zones(
    connections: Connections,
    stored: StoredConfiguration,
    request: ZoneRequest,
) -> Result[ChangePlan, UnknownName | NoBalancerAnswered]:
    """Return the plan for the zones of a request.

    Prints a warning if it leaves a service without targets. The error is
    `UnknownName` if a zone or the service does not exist. Zones are known
    from the member records of a balancer; those that are to be undrained
    and that the services drain need no balancer.
    """
    selected = _select_services(stored, request.service)
    if isinstance(selected, Err):
        return selected
    services = selected.ok_value
    plan = plan_zone_drain(
        stored,
        {service.service_id for service in services},
        request.zones,
        drained=request.drained,
    )
    if not request.drained and _are_drained(request.zones, services):
        return Ok(plan)
    reply = connections.query_any()
    if isinstance(reply, Err):
        return Err(NoBalancerAnswered(reply.err_value))
    records = reply.ok_value.records
    unknown = _find_unknown(request.zones, records)
    if unknown is not None:
        return Err(unknown)
    if request.drained:
        _warn_of_unserved(plan, services, records)
    return Ok(plan)


def find_by_name(
    services: Collection[Service], name: str
) -> Result[Service, UnknownName]:
    """Return the service with the name; the error lists all names."""
    for service in services:
        if service.name == name:
            return Ok(service)
    names = ', '.join(entry.name for entry in services)
    return Err(UnknownName(f'no service is named {name}; there are: {names}'))


def _select_services(
    stored: StoredConfiguration, name: str | None
) -> Result[list[Service], UnknownName]:
    services = stored.configuration.services
    if not services:
        return Err(UnknownName('no service is configured'))
    if name is None:
        return Ok(services)
    return find_by_name(services, name).map(lambda found: [found])


def _are_drained(zones: Collection[str], services: Collection[Service]) -> bool:
    drained = {
        zone for service in services for zone in list_drained_zones(service)
    }
    return drained.issuperset(zones)


def _find_unknown(
    zones: Collection[str], records: Collection[MemberRecord]
) -> UnknownName | None:
    known = list_known_zones(records)
    unknown = [zone for zone in zones if zone not in known]
    if not unknown:
        return None
    return UnknownName(
        f'no member is in availability zone {", ".join(unknown)};'
        f' known zones: {", ".join(known)}'
    )


def _warn_of_unserved(
    plan: ChangePlan,
    selected: Collection[Service],
    records: Collection[MemberRecord],
) -> None:
    selected_ids = {service.service_id for service in selected}
    for service in find_unserved(plan.wanted.services, records):
        if service.service_id in selected_ids:
            print_warning(
                f'all targets of {service.name} are drained, so nothing of'
                ' this service will be served',
                'see `greengagepath status`; `undrain` brings targets back',
            )

"""Options and implementation of `drain` and `undrain`."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import ClassVar

from result import Err, Ok, Result

from ..configuration.drains import ZONE_PREFIX
from ..configuration.rollout import (
    ChangePlan,
    StoredConfiguration,
    StoreUnreachable,
    UnknownName,
    plan_drain,
)
from ..daemon.connections import Connections, open_connections
from ..foundation.exit_codes import ExitCode
from ..generated.messages import MemberKind, Service
from ..output.console import print_error, print_problems
from .changes import ChangeOptions, run_plan
from .options import (
    DEFAULT_SETTINGS,
    DEFAULT_WAIT_S,
    JsonOption,
    ServiceOption,
    SettingsOption,
    TargetsArgument,
    WaitOption,
    ZonesOption,
)
from .zone_draining import (
    NoBalancerAnswered,
    ZoneRequest,
    find_by_name,
    plan_zones,
)

PlanError = UnknownName | StoreUnreachable | NoBalancerAnswered


@dataclass(slots=True, frozen=True)
class DrainRequest:
    """Targets to drain, or to undrain if `drained` is False.

    `service` is the name of their service; None if it must be looked up.
    """

    targets: tuple[str, ...]
    service: str | None
    drained: bool


@dataclass
class DrainOptions:
    """Options of both commands; `drained` is True for `drain`."""

    drained: ClassVar[bool]

    targets: TargetsArgument = field(default_factory=list)
    zones: ZonesOption = field(default_factory=list)
    service: ServiceOption = None
    settings: SettingsOption = DEFAULT_SETTINGS
    wait_s: WaitOption = DEFAULT_WAIT_S
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        match self._make_request():
            case Ok(request):
                options = ChangeOptions(self.wait_s, self.as_json)
                return run_drain(self.settings, request, options)
            case Err(message):
                print_error(message, 'see --help for examples')
        return ExitCode.BAD_USAGE

    def _make_request(self) -> Result[DrainRequest | ZoneRequest, str]:
        if bool(self.targets) == bool(self.zones):
            return Err('name either targets or availability zones')
        if any(entry.startswith(ZONE_PREFIX) for entry in self.targets):
            return Err(f'{ZONE_PREFIX} is not part of an id; use --zone')
        if self.targets:
            targets = tuple(self.targets)
            return Ok(DrainRequest(targets, self.service, self.drained))
        zones = tuple(self.zones)
        return Ok(ZoneRequest(zones, self.service, self.drained))


def run_drain(
    path: Path, request: DrainRequest | ZoneRequest, options: ChangeOptions
) -> ExitCode:
    """Change which targets are drained and wait for the change.

    `path` is the settings file of the tool.
    """
    with open_connections(path) as opened:
        match opened:
            case Ok(connections):
                return _change_targets(connections, request, options)
            case Err(problems):
                print_problems(problems)
    return ExitCode.BAD_USAGE


def _change_targets(
    connections: Connections,
    request: DrainRequest | ZoneRequest,
    options: ChangeOptions,
) -> ExitCode:
    stored = connections.store.read()
    if isinstance(stored, Err):
        print_error(f'cannot read from the object API: {stored.err_value}')
        return ExitCode.UNREACHABLE
    match _make_plan(connections, stored.ok_value, request):
        case Ok(plan):
            return run_plan(connections, plan, options).code
        case Err(failure):
            return _report_failure(failure)
    return ExitCode.UNREACHABLE


def _make_plan(
    connections: Connections,
    stored: StoredConfiguration,
    request: DrainRequest | ZoneRequest,
) -> Result[ChangePlan, PlanError]:
    match request:
        case ZoneRequest():
            return plan_zones(connections, stored, request)
        case DrainRequest(targets, _, drained):
            return find_service(connections, stored, request).and_then(
                lambda service: plan_drain(
                    stored, service.service_id, targets, drained=drained
                )
            )


def _report_failure(failure: PlanError) -> ExitCode:
    match failure:
        case UnknownName(message):
            print_error(message, 'see `greengagepath status --json`')
            return ExitCode.BAD_USAGE
        case NoBalancerAnswered(reason):
            print_error(
                f'no balancer answered: {reason}',
                'list running balancers in the settings',
            )
        case StoreUnreachable(reason):
            print_error(reason, 'name the service with --service')
    return ExitCode.UNREACHABLE


def find_service(
    connections: Connections,
    stored: StoredConfiguration,
    request: DrainRequest,
) -> Result[Service, UnknownName | StoreUnreachable]:
    """Return the one service that all targets belong to.

    It is the service named in the request; otherwise the service that
    lists all targets as drained, or the one in their member records,
    which are queried from a balancer. The error is `UnknownName` if
    there is no such service or several, `StoreUnreachable` if no
    balancer answers.
    """
    services = stored.configuration.services
    if request.service is not None:
        return find_by_name(services, request.service)
    drained_from = _find_by_drained_targets(services, request.targets)
    if drained_from is not None:
        return Ok(drained_from)
    return _find_by_member_records(connections, services, request.targets)


def _find_by_drained_targets(
    services: list[Service], targets: tuple[str, ...]
) -> Service | None:
    for service in services:
        if set(targets) <= set(service.drained_targets):
            return service
    return None


def _find_by_member_records(
    connections: Connections,
    services: list[Service],
    targets: tuple[str, ...],
) -> Result[Service, UnknownName | StoreUnreachable]:
    reply = connections.query_any()
    if isinstance(reply, Err):
        return Err(StoreUnreachable(reply.err_value))
    ids_by_target = {
        record.member_id: record.service_id
        for record in reply.ok_value.records
        if record.kind == MemberKind.agent
    }
    unknown = [name for name in targets if name not in ids_by_target]
    if unknown:
        return Err(UnknownName(f'no target is named {", ".join(unknown)}'))
    service_ids = {ids_by_target[name] for name in targets}
    if len(service_ids) > 1:
        return Err(UnknownName('the targets belong to several services'))
    for service in services:
        if service.service_id in service_ids:
            return Ok(service)
    return Err(UnknownName('the service of the targets is not configured'))

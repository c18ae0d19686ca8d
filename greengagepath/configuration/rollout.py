"""Changes of the configuration by an operator, from plan to proof.

The steps are: read, compare with the file's base, write conditionally,
hand the version to a few balancers, wait until every balancer says
that it is in force.
"""

import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from msgspec import structs
from result import Err, Ok, Result

from ..foundation.addresses import Address
from ..foundation.timers import TimerService
from ..generated.messages import (
    Configuration,
    ConfigurationDelta,
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
    StatusReply,
)
from .diff import FieldChange, diff_services
from .files import ConfigurationFile, compute_digest

# Balancers that get the version directly; they spread it further.
DIRECT_BALANCERS = 3
POLL_S = 0.2
MAX_REPORTED = 20


@dataclass(slots=True, frozen=True)
class StoredConfiguration:
    """What the object API holds; version 0 if there is none yet."""

    object_version: int
    configuration: Configuration


@dataclass(slots=True, frozen=True)
class ChangeConflict:
    """Somebody else changed the configuration first."""

    held_version: int
    changes: list[FieldChange]


@dataclass(slots=True, frozen=True)
class StoreUnreachable:
    """The object API gave no answer; `reason` says what was tried."""

    reason: str


@dataclass(slots=True, frozen=True)
class UnknownName:
    """A service or target that does not exist."""

    message: str


ChangeError = ChangeConflict | StoreUnreachable | UnknownName


class ConfigurationStore(Protocol):
    """The object API, as far as the configuration goes."""

    def read(self) -> Result[StoredConfiguration, str]:
        """Return the configuration, or why it cannot be read."""

    def write(
        self, configuration: Configuration, object_version: int
    ) -> Result[None, StoredConfiguration | str]:
        """Write if the object still has the version.

        The error is the object that is there instead, or why there
        was no answer; then the write may have taken effect.
        """


class BalancerPort(Protocol):
    """Control links to balancers."""

    def query_status(self, address: Address) -> Result[StatusReply, str]:
        """Return the view of one balancer."""

    def send_delta(
        self, address: Address, delta: ConfigurationDelta
    ) -> Result[None, str]:
        """Hand a version to one balancer."""


@dataclass(slots=True, frozen=True)
class ChangePlan:
    """What a change would write and what differs from now."""

    stored: StoredConfiguration
    wanted: Configuration
    changes: list[FieldChange]


def plan_file(
    stored: StoredConfiguration,
    content: ConfigurationFile,
    base_version: int | None = None,
) -> Result[ChangePlan, ChangeConflict]:
    """Return the plan to apply a file made from the stored version.

    `base_version` takes the place of the file's own base; with it the
    operator says which version the file was compared with.
    """
    held = stored.configuration
    services = keep_drained_targets(held.services, content.services)
    changes = diff_services(held.services, services)
    is_current = content.base == compute_digest(held.services)
    if base_version is not None:
        is_current = base_version == held.version
    if held.version == 0 or is_current or not changes:
        return Ok(ChangePlan(stored, _next_version(stored, services), changes))
    return Err(ChangeConflict(held.version, changes))


def plan_drain(
    stored: StoredConfiguration,
    service_id: int,
    target_ids: Iterable[str],
    *,
    drained: bool,
) -> Result[ChangePlan, UnknownName]:
    """Return the plan that drains targets, or takes them back."""
    held = stored.configuration
    changed_ids = set(target_ids)
    services = []
    for service in held.services:
        if service.service_id == service_id:
            before = set(service.drained_targets)
            after = before | changed_ids if drained else before - changed_ids
            services.append(
                structs.replace(service, drained_targets=sorted(after))
            )
        else:
            services.append(service)
    if service_id not in {entry.service_id for entry in held.services}:
        return Err(UnknownName(f'no service has the id {service_id}'))
    changes = diff_services(held.services, services)
    return Ok(ChangePlan(stored, _next_version(stored, services), changes))


def keep_drained_targets(
    held: Iterable[Service], wanted: Iterable[Service]
) -> list[Service]:
    """Return the wanted services with the drained targets held now."""
    drained_by_id = {entry.service_id: entry.drained_targets for entry in held}
    return [
        structs.replace(
            entry, drained_targets=drained_by_id.get(entry.service_id, [])
        )
        for entry in wanted
    ]


def write_plan(
    store: ConfigurationStore, plan: ChangePlan
) -> Result[None, ChangeConflict | StoreUnreachable]:
    """Write conditionally; read back when the answer was lost."""
    written = store.write(plan.wanted, plan.stored.object_version)
    if isinstance(written, Ok):
        return written
    failure = written.err_value
    if isinstance(failure, StoredConfiguration):
        return _check_write_result(plan, failure)
    match store.read():
        case Ok(found):
            return _check_write_result(plan, found, failure)
        case Err(reason):
            advice = 'the write may have taken effect, apply again to find out'
            return Err(StoreUnreachable(f'{reason}; {advice}'))


def compute_delta(plan: ChangePlan) -> ConfigurationDelta:
    """Return the change from the version that was read."""
    held = plan.stored.configuration.services
    wanted = plan.wanted.services
    wanted_ids = {entry.service_id for entry in wanted}
    return ConfigurationDelta(
        base_version=plan.stored.configuration.version,
        version=plan.wanted.version,
        operation_id=plan.wanted.operation_id,
        changed=[entry for entry in wanted if entry not in held],
        removed=[
            entry.service_id
            for entry in held
            if entry.service_id not in wanted_ids
        ],
    )


def send_to_balancers(
    balancers: BalancerPort,
    addresses: Iterable[Address],
    delta: ConfigurationDelta,
) -> list[str]:
    """Give the delta to a few balancers; return the failed attempts.

    An empty list of attempts without success means no address at all.
    """
    failures: list[str] = []
    accepted = 0
    for address in addresses:
        if accepted == DIRECT_BALANCERS:
            break
        match balancers.send_delta(address, delta):
            case Ok():
                accepted += 1
            case Err(reason):
                failures.append(f'{address[0]}:{address[1]}: {reason}')
    return failures


@dataclass(slots=True, frozen=True)
class RolloutStatus:
    """Where a version is in force; `behind` are living balancers."""

    in_force: int
    behind: list[MemberRecord]
    unreachable: str | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every living balancer has the version."""
        return self.in_force > 0 and not self.behind


def summarize_rollout(reply: StatusReply, version: int) -> RolloutStatus:
    """Sort the balancers of a reply by the version they have."""
    living = [
        entry
        for entry in reply.records
        if entry.kind == MemberKind.balancer
        and entry.state in {MemberState.alive, MemberState.suspect}
    ]
    behind = [
        entry for entry in living if entry.configuration_version < version
    ]
    return RolloutStatus(len(living) - len(behind), behind)


def query_any(
    balancers: BalancerPort, addresses: Iterable[Address]
) -> Result[StatusReply, str]:
    """Return the view of the first balancer that answers."""
    reasons = []
    for address in addresses:
        match balancers.query_status(address):
            case Ok(reply):
                return Ok(reply)
            case Err(reason):
                reasons.append(f'{address[0]}:{address[1]}: {reason}')
    return Err('; '.join(reasons) or 'no balancer is named in the settings')


def wait_in_force(
    query: Callable[[], Result[StatusReply, str]],
    version: int,
    timers: TimerService,
    sleep: Callable[[float], None],
    timeout_s: float,
) -> RolloutStatus:
    """Poll until all living balancers have the version, or time out."""
    end_s = timers.now() + timeout_s
    while True:
        match query():
            case Ok(reply):
                outcome = summarize_rollout(reply, version)
            case Err(reason):
                outcome = RolloutStatus(0, [], reason)
        if outcome.is_complete or timers.now() >= end_s:
            return outcome
        sleep(POLL_S)


def _next_version(
    stored: StoredConfiguration, services: list[Service]
) -> Configuration:
    # Higher than both counters, also if the object was ever recreated.
    highest = max(stored.object_version, stored.configuration.version)
    return Configuration(
        version=highest + 1, services=services, operation_id=uuid.uuid4().hex
    )


def _check_write_result(
    plan: ChangePlan, found: StoredConfiguration, reason: str = ''
) -> Result[None, ChangeConflict | StoreUnreachable]:
    held = found.configuration
    if held.operation_id == plan.wanted.operation_id:
        return Ok(None)
    if found.object_version == plan.stored.object_version:
        return Err(StoreUnreachable(f'nothing was written: {reason}'))
    before = plan.stored.configuration.services
    changes = diff_services(before, held.services)
    return Err(ChangeConflict(held.version, changes))

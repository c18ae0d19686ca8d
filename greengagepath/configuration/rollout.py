"""Rollout of a configuration change by an operator.

The steps are: read, compare with the file's base, write conditionally,
send the version to a few balancers, wait until every live balancer
reports that it is in force.
"""

import uuid
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

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
from .drains import change_drained, keep_drained_targets, make_zone_entry
from .files import ConfigurationFile, compute_digest

# Balancers that the version is sent to; they pass it on to the others.
DIRECT_BALANCERS = 3
POLL_S = 0.2
MAX_REPORTED = 20


@dataclass(slots=True, frozen=True)
class StoredConfiguration:
    """The stored configuration; both versions are 0 before the first."""

    object_version: int
    configuration: Configuration


@dataclass(slots=True, frozen=True)
class ChangeConflict:
    """Another operator changed the configuration first."""

    held_version: int
    changes: list[FieldChange]


@dataclass(slots=True, frozen=True)
class StoreUnreachable:
    """The object API did not answer; `reason` is the error text."""

    reason: str


@dataclass(slots=True, frozen=True)
class UnknownName:
    """A service or target that does not exist."""

    message: str


ChangeError = ChangeConflict | StoreUnreachable | UnknownName


class ConfigurationStore(Protocol):
    """The part of the object API that stores the configuration."""

    def read(self) -> Result[StoredConfiguration, str]:
        """Return the configuration, or why it cannot be read."""

    def write(
        self, configuration: Configuration, object_version: int
    ) -> Result[None, StoredConfiguration | str]:
        """Write if the object still has `object_version`.

        The error is the object that is stored instead, or the reason
        why no answer came; then the write may have taken effect.
        """


class BalancerPort(Protocol):
    """Control links to balancers."""

    def query_status(self, address: Address) -> Result[StatusReply, str]:
        """Return the reply of one balancer, or why there is none."""

    def send_delta(
        self, address: Address, delta: ConfigurationDelta
    ) -> Result[None, str]:
        """Send a version to one balancer."""


@dataclass(slots=True, frozen=True)
class ChangePlan:
    """The configuration to write and how it differs from the stored one."""

    stored: StoredConfiguration
    wanted: Configuration
    changes: list[FieldChange]


def plan_file(
    stored: StoredConfiguration,
    content: ConfigurationFile,
    base_version: int | None = None,
) -> Result[ChangePlan, ChangeConflict]:
    """Return the plan to apply a file, or a conflict.

    It is a conflict if the file differs from the stored version and was
    not made from it; the first configuration never conflicts.
    `base_version` replaces the file's own base: it is the version that
    the operator has compared the file with.
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
    """Return the plan that drains or undrains targets of a service."""
    held_ids = {entry.service_id for entry in stored.configuration.services}
    if service_id not in held_ids:
        return Err(UnknownName(f'no service has the id {service_id}'))
    changed_ids = frozenset(target_ids)
    return Ok(_plan_change(stored, {service_id}, changed_ids, drained=drained))


def plan_zone_drain(
    stored: StoredConfiguration,
    service_ids: Collection[int],
    zones: Iterable[str],
    *,
    drained: bool,
) -> ChangePlan:
    """Return the plan that drains or undrains zones of some services."""
    entries = frozenset(map(make_zone_entry, zones))
    return _plan_change(stored, service_ids, entries, drained=drained)


def write_plan(
    store: ConfigurationStore, plan: ChangePlan
) -> Result[None, ChangeConflict | StoreUnreachable]:
    """Write conditionally; without an answer, read back to check."""
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
    """Return the delta from the version that was read."""
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
    """Send the delta to the first `DIRECT_BALANCERS` that accept it.

    Returns a text for each failed attempt. Without addresses the list
    is empty as well.
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
    """How many balancers have a version in force.

    `behind` are the live balancers that have a lower version;
    `unreachable` says why no balancer could be queried.
    """

    in_force: int
    behind: list[MemberRecord]
    unreachable: str | None = None

    @property
    def is_complete(self) -> bool:
        """Whether every live balancer has the version."""
        return self.in_force > 0 and not self.behind


def summarize_rollout(reply: StatusReply, version: int) -> RolloutStatus:
    """Return which live balancers of a reply have the version."""
    live = [
        entry
        for entry in reply.records
        if entry.kind == MemberKind.balancer
        and entry.state in {MemberState.alive, MemberState.suspect}
    ]
    behind = [entry for entry in live if entry.configuration_version < version]
    return RolloutStatus(len(live) - len(behind), behind)


def query_any(
    balancers: BalancerPort, addresses: Iterable[Address]
) -> Result[StatusReply, str]:
    """Return the reply of the first balancer that answers."""
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
    """Poll until all live balancers have the version, or time out.

    `timeout_s` is in seconds; the last status is returned in both cases.
    """
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


def _plan_change(
    stored: StoredConfiguration,
    service_ids: Collection[int],
    entries: Collection[str],
    *,
    drained: bool,
) -> ChangePlan:
    held = stored.configuration.services
    services = [
        change_drained(service, entries, drained=drained)
        if service.service_id in service_ids
        else service
        for service in held
    ]
    changes = diff_services(held, services)
    return ChangePlan(stored, _next_version(stored, services), changes)


def _next_version(
    stored: StoredConfiguration, services: list[Service]
) -> Configuration:
    # Higher than both, also if the object was deleted and created again.
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

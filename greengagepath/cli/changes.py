"""What `apply`, `drain` and `undrain` share: write, hand over, wait."""

from dataclasses import dataclass

import gevent
import msgspec
from result import Err

from ..configuration.rollout import (
    ChangeConflict,
    ChangePlan,
    RolloutStatus,
    compute_delta,
    send_to_balancers,
    wait_in_force,
    write_plan,
)
from ..daemon.connections import Connections
from ..foundation.exit_codes import ExitCode
from ..output.console import (
    make_console,
    print_changes,
    print_error,
    print_json,
)

MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class ChangeOptions:
    """How long to wait, and how to report."""

    wait_s: float
    as_json: bool


@dataclass(slots=True, frozen=True)
class ChangeResult:
    """How a change ended; it may be stored and not yet in force."""

    code: ExitCode
    is_stored: bool


def report_plan(plan: ChangePlan, *, as_json: bool) -> None:
    """Show what a change would do."""
    if as_json:
        print_json(
            {
                'version': plan.stored.configuration.version,
                'changes': plan.changes,
            }
        )
        return
    print_changes(plan.changes)
    held = plan.stored.configuration.version
    count = len(plan.changes)
    make_console().print(f'fields that differ from version {held}: {count}')


def report_conflict(conflict: ChangeConflict, *, as_json: bool) -> None:
    """Show what somebody else has changed."""
    if as_json:
        print_json({'conflict': conflict})
    else:
        print_changes(conflict.changes)
    print_error(
        f'version {conflict.held_version} was stored by somebody else,'
        f' nothing was written; fields that differ: {len(conflict.changes)}',
        'compare, then apply again with'
        f' --base-version {conflict.held_version}, or start from'
        ' `greengagepath apply --fetch FILE`',
    )


def run_plan(
    connections: Connections, plan: ChangePlan, options: ChangeOptions
) -> ChangeResult:
    """Write a plan and wait until it is in force.

    A plan without changes only waits for the version that is stored.
    """
    if not options.as_json:
        report_plan(plan, as_json=False)
    start_s = connections.timers.now()
    failures: list[str] = []
    version = plan.stored.configuration.version
    if plan.changes:
        written = write_plan(connections.store, plan)
        if isinstance(written, Err):
            failure = written.err_value
            code = _report_failure(failure, as_json=options.as_json)
            return ChangeResult(code, is_stored=False)
        version = plan.wanted.version
        failures = send_to_balancers(
            connections.balancers,
            connections.list_addresses(),
            compute_delta(plan),
        )
    outcome = wait_in_force(
        connections.query_any,
        version,
        connections.timers,
        gevent.sleep,
        options.wait_s,
    )
    took_ms = round((connections.timers.now() - start_s) * MS_PER_S)
    _report_spread(outcome, failures, (version, took_ms), options)
    return ChangeResult(_choose_code(outcome), is_stored=True)


def _report_failure(failure: object, *, as_json: bool) -> ExitCode:
    if isinstance(failure, ChangeConflict):
        report_conflict(failure, as_json=as_json)
        return ExitCode.CONFLICT
    print_error(f'the object API cannot be written: {failure.reason}')
    return ExitCode.UNREACHABLE


def _report_spread(
    outcome: RolloutStatus,
    failures: list[str],
    progress: tuple[int, int],
    options: ChangeOptions,
) -> None:
    version, took_ms = progress
    if options.as_json:
        print_json(
            {
                'version': version,
                'in_force': outcome.in_force,
                'behind': msgspec.to_builtins(outcome.behind),
                'failures': failures,
                'took_ms': took_ms,
            }
        )
    elif outcome.is_complete:
        make_console().print(
            f'version {version} is in force on all {outcome.in_force}'
            f' balancers after {took_ms} ms'
        )
    if not outcome.is_complete:
        _report_behind(outcome, failures, version)


def _report_behind(
    outcome: RolloutStatus, failures: list[str], version: int
) -> None:
    for failure in failures:
        print_error(failure)
    if outcome.in_force == 0 and outcome.unreachable is not None:
        print_error(
            f'version {version} is stored, but no balancer could be asked:'
            f' {outcome.unreachable}',
            'name living balancers in the settings, then run `status`',
        )
        return
    for record in outcome.behind:
        print_error(
            f'{record.member_id} in {record.availability_zone} at'
            f' {record.host}:{record.control_port} still has version'
            f' {record.configuration_version}'
        )
    print_error(
        f'version {version} is stored and in force on {outcome.in_force}'
        f' balancers, not on {len(outcome.behind)}',
        'they take it when they are reachable again; see `status`',
    )


def _choose_code(outcome: RolloutStatus) -> ExitCode:
    if outcome.is_complete:
        return ExitCode.OK
    if outcome.unreachable is not None:
        return ExitCode.UNREACHABLE
    return ExitCode.TIMEOUT

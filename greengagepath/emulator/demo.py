"""The demo: changes and failures in a whole deployment under load.

The figures are measured at callers and back ends, not reported by the
system under test. The exception is the configuration version that each
balancer has in force.
"""

import signal
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import msgspec
from rich.console import Console
from rich.table import Table

from ..configuration.questionnaire import load_answers
from ..daemon.connections import Connections, open_connections
from ..foundation.exit_codes import ExitCode
from ..generated.messages import Operation, Service, SizeClass
from ..generated.questionnaire import OperationAnswers
from ..protocol.packets import SizeCode
from .backend import Run
from .control_paths import now_ms, read_runs
from .deployment import Deployment
from .load import CallOutcome, LoadOperation, LoadPlan
from .processes import LOCAL_HOST, DeploymentError, wait_until
from .verdict import Verdict, count_outcomes, evaluate, is_lost

LOAD_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 10.0
POLL_S = 0.02
# Caps the work of a request so that a run fits into a minute.
MAX_WORK_MS = 1500
LARGE_ANSWER_BYTES = 20_000_000
USUAL_ANSWER_SHARE = 0.125
MAX_USUAL_ANSWER_BYTES = 1_000_000
BYTES_PER_KB = 1024
HELD_FLOWS = 12
# Share of the usual request rates. It leaves spare capacity after the
# fastest target of a service is drained.
LOAD_SHARE = 0.6
# Part of the run after which a balancer is killed.
KILL_SHARE = 0.2
LARGE_ANSWER_LEAD_S = 0.3
_SIZE_CODES = {
    SizeClass.unknown: SizeCode.UNKNOWN,
    SizeClass.short: SizeCode.SHORT,
    SizeClass.long: SizeCode.LONG,
}


class DemoOptions(Protocol):
    """Options of `greengagepath demo`."""

    seed: int
    seconds: int
    scenario: str
    as_json: bool


@dataclass(slots=True)
class Measurements:
    """Measurements of the steps of a run.

    `drained_ms` is the wall-clock time at which the drain of
    `drained_target` was stored. `in_force_ms` is the time from the
    stored configuration until every running balancer used it.
    """

    drained_target: str = ''
    drained_ms: float = 0.0
    in_force_ms: float = float('nan')


def run_demo(options: DemoOptions) -> ExitCode:
    """Run the demo and print its verdict.

    Returns FAILURE if a process failed or the verdict has problems.
    """
    console = Console(stderr=True, quiet=options.as_json)
    with tempfile.TemporaryDirectory(prefix='greengagepath-') as name:
        deployment = Deployment(Path(name), options.scenario, options.seed)
        try:
            verdict = _run(deployment, options, console)
        except DeploymentError as error:
            console.print(f'demo failed: {error}', markup=False)
            _show_logs(Path(name), console)
            return ExitCode.FAILURE
        finally:
            deployment.stop()
        if not verdict.held:
            _show_logs(Path(name), console)
    _print_verdict(verdict, as_json=options.as_json)
    return ExitCode.OK if verdict.held else ExitCode.FAILURE


def _run(
    deployment: Deployment, options: DemoOptions, console: Console
) -> Verdict:
    console.print('starting platform, fabric, balancers and targets')
    deployment.start()
    names = start_load(deployment, options.seconds)
    with ExitStack() as stack:
        opened = stack.enter_context(
            open_connections(deployment.folder / 'greengagepath.toml')
        )
        timeline = Timeline(deployment, opened.unwrap(), console)
        measurements = timeline.run(options.seconds)
    console.print('waiting for the last answers')
    outcomes = collect_outcomes(deployment, names)
    for outcome in filter(is_lost, outcomes):
        console.print('lost:', msgspec.to_builtins(outcome))
    return _evaluate_run(deployment, outcomes, measurements)


class Timeline:
    """Runs changes and failures at fixed points of the load."""

    def __init__(
        self,
        deployment: Deployment,
        connections: Connections,
        console: Console,
    ) -> None:
        self._deployment = deployment
        self._connections = connections
        self._console = console
        self._measurements = Measurements()

    def run(self, seconds: float) -> Measurements:
        """Run all steps and return their measurements.

        `seconds` is the duration of the load. Raises DeploymentError if
        a step does not complete in time.
        """
        started_s = time.monotonic()
        steps: tuple[tuple[float, str, Callable[[], None]], ...] = (
            (KILL_SHARE, 'killing a balancer', self._kill_balancer),
            (0.3, 'starting a balancer', self._start_balancer),
            (0.4, 'draining a target', self._drain_target),
            (0.55, 'adding a target', self._add_target),
            (0.7, 'applying a new configuration', self._apply_configuration),
        )
        for share, what, action in steps:
            left_s = started_s + share * seconds - time.monotonic()
            time.sleep(max(left_s, 0.0))
            self._console.print(f'{share:4.0%}  {what}', markup=False)
            action()
        return self._measurements

    def _kill_balancer(self) -> None:
        self._deployment.processes.send_signal('balancer-1', signal.SIGKILL)

    def _start_balancer(self) -> None:
        self._deployment.start_balancer()

    def _drain_target(self) -> None:
        target = next(iter(self._deployment.targets_by_name))
        self._measurements.drained_target = target
        accepted_ms = self._start_change('drain', target)
        self._measurements.drained_ms = accepted_ms

    def _add_target(self) -> None:
        service_id = self._deployment.services[0].service_id
        self._deployment.start_target(service_id, cold=True)

    def _apply_configuration(self) -> None:
        path = self._deployment.folder / 'configuration.toml'
        changed = path.read_text().replace(
            'retry_share = 0.1', 'retry_share = 0.12'
        )
        path.write_text(changed)
        accepted_ms = self._start_change('apply', 'configuration.toml')
        version = self._deployment.control_client.read_stored_version()
        wait_until(
            lambda: self._is_in_force(version),
            f'version {version} in force',
            IN_FORCE_TIMEOUT_S,
        )
        self._measurements.in_force_ms = round(now_ms() - accepted_ms, 1)

    def _start_change(self, command: str, argument: str) -> float:
        """Start a command of the tool and wait for its write.

        Returns the wall-clock time in ms at which the write was seen.
        """
        before = self._deployment.control_client.read_stored_version()
        self._deployment.processes.start(
            f'tool-{command}', 'greengagepath', command, argument
        )
        wait_until(
            lambda: (
                self._deployment.control_client.read_stored_version() > before
            ),
            f'{command} accepted',
            IN_FORCE_TIMEOUT_S,
        )
        return now_ms()

    def _is_in_force(self, version: int) -> bool:
        processes = self._deployment.processes
        return all(
            self._read_version(balancer.control_port) >= version
            for balancer in self._deployment.balancers_by_name.values()
            if processes.is_running(balancer.name)
        )

    def _read_version(self, control_port: int) -> int:
        address = (LOCAL_HOST, control_port)
        return (
            self._connections.balancers.query_status(address)
            .map(lambda reply: reply.configuration_version)
            .unwrap_or(0)
        )


def start_load(
    deployment: Deployment,
    seconds: float,
    load_share: float = LOAD_SHARE,
) -> list[str]:
    """Start one load process for each customer; return their names.

    `seconds` is the duration of the load; `load_share` scales the usual
    request rates.
    """
    answers = load_answers(deployment.folder / 'answers.toml').unwrap()
    answers_by_operation = {
        (service.name, operation.name): operation
        for service in answers.services
        for operation in service.operations
    }
    names = []
    customers = deployment.services[0].customers
    shares = sum(customer.share for customer in customers)
    for position, customer in enumerate(customers):
        operations = [
            _plan_operation(
                service,
                operation,
                answers_by_operation[service.name, operation.name],
                share=load_share * customer.share / shares,
            )
            for service in deployment.services
            for operation in service.operations
        ]
        if position == 0:
            # The large answer is in transfer when the balancer is killed.
            large_at_s = KILL_SHARE * seconds - LARGE_ANSWER_LEAD_S
            operations.append(_plan_large_answer(operations, large_at_s))
        plan = LoadPlan(
            customer=customer.name,
            customer_id=customer.customer_id,
            seconds=seconds,
            seed=deployment.seed,
            operations=operations,
        )
        names.append(_start_load_process(deployment, plan))
    return names


def collect_outcomes(
    deployment: Deployment, names: list[str]
) -> list[CallOutcome]:
    """Wait for the load processes and return all their outcomes.

    Raises DeploymentError if one of them failed or did not end in time.
    """
    outcomes: list[CallOutcome] = []
    decoder = msgspec.json.Decoder(CallOutcome)
    end_s = time.monotonic() + LOAD_TIMEOUT_S
    for name in names:
        code = deployment.processes.wait(name, end_s - time.monotonic())
        if code != 0:
            raise DeploymentError(f'{name} ended with {code}')
        path = deployment.folder / f'{name}.jsonl'
        outcomes.extend(
            decoder.decode(line) for line in path.read_bytes().splitlines()
        )
    return outcomes


def collect_runs(deployment: Deployment) -> dict[str, list[Run]]:
    """Return the runs of all back ends by service id."""
    runs_by_service: dict[str, list[Run]] = {}
    for target in deployment.targets_by_name.values():
        runs_by_service.setdefault(str(target.service_id), []).extend(
            read_runs(target.back_end_port)
        )
    return runs_by_service


def _evaluate_run(
    deployment: Deployment,
    outcomes: list[CallOutcome],
    measurements: Measurements,
) -> Verdict:
    drained = deployment.targets_by_name[measurements.drained_target]
    last_start_ms = max(
        (run.started_ms for run in read_runs(drained.back_end_port)),
        default=measurements.drained_ms,
    )
    return evaluate(
        Verdict(
            scenario=deployment.scenario,
            seed=deployment.seed,
            config_in_force_ms=measurements.in_force_ms,
            drain_new_work_after_ms=round(
                max(last_start_ms - measurements.drained_ms, 0.0), 1
            ),
            **count_outcomes(outcomes, collect_runs(deployment)),
        )
    )


def _plan_operation(
    service: Service,
    operation: Operation,
    answers: OperationAnswers,
    *,
    share: float,
) -> LoadOperation:
    work_ms = min(answers.typical_ms, MAX_WORK_MS)
    size = round(answers.answer_kb * BYTES_PER_KB * USUAL_ANSWER_SHARE)
    query = f'work_ms={work_ms}&bytes={min(size, MAX_USUAL_ANSWER_BYTES)}'
    is_long = operation.size_class == SizeClass.long
    return LoadOperation(
        service=service.name,
        service_id=service.service_id,
        host=service.host,
        port=service.port,
        name=operation.name,
        method=operation.method,
        path=f'{operation.path_prefix}?{query}',
        idempotent=operation.idempotent,
        size_code=_SIZE_CODES[operation.size_class],
        deadline_ms=operation.deadline_ms,
        rate_per_s=answers.usual_per_s * share,
        held_flows=0 if is_long else HELD_FLOWS,
    )


def _plan_large_answer(
    operations: list[LoadOperation], at_s: float
) -> LoadOperation:
    usual = max(operations, key=lambda operation: operation.size_code)
    path = usual.path.partition('?')[0]
    return msgspec.structs.replace(
        usual,
        path=f'{path}?work_ms=5&bytes={LARGE_ANSWER_BYTES}',
        rate_per_s=0.0,
        at_s=(max(at_s, 0.0),),
        held_flows=0,
    )


def _start_load_process(deployment: Deployment, plan: LoadPlan) -> str:
    name = f'load-{plan.customer}'
    plan_path = deployment.folder / f'{name}.json'
    plan_path.write_bytes(msgspec.json.encode(plan))
    deployment.processes.start(
        name,
        'greengagepath.emulator.load',
        f'--plan={plan_path}',
        f'--output={deployment.folder / name}.jsonl',
    )
    return name


def _print_verdict(verdict: Verdict, *, as_json: bool) -> None:
    if not as_json:
        table = Table('figure', 'value', title='greengagepath demo')
        for name, found in msgspec.to_builtins(verdict).items():
            table.add_row(name, str(found))
        Console().print(table)
    line = msgspec.json.encode(verdict).decode()
    sys.stdout.write(f'{line}\n')


def _show_logs(folder: Path, console: Console) -> None:
    for path in sorted(folder.glob('*.log')):
        lines = path.read_text(errors='replace').splitlines()
        for line in lines[-3:]:
            console.print(f'{path.stem}: {line}', markup=False)

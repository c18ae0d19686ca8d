"""Runs a whole deployment as processes on 127.0.0.1.

Writes the settings of each process into a folder and starts stand-ins,
balancers and targets with their agents.
"""

import random
import signal
import socket
from dataclasses import dataclass
from pathlib import Path

import msgspec
import tomli_w
from result import Err, Ok

from ..configuration.files import load_configuration
from ..configuration.questionnaire import load_answers
from ..generated.messages import Service
from ..generated.questionnaire import (
    Answers,
    OperationAnswers,
    ServiceAnswers,
)
from .control_paths import ControlClient, fetch
from .fabric import BalancerEntry, FabricConfig
from .processes import (
    LOCAL_HOST,
    DeploymentError,
    PortPool,
    ProcessGroup,
    run_tool,
    wait_until,
)
from .settings_files import BalancerProcess, SettingsFiles, TargetProcess

AVAILABILITY_ZONES = ('zone-a', 'zone-b', 'zone-c')
# Targets bought over several years differ in speed by a factor of 4.
SPEEDS = (1.0, 0.75, 0.5, 1.0, 0.25, 0.75, 0.5)
STRAGGLER_SHARE = 0.002
START_TIMEOUT_S = 20.0
SEED_BITS = 32
# No service of the examples has as many targets.
ALL_TARGETS = 1000
# The demo requests an answer of 20 MB from the service with long work.
# Operations with large answers get a limit that allows it.
MIN_LARGE_ANSWER_KB = 16_384
LARGEST_ANSWER_KB = 24_000
DAEMON = 'greengagepath.daemon'
EXAMPLES_DIR = Path(__file__).resolve().parents[2] / 'examples'


@dataclass(slots=True, frozen=True)
class DeploymentPorts:
    """Ports of the stand-ins that all processes share."""

    platform: int
    fabric_control: int
    fabric_answers: int


class Deployment:
    """The processes of one deployment.

    `max_targets` limits the number of targets of each service.
    """

    def __init__(
        self,
        folder: Path,
        scenario: str,
        seed: int,
        max_targets: int = ALL_TARGETS,
    ) -> None:
        self._max_targets = max_targets
        self.folder = folder
        self.scenario = scenario
        self.seed = seed
        self.processes = ProcessGroup(folder)
        self.services: list[Service] = []
        self.balancers_by_name: dict[str, BalancerProcess] = {}
        self.targets_by_name: dict[str, TargetProcess] = {}
        self._port_pool = PortPool()
        self._ports = DeploymentPorts(*self._port_pool.allocate(3))
        self.control_client = ControlClient(
            self._ports.platform, self._ports.fabric_control
        )
        self._settings_files = SettingsFiles(
            folder, self._ports.platform, self._ports.fabric_answers
        )

    def start(self, balancer_count: int = 3) -> None:
        """Start all processes and apply the first configuration.

        Raises DeploymentError if a process fails or is not ready within
        START_TIMEOUT_S.
        """
        self._generate_configuration()
        self._start_stand_ins()
        for _ in range(balancer_count):
            self.start_balancer()
        self._start_targets()
        self._write_tool_settings()
        for balancer in self.balancers_by_name.values():
            _wait_for_port(balancer.control_port, balancer.name)
        self.run_tool('apply', 'configuration.toml')
        for name in self._daemon_names():
            self.wait_until_ready(name)
        self.processes.check_running()

    def stop(self) -> None:
        """Kill all processes that still run."""
        self.processes.stop_all()

    def start_balancer(self) -> str:
        """Start one more balancer behind the fabric; return its name."""
        number = len(self.balancers_by_name) + 1
        balancer = BalancerProcess(
            f'balancer-{number}',
            *self._port_pool.allocate(3),
            _pick_zone(number),
        )
        self.balancers_by_name[balancer.name] = balancer
        self.start_daemon(balancer.name)
        self.control_client.set_balancers(
            [
                BalancerEntry(LOCAL_HOST, entry.data_port, entry.status_port)
                for entry in self.balancers_by_name.values()
            ]
        )
        return balancer.name

    def start_target(self, service_id: int, *, cold: bool = False) -> str:
        """Start one more target with its agent; return its name."""
        service = self._find_service(service_id)
        number = sum(
            target.service_id == service_id
            for target in self.targets_by_name.values()
        )
        target = TargetProcess(
            f'{service.name}-{number + 1}',
            service_id,
            *self._port_pool.allocate(4),
            _pick_zone(number),
            SPEEDS[number % len(SPEEDS)],
        )
        self.targets_by_name[target.name] = target
        self._start_back_end(target, cold=cold)
        self.start_daemon(target.name)
        return target.name

    def start_daemon(self, name: str) -> None:
        """Start the daemon of a balancer or of a target's agent."""
        path = self._write_settings(name)
        self.processes.start(name, DAEMON, '--config', str(path))

    def use_keys(self, *key_ids: int) -> None:
        """Switch the tool and the running daemons to these keys.

        The first key signs. SIGHUP makes the daemons read the new keys.
        """
        self._settings_files.use_keys(*key_ids)
        self._write_tool_settings()
        for name in self._daemon_names():
            self._write_settings(name)
            self.processes.send_signal(name, signal.SIGHUP)

    def _daemon_names(self) -> list[str]:
        return [*self.balancers_by_name, *self.targets_by_name]

    def _write_tool_settings(self) -> None:
        self._settings_files.write_tool(
            [
                balancer.control_port
                for balancer in self.balancers_by_name.values()
            ]
        )

    def _write_settings(self, name: str) -> Path:
        balancer = self.balancers_by_name.get(name)
        if balancer is None:
            target = self.targets_by_name[name]
            slots = self._find_service(target.service_id).limits.slots
            return self._settings_files.write_agent(target, slots)
        return self._settings_files.write_balancer(balancer)

    def wait_until_ready(self, name: str) -> None:
        """Wait until `/readyz` of a daemon answers 200.

        Raises DeploymentError after START_TIMEOUT_S.
        """
        wait_until(
            lambda: self.is_ready(name), f'{name} ready', START_TIMEOUT_S
        )

    def is_ready(self, name: str) -> bool:
        """Return whether `/readyz` of a daemon answers 200."""
        daemons = {**self.balancers_by_name, **self.targets_by_name}
        return fetch(daemons[name].status_port, '/readyz') is not None

    def run_tool(self, command: str, *arguments: str) -> str:
        """Run a command of the tool and return its output.

        Raises DeploymentError if it fails.
        """
        done = run_tool(self.folder, command, *arguments)
        if done.returncode:
            raise DeploymentError(
                f'greengagepath {command} ended with {done.returncode}:'
                f' {done.stdout}{done.stderr}'
            )
        return done.stdout

    def _generate_configuration(self) -> None:
        path = EXAMPLES_DIR / f'{self.scenario}.answers.toml'
        match load_answers(path):
            case Ok(answers):
                local = _make_local(answers, self._port_pool)
            case Err(problems):
                raise DeploymentError('; '.join(map(str, problems)))
        answers_path = self.folder / 'answers.toml'
        answers_path.write_text(tomli_w.dumps(msgspec.to_builtins(local)))
        self.run_tool('init', '--answers', 'answers.toml')
        loaded = load_configuration(self.folder / 'configuration.toml')
        self.services = loaded.unwrap().services

    def _start_stand_ins(self) -> None:
        self.processes.start(
            'platform',
            'greengagepath.emulator.platform',
            f'--port={self._ports.platform}',
            f'--seed={self.seed}',
        )
        config = FabricConfig(
            host=LOCAL_HOST,
            answer_port=self._ports.fabric_answers,
            control_port=self._ports.fabric_control,
            services=[(entry.host, entry.port) for entry in self.services],
            balancers=[],
            seed=self.seed,
        )
        path = self.folder / 'fabric.json'
        path.write_bytes(msgspec.json.encode(config))
        self.processes.start(
            'fabric', 'greengagepath.emulator.fabric', f'--config={path}'
        )
        _wait_for_port(self._ports.platform, 'platform')
        _wait_for_port(self._ports.fabric_control, 'fabric')

    def _start_targets(self) -> None:
        answers = load_answers(self.folder / 'answers.toml').unwrap()
        counts_by_name = {
            entry.name: entry.targets for entry in answers.services
        }
        for service in self.services:
            count = min(counts_by_name[service.name], self._max_targets)
            for _ in range(count):
                self.start_target(service.service_id)

    def _start_back_end(self, target: TargetProcess, *, cold: bool) -> None:
        service = self._find_service(target.service_id)
        rng = random.Random(f'{self.seed}/{target.name}')
        arguments = [
            f'--port={target.back_end_port}',
            f'--service={target.service_id}',
            f'--slots={service.limits.slots}',
            f'--speed={target.speed}',
            f'--stragglers={STRAGGLER_SHARE}',
            f'--seed={rng.getrandbits(SEED_BITS)}',
        ]
        if cold:
            arguments.append('--cold')
        self.processes.start(
            f'{target.name}-back-end',
            'greengagepath.emulator.backend',
            *arguments,
        )

    def _find_service(self, service_id: int) -> Service:
        return next(
            service
            for service in self.services
            if service.service_id == service_id
        )


def _make_local(answers: Answers, port_pool: PortPool) -> Answers:
    ports = port_pool.allocate(len(answers.services))
    services = [
        _make_service_local(service, port)
        for service, port in zip(answers.services, ports, strict=True)
    ]
    return msgspec.structs.replace(answers, services=services)


def _make_service_local(service: ServiceAnswers, port: int) -> ServiceAnswers:
    operations = [_allow_large_answer(entry) for entry in service.operations]
    return msgspec.structs.replace(
        service, host=LOCAL_HOST, port=port, operations=operations
    )


def _allow_large_answer(operation: OperationAnswers) -> OperationAnswers:
    if operation.answer_kb < MIN_LARGE_ANSWER_KB:
        return operation
    answer_kb = max(operation.answer_kb, LARGEST_ANSWER_KB)
    return msgspec.structs.replace(operation, answer_kb=answer_kb)


def _pick_zone(number: int) -> str:
    return AVAILABILITY_ZONES[number % len(AVAILABILITY_ZONES)]


def _wait_for_port(port: int, name: str) -> None:
    wait_until(
        lambda: _is_listening(port), f'{name} listening', START_TIMEOUT_S
    )


def _is_listening(port: int) -> bool:
    try:
        with socket.create_connection((LOCAL_HOST, port), 1):
            return True
    except OSError:
        return False

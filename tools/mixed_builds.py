"""Checks that this build works together with another one.

Usage: `python tools/mixed_builds.py OTHER [plain-flows] [own-protocol]`.

OTHER is a checkout of the other build. Every check starts real processes
of both builds on 127.0.0.0/8, prints one line and counts what callers
and back ends saw. The program ends with 1 if a check fails.
"""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import gevent

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from greengagepath.emulator import demo  # noqa: E402
from greengagepath.emulator.deployment import Deployment  # noqa: E402
from greengagepath.emulator.processes import ProcessGroup  # noqa: E402
from tests.platform.deployment import PlatformDeployment  # noqa: E402

BALANCERS = ('127.0.0.11', '127.0.0.12')
AGENTS = ('127.0.0.21', '127.0.0.22')
SECONDS = 12
SEED = 11
FLOWS = 24
FIRST_PORT = 41000
# Several heartbeats, after which peers know that a target drains.
SPREAD_S = 1.5
STOP_S = 20
RootByName = Callable[[str], Path]


class MixedProcesses(ProcessGroup):
    """Starts each process from the checkout that its name selects."""

    def __init__(self, folder: Path, find_root: RootByName) -> None:
        super().__init__(folder)
        self.find_root = find_root

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start `python -m module` with the package of the checkout."""
        root = str(self.find_root(name))
        with (self._folder / f'{name}.log').open('ab') as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self._folder,
                env=os.environ | {'PYTHONPATH': root},
            )


class MixedDeployment(Deployment):
    """Own protocol: daemons of two builds."""

    find_root: RootByName

    def __init__(self, folder: Path, scenario: str, seed: int) -> None:
        super().__init__(folder, scenario, seed)
        self.processes = MixedProcesses(folder, self.find_root)

    def run_tool(self, command: str, *arguments: str) -> str:
        """Run a command of the tool of the build that `tool` selects."""
        root = str(self.processes.find_root('tool'))
        return subprocess.run(
            [sys.executable, '-m', 'greengagepath', command, *arguments],
            cwd=self.folder,
            env=os.environ | {'PYTHONPATH': root},
            capture_output=True,
            text=True,
            check=True,
        ).stdout


class UpgradedDeployment(MixedDeployment):
    """Own protocol: this build on files and store of the other."""

    def start(self, balancer_count: int = 3) -> None:
        """Start the other build, then replace daemon by daemon."""
        super().start(balancer_count)
        self.processes.find_root = lambda name: ROOT
        for name in self._daemon_names():
            self.processes.send_signal(name, signal.SIGTERM)
            self.processes.wait(name, STOP_S)
            self.start_daemon(name)
            self.wait_until_ready(name)


class MixedInstallation(PlatformDeployment):
    """Plain flows: processes of two builds, with their logs."""

    def __init__(self, root_by_host: dict[str, Path]) -> None:
        super().__init__()
        self.root_by_host = root_by_host

    def read_events(self, event: str) -> Iterator[dict[str, object]]:
        """Yield the log records of all agents with this event."""
        for host in AGENTS:
            path = Path(self.folder.name) / f'{host}.log'
            for line in path.read_text().splitlines():
                record = json.loads(line)
                if record['event'] == event:
                    yield record

    def restart_agent(self, host: str) -> None:
        """Start the agent of a target that is still there."""
        self._start('agent', host)

    def _start(self, role: str, host: str) -> None:
        path = Path(self.folder.name) / f'{role}-{host}.toml'
        path.write_text(self._write_settings(role, host))
        with (Path(self.folder.name) / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, '-m', 'greengagepath.platform', role],
                cwd=self.root_by_host[host],
                env=os.environ | {'GREENGAGEPATH_BOOT': str(path)},
                stdout=log,
            )


def check_own_protocol(other: Path) -> Iterator[tuple[str, bool]]:
    """Yield name and success of each deployment of the own protocol."""
    cases = (
        ('other agents, own balancers', _is_agent, MixedDeployment),
        ('own agents, other balancers', _is_balancer, MixedDeployment),
        ('every second daemon', _is_odd_daemon, MixedDeployment),
        ('upgrade in place', lambda name: True, UpgradedDeployment),
    )
    for name, is_other, kind in cases:
        find_root = staticmethod(_pick_root(other, is_other))
        selected = type(kind.__name__, (kind,), {'find_root': find_root})
        options = SimpleNamespace(
            seed=SEED, seconds=SECONDS, scenario='cooperative', as_json=False
        )
        with mock.patch.object(demo, 'Deployment', selected):
            yield name, demo.run_demo(options) == 0


def _is_daemon(name: str) -> bool:
    is_stand_in = name in {'platform', 'fabric', 'tool'}
    return not (
        is_stand_in
        or name.startswith(('load-', 'tool-'))
        or name.endswith('-back-end')
    )


def _is_balancer(name: str) -> bool:
    return name.startswith('balancer-')


def _is_agent(name: str) -> bool:
    return _is_daemon(name) and not _is_balancer(name)


def _is_odd_daemon(name: str) -> bool:
    return _is_daemon(name) and int(name.rpartition('-')[2]) % 2 == 1


def _pick_root(other: Path, is_other: Callable[[str], bool]) -> RootByName:
    return lambda name: other if is_other(name) else ROOT


def check_platform_path(other: Path) -> Iterator[tuple[str, bool]]:
    """Yield name and success of each check of plain flows.

    The first balancer and the first agent run the other build.
    """
    roots = (other, ROOT)
    root_by_host = dict(zip(BALANCERS, roots, strict=True))
    root_by_host |= dict(zip(AGENTS, roots, strict=True))
    for killed in BALANCERS:
        checks = PlainFlowChecks(MixedInstallation(root_by_host))
        try:
            yield from checks.run(killed)
        finally:
            checks.stop()


class PlainFlowChecks:
    """Opens flows, drains each target, kills a balancer, upgrades."""

    def __init__(self, installation: MixedInstallation) -> None:
        self._installation = installation
        self._port = FIRST_PORT
        self._sequence_by_port: dict[int, int] = {}
        self._sent = 0

    def stop(self) -> None:
        """End all processes and sockets."""
        self._installation.stop()

    def run(self, killed: str) -> Iterator[tuple[str, bool]]:
        """Yield the results; the balancer `killed` is killed half-way."""
        installation = self._installation
        for agent in AGENTS:
            installation.start_agent(agent)
        for balancer in BALANCERS:
            installation.start_balancer(balancer)
        for started in (*AGENTS, *BALANCERS):
            installation.wait_ready(started)
        gevent.sleep(SPREAD_S)
        yield 'flows through both balancers', self._open_flows(BALANCERS)
        yield 'answers through both balancers', self._send_requests(BALANCERS)
        for draining in AGENTS:
            yield f'hand-over while {draining} drains', self._drain(draining)
        installation.kill(killed)
        left = [host for host in BALANCERS if host != killed]
        yield f'flows after {killed} is killed', self._send_requests(left)
        yield f'new flows through {left[0]}', self._open_flows(left)
        self._upgrade(AGENTS[0])
        yield 'new flows after an upgrade', self._open_flows(left)
        yield 'every request ran once', self._is_each_run_once()

    def _open_flows(self, balancers: tuple[str, ...] | list[str]) -> bool:
        opened = True
        for position in range(FLOWS):
            self._port += 1
            balancer = balancers[position % len(balancers)]
            sequence = self._installation.caller.open(self._port, balancer)
            opened = opened and sequence is not None
            self._sequence_by_port[self._port] = sequence or 0
        return opened

    def _send_requests(self, balancers: tuple[str, ...] | list[str]) -> bool:
        """Send one request on each flow, by another balancer if possible."""
        answers = [
            self._installation.caller.request(
                port, balancers[(position + 1) % len(balancers)], sequence
            )
            for position, (port, sequence) in enumerate(
                self._sequence_by_port.items()
            )
        ]
        self._sent += len(answers)
        return all(answer == b'done' for answer in answers)

    def _drain(self, host: str) -> bool:
        """Open flows while a target drains.

        Returns whether all of them open, none at that target, and some
        were handed over.
        """
        installation = self._installation
        installation.draining.add(host)
        gevent.sleep(SPREAD_S)
        before = installation.targets[host].opened
        handed_over = self._count_hand_overs()
        opened = self._open_flows(BALANCERS)
        kept_out = installation.targets[host].opened == before
        installation.draining.discard(host)
        gevent.sleep(SPREAD_S)
        return opened and kept_out and self._count_hand_overs() > handed_over

    def _count_hand_overs(self) -> int:
        offers = self._installation.read_events('flow.offered')
        return sum(1 for offer in offers if offer['hops'] > 0)

    def _upgrade(self, host: str) -> None:
        """Start this build on settings and store of the other."""
        installation = self._installation
        installation.kill(host)
        installation.root_by_host = installation.root_by_host | {host: ROOT}
        installation.restart_agent(host)
        installation.wait_ready(host)
        gevent.sleep(SPREAD_S)

    def _is_each_run_once(self) -> bool:
        targets = self._installation.targets.values()
        return sum(len(target.requests) for target in targets) == self._sent


CHECKS_BY_NAME = {
    'plain-flows': check_platform_path,
    'own-protocol': check_own_protocol,
}


def main() -> int:
    """Run all checks; return the exit code."""
    other = Path(sys.argv[1]).resolve()
    failures = 0
    wanted = sys.argv[2:] or CHECKS_BY_NAME
    for check in wanted:
        for name, succeeded in CHECKS_BY_NAME[check](other):
            print('ok  ' if succeeded else 'FAIL', name, flush=True)
            failures += not succeeded
    print(f'{failures} checks failed')
    return int(failures > 0)


if __name__ == '__main__':
    sys.exit(main())

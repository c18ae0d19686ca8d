"""Measures the processor time from exec until a plain-flow role serves.

Usage: `python tools/measure_start.py [--starts N] [--imports] [ROOT ...]`.

Each ROOT is a checkout, by default this one. Its roles are built and
started as its `deploy/system.toml` says, on 127.0.0.0/8, against stand-ins
of the store and of the target. The starts of several checkouts alternate,
so that other load of the machine affects all of them alike. A balancer
has started when `/ready` answers 200, an agent when it logs
`agent.started`. The figures are user and system time of the process in
ms, and its peak memory in MB. `--imports` lists the most expensive
imports of each role instead, as `-X importtime` gives them.
"""

import argparse
import os
import shlex
import statistics
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import gevent

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE))

from tests.platform.deployment import PlatformDeployment  # noqa: E402

AGENT = '127.0.0.21'
BALANCER = '127.0.0.11'
POLL_S = 0.002
LIMIT_S = 15.0
LISTED_IMPORTS = 40
# Scripts that select a Python version would be measured as well.
INTERPRETERS = str(Path(sys.executable).resolve().parent)
ENVIRONMENT = os.environ | {'PATH': f'{INTERPRETERS}:{os.environ["PATH"]}'}
Sample = tuple[float, float]


class MeasuredDeployment(PlatformDeployment):
    """Starts roles of a checkout with the command of its deployment."""

    def __init__(self, root: Path) -> None:
        super().__init__()
        self.root = root
        self.options: list[str] = []

    def read_log(self, host: str) -> str:
        return (Path(self.folder.name) / f'{host}.log').read_text()

    def measure_both(self) -> dict[str, Sample]:
        """Start an agent, then a balancer; return what each start took."""
        self.start_agent(AGENT)
        agent = self.measure(AGENT)
        self.start_balancer(BALANCER)
        return {AGENT: agent, BALANCER: self.measure(BALANCER)}

    def measure(self, host: str) -> Sample:
        """Return processor ms and peak MB when the process serves."""
        end_s = time.monotonic() + LIMIT_S
        while not self._is_serving(host):
            gevent.sleep(POLL_S)
            if time.monotonic() > end_s:
                raise TimeoutError(self.read_log(host))
        pid = self.processes[host].pid
        return _read_processor_ms(pid), _read_peak_mb(pid)

    def _is_serving(self, host: str) -> bool:
        if host == BALANCER:
            return self.get(host, self.base + 1, '/ready') == 200
        return 'agent.started' in self.read_log(host)

    def _start(self, role: str, host: str) -> None:
        folder = Path(self.folder.name)
        settings = folder / f'{role}-{host}.toml'
        settings.write_text(self._write_settings(role, host))
        command = shlex.split(_read_deployment(self.root)['roles'][role]['run'])
        with (folder / f'{host}.log').open('wb') as log:
            self.processes[host] = subprocess.Popen(
                [command[0], *self.options, *command[1:]],
                cwd=self.root,
                env=ENVIRONMENT | {'GREENGAGEPATH_BOOT': str(settings)},
                stdout=log,
                stderr=log,
            )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--starts', type=int, default=15)
    parser.add_argument('--imports', action='store_true')
    parser.add_argument('roots', nargs='*', type=Path, default=[HERE])
    options = parser.parse_args()
    roots = [root.resolve() for root in options.roots]
    for root in roots:
        build = _read_deployment(root)['build']
        subprocess.run(
            build,
            shell=True,
            cwd=root,
            env=ENVIRONMENT,
            check=True,
            stdout=subprocess.DEVNULL,
        )
    if options.imports:
        for root in roots:
            _print_imports(root)
        return 0
    samples: dict[tuple[Path, str], list[Sample]] = {}
    for _ in range(options.starts):
        for root in roots:
            for host, sample in _start_once(root).items():
                samples.setdefault((root, host), []).append(sample)
    for (root, host), found in samples.items():
        _print_samples(root, host, found)
    return 0


def _start_once(root: Path) -> dict[str, Sample]:
    deployment = MeasuredDeployment(root)
    try:
        return deployment.measure_both()
    finally:
        deployment.stop()


def _print_imports(root: Path) -> None:
    deployment = MeasuredDeployment(root)
    deployment.options = ['-X', 'importtime']
    try:
        for host in deployment.measure_both():
            _print_most_expensive(host, deployment.read_log(host))
    finally:
        deployment.stop()


def _print_most_expensive(host: str, log: str) -> None:
    rows: list[tuple[int, int, str]] = []
    for line in log.splitlines():
        parts = line.removeprefix('import time:').split('|')
        if len(parts) == 3 and parts[0].strip().isdigit():
            rows.append((int(parts[0]), int(parts[1]), parts[2].strip()))
    print(f'{_name_role(host)}: {len(rows)} imports, {_sum_ms(rows):.1f} ms')
    for own_us, all_us, name in sorted(rows, reverse=True)[:LISTED_IMPORTS]:
        print(f'{own_us / 1000:8.2f} {all_us / 1000:8.2f}  {name}')


def _sum_ms(rows: list[tuple[int, int, str]]) -> float:
    return sum(own_us for own_us, _, _ in rows) / 1000


def _print_samples(root: Path, host: str, samples: list[Sample]) -> None:
    times_ms = [processor_ms for processor_ms, _ in samples]
    peaks_mb = [peak_mb for _, peak_mb in samples]
    print(
        f'{root.name} {_name_role(host)}: '
        f'median {statistics.median(times_ms):.1f} ms, '
        f'{min(times_ms):.1f} to {max(times_ms):.1f}, '
        f'peak {statistics.median(peaks_mb):.1f} MB, {len(samples)} starts'
    )


def _name_role(host: str) -> str:
    return 'agent' if host == AGENT else 'balancer'


def _read_processor_ms(pid: int) -> float:
    # Linux names the processor clock of a process by the complement of its
    # id in the upper bits, and the clock of scheduled time by 2.
    return time.clock_gettime((~pid << 3) | 2) * 1000


def _read_peak_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / 1024
    return 0.0


def _read_deployment(root: Path) -> dict:
    return tomllib.loads((root / 'deploy/system.toml').read_text())


if __name__ == '__main__':
    raise SystemExit(main())

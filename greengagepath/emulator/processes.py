"""Starts the processes of a deployment and allocates their ports."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

POLL_S = 0.05
LOCAL_HOST = '127.0.0.1'
# Services of the operating system usually listen below it.
FIRST_PORT = 10_000
MAX_PORT = 65_536
# Minimum size of the range; a deployment of the demo needs about 60.
MIN_PORTS = 1000
EPHEMERAL_RANGE_FILE = Path('/proc/sys/net/ipv4/ip_local_port_range')


class DeploymentError(RuntimeError):
    """A process or command of a deployment failed or took too long."""


class ProcessGroup:
    """Starts processes by name and kills only those."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start `python -m module`; its output goes to `name`.log."""
        with (self._folder / f'{name}.log').open('ab') as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=self._folder,
                env=_make_environment(),
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process that was started here."""
        self.processes_by_name[name].send_signal(number)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Wait for the exit code; return None after `timeout_s` seconds."""
        try:
            return self.processes_by_name[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def is_running(self, name: str) -> bool:
        """Return whether the process has not ended."""
        return self.processes_by_name[name].poll() is None

    def check_running(self) -> None:
        """Raise DeploymentError if a process ended with an error."""
        for name, process in self.processes_by_name.items():
            if process.poll():
                raise DeploymentError(f'{name} ended with {process.returncode}')

    def stop_all(self) -> None:
        """Kill the processes that still run; no work is left to finish."""
        running = [
            process
            for process in self.processes_by_name.values()
            if process.poll() is None
        ]
        for process in running:
            process.kill()
        for process in running:
            process.wait()


class PortPool:
    """Allocates ports for processes that start later, each port once.

    The ports lie below the ephemeral range of the kernel, unless that
    range leaves fewer than MIN_PORTS. Otherwise an outgoing connection
    could take a port between its allocation and the start of the process
    that listens on it.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._allocated: set[int] = set()

    def allocate(self, count: int) -> list[int]:
        """Return `count` ports, free for TCP and UDP on 127.0.0.1."""
        end = _read_first_ephemeral_port()
        if end < FIRST_PORT + MIN_PORTS:
            end = MAX_PORT
        found: list[int] = []
        while len(found) < count:
            port = self._rng.randrange(FIRST_PORT, end)
            if port not in self._allocated and _is_free(port):
                self._allocated.add(port)
                found.append(port)
        return found


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float
) -> None:
    """Poll until the condition holds.

    Raises DeploymentError with `description` after `timeout_s` seconds.
    """
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise DeploymentError(
                f'{description} not reached within {timeout_s} s'
            )
        time.sleep(POLL_S)


def run_tool(folder: Path, *arguments: str) -> subprocess.CompletedProcess:
    """Run the command-line tool; return its exit code and output."""
    return subprocess.run(
        [sys.executable, '-m', 'greengagepath', *arguments],
        cwd=folder,
        env=_make_environment(),
        capture_output=True,
        text=True,
        check=False,
        stdin=subprocess.DEVNULL,
    )


def _read_first_ephemeral_port() -> int:
    try:
        return int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except OSError:
        return MAX_PORT


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as opened:
            try:
                opened.bind((LOCAL_HOST, port))
            except OSError:
                return False
    return True


def _make_environment() -> dict[str, str]:
    root = str(Path(__file__).resolve().parents[2])
    paths = [root, os.environ.get('PYTHONPATH', '')]
    joined = os.pathsep.join(path for path in paths if path)
    return {**os.environ, 'PYTHONPATH': joined}

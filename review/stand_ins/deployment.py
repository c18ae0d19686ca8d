"""A small deployment of the project's own programs on loopback addresses.

Processes are started with the commands and the settings template of
`deploy/system.toml`, as DEPLOY.md says.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from . import http
from .endpoint import Endpoint
from .record import Record
from .store import Store

ROOT = Path(__file__).parents[2]
# Delay until the platform starts a process again.
RESTART_S = 0.5
START_S = 20.0
GRACE_S = 6
# Port of the metrics in the settings template.
METRICS_PORT = 9464


class CannotRunError(Exception):
    """The case cannot run on this machine."""


class Deployment:
    """Store, balancers, agents and endpoints of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.network = _find_free_network()
        self.ports = _find_free_ports(self.host(9), 24)
        self.endpoints: dict[str, Endpoint] = {}
        self.balancers: list[str] = []
        self._deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._services: dict[str, str] = {}

    def host(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f'{self.network}.{number}'

    def address(self, host: str, name: str) -> tuple[str, int]:
        """Return the address of a listener of a machine."""
        offsets = {
            'data': 0, 'ready': 1, 'control': 2, 'outbound': 3, 'app': 4,
            'store': 5,
        }  # fmt: skip
        return host, self.ports + offsets[name]

    async def start_store(self) -> None:
        """Start the platform's store."""
        await self.store.start(self.address(self.host(9), 'store'))

    def write_configuration(
        self, version: int, routes: list[dict[str, Any]]
    ) -> None:
        """Write a configuration, as the operator does."""
        services = sorted(set(self._services.values()))
        self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': routes,
                'services': [
                    {
                        'name': name,
                        'health-path': '/health',
                        'max-conns': 2000,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for name in services
                ],
                'limits': {
                    'max-header-bytes': 16384,
                    'max-body-bytes': 262144,
                    'header-timeout-ms': 3000,
                    'idle-timeout-ms': 15000,
                },
            },
        )
        self.record.write('configuration acknowledged', version=version)

    def add_balancer(self, number: int, *, first_start: bool = True) -> str:
        """Start a balancer on a new machine."""
        host = self.host(number)
        self.balancers.append(host)
        self._start('balancer', host, first_start=first_start)
        return host

    def add_agent(
        self, number: int, service: str, *, first_start: bool = True
    ) -> str:
        """Start an agent on a new machine."""
        host = self.host(number)
        self._services[host] = service
        self._start('agent', host, first_start=first_start)
        return host

    def make_endpoint(self, host: str, name: str, **options: Any) -> Endpoint:
        """Return a new endpoint for the machine of an agent."""
        endpoint = Endpoint(
            self.record,
            name,
            self._services[host],
            app=self.address(host, 'app'),
            outbound=self.address(host, 'outbound'),
            control=self.address(host, 'control'),
            **options,
        )
        self.endpoints[name] = endpoint
        return endpoint

    async def wait_ready(self) -> None:
        """Wait until all balancers and agents answer that they are ready."""
        for host in self._processes:
            address = self.address(host, 'ready')
            for _ in range(int(START_S / 0.1)):
                if await http.call(address, 'GET', '/ready') == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRunError(f'{host} does not become ready')
        self.record.write('all processes are ready')

    async def roll(self, host: str) -> None:
        """Stop a process with SIGTERM and start it again."""
        role = 'balancer' if host in self.balancers else 'agent'
        await self.terminate(host)
        await asyncio.sleep(RESTART_S)
        self._start(role, host, first_start=False)

    async def terminate(self, host: str) -> None:
        """Stop a process with SIGTERM."""
        role = 'balancer' if host in self.balancers else 'agent'
        process = self._processes[host]
        self.record.write('SIGTERM', host=host, role=role)
        process.send_signal(signal.SIGTERM)
        for _ in range(GRACE_S * 20):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            process.kill()
        process.wait()
        self.record.write('process has ended', host=host)

    async def kill(self, host: str) -> None:
        """Kill a process; the platform starts it again."""
        role = 'balancer' if host in self.balancers else 'agent'
        process = self._processes[host]
        self.record.write('SIGKILL', host=host, role=role)
        process.kill()
        process.wait()
        await asyncio.sleep(RESTART_S)
        self._start(role, host, first_start=False)

    def stop(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()
        self._folder.cleanup()

    def list_ended(self) -> list[str]:
        """Return the machines whose process has ended by itself."""
        return [
            host
            for host, process in self._processes.items()
            if process.poll() is not None
        ]

    def _start(self, role: str, host: str, *, first_start: bool) -> None:
        entry = self._deploy['roles'][role]
        fields = self._list_fields(role, host, first_start=first_start)
        settings = Path(self._folder.name) / f'{host}.conf'
        settings.write_text(
            _fill_in((ROOT / entry['template']).read_text(), fields)
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['GREENGAGEPATH_BOOT'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        log = Path(self._folder.name) / f'{host}.log'
        with log.open('ab') as output:
            self._processes[host] = subprocess.Popen(
                entry['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.write('process started', host=host, role=role)

    def find_logged(self, event: str) -> int:
        """Return how often the processes have logged an event."""
        logs = Path(self._folder.name).glob('*.log')
        return sum(log.read_text().count(event) for log in logs)

    def _list_fields(
        self, role: str, host: str, *, first_start: bool
    ) -> dict[str, Any]:
        def listen(name: str) -> str:
            return '{}:{}'.format(*self.address(host, name))

        is_agent = role == 'agent'
        store = self.address(self.host(9), 'store')
        seeds = [f'{seed}:{self.ports + 2}' for seed in self.balancers[:3]]
        return {
            'node-id': f'{role}-{host}',
            'zone': 'zone-a',
            'ip': host,
            'listen.datagram-addr': listen('data'),
            'listen.ready': listen('ready'),
            'listen.control': listen('control'),
            'listen.outbound': listen('outbound') if is_agent else '',
            'app': listen('app') if is_agent else '',
            'service': self._services.get(host, ''),
            'internal-ports': f'{self.ports + 8},{self.ports + 23}',
            'seeds': ','.join(seeds),
            'platform.address': '{}:{}'.format(*store),
            'first-start': first_start,
            'heartbeat-ms': 1200,
            'bounds.grace-s': GRACE_S,
            'bounds.flow-max-s': 60,
        }


def make_route(
    name: str, host: str, port: int, **changed: Any
) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        'name': name,
        'host': host,
        'path-prefix': f'/{port}/',
        'type': 'unsafe',
        'timeout-ms': 5000,
        'target-latency-ms': 1000,
        'priority': 1,
        'max-attempts': 2,
    } | changed


def _fill_in(template: str, fields: dict[str, Any]) -> str:
    def replace(found: re.Match[str]) -> str:
        name, _, is_json = found.group(1).partition('|')
        value = fields[name]
        return json.dumps(value) if is_json else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', replace, template)


def _find_free_network() -> str:
    """Return the start of loopback addresses that nobody uses.

    The metrics have the same port on all machines, so two deployments on
    the same addresses would collide.
    """
    for _ in range(50):
        network = f'127.{random.randrange(1, 255)}.{random.randrange(1, 255)}'
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as bound:
            try:
                bound.bind((f'{network}.1', METRICS_PORT))
            except OSError:
                continue
            return network
    raise CannotRunError('no free loopback addresses')


def _find_free_ports(host: str, count: int) -> int:
    """Return the first of some ports that are free at an address."""
    for _ in range(50):
        first = random.randrange(20000, 30000)
        with contextlib.ExitStack() as opened:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        bound = socket.socket(socket.AF_INET, kind)
                        opened.enter_context(bound)
                        bound.bind((host, port))
            except OSError:
                continue
            return first
    raise CannotRunError('no free ports')

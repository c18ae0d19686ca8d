"""A small deployment on loopback addresses, and how a case runs on it."""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .endpoint import Endpoint
from .nodes import BOUNDS, Node
from .packets import End
from .record import Record
from .requester import Requester, Router
from .store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2
LIMIT_S = 118.0
START_S = 15.0
MAX_SEEDS = 3
START_SPREAD_S = 0.29
CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
# The same on all machines; addresses are drawn anew for each run.
PORTS = {
    'data': 8172,
    'ready': 8167,
    'control': 8166,
    'outbound': 8162,
    'app': 8165,
    'store': 8169,
}
INTERNAL_PORTS = '7720,7735'
ROUTE_PORT = 8443


class Scene:
    """Store, nodes, endpoints and one requester of a deployment.

    `has_trouble` tells whether the case brings its disruption about.
    """

    def __init__(
        self, record: Record, folder: Path, *, has_trouble: bool
    ) -> None:
        self.record = record
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.endpoints: list[Endpoint] = []
        self.has_trouble = has_trouble
        self._folder = folder
        self._network = random.randrange(1, 250)
        self._subnet = random.randrange(110, 200)
        self.seeds: list[str] = []
        self.bounds = dict(BOUNDS)
        self._version = 0
        self._tasks: list[asyncio.Task[Any]] = []

    def host(self, number: int, subnets_before: int = 0) -> str:
        """Return the address of a machine, here or in an earlier subnet."""
        subnet = self._subnet - subnets_before
        return f'127.{self._network}.{subnet}.{number}'

    def add_front(
        self, number: int, zone: str, internal_ports: str = INTERNAL_PORTS
    ) -> Node:
        """Add a machine for requesters; start its node later."""
        fields = self._describe('front', number, zone, internal_ports)
        if len(self.seeds) < MAX_SEEDS:
            self.seeds.append(f'{self.host(number)}:{PORTS["control"]}')
        return self._add('balancer', fields)

    async def add_side(
        self,
        number: int,
        zone: str,
        service: str,
        internal_ports: str = INTERNAL_PORTS,
        slots: int = 2,
    ) -> Node:
        """Add a machine with an endpoint, which starts at once."""
        fields = self._describe('side', number, zone, internal_ports)
        host = self.host(number)
        fields['app'] = f'{host}:{PORTS["app"]}'
        fields['service'] = service
        fields['listen']['outbound'] = f'{host}:{PORTS["outbound"]}'
        endpoint = Endpoint(self.record, host, service, zone, PORTS)
        endpoint.slots = slots
        await endpoint.start()
        self.endpoints.append(endpoint)
        return self._add('agent', fields)

    async def start(self, config: dict[str, list[Any]]) -> Requester:
        """Start the store and all nodes; return a requester when ready."""
        await self.store.start((self.host(9), PORTS['store']))
        await self.configure(config)
        for node in self.nodes.values():
            node.start(is_first=True)
        fronts = [
            node.host for node in self.nodes.values() if node.role == 'balancer'
        ]
        self.router = Router(fronts, PORTS['ready'])
        self._tasks.append(asyncio.ensure_future(self.router.probe()))
        requester = Requester(
            self.record, self.router, self.host(200), PORTS['data']
        )
        await requester.start()
        async with asyncio.timeout(START_S):
            while not self._is_ready(fronts):
                await asyncio.sleep(0.1)
        return requester

    async def add_requester(
        self, number: int, zone: list[str], nearest: tuple[str, ...]
    ) -> Requester:
        """Return a requester of another zone, whose front nodes are named."""
        router = Router(zone, PORTS['ready'], nearest)
        self._tasks.append(asyncio.ensure_future(router.probe()))
        requester = Requester(
            self.record, router, self.host(number), PORTS['data']
        )
        await requester.start()
        return requester

    async def configure(self, config: dict[str, list[Any]]) -> float:
        """Write a configuration as the operator; return when it was acked.

        `config` has the service of each route, by the number of the route.
        """
        self._version += random.randrange(1, 5)
        spec = {
            'version': self._version,
            'routes': [
                _describe_route(int(number), *found)
                for number, found in config.items()
            ],
            'services': [
                {'name': name}
                for name in sorted({found[0] for found in config.values()})
            ],
            'limits': {'idle-timeout-ms': 15000},
        }
        await self.store.write(CONFIG_KIND, CONFIG_NAME, spec)
        self.record.write(
            'config.acked', version=self._version, routes=sorted(config)
        )
        return self.record.now()

    async def kill_all(self, down_s: float) -> None:
        """Kill all processes at the same moment, and start them again."""
        for node in self.nodes.values():
            node.send(signal.SIGKILL)
        for node in self.nodes.values():
            await node.wait_ended()
        await asyncio.sleep(down_s)
        # All machines start within 0.3 s of each other, in any order.
        for role, pause_s in (('agent', START_SPREAD_S), ('balancer', 0.0)):
            for node in self.nodes.values():
                if node.role == role:
                    node.start()
            await asyncio.sleep(pause_s)

    async def wait_until(self, time_s: float) -> None:
        """Wait until a time of the record."""
        await asyncio.sleep(max(time_s - self.record.now(), 0.0))

    def find_holder(self, port: int) -> str:
        """Return the endpoint at which a requester's flow is open, or ''."""
        for endpoint in self.endpoints:
            if port in endpoint.open_ports:
                return endpoint.name
        return ''

    def stop(self) -> None:
        """End all processes."""
        for node in self.nodes.values():
            node.stop()

    def _is_ready(self, fronts: list[str]) -> bool:
        reported = all(endpoint.acked_s >= 0 for endpoint in self.endpoints)
        return reported and len(self.router.list_ready()) == len(fronts)

    def _add(self, role: str, fields: dict[str, Any]) -> Node:
        node = Node(self.record, self._folder, role, fields)
        self.nodes[node.host] = node
        return node

    def _describe(
        self, machine: str, number: int, zone: str, internal_ports: str
    ) -> dict[str, Any]:
        host = self.host(number)
        return {
            'node-id': f'{machine}-{zone}-{number}',
            'ip': host,
            'zone': zone,
            'listen': {
                'datagram-addr': f'{host}:{PORTS["data"]}',
                'ready': f'{host}:{PORTS["ready"]}',
                'control': f'{host}:{PORTS["control"]}',
            },
            'internal-ports': internal_ports,
            'seeds': ','.join(self.seeds),
            'heartbeat-ms': 1200,
            'bounds': self.bounds,
            'platform': {'address': f'{self.host(9)}:{PORTS["store"]}'},
        }


def make_route(number: int) -> End:
    """Return the address and port of a route."""
    return (socket.inet_aton(f'198.18.0.{number}'), ROUTE_PORT)


def run_case(
    path: Path,
    play: Callable[[Scene], Awaitable[int]],
    *,
    has_trouble: bool,
) -> None:
    """Run a case and end with its result as the exit code.

    Without `has_trouble` the case leaves its disruption out.
    """
    record = Record(path / 'record.txt')
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(record, Path(folder), has_trouble=has_trouble)
        code = asyncio.run(_run_limited(scene, play))
        if code == NOT_RUN or os.environ.get('KEEP_LOGS'):
            for log in sorted(Path(folder).glob('*.log')):
                record.write('log', name=log.name, text=log.read_text()[-2000:])
    record.write('result', code=code)
    record.close()
    sys.stdout.write(f'exit code {code}\n')
    raise SystemExit(code)


async def _run_limited(
    scene: Scene, play: Callable[[Scene], Awaitable[int]]
) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(scene)
    except (OSError, TimeoutError) as error:
        scene.record.write('not run', error=repr(error))
        return NOT_RUN
    finally:
        scene.stop()


def _describe_route(
    number: int, service: str, objective_ms: int = 500
) -> dict[str, Any]:
    return {
        'name': f'r-{number}',
        'host': f'198.18.0.{number}',
        'path-prefix': f'/{ROUTE_PORT}/',
        'type': 'safe',
        'timeout-ms': 3000,
        'target-latency-ms': objective_ms,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
    }

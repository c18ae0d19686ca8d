"""A small deployment: store, machines, endpoints and requesters."""

import asyncio
import random
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

from .endpoint import Endpoint, Site
from .nodes import Nodes
from .requester import Channel, Requesters, Router
from .store import Store

STORE_HOST = '7.1'
ROUTE_HOST = '8.1'
ROUTE_PORTS = {'main': 8443, 'old': 8444, 'new': 8445, 'report': 8446}
# Second octets of the loopback addresses; each play takes another one, since
# the port of the metrics is fixed.
NETS = range(64, 120)
SERVICE = 'licence'
REPORT_SERVICE = 'report'
# Zones by the last two octets of a machine's address.
FRONTS = {'1.1': 'zone-a', '2.1': 'zone-b'}
SIDES = {
    '11.1': 'zone-a',
    '11.2': 'zone-a',
    '12.1': 'zone-b',
    '12.2': 'zone-b',
}
REQUESTERS = {'21.1': 'zone-a', '22.1': 'zone-b'}
READY_LIMIT_S = 20.0
# Offsets from the first port of the scene.
DATA, READY, CONTROL, OUTBOUND, APP, INTERNAL, STORE = 0, 1, 2, 3, 4, 10, 30
PORTS = 40
METRICS = 9464
BOUNDS = {
    'bounds.grace-s': 6,
    'bounds.flow-max-s': 60,
    'bounds.config-apply-ms': 5000,
    'bounds.drain-ms': 5000,
    'heartbeat-ms': 1200,
}


class CannotRun(Exception):  # noqa: N818
    """The case could not be played."""


class Scene:
    """The deployment and what was seen of it.

    Times in the record are seconds since the start of the scene.
    """

    def __init__(self, bounds: dict[str, Any]) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.nodes = Nodes(Path(self._folder.name))
        self.endpoints: list[Endpoint] = []
        self.requesters: list[Requesters] = []
        self.results: list[str] = []
        # When the flow of each request was sent, and what became of it.
        self._sent: list[tuple[float, str]] = []
        self.net = NETS[0]
        self.base = self._find_ports()
        self.router = Router(self.base + READY, self.base + DATA)
        self._bounds = BOUNDS | bounds
        self._started_s = time.monotonic()
        self._is_first = True
        self.lines: list[str] = []

    def expand(self, host: str) -> str:
        """Return the address of a machine from its last two octets."""
        return f'127.{self.net}.{host}'

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self._started_s

    def since_start(self, at_s: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return at_s - self._started_s

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line to the record."""
        shown_s = self.now() if at_s is None else self.since_start(at_s)
        self.lines.append(f'{shown_s:7.3f} s  {text}')

    async def start_store(self, routes: tuple[str, ...] = ('main',)) -> None:
        """Start the store with the operator's first configuration."""
        self.store.put('config', 'main', self.make_configuration(11, routes))
        await self.store.start(self.expand(STORE_HOST), self.base + STORE)

    def add_front(self, host: str, zone: str, seeds: list[str]) -> str:
        """Start a balancer on a machine."""
        host = self.expand(host)
        name = f'front-{zone}-{host.rpartition(".")[2]}'
        self.nodes.start('balancer', self._settings(name, host, zone, seeds))
        self.router.add(host, zone)
        self.note(f'{name} started')
        return name

    async def add_side(
        self,
        host: str,
        zone: str,
        seeds: list[str],
        service: str = SERVICE,
    ) -> Endpoint:
        """Start an agent and the endpoint on its machine."""
        host = self.expand(host)
        name = f'side-{zone}-{host.rpartition(".")[2]}'
        settings = self._settings(name, host, zone, seeds)
        settings |= {
            'service': service,
            'app': f'{host}:{self.base + APP}',
            'listen.outbound': f'{host}:{self.base + OUTBOUND}',
        }
        self.nodes.start('agent', settings)
        endpoint = Endpoint(
            Site(
                f'i-{name}-{service}',
                host,
                zone,
                service,
                self.base + APP,
                self.base + OUTBOUND,
                self.base + CONTROL,
            )
        )
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.note(f'{name} and its endpoint started')
        return endpoint

    async def add_requesters(self, host: str, zone: str) -> Requesters:
        """Add the requesters of a zone."""
        routes = {
            name: (self.expand(ROUTE_HOST), port)
            for name, port in ROUTE_PORTS.items()
        }
        added = Requesters(self.expand(host), zone, self.router, routes)
        await added.start(self.base + DATA)
        self.requesters.append(added)
        return added

    async def wait_ready(self, hosts: list[str]) -> None:
        """Wait until the nodes are in rotation."""
        end_s = self.now() + READY_LIMIT_S
        nodes = list(map(self.expand, hosts))
        while not all(map(self.router.is_ready, nodes)):
            if self.now() > end_s:
                raise CannotRun('a balancer does not become ready')
            await asyncio.sleep(0.05)
        self._is_first = False
        self.note(f'in rotation: {", ".join(nodes)}')

    async def start(self) -> None:
        """Start the deployment of all cases, and wait until it serves."""
        seeds = list(FRONTS)
        for host, zone in FRONTS.items():
            self.add_front(host, zone, seeds)
        for host, zone in SIDES.items():
            await self.add_side(host, zone, seeds)
        await self.wait_ready(seeds)
        for host, zone in REQUESTERS.items():
            await self.add_requesters(host, zone)

    def send_from_all(
        self, per_s: float, end_s: float, route: str = 'main'
    ) -> list[asyncio.Task[None]]:
        """Let the requesters of each zone send requests until a time."""
        return [
            asyncio.create_task(
                self.send_until(requesters, per_s, end_s, route)
            )
            for requesters in self.requesters
        ]

    async def send_until(
        self,
        requesters: Requesters,
        per_s: float,
        end_s: float,
        route: str = 'main',
    ) -> None:
        """Send requests to a route, each on a flow of its own."""
        pending = set()
        while self.now() < end_s:
            task = asyncio.create_task(self._send_one(requesters, route))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(random.expovariate(per_s))
        if pending:
            await asyncio.wait(pending, timeout=5)

    async def hold_flow(
        self,
        requesters: Requesters,
        every_s: float,
        end_s: float,
        route: str = 'main',
    ) -> Channel:
        """Hold a flow open and send a request on it now and then."""
        channel = requesters.make_channel(route)
        number = 0
        if await channel.open():
            while self.now() < end_s and not channel.outcome:
                number += 1
                attempt = f'{requesters.zone}-{channel.ends[0][1]}-{number}'
                await self._request(channel, attempt, closes=False)
                await asyncio.sleep(every_s * random.uniform(0.7, 1.3))
        channel.close()
        return channel

    async def _send_one(self, requesters: Requesters, route: str) -> None:
        channel = requesters.make_channel(route)
        attempt = f'{requesters.zone}-{channel.ends[0][1]}'
        if await channel.open():
            await self._request(channel, attempt, closes=True)
            channel.close()
        else:
            opening_s = self.since_start(channel.sent_s)
            self._record(channel, attempt, opening_s, channel.outcome)

    async def _request(
        self, channel: Channel, attempt: str, *, closes: bool
    ) -> None:
        sent_s = self.now()
        outcome = await channel.request(attempt, 500, 3.0, closes=closes)
        self._record(channel, attempt, sent_s, outcome)

    def share_served(self, from_s: float, until_s: float) -> float:
        """Return the share of the requests sent in a span that were served."""
        outcomes = [
            outcome
            for sent_s, outcome in self._sent
            if from_s <= sent_s <= until_s
        ]
        return outcomes.count('served') / len(outcomes) if outcomes else 0.0

    def _record(
        self, channel: Channel, attempt: str, sent_s: float, outcome: str
    ) -> None:
        self.results.append(outcome)
        self._sent.append((self.since_start(channel.sent_s), outcome))
        self.note(
            f'request {attempt} from {channel.ends[0][0]}, sent at '
            f'{sent_s:.3f} s: {outcome}'
        )

    async def stop(self) -> None:
        """End everything."""
        self.router.stop()
        self.nodes.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        for requesters in self.requesters:
            requesters.stop()
        await self.store.stop()
        self._folder.cleanup()

    def _settings(
        self, name: str, host: str, zone: str, seeds: list[str]
    ) -> dict[str, Any]:
        return self._bounds | {
            'node-id': name,
            'zone': zone,
            'ip': host,
            'listen.datagram-addr': f'{host}:{self.base + DATA}',
            'listen.ready': f'{host}:{self.base + READY}',
            'listen.control': f'{host}:{self.base + CONTROL}',
            'internal-ports': (
                f'{self.base + INTERNAL},{self.base + INTERNAL + 15}'
            ),
            'seeds': ','.join(
                f'{self.expand(at)}:{self.base + CONTROL}' for at in seeds
            ),
            'platform.address': (
                f'{self.expand(STORE_HOST)}:{self.base + STORE}'
            ),
            'first-start': self._is_first,
        }

    def make_configuration(
        self, version: int, routes: tuple[str, ...] = ('main',)
    ) -> dict[str, Any]:
        """Return a configuration of the operator with some of the routes."""
        return {
            'version': version,
            'routes': [
                {
                    'name': f'r-{name}',
                    'host': self.expand(ROUTE_HOST),
                    'path-prefix': f'/{ROUTE_PORTS[name]}/',
                    'type': 'safe',
                    'timeout-ms': 3000,
                    'target-latency-ms': 500,
                    'priority': 1,
                    'service': (
                        REPORT_SERVICE if name == 'report' else SERVICE
                    ),
                    'max-attempts': 2,
                }
                for name in routes
            ],
            'services': [
                {
                    'name': service,
                    'health-path': '/health',
                    'max-conns': 2000,
                    'protocol': 'h1',
                    'tls': False,
                    'cold-start-s': 2.0,
                    'cold-per-s': 0.0,
                }
                for service in (SERVICE, REPORT_SERVICE)
            ],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 262144,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
        }

    def _find_ports(self) -> int:
        """Return the first of `PORTS` ports that are free on loopback."""
        for _ in range(50):
            self.net = random.choice(NETS)
            base = random.randrange(20000, 32000, PORTS)
            if all(map(self._is_free, (*range(base, base + PORTS), METRICS))):
                return base
        raise CannotRun('no free ports')

    def _is_free(self, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((self.expand('1.1'), port))
                except OSError:
                    return False
        return True

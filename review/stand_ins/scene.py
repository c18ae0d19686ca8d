"""A running small deployment with requesters in front of it."""

import asyncio

from .deployment import Deployment
from .endpoint import Endpoint
from .packets import Packet
from .requester import Flow, Requesters, Router

FIRST_BALANCER = 1
FIRST_AGENT = 11
REQUESTER = 31
ROUTE = 200
# All processes have run undisturbed for longer than `stable-window-ms`.
SETTLED_S = 4.5


class Scene:
    """Balancers, one endpoint for each named service, and requesters.

    `resets` are the resets that callers got on open flows whose endpoint
    lives and has not sent them, by port of the flow.
    """

    def __init__(
        self, deployment: Deployment, balancers: int, services: list[str]
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.endpoints: list[Endpoint] = []
        self.resets: dict[int, str] = {}
        self.route_host = deployment.host(ROUTE)
        self.balancers = [
            deployment.add_balancer(FIRST_BALANCER + number)
            for number in range(balancers)
        ]
        self.agents = [
            deployment.add_agent(FIRST_AGENT + number, service)
            for number, service in enumerate(services)
        ]
        self.router = Router(
            [deployment.address(host, 'data') for host in self.balancers],
            [deployment.address(host, 'ready') for host in self.balancers],
        )
        self.requesters = Requesters(
            self.record,
            deployment.host(REQUESTER),
            deployment.address('', 'data')[1],
            self.router,
            self._record_reset,
        )
        self._probing: asyncio.Future[None] | None = None

    async def start(self, *, endpoints: bool = True) -> None:
        """Start the stand-ins and wait until all machines are settled.

        The configuration has to be written before.
        """
        if endpoints:
            for host in self.agents:
                name = f'i-{host.rpartition(".")[2]}'
                endpoint = self.deployment.make_endpoint(host, name)
                self.endpoints.append(endpoint)
                await endpoint.start()
        await self.requesters.start()
        await self.deployment.wait_ready()
        self._probing = asyncio.ensure_future(self.router.probe_forever())
        await asyncio.sleep(SETTLED_S)

    async def request_once(self, port: int, attempt: str) -> str:
        """Send a request on a flow of its own; return how it ended."""
        flow = self.requesters.create_flow((self.route_host, port))
        self.record.write(
            'request sent', attempt=attempt, flow=flow.end[1], route=port
        )
        outcome = 'not opened'
        if await flow.open():
            answer = await flow.request(attempt)
            outcome = 'served' if answer else 'not served'
        flow.close()
        outcome = f'{outcome}, {flow.ended}'
        self.record.write('request ended', attempt=attempt, outcome=outcome)
        return outcome

    def _record_reset(self, flow: Flow, _: Packet) -> None:
        port = flow.end[1]
        holders = [
            endpoint.name
            for endpoint in self.endpoints
            if endpoint.holds(flow.end, flow.route)
            and port not in endpoint.reset_ports
        ]
        self.record.write('reset at requester', flow=port, open_at=holders)
        if holders:
            self.resets[port] = holders[0]

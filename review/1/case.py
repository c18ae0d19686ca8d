"""Open flows of a route with two services while a balancer restarts."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
from stand_ins.deployment import Deployment, make_route
from stand_ins.requester import Flow
from stand_ins.runner import run_case
from stand_ins.scene import Scene

# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

FLOWS = 30
PORT = 443
# The balancer restarts this long after the flows have been opened.
BEFORE_S = 6.0
TRAFFIC_S = 24.0


async def run(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the open flows that got a reset of the system's own."""
    await deployment.start_store()
    scene = Scene(deployment, 2, ['huvo11a', 'huvo11a', 'wuno96b', 'wuno96b'])
    backends = [
        {'service': 'huvo11a', 'weight': 90},
        {'service': 'wuno96b', 'weight': 10},
    ]
    deployment.write_configuration(
        7, [make_route('r-lodge', scene.route_host, PORT, backends=backends)]
    )
    await scene.start()
    users = [asyncio.ensure_future(_use_flow(scene)) for _ in range(FLOWS)]
    await asyncio.sleep(BEFORE_S)
    if has_trouble:
        await deployment.roll(scene.balancers[0])
    await asyncio.gather(*users)
    return [
        f'FLOW: flow {port}, open at {holder}, got a reset that its endpoint '
        'did not send'
        for port, holder in scene.resets.items()
    ]


async def _use_flow(scene: Scene) -> None:
    """Keep one flow open for many requests, with pauses between them."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + TRAFFIC_S
    await asyncio.sleep(random.uniform(0, 1))
    flow: Flow = scene.requesters.create_flow((scene.route_host, PORT))
    if not await flow.open():
        scene.record.write('flow not opened', flow=flow.end[1])
        return
    number = 0
    while loop.time() < end_s and not flow.ended:
        number += 1
        attempt = f'{flow.end[1]}-{number}'
        scene.record.write('request sent', attempt=attempt)
        answer = await flow.request(attempt)
        scene.record.write(
            'request ended', attempt=attempt, is_served=bool(answer)
        )
        await asyncio.sleep(random.uniform(0.5, 1.5))
    flow.close()


if __name__ == '__main__':
    run_case(__file__, run, has_trouble=HAS_TROUBLE)

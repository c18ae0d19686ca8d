"""A draining endpoint that has started while its clock was stepped."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
from stand_ins.deployment import Deployment, make_route
from stand_ins.runner import run_case
from stand_ins.scene import Scene

# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

PORT = 443
DRAIN_S = 3.0
# `clock_step` in the site file: 2,400 ms ahead.
STEP_MS = 2400
# The endpoint crashes this long after its start, and starts again.
LIVES_S = 1.0
RESTARTS_AFTER_S = 0.5
BEFORE_S = 8.0
AFTER_S = 9.0
GAP_S = 0.05


async def run(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the requests that reached the draining endpoint too late."""
    await deployment.start_store()
    scene = Scene(deployment, 2, ['huvo11a', 'huvo11a'])
    deployment.write_configuration(
        7, [make_route('r', scene.route_host, PORT, service='huvo11a')]
    )
    await scene.start()
    crashing = scene.endpoints[0]
    crashing.crash()
    await asyncio.sleep(RESTARTS_AFTER_S)
    # The clock of this machine is ahead, then back at the true time.
    step_ms = STEP_MS if has_trouble else 0
    ahead = await _start_again(deployment, scene, 'i-a', step_ms)
    await asyncio.sleep(LIVES_S)
    ahead.crash()
    await asyncio.sleep(RESTARTS_AFTER_S)
    leaving = await _start_again(deployment, scene, 'i-b', 0)
    traffic = asyncio.ensure_future(_send_requests(scene))
    await asyncio.sleep(BEFORE_S)

    acknowledged_s = await leaving.drain()
    late: list[str] = []

    def check_opening(caller: tuple[str, int]) -> None:
        waited_s = time.monotonic() - acknowledged_s
        if waited_s > DRAIN_S:
            late.append(
                f'DRAIN: flow {caller[1]} reached {leaving.name} '
                f'{waited_s:.2f} s after its draining was acknowledged'
            )

    leaving.on_opening = check_opening
    await asyncio.sleep(AFTER_S)
    traffic.cancel()
    return late


async def _start_again(deployment, scene, name: str, step_ms: int):
    """Start an endpoint on the first machine; return it."""
    born = int(time.time() * 1000) + step_ms
    endpoint = deployment.make_endpoint(scene.agents[0], name, born=born)
    await endpoint.start()
    return endpoint


async def _send_requests(scene: Scene) -> None:
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            group.create_task(scene.request_once(PORT, f'r-{number}'))
            await asyncio.sleep(GAP_S)


if __name__ == '__main__':
    run_case(__file__, run, has_trouble=HAS_TROUBLE)

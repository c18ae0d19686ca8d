"""Case 10: requesters close flows that a draining endpoint has closed."""

import asyncio
import os
from collections import Counter
from pathlib import Path

from ..stand_ins_2.requester import LongFlow
from ..stand_ins_2.scene import (
    BROKEN,
    HELD,
    NOT_RUN,
    Scene,
    make_route,
    run_case,
)

SERVICE = 'licence-core'
OTHER_SERVICE = 'report-desk'
ROUTE = 1
OTHER_ROUTE = 2
FLOWS = 12
# stable-window-ms is 4,000.
CALM_S = 5.0
# Time between the last answer on a flow and its end by the requester.
PAUSE_S = 4.0
DRAIN_ACK_S = 5.0


async def play(scene: Scene) -> int:
    """Drain one endpoint while flows are open, and close the flows."""
    for number, zone in ((11, 'perth-a'), (12, 'perth-b')):
        scene.add_front(number, zone)
    for number, zone in ((21, 'perth-a'), (22, 'perth-b'), (23, 'perth-c')):
        await scene.add_side(number, zone, SERVICE)
    await scene.add_side(24, 'perth-a', OTHER_SERVICE)
    requester = await scene.start(
        {ROUTE: [SERVICE], OTHER_ROUTE: [OTHER_SERVICE]}
    )
    await asyncio.sleep(CALM_S)
    flows = [requester.make_flow(make_route(ROUTE)) for _ in range(FLOWS)]
    if not await _open_all(scene, flows):
        return NOT_RUN
    holders = Counter(flow.endpoint for flow in flows)
    # The endpoint with the most flows; placement differs from run to run.
    drained = max(scene.endpoints, key=lambda found: holders[found.name])
    if scene.has_trouble:
        drained.state = 'draining'
        asked_s = scene.record.now()
        scene.record.write('endpoint.draining', endpoint=drained.name)
        while drained.drain_acked_s < 0:
            if scene.record.now() - asked_s > DRAIN_ACK_S:
                return NOT_RUN
            await asyncio.sleep(0.05)
        scene.record.write('drain.acked', endpoint=drained.name)
    second = await asyncio.gather(*(flow.request('second') for flow in flows))
    await asyncio.sleep(PAUSE_S)
    ends = await asyncio.gather(*(flow.close() for flow in flows))
    return _judge(scene, flows, second, ends)


async def _open_all(scene: Scene, flows: list[LongFlow]) -> bool:
    opened = await asyncio.gather(*(flow.open() for flow in flows))
    if not all(opened):
        return False
    first = await asyncio.gather(*(flow.request('first') for flow in flows))
    for flow in flows:
        scene.record.write('flow.open', port=flow.port, endpoint=flow.endpoint)
    return set(first) == {'served'}


def _judge(
    scene: Scene, flows: list[LongFlow], second: list[str], ends: list[str]
) -> int:
    for flow, served, end in zip(flows, second, ends, strict=True):
        scene.record.write(
            'flow.end',
            port=flow.port,
            endpoint=flow.endpoint,
            second=served,
            endpoint_had_closed=flow.is_ended,
            requester_closed=end,
        )
    is_calm = all(node.is_running() for node in scene.nodes.values())
    scene.record.write('summary', ends=dict(Counter(ends)), all_run=is_calm)
    if not is_calm or set(second) != {'served'}:
        return NOT_RUN
    return BROKEN if 'reset by the system' in ends else HELD


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        play,
        has_trouble=os.environ['TROUBLE'] != '0',
    )

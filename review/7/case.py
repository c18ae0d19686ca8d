"""Case 7: flows of an endpoint whose machine was cut off for 12 s."""

import asyncio
import os
import random
import signal
from collections import Counter
from pathlib import Path

from ..stand_ins_2.link import RegionLink
from ..stand_ins_2.requester import LongFlow, Requester
from ..stand_ins_2.scene import (
    BROKEN,
    HELD,
    NOT_RUN,
    Scene,
    make_route,
    run_case,
)

FIRST_PORT = 7720
SECOND_PORT = 7740
SECOND_INTERNAL_PORTS = '7740,7755'
SERVICE = 'licence-core'
ROUTE = 1
# Flows at the endpoint that is cut off; it may hold 2,000.
FLOWS = 1200
LEAST_FLOWS = 1100
AT_ONCE = 60
# Times after the stop of the first nodes, in seconds. They stop after 5.2 s;
# a front machine stops 2 s after it was asked to.
USE_S = 4.3
FIRST_FRONT_S = 5.0
SECOND_FRONT_S = 8.5
CUT_FROM_S = 6.5
CUT_S = 12.0
# flow-max-s is 60; older flows are not counted.
MAX_AGE_S = 59.0
# stable-window-ms is 5,000 at saryarka-gc-grown.
CALM_S = 5.2
# The time budget of `batch-pull` there.
BUDGET_S = 10.9
BOUNDS = {'config-apply-ms': 5000, 'stable-window-ms': 5000, 'recover-s': 15}


async def play(scene: Scene) -> int:
    """Restart nodes in turn, cut one machine off, use its flows."""
    scene.bounds |= BOUNDS
    fronts = [scene.add_front(11, 'alm-a'), scene.add_front(12, 'alm-b')]
    others = [
        await scene.add_side(22, 'alm-b', SERVICE, slots=1),
        await scene.add_side(23, 'alm-c', SERVICE, slots=1),
    ]
    lone = await scene.add_side(
        21, 'alm-a', SERVICE, SECOND_INTERNAL_PORTS, slots=1
    )
    link = RegionLink()
    await link.join([*fronts, *others], [lone], (FIRST_PORT, SECOND_PORT))
    requester = await scene.start({ROUTE: [SERVICE]})
    await asyncio.sleep(2.0)
    endpoint = scene.endpoints[-1]
    flows = await _open_flows(scene, requester, endpoint.name)
    scene.record.write('flows.open', at=endpoint.name, count=len(flows))
    start_s = scene.record.now()
    # Planned: the nodes beside the other endpoints, and the front machines,
    # are stopped and started in turn.
    restarts = [
        asyncio.ensure_future(node.restart(signal.SIGTERM)) for node in others
    ]
    await scene.wait_until(start_s + USE_S)
    first = await asyncio.gather(*(flow.request('first') for flow in flows))
    scene.record.write('flows.used', outcomes=dict(Counter(first)))
    flows = [
        flow
        for flow, outcome in zip(flows, first, strict=True)
        if outcome == 'served'
    ]
    if len(flows) < LEAST_FLOWS:
        return NOT_RUN
    await scene.wait_until(start_s + FIRST_FRONT_S)
    restarts.append(asyncio.ensure_future(fronts[0].restart(signal.SIGTERM)))
    await scene.wait_until(start_s + CUT_FROM_S)
    link.is_cut = scene.has_trouble
    cut_s = scene.record.now()
    scene.record.write('machine.cut', host=lone.host)
    uses = [
        asyncio.ensure_future(_use(scene, flow, random.uniform(0.0, CUT_S)))
        for flow in flows
    ]
    await scene.wait_until(start_s + SECOND_FRONT_S)
    restarts.append(asyncio.ensure_future(fronts[1].restart(signal.SIGTERM)))
    await asyncio.gather(*restarts)
    scene.record.write('nodes.restarted')
    await scene.wait_until(cut_s + CUT_S)
    link.is_cut = False
    healed_s = scene.record.now()
    scene.record.write('machine.back', lost=link.dropped)
    ended = await asyncio.gather(*uses)
    await asyncio.sleep(1.0)
    return _judge(scene, ended, healed_s)


async def _open_flows(
    scene: Scene, requester: Requester, name: str
) -> list[LongFlow]:
    """Open flows until the endpoint has `FLOWS`; return these."""
    flows: list[LongFlow] = []
    while len(flows) < FLOWS:
        opened = [
            requester.make_flow(make_route(ROUTE)) for _ in range(AT_ONCE)
        ]
        found = await asyncio.gather(*(flow.open() for flow in opened))
        await asyncio.sleep(0.02)
        for flow, is_open in zip(opened, found, strict=True):
            holder = scene.find_holder(flow.port)
            if is_open and holder == name:
                flow.endpoint = name
                flow.opened_s = scene.record.now()
                flows.append(flow)
    return flows


async def _use(
    scene: Scene, flow: LongFlow, delay_s: float
) -> tuple[str, float]:
    """Send a request; return how it ended and when."""
    await asyncio.sleep(delay_s)
    try:
        async with asyncio.timeout(BUDGET_S):
            outcome = await flow.request(f'second-{flow.port}')
    except TimeoutError:
        outcome = 'no answer'
    if outcome == 'reset' and flow.reset_sum:
        outcome = 'reset by the endpoint'
    ended_s = scene.record.now()
    age_s = round(ended_s - flow.opened_s, 1)
    scene.record.write(
        'flow.used', port=flow.port, age_s=age_s, outcome=outcome
    )
    if age_s > MAX_AGE_S:
        outcome = 'too old'
    return outcome, ended_s


def _judge(
    scene: Scene, ended: list[tuple[str, float]], healed_s: float
) -> int:
    endpoint = scene.endpoints[-1]
    lives = scene.record.now() - endpoint.acked_s < 3
    late = [
        outcome for outcome, ended_s in ended if ended_s > healed_s + CALM_S
    ]
    is_calm = all(node.is_running() for node in scene.nodes.values())
    scene.record.write(
        'summary',
        outcomes=dict(Counter(outcome for outcome, _ in ended)),
        from_5_s_after_the_cut=dict(Counter(late)),
        endpoint_lives=lives,
        all_run=is_calm,
    )
    if not is_calm or not lives:
        return NOT_RUN
    return BROKEN if 'reset' in late else HELD


if __name__ == '__main__':
    run_case(
        Path(__file__).parent,
        play,
        has_trouble=os.environ['TROUBLE'] != '0',
    )

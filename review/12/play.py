"""A registration that a late call of an earlier VM removes."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins_3.checks import find_resets, reach
from review.stand_ins_3.runner import run_case
from review.stand_ins_3.scene import (
    FRONTS,
    REPORT_SERVICE,
    CannotRun,
    Scene,
)

LEAVE_S, DRAIN_S, LATE_S, REUSE_S = 2.0, 5.5, 4.5, 2.5
# When balancers join, in seconds after the flows have opened.
JOINS = {
    f'{zone}.{2 + turn // 2}': 5.0 + 3.35 * turn
    for turn, zone in enumerate('12121212')
}
FLOWS, IDLE_S, AFTER_S = 40, 0.3, 34.0
WORK_S = 0.005
OPEN_GAP_S = 0.04
STOP_LIMIT_S = 8.0


async def play(scene: Scene, has_trouble: bool) -> list[str]:
    """Play the case; return the open flows that the system has reset."""
    await scene.start_store(('main', 'report'))
    await scene.start()
    await reach(scene, scene.now() + LEAVE_S)
    leaving = scene.endpoints[-1]
    await leaving.leave(DRAIN_S)
    if has_trouble:
        scene.store.late_s['DELETE'] = LATE_S
    await _stop(scene, 'side-zone-b-2')
    scene.store.late_s.clear()
    scene.note(f'{leaving.site.name} has left, its agent was stopped')
    await asyncio.sleep(REUSE_S)
    reusing = await scene.add_side(
        '12.2', 'zone-b', list(FRONTS), REPORT_SERVICE
    )
    reusing.site.work_s = WORK_S
    await asyncio.sleep(LATE_S)
    listed = sorted(scene.store.objects['greengagepath-members'])
    scene.note(f'registered: {", ".join(listed)}')
    start_s = scene.now()
    flows = []
    for _ in range(FLOWS):
        for requesters in scene.requesters:
            held = scene.hold_flow(
                requesters, IDLE_S, start_s + AFTER_S, 'report'
            )
            flows.append(asyncio.create_task(held))
            await asyncio.sleep(OPEN_GAP_S)
    for host, after_s in JOINS.items():
        await reach(scene, start_s + after_s)
        scene.add_front(host, f'zone-{"ab"[host[0] == "2"]}', list(FRONTS))
    channels = await asyncio.gather(*flows)
    return find_resets(scene, channels)


async def _stop(scene: Scene, name: str) -> None:
    """Stop the agent of a VM whose endpoint has ended."""
    scene.nodes.send(name, signal.SIGTERM)
    end_s = scene.now() + STOP_LIMIT_S
    while scene.nodes.forget(name) is None:
        if scene.now() > end_s:
            raise CannotRun(f'{name} does not stop')
        await asyncio.sleep(0.05)


if __name__ == '__main__':
    folder = Path(__file__).resolve().parent
    sys.exit(run_case(folder, play, {}))

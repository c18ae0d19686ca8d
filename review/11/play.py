"""VMs that join after the store has come back from an earlier copy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins_3.checks import find_resets, reach
from review.stand_ins_3.runner import run_case
from review.stand_ins_3.scene import Scene

# Machines that were taken away before; nothing runs there.
STALE_SEEDS = ['1.201', '2.201', '2.202']
DRILL_S, AWAY_S, JOIN_S, END_S = 6.0, 1.5, 14.0, 30.0
FLOWS = 25
IDLE_S = 2.0


async def play(scene: Scene, has_trouble: bool) -> list[str]:
    """Play the case; return the open flows that the system has reset."""
    await scene.start_store()
    saved = scene.store.save()
    scene.note(f'copy of the store, revision {saved[1]}')
    await scene.start()
    flows = []
    for requesters in scene.requesters:
        flows += [
            asyncio.create_task(scene.hold_flow(requesters, IDLE_S, END_S))
            for _ in range(FLOWS)
        ]
    await reach(scene, DRILL_S)
    if has_trouble:
        scene.note(f'the store is away, revision {scene.store.revision}')
        await scene.store.drill(saved, AWAY_S)
        scene.note(
            f'the store is back, revision {scene.store.revision}, '
            f'era {scene.store.era}'
        )
    await reach(scene, JOIN_S)
    scene.add_front('1.2', 'zone-a', STALE_SEEDS)
    await scene.add_side('11.3', 'zone-a', STALE_SEEDS)
    await scene.wait_ready(['1.2'])
    channels = await asyncio.gather(*flows)
    return find_resets(scene, channels)


if __name__ == '__main__':
    folder = Path(__file__).resolve().parent
    sys.exit(run_case(folder, play, {}))

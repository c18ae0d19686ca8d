"""An evacuation after the store has come back from an earlier copy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins_3.checks import find_late_flows, reach
from review.stand_ins_3.runner import run_case
from review.stand_ins_3.scene import FRONTS, Scene

EVACUATE_S = 5.0
# They join in the seconds before the drill.
JOINING = {'11.3': 'zone-a', '12.3': 'zone-b'}
COPY_S, JOIN_S, DRILL_S, AWAY_S = 2.0, 3.0, 6.0, 1.5
EVACUATION_S, END_S = 16.0, 34.0


async def play(scene: Scene, has_trouble: bool) -> list[str]:
    """Play the case; return the opening packets that came too late."""
    await scene.start_store()
    await scene.start()
    start_s = scene.now()
    senders = scene.send_from_all(12.0, start_s + END_S)
    await reach(scene, start_s + COPY_S)
    saved = scene.store.save()
    scene.note(f'copy of the store, revision {saved[1]}')
    await reach(scene, start_s + JOIN_S)
    for host, zone in JOINING.items():
        await scene.add_side(host, zone, list(FRONTS))
    await reach(scene, start_s + DRILL_S)
    if has_trouble:
        scene.note(f'the store is away, revision {scene.store.revision}')
        await scene.store.drill(saved, AWAY_S)
        scene.note(
            f'the store is back, revision {scene.store.revision}, '
            f'era {scene.store.era}'
        )
    await reach(scene, start_s + EVACUATION_S)
    scene.store.put('evacuations', 'zone-a', {})
    acknowledged_s = scene.now()
    scene.note(f'zone-a is to be evacuated, revision {scene.store.revision}')
    await asyncio.gather(*senders)
    return find_late_flows(scene, 'zone-a', acknowledged_s + EVACUATE_S)


if __name__ == '__main__':
    folder = Path(__file__).resolve().parent
    sys.exit(run_case(folder, play, {'bounds.evacuate-ms': 5000}))

"""A configuration change after answers of the store were lost."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))
from stand_ins.deployment import Deployment, make_route
from stand_ins.runner import run_case
from stand_ins.scene import Scene

# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

KEPT_PORT = 443
DROPPED_PORT = 444
ADDED_PORT = 445
# The largest dose of `platform_lost` and `config_storm` in the site file.
LOST_SHARE = 0.35
LOST_S = 4.5
STORM_S = 4.0
STORM_GAP_S = 0.33
# `stable-window-ms` is 4 s.
CALM_S = 6.0
APPLY_S = 3.0
PROBES_S = 5.0
PROBE_GAP_S = 0.2


async def run(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the requests that an older version has handled."""
    record = deployment.record
    loop = asyncio.get_running_loop()
    await deployment.start_store()
    scene = Scene(deployment, 3, ['huvo11a', 'huvo11a'])
    kept = make_route('r-k', scene.route_host, KEPT_PORT, service='huvo11a')
    dropped = make_route(
        'r-d', scene.route_host, DROPPED_PORT, service='huvo11a'
    )
    added = make_route('r-a', scene.route_host, ADDED_PORT, service='huvo11a')
    version = 7
    deployment.write_configuration(version, [kept, dropped])
    await scene.start()

    chance = random.Random(29)
    lost_until_s = loop.time() + (LOST_S if has_trouble else 0)

    def loses(method: str, target: str) -> bool:
        if loop.time() >= lost_until_s or chance.random() >= LOST_SHARE:
            return False
        record.write('answer of the store is lost', call=f'{method} {target}')
        return True

    deployment.store.loses = loses
    storm_end_s = loop.time() + STORM_S
    while loop.time() < storm_end_s:
        version += chance.randint(1, 3)
        kept['timeout-ms'] += 10
        deployment.write_configuration(version, [kept, dropped])
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(LOST_S - STORM_S + CALM_S)
    record.write('calm again', served=await scene.request_once(KEPT_PORT, 'k'))

    deployment.write_configuration(version + 2, [kept, added])
    await asyncio.sleep(APPLY_S + PROBE_GAP_S)
    probes = []
    for number in range(int(PROBES_S / PROBE_GAP_S)):
        for port in (DROPPED_PORT, ADDED_PORT):
            attempt = f'{port}-{number}'
            probe = asyncio.ensure_future(scene.request_once(port, attempt))
            probes.append((port, attempt, probe))
        await asyncio.sleep(PROBE_GAP_S)
    breaks = []
    for port, attempt, probe in probes:
        outcome = await probe
        if port == DROPPED_PORT and outcome.startswith('served'):
            breaks.append(f'CONFIG: {attempt} was run with a dropped route')
        if port == ADDED_PORT and outcome == 'not opened, reset':
            breaks.append(f'CONFIG: {attempt} was refused, its route is there')
    return breaks


if __name__ == '__main__':
    run_case(__file__, run, has_trouble=HAS_TROUBLE)

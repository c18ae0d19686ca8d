"""Plays a case, writes its record and ends with its exit code."""

import asyncio
import os
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .scene import CannotRun, Scene

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0

# Plays the scene; returns the lines that say how the rule was broken.
Play = Callable[[Scene, bool], Awaitable[list[str]]]


def run_case(folder: Path, play: Play, bounds: dict[str, Any]) -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if it cannot run.

    With `TROUBLE=0` the disruption is left out.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    return asyncio.run(_run(folder, play, bounds, has_trouble=has_trouble))


async def _run(
    folder: Path, play: Play, bounds: dict[str, Any], *, has_trouble: bool
) -> int:
    scene = None
    lines = [f'trouble: {"yes" if has_trouble else "no"}']
    broken: list[str] = []
    status = NOT_RUN
    try:
        scene = Scene(bounds)
        async with asyncio.timeout(LIMIT_S):
            broken = await play(scene, has_trouble)
        ended = scene.nodes.list_ended()
        if ended:
            scene.note(f'ended by themselves: {", ".join(ended)}')
        if not scene.results.count('served'):
            raise CannotRun('no request was served')
        status = BROKEN if broken else HELD
    except Exception as error:
        # Whatever fails in the play, the rule was not tried.
        lines.append(f'could not run: {type(error).__name__}: {error}')
    finally:
        if scene is not None:
            lines += scene.lines
            lines += [
                f'{endpoint.site.name} took {len(endpoint.took)} flows and ran '
                f'{len(endpoint.ran)} requests: {" ".join(endpoint.ran)}'
                for endpoint in scene.endpoints
            ]
            await scene.stop()
            totals = dict(sorted(Counter(scene.results).items()))
            lines.append(f'requests by outcome: {totals}')
    lines += [*broken[:20], f'broken: {len(broken)}', f'exit: {status}']
    (folder / 'record.txt').write_text('\n'.join(lines) + '\n')
    sys.stdout.write('\n'.join(lines[-8:]) + '\n')
    return status

"""Runs one case and turns its outcome into an exit code."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import Deployment
from .record import Record

LIMIT_S = 112.0
HELD = 0
BROKEN = 1
CANNOT_RUN = 2

# Returns the breaks of the rule that it has found.
Case = Callable[[Deployment, bool], Awaitable[list[str]]]


def run_case(script: str, case: Case, *, has_trouble: bool) -> None:
    """Run a case, with or without its disruption, and exit."""
    status = asyncio.run(
        _run(Path(script).parent, case, has_trouble=has_trouble)
    )
    sys.stdout.flush()
    # Open connections of the stand-ins need not be closed one by one.
    os._exit(status)


async def _run(folder: Path, case: Case, *, has_trouble: bool) -> int:
    record = Record(folder / 'record.txt')
    record.write('start', trouble=has_trouble)
    deployment = Deployment(record)
    loop = asyncio.get_running_loop()
    running = asyncio.ensure_future(case(deployment, has_trouble))
    loop.add_signal_handler(signal.SIGTERM, running.cancel)
    try:
        breaks = await asyncio.wait_for(running, LIMIT_S)
    except (Exception, asyncio.CancelledError) as error:
        sys.stderr.write(f'the case cannot run: {error!r}\n')
        traceback.print_exc()
        record.write('cannot run', reason=repr(error))
        return CANNOT_RUN
    finally:
        deployment.stop()
    for found in breaks:
        record.write('BROKEN', what=found)
        sys.stdout.write(f'{found}\n')
    record.write('end', breaks=len(breaks))
    sys.stdout.write('rule broken\n' if breaks else 'rule held\n')
    return BROKEN if breaks else HELD

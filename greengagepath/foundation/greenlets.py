"""Greenlets whose function runs again after an exception.

An exception that leaves such a function is a broken invariant. Without a
restart the process would go on without one of its parts and answer its
readiness probes all the same.
"""

import logging
import time
from collections.abc import Callable

import gevent

from .logs import log_event

FIRST_RESTART_S = 0.01
MAX_RESTART_S = 1.0
# A function that ran for this long before it failed is restarted without
# the back-off of earlier failures.
STABLE_S = 5.0
MAX_CAUSE_CHARACTERS = 200

_logger = logging.getLogger(__name__)


def spawn_supervised(name: str, run: Callable[[], None]) -> gevent.Greenlet:
    """Run a function in a greenlet until it returns.

    An exception is logged as `greenlet.failed` with `name`, and the
    function is called again after a delay that doubles from
    `FIRST_RESTART_S` to `MAX_RESTART_S` seconds.
    """
    return gevent.spawn(_supervise, name, run)


def _supervise(name: str, run: Callable[[], None]) -> None:
    restart_s = FIRST_RESTART_S
    while True:
        started_s = time.monotonic()
        try:
            return run()
        except Exception as error:
            _log_failure(name, error, restart_s)
        if time.monotonic() - started_s >= STABLE_S:
            restart_s = FIRST_RESTART_S
        gevent.sleep(restart_s)
        restart_s = min(restart_s * 2, MAX_RESTART_S)


def _log_failure(name: str, error: Exception, restart_s: float) -> None:
    log_event(
        _logger,
        'greenlet.failed',
        level=logging.CRITICAL,
        repeats=True,
        greenlet=name,
        cause=repr(error)[:MAX_CAUSE_CHARACTERS],
        raised_at=_describe_origin(error),
        restart_s=restart_s,
    )


def _describe_origin(error: Exception) -> str:
    """Return the function and line that raised, `module.py:12`."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ''
    code = trace.tb_frame.f_code
    return f'{code.co_filename.rpartition("/")[2]}:{trace.tb_lineno}'

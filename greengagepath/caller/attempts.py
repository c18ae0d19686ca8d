"""Attempts of one request that run side by side."""

from collections.abc import Sequence

import gevent
from result import Err, Ok

from .call_types import CallError, CallErrorKind
from .calls import CallOutcome

_CANCELLED = Err(CallError(CallErrorKind.CANCELLED, not_run=True))


def wait_for_first_answer(attempts: Sequence[gevent.Greenlet]) -> CallOutcome:
    """Return the first answer and cancel the rest.

    Without any answer the error is "may have run" if one attempt says
    so, since all attempts carry the same request.
    """
    pending = list(attempts)
    failures: list[CallOutcome] = []
    while pending:
        for done in gevent.wait(pending, count=1):
            pending.remove(done)
            outcome = wait_for_outcome(done)
            if isinstance(outcome, Ok):
                gevent.killall(pending, block=False)
                return outcome
            failures.append(outcome)
    return select_failure(failures)


def cancel_attempts(attempts: Sequence[gevent.Greenlet]) -> CallOutcome:
    """Cancel all attempts; return an answer that came in meanwhile."""
    gevent.killall(attempts)
    outcomes = [wait_for_outcome(attempt) for attempt in attempts]
    answers = [outcome for outcome in outcomes if isinstance(outcome, Ok)]
    return answers[0] if answers else select_failure(outcomes)


def wait_for_outcome(attempt: gevent.Greenlet) -> CallOutcome:
    """Return how a greenlet that ran one attempt has ended."""
    outcome = attempt.get()
    # Cancelled before the greenlet ran for the first time.
    return _CANCELLED if isinstance(outcome, gevent.GreenletExit) else outcome


def select_failure(failures: Sequence[CallOutcome]) -> CallOutcome:
    """Return the failure that rules least out."""
    for failure in failures:
        if not failure.unwrap_err().not_run:
            return failure
    return failures[0]

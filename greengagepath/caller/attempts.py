"""Concurrent attempts of one request, each in its own greenlet."""

from collections.abc import Sequence

import gevent
from result import Err, Ok

from .call_types import CallError, CallErrorKind
from .calls import CallOutcome

_CANCELLED = Err(CallError(CallErrorKind.CANCELLED, not_run=True))


def wait_for_first_answer(attempts: Sequence[gevent.Greenlet]) -> CallOutcome:
    """Wait for the first answer and cancel the other attempts.

    If no attempt is answered, return a failure after which the request
    may have run, if there is one, since all attempts carry the same
    request.
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
    """Cancel all attempts and wait until they have ended.

    Return an answer that arrived before the end, or a failure.
    """
    gevent.killall(attempts)
    outcomes = [wait_for_outcome(attempt) for attempt in attempts]
    answers = [outcome for outcome in outcomes if isinstance(outcome, Ok)]
    return answers[0] if answers else select_failure(outcomes)


def wait_for_outcome(attempt: gevent.Greenlet) -> CallOutcome:
    """Wait for a greenlet that runs one attempt; return its outcome."""
    outcome = attempt.get()
    # The greenlet was killed before it ran for the first time.
    return _CANCELLED if isinstance(outcome, gevent.GreenletExit) else outcome


def select_failure(failures: Sequence[CallOutcome]) -> CallOutcome:
    """Return the first failure after which the request may have run.

    If the request has certainly not run, return the first failure.
    """
    for failure in failures:
        if not failure.unwrap_err().not_run:
            return failure
    return failures[0]

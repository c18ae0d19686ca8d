"""Client of the platform's object API.

Objects are versioned JSON values with conditional updates. Every write
carries an operation id, so that a writer whose answer was lost finds
out by reading whether its write took effect.
"""

import json
import random
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum, unique
from http import client
from typing import Protocol
from urllib.parse import urlsplit

from gevent.pool import Pool
from result import Err, Ok, Result

from .timers import TimerService

OPERATION_ID = 'operation_id'
OPERATION_BITS = 128
# First wait before a retry; it doubles with every attempt and is
# jittered between half and all of itself.
FIRST_RETRY_S = 0.1
MAX_ATTEMPTS = 4
WATCH_WAIT_S = 20.0
# Simultaneous calls of one process, a pending watch included.
MAX_CALLS = 8
# Values are at most 1 MB.
MAX_ANSWER_BYTES = 2097152

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 412


@unique
class ObjectKind(StrEnum):
    """Kinds of objects that the system keeps."""

    CONFIGURATION = 'configuration'
    SEED = 'seed'
    LEASE = 'lease'
    STATUS = 'status'


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object; version 0 and an empty body if it does not exist."""

    version: int
    body: dict[str, object]


@dataclass(slots=True, frozen=True)
class Conflict:
    """Somebody else wrote first; `current` is what is there now."""

    current: StoredObject


@dataclass(slots=True, frozen=True)
class Unreachable:
    """No answer after all attempts; a write may have taken effect."""

    reason: str


ObjectError = Conflict | Unreachable
ObjectOutcome = Result[StoredObject, ObjectError]
OnOutcome = Callable[[ObjectOutcome], None]


@dataclass(slots=True, frozen=True)
class ObjectCall:
    """One HTTP call; `body` and `expected_version` belong to a write."""

    path: str
    body: dict[str, object] | None = None
    expected_version: int = 0
    wait_s: float = 0


@dataclass(slots=True, frozen=True)
class ObjectAnswer:
    """Status and decoded JSON of an answer."""

    status: int
    content: dict[str, object]


OnAnswer = Callable[[Result[ObjectAnswer, str]], None]


class ObjectTransport(Protocol):
    """Carries a call to the object API and back."""

    def send(self, call: ObjectCall, on_answer: OnAnswer) -> None:
        """Call `on_answer` once with the answer or the problem."""


def _always() -> bool:
    return True


class ObjectClient:
    """Reads, conditional writes and watches with limited retries."""

    def __init__(
        self,
        transport: ObjectTransport,
        timers: TimerService,
        chance: random.Random,
    ) -> None:
        self._transport = transport
        self._timers = timers
        self._chance = chance

    def read(self, kind: ObjectKind, name: str, on_outcome: OnOutcome) -> None:
        """Read one object."""
        call = ObjectCall(path=f'/objects/{kind}/{name}')
        self._attempt(_Attempt(call, _read_outcome, on_outcome))

    def watch(
        self,
        kind: ObjectKind,
        name: str,
        after_version: int,
        on_outcome: OnOutcome,
    ) -> None:
        """Wait for a version above `after_version`, once.

        The outcome has version 0 if none came within `WATCH_WAIT_S`.
        """
        wait_ms = int(WATCH_WAIT_S * 1000)
        call = ObjectCall(
            path=(
                f'/objects/{kind}/{name}'
                f'?after={after_version}&wait_ms={wait_ms}'
            ),
            wait_s=WATCH_WAIT_S,
        )
        last = MAX_ATTEMPTS
        self._attempt(_Attempt(call, _read_outcome, on_outcome, last))

    def list_names(self, kind: ObjectKind, on_outcome: OnOutcome) -> None:
        """List the objects of a kind; the body holds the answer as sent."""
        call = ObjectCall(path=f'/objects/{kind}?prefix=')
        self._attempt(_Attempt(call, _list_outcome, on_outcome))

    def write(
        self,
        kind: ObjectKind,
        name: str,
        changed: StoredObject,
        on_outcome: OnOutcome,
        may_send: Callable[[], bool] = _always,
    ) -> None:
        """Write the body if the object still has the version given.

        A body without an operation id gets a random one. `may_send` is
        asked before each attempt; a lease holder passes its lease.
        """
        operation_id = str(
            changed.body.get(OPERATION_ID)
            or uuid.UUID(int=self._chance.getrandbits(OPERATION_BITS)).hex
        )
        body = {**changed.body, OPERATION_ID: operation_id}
        call = ObjectCall(
            path=f'/objects/{kind}/{name}',
            body=body,
            expected_version=changed.version,
        )
        self._attempt(
            _Attempt(call, _WriteCheck(body), on_outcome, may_send=may_send)
        )

    def _attempt(self, attempt: '_Attempt') -> None:
        if not attempt.may_send():
            attempt.on_outcome(Err(Unreachable('no longer allowed to write')))
            return
        self._transport.send(
            attempt.call, lambda answer: self._finish(attempt, answer)
        )

    def _finish(
        self, attempt: '_Attempt', answer: Result[ObjectAnswer, str]
    ) -> None:
        problem = _problem_of(answer)
        if problem is None:
            attempt.on_outcome(attempt.interpret(answer.unwrap()))
        elif attempt.number >= MAX_ATTEMPTS:
            attempt.on_outcome(Err(Unreachable(problem)))
        else:
            following = replace(attempt, number=attempt.number + 1)
            wait_s = FIRST_RETRY_S * 2**attempt.number
            wait_s *= self._chance.uniform(0.5, 1)
            self._timers.call_after(wait_s, lambda: self._attempt(following))


@dataclass(slots=True, frozen=True)
class _Attempt:
    """One attempt of an operation and how to read its answer.

    A write is repeated as it is: if an earlier attempt took effect, the
    repeated one meets the writer's own operation id in the conflict.
    """

    call: ObjectCall
    interpret: Callable[[ObjectAnswer], ObjectOutcome]
    on_outcome: OnOutcome
    number: int = 1
    may_send: Callable[[], bool] = _always


@dataclass(slots=True, frozen=True)
class _WriteCheck:
    """Recognises the writer's own write in an answer."""

    body: dict[str, object]

    def __call__(self, answer: ObjectAnswer) -> ObjectOutcome:
        if answer.status == _OK:
            version = int(str(answer.content['version']))
            return Ok(StoredObject(version, self.body))
        current = _stored_of(answer)
        if current.body.get(OPERATION_ID) == self.body[OPERATION_ID]:
            return Ok(current)
        return Err(Conflict(current))


def _read_outcome(answer: ObjectAnswer) -> ObjectOutcome:
    return Ok(_stored_of(answer))


def _list_outcome(answer: ObjectAnswer) -> ObjectOutcome:
    return Ok(StoredObject(0, answer.content))


def _stored_of(answer: ObjectAnswer) -> StoredObject:
    if answer.status in {_NO_CONTENT, _NOT_FOUND}:
        return StoredObject(0, {})
    body = answer.content.get('body')
    return StoredObject(
        int(str(answer.content.get('version', 0))),
        body if isinstance(body, dict) else {},
    )


def _problem_of(answer: Result[ObjectAnswer, str]) -> str | None:
    if answer.is_err():
        return answer.unwrap_err()
    status = answer.unwrap().status
    if status in {_OK, _NO_CONTENT, _NOT_FOUND, _CONFLICT}:
        return None
    return f'status {status}'


class HttpTransport:
    """Calls the object API over HTTP/1.1, one greenlet for each call."""

    def __init__(self, url: str, timeout_s: float) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ''
        self._port = parts.port or client.HTTP_PORT
        self._timeout_s = timeout_s
        self._pool = Pool(MAX_CALLS)
        # Calls by method and outcome, for metrics.
        self.calls: Counter[tuple[str, str]] = Counter()

    def send(self, call: ObjectCall, on_answer: OnAnswer) -> None:
        """Run the call in a greenlet; refuse it above `MAX_CALLS`."""
        if self._pool.full():
            on_answer(Err('too many calls are pending'))
            return
        self._pool.spawn(self._run, call, on_answer)

    def call(self, call: ObjectCall) -> Result[ObjectAnswer, str]:
        """Run the call and wait for its answer."""
        connection = client.HTTPConnection(
            self._host, self._port, timeout=self._timeout_s + call.wait_s
        )
        method = 'GET' if call.body is None else 'PUT'
        try:
            answer = _exchange(connection, call)
        except (OSError, client.HTTPException, ValueError) as error:
            self.calls[method, 'error'] += 1
            return Err(f'{type(error).__name__}: {error}')
        finally:
            connection.close()
        self.calls[method, 'ok'] += 1
        return Ok(answer)

    def stop(self) -> None:
        """Abandon the calls that are pending."""
        self._pool.kill(block=False)

    def _run(self, call: ObjectCall, on_answer: OnAnswer) -> None:
        on_answer(self.call(call))


def _exchange(
    connection: client.HTTPConnection, call: ObjectCall
) -> ObjectAnswer:
    if call.body is None:
        connection.request('GET', call.path)
    else:
        connection.request(
            'PUT',
            call.path,
            body=json.dumps(call.body),
            headers={
                'Content-Type': 'application/json',
                'If-Match': str(call.expected_version),
            },
        )
    response = connection.getresponse()
    content = response.read(MAX_ANSWER_BYTES)
    decoded = json.loads(content) if content else {}
    return ObjectAnswer(
        response.status, decoded if isinstance(decoded, dict) else {}
    )

"""Client of the platform's object API.

Objects are versioned JSON values with conditional updates. Every write
has an operation id: a writer whose answer was lost reads the object and
finds its own id there if the write took effect.
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
from .tolerant_json import decode_json

OPERATION_ID = 'operation_id'
OPERATION_BITS = 128
# The wait after attempt n is this many seconds times 2**n, times a random
# factor between 0.5 and 1.
FIRST_RETRY_S = 0.1
MAX_ATTEMPTS = 4
WATCH_WAIT_S = 20.0
# Simultaneous calls of one process, including pending watches.
MAX_CALLS = 8
# Versions above this are not counters of the object API.
MAX_VERSION = 0x7FFFFFFFFFFFFFFF
# Enough for any object, whose value is at most 1 MB.
MAX_ANSWER_BYTES = 2097152

_OK = 200
_NO_CONTENT = 204
_NOT_FOUND = 404
_CONFLICT = 412


@unique
class ObjectKind(StrEnum):
    """Kinds of objects that the load balancer stores."""

    CONFIGURATION = 'configuration'
    SEED = 'seed'
    LEASE = 'lease'
    STATUS = 'status'


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object and its version.

    An object that does not exist has version 0 and an empty body.
    """

    version: int
    body: dict[str, object]


@dataclass(slots=True, frozen=True)
class Conflict:
    """Another writer changed the object first; `current` is its state."""

    current: StoredObject


@dataclass(slots=True, frozen=True)
class Unreachable:
    """All attempts failed; a write may still have taken effect."""

    reason: str


ObjectError = Conflict | Unreachable
ObjectOutcome = Result[StoredObject, ObjectError]
OnOutcome = Callable[[ObjectOutcome], None]


@dataclass(slots=True, frozen=True)
class ObjectCall:
    """One HTTP call.

    `body` and `expected_version` are used by writes only. `wait_s` is
    how long the server may hold the answer, in seconds.
    """

    path: str
    body: dict[str, object] | None = None
    expected_version: int = 0
    wait_s: float = 0


@dataclass(slots=True, frozen=True)
class ObjectAnswer:
    """HTTP status and decoded JSON of an answer."""

    status: int
    content: dict[str, object]


OnAnswer = Callable[[Result[ObjectAnswer, str]], None]


class ObjectTransport(Protocol):
    """Sends calls to the object API."""

    def send(self, call: ObjectCall, on_answer: OnAnswer) -> None:
        """Call `on_answer` once, with the answer or an error text."""


def _always() -> bool:
    return True


class ObjectClient:
    """Reads, writes and watches objects with a limited number of retries.

    Each operation calls `on_outcome` once, with the object or with
    `Conflict` or `Unreachable`.
    """

    def __init__(
        self,
        transport: ObjectTransport,
        timers: TimerService,
        random: random.Random,
    ) -> None:
        self._transport = transport
        self._timers = timers
        self._random = random

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
        """Wait once for a version above `after_version`.

        The outcome has version 0 if there is none within `WATCH_WAIT_S`.
        """
        wait_ms = int(WATCH_WAIT_S * 1000)
        call = ObjectCall(
            path=(
                f'/objects/{kind}/{name}'
                f'?after={after_version}&wait_ms={wait_ms}'
            ),
            wait_s=WATCH_WAIT_S,
        )
        # A watch is not retried.
        last = MAX_ATTEMPTS
        self._attempt(_Attempt(call, _read_outcome, on_outcome, last))

    def list_names(self, kind: ObjectKind, on_outcome: OnOutcome) -> None:
        """List the objects of a kind; the body is the decoded answer."""
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
        """Write the body if the object still has version `changed.version`.

        A body without an operation id gets a random one. `may_send` is
        called before each attempt, and the write ends as `Unreachable`
        when it returns False; a lease holder passes a check of its lease.
        """
        operation_id = str(
            changed.body.get(OPERATION_ID)
            or uuid.UUID(int=self._random.getrandbits(OPERATION_BITS)).hex
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
        problem = _find_problem(answer)
        if problem is None:
            attempt.on_outcome(attempt.interpret(answer.unwrap()))
        elif attempt.number >= MAX_ATTEMPTS:
            attempt.on_outcome(Err(Unreachable(problem)))
        else:
            next_attempt = replace(attempt, number=attempt.number + 1)
            wait_s = FIRST_RETRY_S * 2**attempt.number
            wait_s *= self._random.uniform(0.5, 1)
            self._timers.call_after(wait_s, lambda: self._attempt(next_attempt))


@dataclass(slots=True, frozen=True)
class _Attempt:
    """One attempt of an operation.

    `interpret` turns an answer into the outcome. A write is repeated
    unchanged: if an earlier attempt took effect, the repeated one is
    answered with a conflict that has the writer's own operation id.
    """

    call: ObjectCall
    interpret: Callable[[ObjectAnswer], ObjectOutcome]
    on_outcome: OnOutcome
    number: int = 1
    may_send: Callable[[], bool] = _always


@dataclass(slots=True, frozen=True)
class _WriteCheck:
    """Interprets the answer to a write of `body`.

    A conflict with the writer's own operation id is a success.
    """

    body: dict[str, object]

    def __call__(self, answer: ObjectAnswer) -> ObjectOutcome:
        if answer.status == _OK:
            return Ok(StoredObject(_read_version(answer) or 0, self.body))
        current = _parse_stored_object(answer)
        if current.body.get(OPERATION_ID) == self.body[OPERATION_ID]:
            return Ok(current)
        return Err(Conflict(current))


def _read_outcome(answer: ObjectAnswer) -> ObjectOutcome:
    return Ok(_parse_stored_object(answer))


def _list_outcome(answer: ObjectAnswer) -> ObjectOutcome:
    return Ok(StoredObject(0, answer.content))


def _parse_stored_object(answer: ObjectAnswer) -> StoredObject:
    if answer.status in {_NO_CONTENT, _NOT_FOUND}:
        return StoredObject(0, {})
    body = answer.content.get('body')
    return StoredObject(
        _read_version(answer) or 0, body if isinstance(body, dict) else {}
    )


def _read_version(answer: ObjectAnswer) -> int | None:
    """Return the version, 0 if the answer has none, None if it is odd."""
    version = answer.content.get('version', 0)
    if isinstance(version, bool) or not isinstance(version, int):
        return None
    return version if 0 <= version <= MAX_VERSION else None


def _find_problem(answer: Result[ObjectAnswer, str]) -> str | None:
    if answer.is_err():
        return answer.unwrap_err()
    status = answer.unwrap().status
    if status not in {_OK, _NO_CONTENT, _NOT_FOUND, _CONFLICT}:
        return f'status {status}'
    if _read_version(answer.unwrap()) is None:
        return 'answer has no valid version'
    return None


class HttpTransport:
    """Calls the object API over HTTP/1.1, with one greenlet per call."""

    def __init__(self, url: str, timeout_s: float) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or ''
        self._port = parts.port or client.HTTP_PORT
        self._timeout_s = timeout_s
        self._pool = Pool(MAX_CALLS)
        # Number of calls by method and outcome, for metrics.
        self.calls: Counter[tuple[str, str]] = Counter()

    def send(self, call: ObjectCall, on_answer: OnAnswer) -> None:
        """Run the call in a greenlet, or fail above `MAX_CALLS`."""
        if self._pool.full():
            on_answer(Err('too many calls are pending'))
            return
        self._pool.spawn(self._run, call, on_answer)

    def call(self, call: ObjectCall) -> Result[ObjectAnswer, str]:
        """Run the call and return its answer or an error text."""
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
        """Abort the pending calls without waiting for them."""
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
    decoded = decode_json(content).unwrap_or({}) if content else {}
    return ObjectAnswer(
        response.status, decoded if isinstance(decoded, dict) else {}
    )

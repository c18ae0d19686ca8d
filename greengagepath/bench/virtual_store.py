"""Object API in virtual time, with simulated faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from result import Err, Ok

from ..foundation.object_api import ObjectAnswer, ObjectCall, OnAnswer
from ..foundation.timers import VirtualTimerService
from .virtual_processes import ProcessClock

TIMEOUT_S = 2.0
ANSWER_S = 0.005

ObjectKey = tuple[str, str]
_NO_CONTENT = ObjectAnswer(HTTPStatus.NO_CONTENT, {})


@dataclass(slots=True)
class StoreFaults:
    """Current faults of the object API.

    `delay_s` is added to each call; `lose_answers` is the share of
    writes whose answer is lost after the write was done.
    """

    is_down: bool = False
    delay_s: float = 0
    lose_answers: float = 0


@dataclass(slots=True, frozen=True)
class AcceptedWrite:
    """A write that took effect, recorded for checks."""

    time_s: float
    writer: str
    key: ObjectKey
    version: int
    body: dict[str, object]


@dataclass(slots=True)
class _Watch:
    key: ObjectKey
    after: int
    reply: Callable[[int], None]
    is_finished: bool = False


@dataclass(slots=True)
class VirtualStore:
    """Versioned objects with conditional updates and watches."""

    timers: VirtualTimerService
    random: random.Random
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0
    writes: list[AcceptedWrite] = field(default_factory=list)
    objects_by_key: dict[ObjectKey, tuple[int, dict[str, object]]] = field(
        default_factory=dict
    )
    _version: int = 0
    _watches: list[_Watch] = field(default_factory=list)

    def read(self, key: ObjectKey) -> ObjectAnswer:
        """Return the object, or status 404."""
        if key not in self.objects_by_key:
            return ObjectAnswer(HTTPStatus.NOT_FOUND, {})
        version, body = self.objects_by_key[key]
        return ObjectAnswer(HTTPStatus.OK, {'version': version, 'body': body})

    def list_kind(self, kind: str) -> ObjectAnswer:
        """Return all objects of a kind, by name."""
        return ObjectAnswer(
            HTTPStatus.OK,
            {
                key[1]: self.read(key).content
                for key in self.objects_by_key
                if key[0] == kind
            },
        )

    def write(
        self, writer: str, key: ObjectKey, call: ObjectCall
    ) -> ObjectAnswer:
        """Write and answer the watches, or return 412 on another version."""
        current = self.objects_by_key.get(key, (0, {}))
        if current[0] != call.expected_version:
            content = {'version': current[0], 'body': current[1]}
            return ObjectAnswer(HTTPStatus.PRECONDITION_FAILED, content)
        self._version += 1
        body = dict(call.body or {})
        self.objects_by_key[key] = (self._version, body)
        self.writes.append(
            AcceptedWrite(self.timers.now(), writer, key, self._version, body)
        )
        self._notify_watches(key)
        return self.read(key)

    def add_watch(
        self, key: ObjectKey, after: int, reply: Callable[[], None]
    ) -> None:
        """Call `reply` when the object has a version above `after`."""
        if self.objects_by_key.get(key, (0, {}))[0] > after:
            reply()
        else:
            self._watches.append(_Watch(key, after, reply))

    def _notify_watches(self, key: ObjectKey) -> None:
        matching = [watch for watch in self._watches if watch.key == key]
        self._watches = [watch for watch in self._watches if watch.key != key]
        for watch in matching:
            watch.reply()


class VirtualTransport:
    """Implements `ObjectTransport` for one process."""

    def __init__(
        self, store: VirtualStore, clock: ProcessClock, writer: str
    ) -> None:
        self._store = store
        self._clock = clock
        self._writer = writer
        self.calls = 0
        self.is_cut_off = False
        self.on_send: Callable[[ObjectCall], None] | None = None

    def send(self, call: ObjectCall, on_answer: OnAnswer) -> None:
        """Send the call to the store; call `on_answer` with the outcome."""
        self.calls += 1
        self._store.calls += 1
        if self.on_send is not None:
            self.on_send(call)
        exchange = _Exchange(self._store, self._clock, on_answer)
        timers = self._store.timers
        timers.call_after(TIMEOUT_S + call.wait_s, exchange.time_out)
        if not self.is_cut_off:
            timers.call_after(
                self._store.faults.delay_s + ANSWER_S,
                lambda: self._perform(call, exchange),
            )

    def _perform(self, call: ObjectCall, exchange: '_Exchange') -> None:
        if self._store.faults.is_down:
            exchange.fail('connection refused')
            return
        parts = urlsplit(call.path)
        _, _, kind, *name = parts.path.split('/')
        query = parse_qs(parts.query) if 'after' in parts.query else {}
        key = (kind, ''.join(name))
        if call.body:
            self._write(key, call, exchange)
        elif query:
            self._watch(key, int(query['after'][0]), call, exchange)
        elif name:
            exchange.answer(self._store.read(key))
        else:
            exchange.answer(self._store.list_kind(kind))

    def _write(
        self, key: ObjectKey, call: ObjectCall, exchange: '_Exchange'
    ) -> None:
        answer = self._store.write(self._writer, key, call)
        if self._store.random.random() >= self._store.faults.lose_answers:
            exchange.answer(answer)

    def _watch(
        self,
        key: ObjectKey,
        after: int,
        call: ObjectCall,
        exchange: '_Exchange',
    ) -> None:
        self._store.timers.call_after(
            call.wait_s,
            lambda: exchange.answer(_NO_CONTENT),
        )
        self._store.add_watch(
            key, after, lambda: exchange.answer(self._store.read(key))
        )


class _Exchange:
    """Passes only the first outcome of a call to the process."""

    def __init__(
        self, store: VirtualStore, clock: ProcessClock, on_answer: OnAnswer
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_answer = on_answer
        self._is_finished = False

    def answer(self, answer: ObjectAnswer) -> None:
        """End the call with an answer, or fail if the store is down now."""
        if self._store.faults.is_down:
            self.fail('connection reset')
        else:
            self._finish(Ok(answer))

    def fail(self, reason: str) -> None:
        """End the call without an answer."""
        self._finish(Err(reason))

    def time_out(self) -> None:
        """End the call with a timeout."""
        self._finish(Err('timeout'))

    def _finish(self, outcome: object) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._clock.run(lambda: self._on_answer(outcome))

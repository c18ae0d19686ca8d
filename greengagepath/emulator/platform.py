"""Stand-in for the platform's object API.

`python -m greengagepath.emulator.platform --port N` serves the protocol
of docs/design.md, section 4. `POST /control/faults` switches faults on:
no answers, slow answers, answers lost after the write took effect.
"""

import json
import random
from dataclasses import dataclass
from typing import Annotated

import cappa
import gevent
import msgspec
from gevent import monkey
from result import Err, Ok

from .http_server import (
    BAD_REQUEST,
    CONFLICT,
    JSON_TYPE,
    NO_CONTENT,
    NOT_FOUND,
    STATUS_OK,
    Call,
    Reply,
    make_server,
    reply_json,
)
from .object_store import MAX_BODY_BYTES, ObjectKey, ObjectStore, StoredObject

MS_PER_S = 1000
MAX_WATCH_S = 30.0


class Faults(msgspec.Struct):
    """Faults of the object API.

    `lose_answers` is the share of writes whose answer is lost.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0


class Platform:
    """Answers the calls of the object API and of its control paths."""

    def __init__(self, rng: random.Random) -> None:
        self.store = ObjectStore()
        self.faults = Faults()
        self._rng = rng

    def answer(self, call: Call) -> Reply:
        """Answer one call."""
        match call.path.strip('/').split('/'):
            case ['control', 'faults']:
                self.faults = msgspec.json.decode(call.body, type=Faults)
                return reply_json(msgspec.to_builtins(self.faults))
            case ['control', 'counters']:
                return reply_json(msgspec.to_builtins(self.store.counters))
            case ['objects', kind, *rest] if len(rest) <= 1:
                return self._answer_with_faults(call, kind, rest)
        return Reply(NOT_FOUND)

    def _answer_with_faults(
        self, call: Call, kind: str, rest: list[str]
    ) -> Reply:
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down:
            call.abort()
            return Reply(NOT_FOUND)
        reply = self._answer_object(call, kind, rest)
        is_write = call.method == 'PUT'
        if is_write and self._rng.random() < self.faults.lose_answers:
            call.abort()
        return reply

    def _answer_object(self, call: Call, kind: str, rest: list[str]) -> Reply:
        match call.method, rest:
            case 'GET', []:
                return self._list(kind, call.query.get('prefix', ''))
            case 'GET', [name] if 'after' in call.query:
                return self._watch((kind, name), call)
            case 'GET', [name]:
                return _reply_object(self.store.read((kind, name)))
            case 'PUT', [name]:
                return self._write((kind, name), call)
        return Reply(BAD_REQUEST)

    def _list(self, kind: str, prefix: str) -> Reply:
        found = self.store.list_kind(kind, prefix)
        return reply_json(
            {
                name: {'version': stored.version, 'body': stored.body}
                for name, stored in found.items()
            }
        )

    def _watch(self, key: ObjectKey, call: Call) -> Reply:
        wait_s = int(call.query.get('wait_ms', '0')) / MS_PER_S
        stored = self.store.watch(
            key, int(call.query['after']), min(wait_s, MAX_WATCH_S)
        )
        if self.faults.down:
            call.abort()
        if stored is None:
            return Reply(NO_CONTENT)
        return _reply_object(stored)

    def _write(self, key: ObjectKey, call: Call) -> Reply:
        if len(call.body) > MAX_BODY_BYTES:
            return Reply(BAD_REQUEST, b'body is over 1 MB')
        try:
            expected = int(call.headers.get('if-match', '0'))
            body = json.loads(call.body)
        except ValueError as error:
            return Reply(BAD_REQUEST, str(error).encode())
        match self.store.write(key, expected, body):
            case Ok(stored):
                return _reply_object(stored)
            case Err(current):
                return Reply(CONFLICT, current.encode())


@dataclass(slots=True)
class PlatformOptions:
    """Serve the object API stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help='Port to listen on.')]
    host: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1'
    seed: Annotated[int, cappa.Arg(long=True)] = 0


def _reply_object(stored: StoredObject | None) -> Reply:
    if stored is None:
        return Reply(NOT_FOUND)
    return Reply(STATUS_OK, stored.encode(), (('Content-Type', JSON_TYPE),))


def main() -> None:
    """Serve until the process is ended."""
    monkey.patch_all()
    options = cappa.parse(PlatformOptions)
    platform = Platform(random.Random(options.seed))
    make_server(options.host, options.port, platform.answer).serve_forever()


if __name__ == '__main__':
    main()

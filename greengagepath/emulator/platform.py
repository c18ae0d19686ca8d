"""Stand-in for the platform's object API.

`python -m greengagepath.emulator.platform --port N` serves the protocol
of docs/design.md, section 4. `POST /control/faults` sets faults: no
answers, slow answers, answers lost after the write took effect.
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
    JSON_TYPE,
    NO_CONTENT,
    NOT_FOUND,
    PRECONDITION_FAILED,
    STATUS_OK,
    HttpRequest,
    HttpResponse,
    json_response,
    make_server,
)
from .object_store import MAX_BODY_BYTES, ObjectKey, ObjectStore, StoredObject

MS_PER_S = 1000
MAX_WATCH_S = 30.0


class Faults(msgspec.Struct):
    """Faults of the object API.

    `down` closes connections without an answer, `delay_ms` delays each
    answer, `lose_answers` is the share of writes whose answer is lost.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: float = 0.0


class Platform:
    """Serves the object API and the control paths."""

    def __init__(self, rng: random.Random) -> None:
        self.store = ObjectStore()
        self.faults = Faults()
        self._rng = rng

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        match request.path.strip('/').split('/'):
            case ['control', 'faults']:
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return json_response(msgspec.to_builtins(self.faults))
            case ['control', 'counters']:
                return json_response(msgspec.to_builtins(self.store.counters))
            case ['objects', kind, *rest] if len(rest) <= 1:
                return self._handle_with_faults(request, kind, rest)
        return HttpResponse(NOT_FOUND)

    def _handle_with_faults(
        self, request: HttpRequest, kind: str, rest: list[str]
    ) -> HttpResponse:
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.down:
            request.abort()
            return HttpResponse(NOT_FOUND)
        response = self._handle_object(request, kind, rest)
        is_write = request.method == 'PUT'
        if is_write and self._rng.random() < self.faults.lose_answers:
            request.abort()
        return response

    def _handle_object(
        self, request: HttpRequest, kind: str, rest: list[str]
    ) -> HttpResponse:
        match request.method, rest:
            case 'GET', []:
                return self._list(kind, request.query.get('prefix', ''))
            case 'GET', [name] if 'after' in request.query:
                return self._watch((kind, name), request)
            case 'GET', [name]:
                return _object_response(self.store.read((kind, name)))
            case 'PUT', [name]:
                return self._write((kind, name), request)
        return HttpResponse(BAD_REQUEST)

    def _list(self, kind: str, prefix: str) -> HttpResponse:
        found = self.store.list_kind(kind, prefix)
        return json_response(
            {
                name: {'version': stored.version, 'body': stored.body}
                for name, stored in found.items()
            }
        )

    def _watch(self, key: ObjectKey, request: HttpRequest) -> HttpResponse:
        wait_s = int(request.query.get('wait_ms', '0')) / MS_PER_S
        stored = self.store.watch(
            key, int(request.query['after']), min(wait_s, MAX_WATCH_S)
        )
        if self.faults.down:
            request.abort()
        if stored is None:
            return HttpResponse(NO_CONTENT)
        return _object_response(stored)

    def _write(self, key: ObjectKey, request: HttpRequest) -> HttpResponse:
        if len(request.body) > MAX_BODY_BYTES:
            return HttpResponse(BAD_REQUEST, b'body is over 1 MB')
        try:
            expected = int(request.headers.get('if-match', '0'))
            body = json.loads(request.body)
        except ValueError as error:
            return HttpResponse(BAD_REQUEST, str(error).encode())
        match self.store.write(key, expected, body):
            case Ok(stored):
                return _object_response(stored)
            case Err(current):
                return HttpResponse(PRECONDITION_FAILED, current.encode())


@dataclass(slots=True)
class PlatformOptions:
    """Serve the object API stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help='Port to listen on.')]
    host: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1'
    seed: Annotated[int, cappa.Arg(long=True)] = 0


def _object_response(stored: StoredObject | None) -> HttpResponse:
    if stored is None:
        return HttpResponse(NOT_FOUND)
    return HttpResponse(
        STATUS_OK, stored.encode(), (('Content-Type', JSON_TYPE),)
    )


def main() -> None:
    """Serve until the process is ended."""
    monkey.patch_all()
    options = cappa.parse(PlatformOptions)
    platform = Platform(random.Random(options.seed))
    make_server(
        options.host, options.port, platform.handle_request
    ).serve_forever()


if __name__ == '__main__':
    main()

"""Stand-in for the platform's store, written from its published page.

Serves objects with revisions, lists and watches over HTTP/1.1 on
127.0.0.1; can discard its history, refuse calls and come back from an
earlier copy of itself.
"""

import copy
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent.event import Event

from greengagepath.daemon.http_listener import (
    HttpListener,
    HttpReply,
    HttpRequest,
)

from .builders import make_object


class StoreCopy:
    """Objects of the store and its revision at one time."""

    def __init__(
        self, objects: dict[str, dict[str, Any]], revision: int
    ) -> None:
        self.objects = objects
        self.revision = revision


class StoreStandIn:
    """Serves objects by kind and name.

    A `forced_status` other than 0 is the answer to every call. `loses`
    decides for the path of a call whether its answer is lost: the call is
    executed, and its connection stays open without a byte. `era` is named
    in all answers unless it is 0. `delay_s` decides for a path how long
    an answer is under way.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.calls: list[tuple[str, str]] = []
        self.forced_status = 0
        self.loses: Callable[[str], bool] = lambda path: False
        self.delay_s: Callable[[str], float] = lambda path: 0
        self.era = 0
        # Calls of these methods are executed so many seconds late, unanswered.
        self.late_s: dict[str, float] = {}
        # Whether calls are carried out whatever revision they bring.
        self.ignores_revisions = False
        self.revision = 1
        self.oldest_revision = 0
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = Event()
        self._listener = HttpListener(('127.0.0.1', 0), self._answer)
        self._listener.start()

    @property
    def address(self) -> tuple[str, int]:
        return ('127.0.0.1', self._listener.port)

    def stop(self) -> None:
        self._listener.stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as another client of the store would."""
        self.revision += 1
        stored = make_object(name, spec, self.revision)
        self.objects.setdefault(kind, {})[name] = stored
        self._events.append((self.revision, kind, stored, False))
        self._changed.set()

    def discard_history(self) -> None:
        self.oldest_revision = self.revision
        self._events.clear()
        self._changed.set()

    def save(self) -> StoreCopy:
        """Return a copy of the store as it is now."""
        return StoreCopy(copy.deepcopy(self.objects), self.revision)

    def restore(self, saved: StoreCopy) -> None:
        """Come back from a copy; watches that wait end with 410."""
        self.objects = copy.deepcopy(saved.objects)
        self.revision = saved.revision
        self.era += 1
        self.discard_history()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, as another client of the store would."""
        removed = self.objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self._events.append((self.revision, kind, removed, True))
            self._changed.set()

    def _answer(self, request: HttpRequest) -> HttpReply:
        late_s = self.late_s.get(request.method)
        if late_s is not None:
            gevent.spawn_later(late_s, self._execute, request)
            Event().wait()
        reply = self._execute(request)
        if self.era:
            reply.headers.append(('Store-Era', str(self.era)))
        if self.loses(request.path):
            Event().wait()
        gevent.sleep(self.delay_s(request.path))
        return reply

    def _execute(self, request: HttpRequest) -> HttpReply:
        self.calls.append((request.method, request.path))
        if self.forced_status:
            return HttpReply(self.forced_status)
        parts = urlsplit(request.path)
        _, _, kind, *rest = parts.path.split('/')
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        if not self._matches(request, kind, rest, query):
            return HttpReply(409)
        match request.method:
            case 'GET':
                return self._read(kind, rest, query)
            case 'POST':
                entry = json.loads(request.body)
                name = entry['meta']['name']
                is_new = name not in self.objects.get(kind, {})
                if is_new:
                    self.put(kind, name, entry['spec'])
                return _reply(201 if is_new else 409, self.objects[kind][name])
            case 'PUT':
                self.put(kind, rest[0], json.loads(request.body)['spec'])
                return _reply(200, self.objects[kind][rest[0]])
            case 'DELETE':
                self.remove(kind, rest[0])
                return _reply(200, {})
        return HttpReply(405)

    def _matches(
        self,
        request: HttpRequest,
        kind: str,
        rest: list[str],
        query: dict[str, str],
    ) -> bool:
        """Return whether the condition of a write holds, if it has one."""
        meta = json.loads(request.body)['meta'] if request.body else {}
        expected = query.get('revision', meta.get('revision'))
        if expected is None or self.ignores_revisions:
            return True
        stored = self.objects.get(kind, {}).get(rest[0])
        revision = stored['meta']['revision'] if stored else None
        return str(revision) == str(expected)

    def _read(
        self, kind: str, rest: list[str], query: dict[str, str]
    ) -> HttpReply:
        watched = query.get('watch')
        if watched is not None:
            return self._watch(kind, int(watched), query)
        stored = self.objects.get(kind, {})
        if rest:
            if rest[0] not in stored:
                return HttpReply(404)
            return _reply(200, stored[rest[0]])
        names = sorted(name for name in stored if name > query.get('after', ''))
        page = names[:500]
        return _reply(
            200,
            {
                'items': [stored[name] for name in page],
                'more': len(names) > len(page),
                'current-rev': self.revision,
            },
        )

    def _watch(
        self, kind: str, revision: int, query: dict[str, str]
    ) -> HttpReply:
        if not self.oldest_revision <= revision <= self.revision:
            return HttpReply(410)
        wait_s = int(query['wait-ms']) / 1000
        with gevent.Timeout(wait_s, exception=False):
            while not self._since(kind, revision):
                if not self.oldest_revision <= revision <= self.revision:
                    return HttpReply(410)
                self._changed.clear()
                self._changed.wait()
        events = [
            {'object': stored, 'removed': removed}
            for _, _, stored, removed in self._since(kind, revision)
        ]
        return _reply(200, {'events': events, 'current-rev': self.revision})

    def _since(
        self, kind: str, revision: int
    ) -> list[tuple[int, str, dict[str, Any], bool]]:
        return [
            event
            for event in self._events
            if event[0] > revision and event[1] == kind
        ]


def _reply(status: int, content: Any) -> HttpReply:
    return HttpReply(status, json.dumps(content).encode())

"""The platform's store: objects, revisions, watches and a drill."""

import asyncio
import copy
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ANSWER_S = 0.004
# A list has so many entries or bytes at most.
PAGE = 500
PAGE_BYTES = 1000000


class Store:
    """Objects by kind and name behind HTTP/1.1.

    `era` is the header `Store-Era` of all answers.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.oldest = 1
        self.era = 1
        self.calls: list[tuple[str, str, int]] = []
        # Seconds after which calls of a method are executed, unanswered.
        self.late_s: dict[str, float] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Answer calls at an address."""
        self._address = (host, port)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def move(self, host: str, port: int, both_s: float) -> None:
        """Answer at another address, for some seconds at both."""
        earlier = self._server
        self._server = None
        kept = set(self._writers)
        await self.start(host, port)
        await asyncio.sleep(both_s)
        if earlier is not None:
            earlier.close()
        for writer in kept:
            writer.transport.abort()

    async def stop(self) -> None:
        """Answer no more calls and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as the operator does."""
        self.revision += 1
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'delete-pending': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._record(kind, stored, removed=False)

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; False if there is none."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is None:
            return False
        self.revision += 1
        self._record(kind, stored, removed=True)
        return True

    def save(self) -> tuple[dict[str, dict[str, Any]], int]:
        """Return a copy of the store as it is now."""
        return copy.deepcopy(self.objects), self.revision

    async def drill(
        self, saved: tuple[dict[str, dict[str, Any]], int], away_s: float
    ) -> None:
        """Be away for a moment and come back from a copy.

        What the operator wrote since, and only that, is written again.
        """
        await self.stop()
        await asyncio.sleep(away_s)
        before = self.objects
        self.objects, self.revision = saved
        self.oldest = self.revision
        self._events.clear()
        self.era += 1
        for kind in ('config', 'evacuations'):
            for name, stored in before.get(kind, {}).items():
                kept = self.objects.get(kind, {}).get(name)
                if kept is None or kept['spec'] != stored['spec']:
                    self.put(kind, name, stored['spec'])
        await self.start(*self._address)

    def _record(
        self, kind: str, stored: dict[str, Any], *, removed: bool
    ) -> None:
        self._events.append((self.revision, kind, stored, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._answer_next(reader, writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # The client has closed, or the store ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_next(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        method, target, _ = first.split(' ')
        length = 0
        for line in lines:
            name, _, value = line.partition(':')
            if name.lower() == 'content-length':
                length = int(value)
        body = await reader.readexactly(length)
        await asyncio.sleep(ANSWER_S)
        if method in self.late_s:
            await asyncio.sleep(self.late_s[method])
            status, _ = await self._execute(method, target, body)
            self.calls.append((f'{method} unanswered', target, status))
            # Nothing more comes on this connection.
            await asyncio.Event().wait()
        status, answer = await self._execute(method, target, body)
        self.calls.append((method, target, status))
        encoded = json.dumps(answer, ensure_ascii=False).encode(
            'utf-8', 'surrogatepass'
        )
        writer.write(
            f'HTTP/1.1 {status} Answer\r\n'
            'Content-Type: application/json\r\n'
            f'Store-Era: {self.era}\r\n'
            f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
            + encoded
        )
        await writer.drain()
        return True

    async def _execute(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, Any]:
        parts = urlsplit(target)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        _, root, kind, *rest = [unquote(part) for part in parts.path.split('/')]
        if root != 'objects':
            return 404, {}
        stored = self.objects.get(kind, {}).get(rest[0]) if rest else None
        entry = json.loads(body) if body else {}
        match method:
            case 'GET' if rest:
                return (200, stored) if stored else (404, {})
            case 'GET' if 'watch' in query:
                return await self._watch(kind, query)
            case 'GET':
                return 200, self._list(kind, query.get('after', ''))
            case 'POST':
                name = entry['meta']['name']
                if name in self.objects.get(kind, {}):
                    return 409, self.objects[kind][name]
                self.put(kind, name, entry.get('spec'))
                return 201, self.objects[kind][name]
            case 'PUT' if stored:
                if stored['spec'] != entry.get('spec'):
                    self.put(kind, rest[0], entry.get('spec'))
                return 200, self.objects[kind][rest[0]]
            case 'DELETE' if stored:
                self.remove(kind, rest[0])
                return 200, {}
        return 404, {}

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        stored = self.objects.get(kind, {})
        names = sorted(name for name in stored if name > after)
        page: list[dict[str, Any]] = []
        size = 0
        for name in names[:PAGE]:
            size += len(json.dumps(stored[name]))
            if page and size > PAGE_BYTES:
                break
            page.append(stored[name])
        return {
            'items': page,
            'more': len(names) > len(page),
            'current-rev': self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        since = int(query['watch'])
        if not self.oldest <= since <= self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get('wait-ms', '0')) / 1000
        while True:
            found = [
                {'object': stored, 'removed': removed}
                for revision, changed, stored, removed in self._events
                if revision > since and changed == kind
            ]
            left_s = end_s - loop.time()
            if found or left_s <= 0:
                return 200, {'events': found, 'current-rev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

"""Stand-in for the platform's metadata store."""

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from . import http

PAGE = 500


class Store:
    """Objects by kind and name, with one revision counter and watches.

    `loses` decides for each answer whether it is lost: the channel then
    returns nothing further.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.revision = 1
        self.loses: Callable[[str, str], bool] = lambda method, target: False
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    async def start(self, address: tuple[str, int]) -> None:
        """Listen at an address."""
        await http.serve(address, self._answer)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object; it is acknowledged when the call returns."""
        self.revision += 1
        stored = {
            'meta': {
                'name': name,
                'revision': self.revision,
                'created': 1,
                'finalizers': [],
                'delete-pending': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._record(kind, stored, is_removed=False)
        return stored

    def _record(
        self, kind: str, stored: dict[str, Any], *, is_removed: bool
    ) -> None:
        self._events.append((self.revision, kind, stored, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes] | None:
        status, found = await self._execute(method, target, body)
        if self.loses(method, target):
            return None
        return status, json.dumps(found).encode()

    async def _execute(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, Any]:
        parts = urlsplit(target)
        _, _, kind, *rest = parts.path.split('/')
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        stored = self.objects.get(kind, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and rest:
            found = stored.get(rest[0])
            return (200, found) if found else (404, {})
        if method == 'GET':
            return 200, self._list(kind, query.get('after', ''))
        if method == 'POST':
            entry = json.loads(body)
            name = entry['meta']['name']
            if name in stored:
                return 409, stored[name]
            return 201, self.put(kind, name, entry['spec'])
        if rest[0] not in stored:
            return 404, {}
        if method == 'PUT':
            return 200, self.put(kind, rest[0], json.loads(body)['spec'])
        self.revision += 1
        self._record(kind, stored.pop(rest[0]), is_removed=True)
        return 200, {}

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        stored = self.objects.get(kind, {})
        names = sorted(name for name in stored if name > after)
        return {
            'items': [stored[name] for name in names[:PAGE]],
            'more': len(names) > PAGE,
            'current-rev': self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        revision = int(query['watch'])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query['wait-ms']) / 1000
        while True:
            events = [
                {'object': stored, 'removed': is_removed}
                for at, of, stored, is_removed in self._events
                if at > revision and of == kind
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        return 200, {'events': events, 'current-rev': self.revision}

"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import Address, Answer, serve

PAGE = 500
ANSWER_S = 0.004


class Store:
    """Objects by kind and name, with revisions, lists and watches."""

    def __init__(self) -> None:
        self._by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._revision = 1
        # Revision, kind, object and whether it was removed.
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()

    async def start(self, address: Address) -> asyncio.Server:
        """Serve the store."""
        return await serve(address, self._answer)

    async def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator does; return the revision."""
        stored = self._by_kind.setdefault(kind, {}).get(name)
        if stored is None:
            stored = {'meta': _make_meta(name), 'status': None}
        changed = dict(stored, meta=dict(stored['meta']), spec=spec)
        await self._put(kind, changed)
        return self._revision

    def find(self, name: str) -> tuple[str, Any] | None:
        """Return kind and spec of an object that the system has created."""
        for kind, objects in self._by_kind.items():
            if name in objects:
                return kind, objects[name]['spec']
        return None

    async def _put(
        self, kind: str, changed: dict[str, Any], *, removed: bool = False
    ) -> None:
        async with self._changed:
            self._revision += 1
            meta = changed['meta']
            meta['revision'] = self._revision
            objects = self._by_kind.setdefault(kind, {})
            if removed:
                objects.pop(meta['name'], None)
            else:
                objects[meta['name']] = changed
            self._events.append((self._revision, kind, changed, removed))
            self._changed.notify_all()

    async def _answer(self, method: str, path: str, body: Any) -> Answer:
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(path)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        _, _, kind, *names = parts.path.split('/')
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and not names:
            return 200, self._list(kind, query.get('after', ''))
        if method == 'POST':
            names = [body['meta']['name']]
        stored = self._by_kind.get(kind, {}).get(names[0])
        if method == 'POST':
            return await self._create(kind, names[0], stored, body)
        if stored is None:
            return 404, {}
        if method == 'GET':
            return 200, stored
        return await self._change(method, kind, stored, body)

    async def _create(
        self, kind: str, name: str, stored: Any, body: dict[str, Any]
    ) -> Answer:
        if stored is not None:
            return 409, stored
        created = {
            'meta': _make_meta(name),
            'spec': body.get('spec'),
            'status': body.get('status'),
        }
        await self._put(kind, created)
        return 201, created

    async def _change(
        self, method: str, kind: str, stored: dict[str, Any], body: Any
    ) -> Answer:
        changed = dict(stored, meta=dict(stored['meta']))
        if method == 'DELETE':
            await self._put(kind, changed, removed=True)
            return 200, {}
        changed['spec'] = body.get('spec')
        if changed['spec'] != stored['spec']:
            await self._put(kind, changed)
        return 200, changed

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        objects = self._by_kind.get(kind, {})
        names = sorted(name for name in objects if name > after)
        return {
            'items': [objects[name] for name in names[:PAGE]],
            'more': len(names) > PAGE,
            'current-rev': self._revision,
        }

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query['watch'])
        try:
            async with asyncio.timeout(int(query['wait-ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: bool(self._find_events(kind, since))
                    )
        except TimeoutError:
            pass
        events = self._find_events(kind, since)
        return 200, {'events': events, 'current-rev': self._revision}

    def _find_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': changed, 'removed': removed}
            for revision, its_kind, changed, removed in self._events
            if revision > since and its_kind == kind
        ]


def _make_meta(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'revision': 0,
        'created': 1,
        'finalizers': [],
        'delete-pending': False,
    }

"""The platform's store behind the product's `SteeringStore`."""

import json
from collections import Counter
from typing import Any

from result import Err, Ok, Result

from ..daemon.http_connection import HttpAnswer, HttpConnection
from ..steering.routes import RouteTable
from ..steering.settings import format_address, pack_address
from ..steering.store import (
    Member,
    MemberRole,
    StoredRoutes,
    StoreProblem,
)
from .configuration import decode_configuration

CALL_S = 3.0
WATCH_MS = 30000
MAX_PAGES = 20
_WATCH_SLACK_S = 2.0
_MS_PER_S = 1000
_CONFIGURATION = '/objects/config'
_CONFIGURATION_NAME = 'main'
_MEMBERS = '/objects/greengagepath-members'
_OK = 200
_CREATED = 201
_CONFLICT = 409
_GONE = 410
_DONE = frozenset((_OK, _CREATED, 204))

_Body = dict[str, Any]


class PlatformStore:
    """Calls over one connection, and watches over another."""

    def __init__(self, address: tuple[str, int]) -> None:
        # Calls by operation and outcome, for metrics.
        self.calls: Counter[tuple[str, str]] = Counter()
        self._address = address
        self._watching = HttpConnection(address)

    def read_routes(self) -> Result[StoredRoutes, StoreProblem]:
        """Return the configuration, linearizable."""
        called = self._call('read_routes', 'GET', _CONFIGURATION)
        if isinstance(called, Err):
            return called
        return self._routes_of(called.ok_value, called.ok_value.get('items'))

    def watch_routes(self, revision: int) -> Result[StoredRoutes, StoreProblem]:
        """Wait for a configuration after the revision."""
        target = f'{_CONFIGURATION}?watch={revision}&wait-ms={WATCH_MS}'
        timeout_s = WATCH_MS / _MS_PER_S + _WATCH_SLACK_S
        answer = self._watching.call('GET', target, b'', timeout_s)
        called = self._interpret('watch_routes', answer)
        if isinstance(called, Err):
            return called
        events = called.ok_value.get('events')
        changed = [
            event.get('object')
            for event in events or ()
            if isinstance(event, dict) and not event.get('removed')
        ]
        return self._routes_of(called.ok_value, changed)

    def list_members(self) -> Result[list[Member], StoreProblem]:
        """Return all processes that are registered."""
        members: list[Member] = []
        after = ''
        for _ in range(MAX_PAGES):
            query = f'?after={after}' if after else ''
            called = self._call('list_members', 'GET', _MEMBERS + query)
            if isinstance(called, Err):
                return called
            entries = called.ok_value.get('items') or []
            members.extend(filter(None, map(_decode_member, entries)))
            if not called.ok_value.get('more') or not entries:
                break
            after = _name_of(entries[-1])
        return Ok(members)

    def add_member(self, member: Member) -> Result[None, StoreProblem]:
        """Register a process; once more changes nothing."""
        entry = {
            'meta': {'name': format_address(member.address)},
            'spec': {'role': member.role.value},
            'status': None,
        }
        called = self._call('add_member', 'POST', _MEMBERS, entry)
        if isinstance(called, Err) and called.err_value.reason == _EXISTS:
            # The name is the address: an entry of an earlier VM at this
            # address may have another role.
            path = f'{_MEMBERS}/{format_address(member.address)}'
            called = self._call('add_member', 'PUT', path, entry)
        return called.map(lambda _: None)

    def remove_member(self, member: Member) -> Result[None, StoreProblem]:
        """Remove a process for good."""
        path = f'{_MEMBERS}/{format_address(member.address)}'
        return self._call('remove_member', 'DELETE', path).map(lambda _: None)

    def _call(
        self, operation: str, method: str, target: str, entry: Any = None
    ) -> Result[_Body, StoreProblem]:
        body = b'' if entry is None else json.dumps(entry).encode()
        connection = HttpConnection(self._address)
        try:
            answer = connection.call(method, target, body, CALL_S)
        finally:
            connection.close()
        return self._interpret(operation, answer)

    def _interpret(
        self, operation: str, answer: Result[HttpAnswer, str]
    ) -> Result[_Body, StoreProblem]:
        if isinstance(answer, Err):
            self.calls[operation, 'unanswered'] += 1
            return Err(StoreProblem(answer.err_value))
        status = answer.ok_value.status
        self.calls[operation, str(status)] += 1
        if status not in _DONE:
            is_lost = status == _GONE
            return Err(
                StoreProblem(f'status {status}', is_history_lost=is_lost)
            )
        try:
            decoded = json.loads(answer.ok_value.body or b'{}')
        except (ValueError, RecursionError):
            return Err(StoreProblem('answer is not JSON'))
        return Ok(decoded if isinstance(decoded, dict) else {})

    def _routes_of(
        self, called: _Body, entries: list[Any] | None
    ) -> Result[StoredRoutes, StoreProblem]:
        revision = called.get('current-rev')
        if not isinstance(revision, int):
            return Err(StoreProblem('answer has no revision'))
        latest: RouteTable | None = None
        for entry in entries or ():
            if _name_of(entry) != _CONFIGURATION_NAME:
                continue
            decoded = decode_configuration(entry.get('spec'))
            if isinstance(decoded, Err):
                return Err(StoreProblem(decoded.err_value))
            table = decoded.ok_value
            if latest is None or table.version > latest.version:
                latest = table
        return Ok(StoredRoutes(latest, revision))


def _name_of(entry: Any) -> str:
    meta = entry.get('meta') if isinstance(entry, dict) else None
    name = meta.get('name') if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ''


def _decode_member(entry: Any) -> Member | None:
    address = pack_address(_name_of(entry))
    spec = entry.get('spec') if isinstance(entry, dict) else None
    role = spec.get('role') if isinstance(spec, dict) else None
    if address is None or role not in _ROLES:
        return None
    return Member(address, MemberRole(role))


_EXISTS = f'status {_CONFLICT}'
_ROLES = frozenset(role.value for role in MemberRole)

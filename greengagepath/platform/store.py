"""Client of the platform's store; implements `SteeringStore`."""

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

CALL_TIMEOUT_S = 3.0
WATCH_TIMEOUT_MS = 30000
MAX_PAGES = 20
_WATCH_MARGIN_S = 2.0
_MS_PER_S = 1000
_CONFIGURATION = '/objects/config'
_CONFIGURATION_NAME = 'main'
_MEMBERS = '/objects/greengagepath-members'
_OK = 200
_CREATED = 201
_CONFLICT = 409
_GONE = 410
_SUCCESSES = frozenset((_OK, _CREATED, 204))

_Body = dict[str, Any]


class PlatformStore:
    """Reads and writes objects; watches the configuration.

    Each call opens a connection of its own; watches share one.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        # Number of calls by operation and outcome, for metrics.
        self.calls: Counter[tuple[str, str]] = Counter()
        self._address = address
        self._watch_connection = HttpConnection(address)

    def read_routes(self) -> Result[StoredRoutes, StoreProblem]:
        """Return the configuration with a linearizable read."""
        response = self._call('read_routes', 'GET', _CONFIGURATION)
        if isinstance(response, Err):
            return response
        return self._decode_routes(
            response.ok_value, response.ok_value.get('items')
        )

    def watch_routes(self, revision: int) -> Result[StoredRoutes, StoreProblem]:
        """Wait for a configuration that is newer than the revision.

        Waits up to `WATCH_TIMEOUT_MS`; without a newer configuration the
        table is None.
        """
        target = f'{_CONFIGURATION}?watch={revision}&wait-ms={WATCH_TIMEOUT_MS}'
        timeout_s = WATCH_TIMEOUT_MS / _MS_PER_S + _WATCH_MARGIN_S
        answer = self._watch_connection.call('GET', target, b'', timeout_s)
        response = self._interpret('watch_routes', answer)
        if isinstance(response, Err):
            return response
        events = response.ok_value.get('events')
        changed = [
            event.get('object')
            for event in events or ()
            if isinstance(event, dict) and not event.get('removed')
        ]
        return self._decode_routes(response.ok_value, changed)

    def list_members(self) -> Result[list[Member], StoreProblem]:
        """Return the registered processes, of at most `MAX_PAGES` pages."""
        members: list[Member] = []
        after = ''
        for _ in range(MAX_PAGES):
            query = f'?after={after}' if after else ''
            response = self._call('list_members', 'GET', _MEMBERS + query)
            if isinstance(response, Err):
                return response
            entries = response.ok_value.get('items') or []
            members.extend(filter(None, map(_decode_member, entries)))
            if not response.ok_value.get('more') or not entries:
                break
            after = _decode_name(entries[-1])
        return Ok(members)

    def add_member(self, member: Member) -> Result[None, StoreProblem]:
        """Register a process; repeating the call has no further effect."""
        entry = {
            'meta': {'name': format_address(member.address)},
            'spec': {'role': member.role.value},
            'status': None,
        }
        response = self._call('add_member', 'POST', _MEMBERS, entry)
        if (
            isinstance(response, Err)
            and response.err_value.reason == _CONFLICT_REASON
        ):
            # Entries are named by address: the existing one may be of an
            # earlier VM at this address and have another role.
            path = f'{_MEMBERS}/{format_address(member.address)}'
            response = self._call('add_member', 'PUT', path, entry)
        return response.map(lambda _: None)

    def remove_member(self, member: Member) -> Result[None, StoreProblem]:
        """Remove the entry of a process."""
        path = f'{_MEMBERS}/{format_address(member.address)}'
        return self._call('remove_member', 'DELETE', path).map(lambda _: None)

    def _call(
        self, operation: str, method: str, target: str, entry: Any = None
    ) -> Result[_Body, StoreProblem]:
        body = b'' if entry is None else json.dumps(entry).encode()
        connection = HttpConnection(self._address)
        try:
            answer = connection.call(method, target, body, CALL_TIMEOUT_S)
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
        if status not in _SUCCESSES:
            is_history_lost = status == _GONE
            return Err(
                StoreProblem(
                    f'status {status}', is_history_lost=is_history_lost
                )
            )
        try:
            decoded = json.loads(answer.ok_value.body or b'{}')
        except (ValueError, RecursionError):
            return Err(StoreProblem('answer is not JSON'))
        return Ok(decoded if isinstance(decoded, dict) else {})

    def _decode_routes(
        self, body: _Body, entries: list[Any] | None
    ) -> Result[StoredRoutes, StoreProblem]:
        revision = body.get('current-rev')
        if not isinstance(revision, int):
            return Err(StoreProblem('answer has no revision'))
        latest: RouteTable | None = None
        for entry in entries or ():
            if _decode_name(entry) != _CONFIGURATION_NAME:
                continue
            decoded = decode_configuration(entry.get('spec'))
            if isinstance(decoded, Err):
                return Err(StoreProblem(decoded.err_value))
            table = decoded.ok_value
            if latest is None or table.version > latest.version:
                latest = table
        return Ok(StoredRoutes(latest, revision))


def _decode_name(entry: Any) -> str:
    meta = entry.get('meta') if isinstance(entry, dict) else None
    name = meta.get('name') if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ''


def _decode_member(entry: Any) -> Member | None:
    address = pack_address(_decode_name(entry))
    spec = entry.get('spec') if isinstance(entry, dict) else None
    role = spec.get('role') if isinstance(spec, dict) else None
    if address is None or role not in _ROLES:
        return None
    return Member(address, MemberRole(role))


_CONFLICT_REASON = f'status {_CONFLICT}'
_ROLES = frozenset(role.value for role in MemberRole)

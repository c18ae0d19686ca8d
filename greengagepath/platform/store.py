"""Client of the platform's store; implements `SteeringStore`."""

import json
import logging
import string
from collections import Counter
from typing import Any

from result import Err, Ok, Result

from ..daemon.http_connection import HttpAnswer, HttpConnection
from ..foundation.logs import log_event
from ..foundation.store_version import StoreVersion
from ..foundation.tolerant_json import decode_json
from ..steering.routes import RouteTable
from ..steering.settings import (
    DEFAULT_APPLY_LIMIT_S,
)
from ..steering.store import (
    Member,
    MemberList,
    StoredRoutes,
    StoredZones,
    StoreProblem,
)
from ..steering.store_eras import StoreEras
from .configuration import decode_configuration
from .members import (
    MEMBERS,
    decode_member,
    decode_name,
    decode_revision,
    encode_member,
    find_member_path,
)

# A call may wait for this share of the time in which a configuration has to
# be in force, so that a lost answer leaves room for another call. After an
# unanswered call the limit doubles, up to the whole time, since the store
# may be slow.
CALL_SHARE = 0.2
# A watch only makes changes known sooner. That none was missed is learned
# from reads, so its limit depends on no other bound.
WATCH_TIMEOUT_MS = 30000
# A page has about 500 entries.
MAX_PAGES = 100
_WATCH_MARGIN_S = 2.0
_MS_PER_S = 1000
_CONFIGURATION = '/objects/config'
_CONFIGURATION_NAME = 'main'
_EVACUATIONS = '/objects/evacuations'
_ERA_HEADER = b'store-era'
_MAX_ERA_DIGITS = 12
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_SUCCESSES = frozenset((_OK, _CREATED, 204))

_Body = dict[str, Any]

_logger = logging.getLogger(__name__)


class PlatformStore:
    """Reads and writes objects; watches the configuration.

    Each call opens a connection of its own; watches share one. `apply_s`
    is the time in seconds in which a configuration has to be in force.
    """

    def __init__(
        self, address: tuple[str, int], apply_s: float = DEFAULT_APPLY_LIMIT_S
    ) -> None:
        # Number of calls by operation and outcome, for metrics.
        self.calls: Counter[tuple[str, str]] = Counter()
        self.apply_s = apply_s
        self.eras = StoreEras()
        # It waits for changes after a revision of the earlier era.
        self.eras.subscribe(self.interrupt_watch)
        self._address = address
        self._first_limit_s = apply_s * CALL_SHARE
        self._call_limit_s = self._first_limit_s
        self._watch_connection = HttpConnection(address)

    def read_routes(self) -> Result[StoredRoutes, StoreProblem]:
        """Return the configuration with a linearizable read."""
        response = self._call('read_routes', 'GET', _CONFIGURATION)
        if isinstance(response, Err):
            return response
        entries = _read_list(response.ok_value, 'items')
        decoded = self._decode_routes(response.ok_value, entries)
        has_entry = _CONFIGURATION_NAME in map(decode_name, entries)
        if has_entry and decoded.is_ok() and decoded.ok_value.table is None:
            return Err(StoreProblem('configuration cannot be decoded'))
        return decoded

    def watch_routes(
        self, version: StoreVersion
    ) -> Result[StoredRoutes, StoreProblem]:
        """Wait for a configuration that is newer than the version.

        Waits up to `WATCH_TIMEOUT_MS`; without a newer configuration the
        table is None. The history of an earlier era is lost, also where
        the store has given its revision out again.
        """
        if version.era < self.eras.latest:
            return Err(_EARLIER_ERA)
        query = f'watch={version.revision}&wait-ms={WATCH_TIMEOUT_MS}'
        target = f'{_CONFIGURATION}?{query}'
        timeout_s = WATCH_TIMEOUT_MS / _MS_PER_S + _WATCH_MARGIN_S
        answer = self._watch_connection.call('GET', target, b'', timeout_s)
        response = self._interpret('watch_routes', answer)
        if isinstance(response, Err):
            return response
        if version.era < self.eras.latest:
            return Err(_EARLIER_ERA)
        changed = [
            event.get('object')
            for event in _read_list(response.ok_value, 'events')
            if isinstance(event, dict) and not event.get('removed')
        ]
        return self._decode_routes(response.ok_value, changed)

    def interrupt_watch(self) -> None:
        """Close the connection of the watch, so that its call fails."""
        self._watch_connection.close()

    def list_evacuated_zones(self) -> Result[StoredZones, StoreProblem]:
        """Return the evacuated zones, of the first page of the list.

        Entries without a readable name are skipped and counted in `calls`
        as `odd_entry`.
        """
        response = self._call('list_evacuated_zones', 'GET', _EVACUATIONS)
        if isinstance(response, Err):
            return response
        version = self._read_version(response.ok_value)
        if version is None:
            return Err(StoreProblem('answer has no revision'))
        entries = _read_list(response.ok_value, 'items')
        names = list(filter(None, map(decode_name, entries)))
        odd = len(entries) - len(names)
        if odd:
            self.calls['list_evacuated_zones', 'odd_entry'] += odd
        return Ok(StoredZones(names, version))

    def list_members(self) -> Result[MemberList, StoreProblem]:
        """Return the registered processes, of at most `MAX_PAGES` pages.

        Entries that cannot be decoded are skipped and counted in `calls`
        as `odd_entry`.
        """
        members: list[Member] = []
        after = ''
        for _ in range(MAX_PAGES):
            query = f'?after={_quote(after)}' if after else ''
            response = self._call('list_members', 'GET', MEMBERS + query)
            if isinstance(response, Err):
                return response
            entries = _read_list(response.ok_value, 'items')
            members += self._decode_members(entries)
            last = max(map(decode_name, entries), default='')
            if not response.ok_value.get('more'):
                return Ok(MemberList(members, self.eras.latest))
            if last <= after:
                # No entry of the page has a name to continue after.
                break
            after = last
        log_event(
            _logger,
            'members.cut',
            level=logging.WARNING,
            members=len(members),
            after=after,
        )
        return Ok(MemberList(members, self.eras.latest, is_whole=False))

    def add_member(self, member: Member) -> Result[None, StoreProblem]:
        """Register a process; repeating the call has no further effect.

        Entries are named by address: an existing one may be of an earlier
        VM. It is replaced only if nobody has changed it meanwhile.
        """
        response = self._call(
            'add_member', 'POST', MEMBERS, encode_member(member, 0)
        )
        if _has_status(response, _CONFLICT):
            found = self._call('add_member', 'GET', find_member_path(member))
            if isinstance(found, Err):
                return found
            entry = encode_member(member, decode_revision(found.ok_value))
            response = self._call(
                'add_member', 'PUT', find_member_path(member), entry
            )
        if isinstance(response, Err):
            return response
        member.revision = decode_revision(response.ok_value)
        return Ok(None)

    def is_registered(self, member: Member) -> Result[bool, StoreProblem]:
        """Return whether the entry is there, with a read that may be stale."""
        target = f'{find_member_path(member)}?is-stale=1'
        response = self._call('is_registered', 'GET', target)
        if _has_status(response, _NOT_FOUND):
            return Ok(False)
        if isinstance(response, Err):
            return response
        found = decode_member(response.ok_value)
        return Ok(found is not None and found.is_same(member))

    def remove_member(self, member: Member) -> Result[None, StoreProblem]:
        """Remove the entry of a process in the state that it has written.

        The call may be executed seconds later, when the address and the
        entry are those of another VM.
        """
        target = f'{find_member_path(member)}?revision={member.revision}'
        return self._call('remove_member', 'DELETE', target).map(lambda _: None)

    def _call(
        self, operation: str, method: str, target: str, entry: Any = None
    ) -> Result[_Body, StoreProblem]:
        body = b'' if entry is None else json.dumps(entry).encode()
        connection = HttpConnection(self._address)
        try:
            answer = connection.call(method, target, body, self._call_limit_s)
        finally:
            connection.close()
        self._adapt_limit(is_answered=answer.is_ok())
        return self._interpret(operation, answer)

    def _adapt_limit(self, *, is_answered: bool) -> None:
        self._call_limit_s = (
            self._first_limit_s
            if is_answered
            else min(self._call_limit_s * 2, self.apply_s)
        )

    def _interpret(
        self, operation: str, answer: Result[HttpAnswer, str]
    ) -> Result[_Body, StoreProblem]:
        if isinstance(answer, Err):
            self.calls[operation, 'unanswered'] += 1
            return Err(StoreProblem(answer.err_value))
        status = answer.ok_value.status
        self.calls[operation, str(status)] += 1
        if not self.eras.record(_decode_era(answer.ok_value)):
            return Err(StoreProblem('answer of an earlier era'))
        if status not in _SUCCESSES:
            is_history_lost = status == _GONE
            return Err(
                StoreProblem(
                    f'status {status}', is_history_lost=is_history_lost
                )
            )
        decoded = decode_json(answer.ok_value.body or b'{}')
        if isinstance(decoded, Err):
            return Err(StoreProblem(f'answer is {decoded.err_value}'))
        body = decoded.ok_value
        return Ok(body if isinstance(body, dict) else {})

    def _decode_members(self, entries: list[Any]) -> list[Member]:
        members = list(filter(None, map(decode_member, entries)))
        odd = len(entries) - len(members)
        if odd:
            self.calls['list_members', 'odd_entry'] += odd
            log_event(
                _logger,
                'members.odd_entries',
                level=logging.WARNING,
                repeats=True,
                odd=odd,
                members=len(members),
            )
        return members

    def _decode_routes(
        self, body: _Body, entries: list[Any]
    ) -> Result[StoredRoutes, StoreProblem]:
        """Return the highest version that can be decoded.

        Others are logged and skipped, so that the watch goes on behind
        them.
        """
        version = self._read_version(body)
        if version is None:
            return Err(StoreProblem('answer has no revision'))
        latest: RouteTable | None = None
        for entry in entries:
            if decode_name(entry) != _CONFIGURATION_NAME:
                continue
            decoded = decode_configuration(entry.get('spec'))
            if isinstance(decoded, Err):
                self.calls['decode_routes', 'odd_entry'] += 1
                log_event(
                    _logger,
                    'configuration.unreadable',
                    level=logging.ERROR,
                    repeats=True,
                    revision=version.revision,
                    reason=decoded.err_value,
                )
                continue
            table = decoded.ok_value
            if latest is None or table.version > latest.version:
                latest = table
        return Ok(StoredRoutes(latest, version))

    def _read_version(self, body: _Body) -> StoreVersion | None:
        """Return the version in the latest answer, None if it has none."""
        revision = body.get('current-rev')
        if not isinstance(revision, int) or revision < 0:
            return None
        return StoreVersion(self.eras.latest, revision)


def _decode_era(answer: HttpAnswer) -> int:
    """Return the era in an answer's headers, 0 if it names none."""
    text = answer.headers.get(_ERA_HEADER, b'')
    is_number = text.isdigit() and len(text) <= _MAX_ERA_DIGITS
    return int(text) if is_number else 0


def _read_list(body: _Body, name: str) -> list[Any]:
    found = body.get(name)
    return found if isinstance(found, list) else []


def _quote(name: str) -> str:
    """Return a name for the query of a request.

    `urllib.parse` would cost each process 1 MB.
    """
    encoded = name.encode('utf-8', 'replace')
    return ''.join(
        chr(octet) if octet in _UNQUOTED else f'%{octet:02X}'
        for octet in encoded
    )


def _has_status(response: Result[_Body, StoreProblem], status: int) -> bool:
    reason = response.err_value.reason if isinstance(response, Err) else ''
    return reason == f'status {status}'


_EARLIER_ERA = StoreProblem('watch of an earlier era', is_history_lost=True)
_UNQUOTED = frozenset(f'-._~{string.digits}{string.ascii_letters}'.encode())

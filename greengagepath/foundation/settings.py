"""Settings of a daemon, read from one TOML file."""

import ipaddress
from collections.abc import Callable, Iterator
from datetime import datetime
from pathlib import Path
from typing import TypeVar

from msgspec import structs
from result import Result

from ..generated.settings import (
    KeySettings,
    Role,
    Settings,
    TargetSettings,
    TlsSettings,
    ToolSettings,
)
from .addresses import Address
from .validation import (
    Finding,
    SettingProblem,
    check_document,
    read_toml,
)

_Kind = TypeVar('_Kind', Settings, ToolSettings)

MAX_PORT = 65535
_IPV4 = 'an IPv4 address such as 10.0.0.7'


def load_settings(
    path: str | Path,
) -> Result[Settings, list[SettingProblem]]:
    """Return the checked settings of a daemon, or all problems at once.

    The file gives paths of key and certificate files relative to its own
    folder; in the result they are absolute.
    """
    return _load(Path(path), Settings, _find_contradictions)


def load_tool_settings(
    path: str | Path,
) -> Result[ToolSettings, list[SettingProblem]]:
    """Return the checked settings of the command-line tool, or all problems.

    Paths are resolved as in `load_settings`.
    """
    return _load(Path(path), ToolSettings, _find_tool_contradictions)


def parse_address(text: str) -> Address | None:
    """Return host and port of `10.0.0.7:4001`, or None if malformed."""
    host, _, port = text.rpartition(':')
    if not is_ipv4(host) or not port.isdecimal():
        return None
    number = int(port)
    return (host, number) if 0 < number <= MAX_PORT else None


def _load(
    source: Path,
    kind: type[_Kind],
    find_contradictions: Callable[[_Kind], Iterator[Finding]],
) -> Result[_Kind, list[SettingProblem]]:
    return (
        read_toml(source)
        .and_then(
            lambda document: check_document(document, kind, find_contradictions)
        )
        .map(lambda loaded: _resolve_paths(loaded, source.absolute().parent))
    )


def _find_contradictions(settings: Settings) -> Iterator[Finding]:
    yield from _check_addresses(settings)
    yield from _check_role(settings)
    yield from _check_keys(settings.keys)
    yield from _check_url(settings.object_api.url)
    yield from _check_periods(settings)


def _find_tool_contradictions(settings: ToolSettings) -> Iterator[Finding]:
    yield from _check_keys(settings.keys)
    yield from _check_url(settings.object_api.url)
    for position, address in enumerate(settings.balancers):
        if parse_address(address) is None:
            allowed = 'address and control port such as 10.0.0.7:4001'
            yield f'balancers[{position}]', address, allowed


def _check_url(url: str) -> Iterator[Finding]:
    if not url.startswith('http://'):
        yield 'object_api.url', url, 'a URL that starts with http://'


def _check_addresses(settings: Settings) -> Iterator[Finding]:
    hosts_by_key = {
        'node.host': settings.node.host,
        'fabric.host': settings.fabric.host,
    }
    if settings.target is not None:
        hosts_by_key['target.host'] = settings.target.host
    for key, host in hosts_by_key.items():
        if not is_ipv4(host):
            yield key, host, _IPV4


def _check_role(settings: Settings) -> Iterator[Finding]:
    if settings.role is Role.agent and settings.target is None:
        yield 'target', None, 'a table [target] for the role agent'
    if settings.role is Role.balancer and settings.target is not None:
        shown = _format_target(settings.target)
        yield 'target', shown, 'no table [target] for the role balancer'


def _check_keys(keys: list[KeySettings]) -> Iterator[Finding]:
    seen: set[int] = set()
    for position, entry in enumerate(keys):
        if entry.key_id in seen:
            key = f'keys[{position}].key_id'
            yield key, entry.key_id, 'a key_id that no other key has'
        seen.add(entry.key_id)
        if parse_expiry(entry.not_after) is None:
            key = f'keys[{position}].not_after'
            allowed = 'date and time with offset: 2027-01-31T00:00:00+00:00'
            yield key, entry.not_after, allowed


def _check_periods(settings: Settings) -> Iterator[Finding]:
    limits = settings.limits
    if limits.lease_renew_s >= limits.lease_s:
        allowed = f'below limits.lease_s = {limits.lease_s:g}'
        yield 'limits.lease_renew_s', limits.lease_renew_s, allowed
    if limits.heartbeat_s >= limits.suspect_after_s:
        allowed = f'below limits.suspect_after_s = {limits.suspect_after_s:g}'
        yield 'limits.heartbeat_s', limits.heartbeat_s, allowed


def is_ipv4(host: str) -> bool:
    """Return whether the text is a dotted IPv4 address."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def parse_expiry(not_after: str) -> float | None:
    """Return the expiry in seconds since the epoch, or None if malformed.

    Empty text means that the key does not expire and returns infinity.
    A time without UTC offset is malformed, because hosts may be in
    different time zones.
    """
    if not not_after:
        return float('inf')
    try:
        expiry = datetime.fromisoformat(not_after)
    except ValueError:
        return None
    return expiry.timestamp() if expiry.tzinfo else None


def _format_target(target: TargetSettings) -> str:
    return f'{target.host}:{target.port}'


def _resolve_paths(settings: _Kind, folder: Path) -> _Kind:
    keys = [
        structs.replace(entry, secret_file=str(folder / entry.secret_file))
        for entry in settings.keys
    ]
    tls = settings.tls
    if tls is not None:
        tls = TlsSettings(
            certificate_file=str(folder / tls.certificate_file),
            key_file=str(folder / tls.key_file),
            authority_file=str(folder / tls.authority_file),
        )
    return structs.replace(settings, keys=keys, tls=tls)

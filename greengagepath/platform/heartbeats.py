"""Heartbeats that targets send to the agent on their VM."""

from typing import Any

from result import Err, Ok, Result

from ..foundation.tolerant_json import decode_json
from ..steering.settings import MAX_PORT, pack_address
from ..steering.targets.incarnations import Heartbeat

PATH_PREFIX = '/endpoints/'
ACKNOWLEDGEMENT = b'{}'
_DRAINING_BY_STATE = {'ready': False, 'draining': True}
_MAX_ID_CHARACTERS = 200
# Fields that each heartbeat has; one without them is of another writer.
_TEXTS = ('address', 'zone', 'version')
_MAX_PORT_DIGITS = 5
_NUMBERS = ('sequence', 'slots', 'cold-remaining-ms')
_MS_PER_S = 1000
# The largest number that load reports can hold.
_MAX_UNSIGNED = 0xFFFFFFFFFFFFFFFF


def decode_target_id(path: str) -> str | None:
    """Return the target id in the path of a call, None without one."""
    if not path.startswith(PATH_PREFIX):
        return None
    target_id = path[len(PATH_PREFIX) :].partition('?')[0]
    if not target_id or len(target_id) > _MAX_ID_CHARACTERS:
        return None
    return target_id


def decode_heartbeat(
    target_id: str, body: bytes, service: str
) -> Result[Heartbeat, str]:
    """Return the heartbeat, or why it is not a valid one of `service`."""
    decoded = decode_json(body)
    if isinstance(decoded, Err):
        return Err(f'heartbeat is {decoded.err_value}')
    found = decoded.ok_value
    if not isinstance(found, dict):
        return Err('heartbeat is not an object')
    if found.get('service') != service:
        return Err('heartbeat names another service')
    state = found.get('state')
    if not isinstance(state, str) or state not in _DRAINING_BY_STATE:
        return Err('state is unknown')
    has_texts = all(isinstance(found.get(name), str) for name in _TEXTS)
    if not has_texts or not _is_address(found['address']):
        return Err('a text is missing, or address has no valid port')
    numbers = [_read_unsigned(found, name) for name in _NUMBERS]
    # Older targets do not send their start time.
    started_ms = _read_unsigned(found, 'born') if 'born' in found else 0
    if None in numbers or started_ms is None:
        return Err('a number is missing, not whole or out of range')
    heartbeat = Heartbeat(
        target_id,
        started_ms=started_ms,
        sequence=numbers[0] or 0,
        slots=max(numbers[1] or 1, 1),
        is_draining=_DRAINING_BY_STATE[state],
        cold_remaining_s=(numbers[2] or 0) / _MS_PER_S,
    )
    return Ok(heartbeat)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    if pack_address(host) is None or not port.isdecimal():
        return False
    return len(port) <= _MAX_PORT_DIGITS and 0 < int(port) <= MAX_PORT


def _read_unsigned(found: dict[str, Any], name: str) -> int | None:
    number = found.get(name)
    if isinstance(number, bool) or not isinstance(number, int):
        return None
    return number if 0 <= number <= _MAX_UNSIGNED else None

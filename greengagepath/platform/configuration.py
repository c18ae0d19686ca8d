"""Decodes the operator's configuration into routes."""

import math
from typing import Any

from result import Err, Ok, Result

from ..steering.messages.peer_messages import MAX_VERSION, digest_service
from ..steering.routes import Route, RouteTable, ServiceShare
from ..steering.settings import pack_address

_MS_PER_S = 1000
_MAX_ERROR_CHARACTERS = 200
_MAX_PORT = 65535
# RecursionError: the text of an error quotes a deeply nested value.
_DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def decode_configuration(spec: Any) -> Result[RouteTable, str]:
    """Return the routes, or why the object cannot be decoded.

    One invalid route is an error of the whole object, because a
    configuration must not come into force in part.
    """
    try:
        return Ok(_decode(spec))
    except _DECODE_ERRORS as error:
        return Err(f'configuration cannot be read: {_shorten(error)}')


def _decode(spec: Any) -> RouteTable:
    version = spec['version']
    if not isinstance(version, int) or not 0 < version <= MAX_VERSION:
        raise ValueError(f'version {version!r}')
    digests: dict[str, bytes] = {}
    by_destination = {}
    for entry in spec['routes']:
        address = pack_address(entry['host'])
        port = int(entry['path-prefix'].strip('/'))
        if address is None or not 0 < port <= _MAX_PORT:
            raise ValueError(f'host {entry["host"]!r} port {port}')
        destination = port.to_bytes(2, 'big') + address
        by_destination[destination] = _decode_route(entry, digests)
    return RouteTable(
        version, by_destination, _decode_cold_rates(spec, digests)
    )


def _decode_route(entry: dict[str, Any], digests: dict[str, bytes]) -> Route:
    shares = entry.get('backends') or [{'service': entry['service']}]
    return Route(
        entry['name'],
        tuple(
            ServiceShare(
                _digest(share['service'], digests),
                _read_number(share, 'weight', 1),
            )
            for share in shares
        ),
        objective_s=_read_number(entry, 'target-latency-ms', 0) / _MS_PER_S,
        priority=int(_read_number(entry, 'priority', 0)),
    )


def _decode_cold_rates(
    spec: dict[str, Any], digests: dict[str, bytes]
) -> dict[bytes, float]:
    """Return the rates of cold targets of the services that state one."""
    rate_by_service = {
        _digest(entry['name'], digests): _read_number(entry, 'cold-per-s', 0)
        for entry in spec.get('services', ())
    }
    return {
        service: per_s for service, per_s in rate_by_service.items() if per_s
    }


def _read_number(entry: dict[str, Any], name: str, default: float) -> float:
    number = float(entry.get(name, default))
    # Not a number compares as False.
    if not 0 <= number < math.inf:
        raise ValueError(f'{name} {number}')
    return number


def _shorten(error: Exception) -> str:
    return repr(error)[:_MAX_ERROR_CHARACTERS]


def _digest(name: str, digests: dict[str, bytes]) -> bytes:
    if name not in digests:
        digests[name] = digest_service(name)
    return digests[name]

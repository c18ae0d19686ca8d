"""Decodes the operator's configuration into routes."""

from typing import Any

from result import Err, Ok, Result

from ..steering.peer_messages import MAX_VERSION, digest_service
from ..steering.routes import Route, RouteTable, ServiceShare
from ..steering.settings import pack_address

_MS_PER_S = 1000
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_configuration(spec: Any) -> Result[RouteTable, str]:
    """Return the routes, or why the object cannot be decoded.

    One invalid route is an error of the whole object, because a
    configuration must not come into force in part.
    """
    try:
        return Ok(_decode(spec))
    except _DECODE_ERRORS as error:
        return Err(f'configuration cannot be read: {error!r}')


def _decode(spec: Any) -> RouteTable:
    version = spec['version']
    if not isinstance(version, int) or not 0 < version <= MAX_VERSION:
        raise ValueError(f'version {version!r}')
    digests: dict[str, bytes] = {}
    by_destination = {}
    for entry in spec['routes']:
        address = pack_address(entry['host'])
        port = int(entry['path-prefix'].strip('/'))
        if address is None:
            raise ValueError(f'host {entry["host"]!r}')
        destination = port.to_bytes(2, 'big') + address
        by_destination[destination] = _decode_route(entry, digests)
    return RouteTable(version, by_destination)


def _decode_route(entry: dict[str, Any], digests: dict[str, bytes]) -> Route:
    shares = entry.get('backends') or [{'service': entry['service']}]
    return Route(
        entry['name'],
        tuple(
            ServiceShare(
                _digest(share['service'], digests),
                float(share.get('weight', 1)),
            )
            for share in shares
        ),
        objective_s=float(entry.get('target-latency-ms', 0)) / _MS_PER_S,
        priority=int(entry.get('priority', 0)),
    )


def _digest(name: str, digests: dict[str, bytes]) -> bytes:
    if name not in digests:
        digests[name] = digest_service(name)
    return digests[name]

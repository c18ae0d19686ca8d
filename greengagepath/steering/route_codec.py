"""Compact encoding of routes for the transfer between processes."""

import struct
from collections.abc import Iterator

from result import Err, Ok, Result

from .peer_messages import MAX_OBJECTIVE_MS, MAX_PRIORITY
from .routes import Route, RouteTable, ServiceShare

# Destination, priority, latency objective in ms, count of shares, length
# of the name.
_ROUTE = struct.Struct('!6sBHBB')
_SHARE = struct.Struct('!8sf')
_MS_PER_S = 1000
_MAX_NAME_BYTES = 255
_MAX_SHARES = 255


def encode_routes(table: RouteTable) -> bytes:
    """Return all routes of a table; the version is sent separately."""
    return b''.join(
        _encode_route(destination, route)
        for destination, route in sorted(table.by_destination.items())
    )


def decode_routes(version: int, encoded: bytes) -> Result[RouteTable, str]:
    """Return the table, or why the bytes cannot be decoded."""
    try:
        return Ok(RouteTable(version, dict(_decode(encoded))))
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        return Err(f'routes cannot be read: {error}')


def _encode_route(destination: bytes, route: Route) -> bytes:
    name = route.name.encode()[:_MAX_NAME_BYTES]
    shares = route.shares[:_MAX_SHARES]
    head = _ROUTE.pack(
        destination,
        min(route.priority, MAX_PRIORITY),
        min(round(route.objective_s * _MS_PER_S), MAX_OBJECTIVE_MS),
        len(shares),
        len(name),
    )
    tail = b''.join(
        _SHARE.pack(share.service, share.weight) for share in shares
    )
    return b''.join((head, name, tail))


def _decode(encoded: bytes) -> Iterator[tuple[bytes, Route]]:
    offset = 0
    while offset < len(encoded):
        fields = _ROUTE.unpack_from(encoded, offset)
        destination, priority, objective_ms, count, size = fields
        offset += _ROUTE.size
        name = encoded[offset : offset + size].decode(errors='replace')
        offset += size
        shares = tuple(
            ServiceShare(
                *_SHARE.unpack_from(encoded, offset + at * _SHARE.size)
            )
            for at in range(count)
        )
        offset += count * _SHARE.size
        yield (
            destination,
            Route(
                name,
                shares,
                objective_s=objective_ms / _MS_PER_S,
                priority=priority,
            ),
        )

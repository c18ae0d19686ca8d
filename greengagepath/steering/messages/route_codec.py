"""Compact encoding of routes for the transfer between processes."""

import struct
from collections.abc import Iterator

from result import Err, Ok, Result

from ..routes import Route, RouteTable, ServiceShare
from .peer_messages import MAX_OBJECTIVE_MS, MAX_PRIORITY

# Destination, priority, latency objective in ms, count of shares, length
# of the name.
_ROUTE = struct.Struct('!6sBHBB')
_SHARE = struct.Struct('!8sf')
_MS_PER_S = 1000
_MAX_NAME_BYTES = 255
_MAX_SHARES = 255
# Rates of cold targets are encoded as a route to port 0, with the rate of
# each service as its weight. Builds that know no such rates keep the entry
# and never match it.
_COLD_RATES = bytes(6)
_COLD_RATES_NAME = 'cold-rates'


def encode_routes(table: RouteTable) -> bytes:
    """Return all routes of a table; the version is sent separately."""
    by_destination = dict(table.by_destination)
    if table.cold_per_s_by_service:
        rates = sorted(table.cold_per_s_by_service.items())
        by_destination[_COLD_RATES] = Route(
            _COLD_RATES_NAME,
            tuple(ServiceShare(service, per_s) for service, per_s in rates),
        )
    return b''.join(
        _encode_route(destination, route)
        for destination, route in sorted(by_destination.items())
    )


def decode_routes(version: int, encoded: bytes) -> Result[RouteTable, str]:
    """Return the table, or why the bytes cannot be decoded."""
    try:
        by_destination = dict(_decode(encoded))
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        return Err(f'routes cannot be read: {error}')
    rates = by_destination.get(_COLD_RATES)
    if rates is None or rates.name != _COLD_RATES_NAME:
        return Ok(RouteTable(version, by_destination))
    del by_destination[_COLD_RATES]
    cold_per_s = {share.service: share.weight for share in rates.shares}
    return Ok(RouteTable(version, by_destination, cold_per_s))


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

"""Agents to which an agent reports each change of its load.

Load pattern: every request changes the load of its target twice. Reports
of each change to all agents of a service grow with the square of the
service. An agent therefore reports to a few neighbours; each home places
its flows by the fresh loads of its neighbours, and the chosen agent may
hand a flow on to one of its own. The choice among eight loads is nearly
as good as that among all, and avoids that all homes choose the same one.
Every zone has neighbours of each agent, so that a home knows targets in
the zone of any caller, and a surplus of one zone reaches all others evenly.
"""

from collections.abc import Iterable, Iterator, Mapping
from itertools import zip_longest

import xxhash

# A service with fewer other agents reports to all of them.
MAX_NEIGHBOURS = 8
# Half of the neighbours are in the own availability zone, where reports
# cost least; the others are taken from all other zones in turn.
ZONE_NEIGHBOURS = 4
UNKNOWN_ZONE = 0
_MAX_ZONE = 0xFFFF
_MAX_NARROW_ZONE = 0xFF


def digest_zone(name: str) -> int:
    """Return the number of 1 to 65535 that identifies a zone in reports."""
    return xxhash.xxh32_intdigest(name.encode()) % _MAX_ZONE + 1


def narrow_zone(zone: int) -> int:
    """Return the number of 1 to 255 that identifies a zone in one byte.

    0 if the zone is unknown. Two of three zones have the same number once
    in 85 deployments; flows then cross between these two as if they were
    one zone.
    """
    return UNKNOWN_ZONE if zone == UNKNOWN_ZONE else zone % _MAX_NARROW_ZONE + 1


def choose_neighbours(
    own_address: bytes, own_zone: int, zone_by_address: Mapping[bytes, int]
) -> list[bytes]:
    """Return at most `MAX_NEIGHBOURS` of the other agents.

    Agents are arranged in rings by a hash of their address, one ring of
    each zone and one of all. An agent takes those at the same distances
    before and behind it, and in other zones those at about its own place,
    so that about as many report to each agent as it reports to.
    """
    others = [address for address in zone_by_address if address != own_address]
    if len(others) <= MAX_NEIGHBOURS:
        return sorted(others)
    chosen: dict[bytes, None] = {}
    if own_zone != UNKNOWN_ZONE:
        near = [
            address
            for address in others
            if zone_by_address[address] == own_zone
        ]
        _take(chosen, _walk_ring(own_address, near), ZONE_NEIGHBOURS)
        distant = _walk_zones(own_address, own_zone, zone_by_address)
        _take(chosen, distant, MAX_NEIGHBOURS)
    _take(chosen, _walk_ring(own_address, others), MAX_NEIGHBOURS)
    return list(chosen)


def _take(
    chosen: dict[bytes, None], candidates: Iterator[bytes], limit: int
) -> None:
    """Add candidates until `limit` are chosen."""
    for address in candidates:
        if len(chosen) >= limit:
            return
        chosen[address] = None


def _walk_ring(own_address: bytes, others: list[bytes]) -> Iterator[bytes]:
    """Yield the other agents of a ring, at distances 1, 2, 4, 8 and so on.

    Growing distances keep a surplus of load from staying among a few
    agents. Agents at other distances follow in the order of the ring.
    """
    ring = _arrange_ring((*others, own_address))
    own = ring.index(own_address)
    size = len(ring)
    distance = 1
    while distance <= size // 2:
        yield ring[(own + distance) % size]
        yield ring[own - distance]
        distance *= 2
    yield from (address for address in ring if address != own_address)


def _walk_zones(
    own_address: bytes, own_zone: int, zone_by_address: Mapping[bytes, int]
) -> Iterator[bytes]:
    """Yield the agents of the other zones, one of each zone in turn.

    They begin at the place that the agent has in the ring of its zone. Of
    two zones, one walks forwards and the other backwards, so that agents of
    zones of equal size choose each other.
    """
    rings: dict[int, list[bytes]] = {}
    zones = {**zone_by_address, own_address: own_zone}
    for address in _arrange_ring(zones):
        rings.setdefault(zones[address], []).append(address)
    own_ring = rings.pop(own_zone)
    own = own_ring.index(own_address)
    walks = []
    for zone, ring in sorted(rings.items()):
        start = own * len(ring) // len(own_ring)
        if own_zone < zone:
            walks.append(ring[start:] + ring[:start])
        else:
            walks.append(ring[start::-1] + ring[:start:-1])
    for row in zip_longest(*walks):
        yield from filter(None, row)


def _arrange_ring(addresses: Iterable[bytes]) -> list[bytes]:
    """Return the addresses in the order of their hashes."""
    return sorted(
        addresses,
        key=lambda address: (xxhash.xxh3_64_intdigest(address), address),
    )

"""Discovery of balancers in other availability zones."""

from collections.abc import Mapping

from ..foundation.addresses import Address
from ..foundation.object_api import ObjectKind, ObjectOutcome
from ..generated.messages import MemberRecord
from .bridge_parts import BridgeParts
from .peers import PeerRole
from .seeds import SEED_CHECK_S, addresses_of
from .table import MemberTable

# Period in which a bridge lists the seeds of all zones to find new ones.
DISCOVERY_S = 60.0


class ZoneDirectory:
    """Addresses of bridges and seeds in other zones."""

    def __init__(self, parts: BridgeParts) -> None:
        self._parts = parts
        self._zone = parts.own.record.availability_zone
        self._seeds_by_zone: dict[str, list[Address]] = {}
        self._next_read_s = 0.0

    def step(self) -> None:
        """Read the seeds of all zones when due."""
        now_s = self._parts.ports.timers.now()
        if now_s >= self._next_read_s:
            jitter = self._parts.ports.random.uniform(0.5, 1)
            # Zones that start together read the list before the others'
            # seeds are written, so a zone without links reads again soon.
            period_s = DISCOVERY_S if self._linked_zones() else SEED_CHECK_S
            self._next_read_s = now_s + period_s * jitter
            self._parts.ports.store.list_names(
                ObjectKind.SEED, self._receive_seeds
            )

    def update_reached(self) -> None:
        """Publish the zones to which this bridge has links."""
        own = self._parts.own
        if own.record.bridge_slot:
            own.update(reached_zones=sorted(self._linked_zones()))

    def wanted_links(self) -> Mapping[str, Address]:
        """Return addresses of known bridges, and of seeds in other zones.

        Seeds are included for zones without a link, under keys that
        start with `seed`.
        """
        bridges = [
            record
            for record in self._parts.table.balancers()
            if record.bridge_slot and record.availability_zone != self._zone
        ]
        wanted = {
            record.member_id: (record.host, record.control_port)
            for record in bridges
        }
        reached = self._linked_zones()
        for zone, addresses in self._seeds_by_zone.items():
            if zone not in reached and zone != self._zone:
                wanted.update(
                    {f'seed {zone} {entry}': entry for entry in addresses}
                )
        return wanted

    def _linked_zones(self) -> frozenset[str]:
        linked = self._parts.peers.with_role(PeerRole.BRIDGE)
        records = [self._parts.table.get(peer.member_id) for peer in linked]
        return frozenset(
            record.availability_zone for record in records if record is not None
        )

    def _receive_seeds(self, outcome: ObjectOutcome) -> None:
        if outcome.is_err():
            self._next_read_s = self._parts.ports.timers.now() + SEED_CHECK_S
            return
        for zone, stored in outcome.unwrap().body.items():
            body = stored.get('body') if isinstance(stored, dict) else None
            addresses = addresses_of(body)
            if addresses:
                self._seeds_by_zone[zone] = addresses


def unreachable_zones(own: MemberRecord, table: MemberTable) -> frozenset[str]:
    """Return the zones that no live bridge of this zone reaches."""
    zones = {record.availability_zone for record in table.records()}
    reached = {own.availability_zone}
    for record in table.balancers():
        if record.availability_zone == own.availability_zone:
            reached.update(record.reached_zones)
    return frozenset(zones - reached)

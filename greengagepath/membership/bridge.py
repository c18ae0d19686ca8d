"""Bridges: links between availability zones, and the object API.

After their start only bridges call the object API: each keeps one watch
on the configuration and renews one lease, and the bridge in the first
slot writes the seed of its zone. The number of calls therefore
does not grow with the number of members.
"""

from collections.abc import Callable, Mapping

from ..foundation.addresses import Address
from ..generated.messages import Configuration, MemberState
from .bridge_parts import BridgeParts
from .configuration_watch import ConfigurationWatch
from .leases import Lease, LeaseTerms
from .overlay import rank_by_hash
from .peers import PeerRole
from .seeds import SeedWriter
from .zone_directory import ZoneDirectory

# A new balancer waits this long for its neighbours' records before it
# treats a slot as free.
SETTLE_S = 1.0
RUN_ID_BITS = 64


class BridgeRole:
    """Decides whether this balancer is a bridge, and acts as one.

    A slot without a live bridge goes to the balancer that ranks first
    for it, once that balancer holds the lease. While the object API is
    unavailable it takes the slot without the lease: only writes need
    the lease, links between zones do not.
    """

    def __init__(
        self,
        parts: BridgeParts,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._parts = parts
        self._zone = parts.own.record.availability_zone
        self._started_s = parts.ports.timers.now()
        # Distinguishes two runs of the same member.
        self._run_id = parts.ports.random.getrandbits(RUN_ID_BITS)
        self._on_configuration = on_configuration
        self._lease: Lease | None = None
        self._slot = 0
        self._seeds = SeedWriter(parts)
        self._watch = ConfigurationWatch(parts.ports, on_configuration)
        self._directory = ZoneDirectory(parts)

    @property
    def is_bridge(self) -> bool:
        """Whether this balancer has a bridge slot."""
        return self._parts.own.record.bridge_slot > 0

    @property
    def holds_lease(self) -> bool:
        """Whether the lease is valid now, so that this balancer may write."""
        return self._lease is not None and self._lease.is_held()

    @property
    def lease_name(self) -> str:
        """Name of the lease held or applied for, empty if there is none."""
        return '' if self._lease is None else self._lease.terms.name

    def step(self) -> None:
        """Acquire, keep or release a slot, and do the work of a bridge."""
        if self._should_take_first_slot():
            self._drop_slot()
        if not self.is_bridge:
            self._choose_slot()
        if self._lease is not None:
            self._lease.step()
        self._directory.update_reached()
        if self.is_bridge:
            self._drop_contested_slot()
        if self._should_link_zones():
            self._watch.step()
            self._directory.step()
        if self.is_bridge and self._slot == 1 and self._lease is not None:
            self._seeds.step(self._lease)

    def stop(self) -> None:
        """Release the slot and its lease, and stop the watch."""
        self._watch.stop()
        self._drop_slot()

    def wanted_links(self) -> Mapping[str, Address]:
        """Return the balancers of other zones to link to, by member id."""
        return (
            self._directory.wanted_links() if self._should_link_zones() else {}
        )

    def _should_link_zones(self) -> bool:
        """Return whether to link to other zones and watch the store.

        A balancer without a link in its own zone does so without a slot:
        the lease of a dead bridge lasts up to `lease_s`, and until it
        expires there is no other source of records and configurations.
        """
        if self.is_bridge:
            return True
        return self._is_settled() and not self._parts.peers.with_role(
            PeerRole.ZONE
        )

    def _should_take_first_slot(self) -> bool:
        """Return whether no other balancer can take the first slot.

        Its holder writes the seed. With the slot empty, new processes
        would find only addresses of dead balancers.
        """
        if self._slot <= 1:
            return False
        others = [
            record
            for record in self._parts.table.balancers()
            if record.availability_zone == self._zone
            and record.member_id != self._parts.own.member_id
        ]
        return not any(record.bridge_slot in {0, 1} for record in others)

    def _choose_slot(self) -> None:
        """Apply for the first free slot for which this balancer ranks first."""
        free = self._free_slots()
        if self._slot and self._slot not in free:
            self._drop_slot()
        if not self._slot and free and self._is_settled():
            self._slot = free[0]
            self._lease = self._make_lease(self._slot)

    def _is_settled(self) -> bool:
        now_s = self._parts.ports.timers.now()
        return now_s - self._started_s >= SETTLE_S

    def _free_slots(self) -> list[int]:
        """Return the free slots for which this balancer ranks first.

        A suspected bridge keeps its slot until it is declared dead.
        """
        balancers = [
            record
            for record in self._parts.table.balancers()
            if record.availability_zone == self._zone
        ]
        taken = {record.bridge_slot for record in balancers}
        idle = [
            record.member_id
            for record in balancers
            if record.bridge_slot == 0 and record.state is MemberState.alive
        ]
        own_id = self._parts.own.member_id
        slots = range(1, self._parts.ports.limits.bridges + 1)
        free = [slot for slot in slots if slot not in taken]
        ranked = rank_by_hash(self._zone, idle)
        return [
            slot
            for slot, member_id in zip(free, ranked, strict=False)
            if member_id == own_id
        ]

    def _make_lease(self, slot: int) -> Lease:
        own = self._parts.own.record
        limits = self._parts.ports.limits
        return Lease(
            LeaseTerms(
                name=f'bridge-{self._zone}-{slot}',
                process_id=f'{own.member_id}/{self._run_id}',
                duration_s=limits.lease_s,
                renew_s=limits.lease_renew_s,
            ),
            self._parts.ports.store,
            self._parts.ports.timers,
            self._parts.ports.random,
            self._lease_changed,
        )

    def _lease_changed(self) -> None:
        lease = self._lease
        if lease is None:
            return
        if lease.is_held() or lease.is_store_unavailable:
            self._parts.own.update(bridge_slot=self._slot)
        elif lease.is_held_elsewhere and self.is_bridge:
            self._parts.own.update(bridge_slot=0, reached_zones=[])

    def _drop_contested_slot(self) -> None:
        """Release the slot if another live bridge in it has a smaller id.

        Two bridges can take the same slot while the object API is
        unavailable. A bridge that holds the lease keeps the slot.
        """
        if self.holds_lease:
            return
        own_id = self._parts.own.member_id
        for record in self._parts.table.balancers():
            has_priority = (
                record.availability_zone == self._zone
                and record.bridge_slot == self._slot
                and record.member_id < own_id
                and record.state is MemberState.alive
            )
            if has_priority:
                self._drop_slot()
                return

    def _drop_slot(self) -> None:
        if self._lease is not None:
            self._lease.release()
        self._lease = None
        self._slot = 0
        self._parts.own.update(bridge_slot=0, reached_zones=[])

"""Bridges: links between availability zones, and the object API.

Only bridges talk to the object API after their start: each keeps one
watch on the configuration and renews one lease, and the one in the
first slot writes the seed of its zone. So the calls do not grow with
the number of members.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from ..generated.messages import Configuration, MemberRecord, MemberState
from ..leases import Lease, LeaseTerms
from ..object_api import Conflict, ObjectKind, ObjectOutcome, StoredObject
from ..packets import Address
from .overlay import rank_by_hash
from .own_record import OwnRecord
from .peers import PeerRole, PeerTable
from .ports import NodePorts
from .table import MemberTable

CONFIGURATION_NAME = 'current'
# Addresses in a seed object; any one of them is enough to start.
SEED_ADDRESSES = 5
# A new balancer waits for its neighbours' records before it concludes
# that a slot is free.
SETTLE_S = 1.0
# How often a bridge looks for zones it has not heard of.
DISCOVERY_S = 60.0
# Pause after a failed watch, so that an outage is not met with a storm.
WATCH_PAUSE_S = 2.0
SEED_CHECK_S = 5.0
RUN_ID_BITS = 64
_TOKEN = 'fencing_token'


@dataclass(slots=True, frozen=True)
class BridgeParts:
    """What a bridge works on."""

    own: OwnRecord
    table: MemberTable
    peers: PeerTable
    ports: NodePorts


class BridgeRole:
    """Decides whether this balancer is a bridge, and acts as one.

    A slot without a living bridge is taken by the balancer that comes
    first for it, once it holds the lease. With the object API silent it
    takes the slot without the lease: links between zones need none,
    only writes do.
    """

    def __init__(
        self,
        parts: BridgeParts,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._parts = parts
        self._zone = parts.own.record.availability_zone
        self._started_s = parts.ports.timers.now()
        # Differs between two runs of the same member.
        self._run_id = parts.ports.random.getrandbits(RUN_ID_BITS)
        self._on_configuration = on_configuration
        self._lease: Lease | None = None
        self._slot = 0
        self._seeds = SeedWriter(parts)
        self._watch = ConfigurationWatch(parts.ports, on_configuration)
        self._directory = ZoneDirectory(parts)

    @property
    def is_bridge(self) -> bool:
        """Whether this balancer has a slot."""
        return self._parts.own.record.bridge_slot > 0

    @property
    def holds_lease(self) -> bool:
        """Whether this balancer may write right now."""
        return self._lease is not None and self._lease.is_held()

    @property
    def lease_name(self) -> str:
        """The lease this balancer holds or applies for, if any."""
        return '' if self._lease is None else self._lease.terms.name

    def step(self) -> None:
        """Take, keep or give up a slot, and do a bridge's work."""
        if self._should_move_up():
            self._drop_slot()
        if not self.is_bridge:
            self._choose_slot()
        if self._lease is not None:
            self._lease.step()
        self._directory.update_reached()
        if self.is_bridge:
            self._yield_to_rival()
        if self._links_zones():
            self._watch.step()
            self._directory.step()
        if self.is_bridge and self._slot == 1 and self._lease is not None:
            self._seeds.step(self._lease)

    def stop(self) -> None:
        """Give the lease back and end the watch."""
        self._watch.stop()
        self._drop_slot()

    def wanted_links(self) -> Mapping[str, Address]:
        """Return the balancers of other zones to link to, by member id."""
        return self._directory.wanted_links() if self._links_zones() else {}

    def _links_zones(self) -> bool:
        """Return whether to link to other zones and to watch.

        A balancer that finds nobody in its own zone does so without a
        slot: the lease of a bridge that has died lasts up to `lease_s`,
        and until then nobody else would bring it records and the
        configuration.
        """
        if self.is_bridge:
            return True
        return self._is_settled() and not self._parts.peers.with_role(
            PeerRole.ZONE
        )

    def _should_move_up(self) -> bool:
        """Return whether nobody else can take the first slot.

        Its holder writes the seed; with the slot empty new processes
        would find the addresses of dead balancers only.
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
        """Apply for the first slot for which this balancer comes first."""
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
        """Return the slots without a bridge that this balancer should take.

        A suspected bridge still counts; its death will free the slot.
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
        if lease.is_held() or lease.is_store_silent:
            self._parts.own.update(bridge_slot=self._slot)
        elif lease.is_contested and self.is_bridge:
            self._parts.own.update(bridge_slot=0, reached_zones=[])

    def _yield_to_rival(self) -> None:
        """Give the slot up if another bridge has it with more right.

        Two may take one slot while the object API is silent.
        """
        if self.holds_lease:
            return
        own_id = self._parts.own.member_id
        for record in self._parts.table.balancers():
            is_rival = (
                record.availability_zone == self._zone
                and record.bridge_slot == self._slot
                and record.member_id < own_id
                and record.state is MemberState.alive
            )
            if is_rival:
                self._drop_slot()
                return

    def _drop_slot(self) -> None:
        if self._lease is not None:
            self._lease.release()
        self._lease = None
        self._slot = 0
        self._parts.own.update(bridge_slot=0, reached_zones=[])


class _SeedBody(msgspec.Struct):
    addresses: list[Address]
    fencing_token: int = 0


class SeedWriter:
    """Keeps the seed object of the zone in line with its balancers."""

    def __init__(self, parts: BridgeParts) -> None:
        self._parts = parts
        self._zone = parts.own.record.availability_zone
        self._written: list[list[object]] = []
        self._next_check_s = 0.0
        self.refused_writes = 0

    def step(self, lease: Lease) -> None:
        """Write the seed if it changed and the lease is valid."""
        now_s = self._parts.ports.timers.now()
        wanted = self._wanted()
        if now_s < self._next_check_s or wanted == self._written:
            return
        self._next_check_s = now_s + SEED_CHECK_S
        self._parts.ports.store.read(
            ObjectKind.SEED,
            self._zone,
            lambda outcome: self._compare(lease, wanted, outcome),
        )

    def _wanted(self) -> list[list[object]]:
        """Return the addresses of the bridges and a few other balancers."""
        balancers = {
            record.member_id: record
            for record in self._parts.table.balancers()
            if record.availability_zone == self._zone
        }
        ranked = rank_by_hash(self._zone, balancers)
        ranked.sort(key=lambda entry: balancers[entry].bridge_slot == 0)
        chosen = [balancers[entry] for entry in ranked[:SEED_ADDRESSES]]
        return [[record.host, record.control_port] for record in chosen]

    def _compare(
        self, lease: Lease, wanted: list[list[object]], outcome: ObjectOutcome
    ) -> None:
        """Write unless a holder with a newer lease has written."""
        if outcome.is_err() or not lease.is_held():
            self.refused_writes += 1
            return
        stored = outcome.unwrap()
        if _token_of(stored.body) > lease.fencing_token:
            self.refused_writes += 1
            return
        body = {'addresses': wanted, _TOKEN: lease.fencing_token}
        self._parts.ports.store.write(
            ObjectKind.SEED,
            self._zone,
            StoredObject(stored.version, body),
            lambda written: self._remember(wanted, written),
            may_send=lease.is_held,
        )

    def _remember(
        self, wanted: list[list[object]], outcome: ObjectOutcome
    ) -> None:
        if outcome.is_ok():
            self._written = wanted
        elif isinstance(outcome.unwrap_err(), Conflict):
            self._next_check_s = 0


class ConfigurationWatch:
    """Keeps one watch on the configuration object."""

    def __init__(
        self,
        ports: NodePorts,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._ports = ports
        self._on_configuration = on_configuration
        self._object_version = 0
        self._is_pending = False
        self._is_stopped = False
        self._next_s = 0.0

    def step(self) -> None:
        """Start the next watch when none is pending."""
        is_due = self._ports.timers.now() >= self._next_s
        if is_due and not self._is_pending and not self._is_stopped:
            self._is_pending = True
            self._ports.store.watch(
                ObjectKind.CONFIGURATION,
                CONFIGURATION_NAME,
                self._object_version,
                self._finish,
            )

    def stop(self) -> None:
        """Ignore what a pending watch still brings."""
        self._is_stopped = True

    def _finish(self, outcome: ObjectOutcome) -> None:
        self._is_pending = False
        now_s = self._ports.timers.now()
        if outcome.is_err():
            jitter = self._ports.random.uniform(0.5, 1)
            self._next_s = now_s + WATCH_PAUSE_S * jitter
            return
        stored = outcome.unwrap()
        if stored.version == 0:
            # Nothing new, or no object yet; the API answers the latter
            # at once.
            self._next_s = now_s + WATCH_PAUSE_S / 2
            return
        self._object_version = max(self._object_version, stored.version)
        configuration = configuration_of(stored)
        if configuration is not None and not self._is_stopped:
            self._on_configuration(configuration)
        self.step()


class ZoneDirectory:
    """Where the balancers of other zones are."""

    def __init__(self, parts: BridgeParts) -> None:
        self._parts = parts
        self._zone = parts.own.record.availability_zone
        self._seeds_by_zone: dict[str, list[Address]] = {}
        self._next_s = 0.0

    def step(self) -> None:
        """Read the seeds of all zones from time to time."""
        now_s = self._parts.ports.timers.now()
        if now_s >= self._next_s:
            jitter = self._parts.ports.random.uniform(0.5, 1)
            # Zones that start together read before the others' seeds
            # are written, so a lonely one looks again soon.
            period_s = DISCOVERY_S if self._linked_zones() else SEED_CHECK_S
            self._next_s = now_s + period_s * jitter
            self._parts.ports.store.list_names(ObjectKind.SEED, self._learn)

    def update_reached(self) -> None:
        """Publish to which zones this balancer has links."""
        own = self._parts.own
        if own.record.bridge_slot:
            own.update(reached_zones=sorted(self._linked_zones()))

    def wanted_links(self) -> Mapping[str, Address]:
        """Return known bridges, and seeds of zones without any."""
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

    def _learn(self, outcome: ObjectOutcome) -> None:
        if outcome.is_err():
            self._next_s = self._parts.ports.timers.now() + SEED_CHECK_S
            return
        for zone, stored in outcome.unwrap().body.items():
            body = stored.get('body') if isinstance(stored, dict) else None
            addresses = addresses_of(body)
            if addresses:
                self._seeds_by_zone[zone] = addresses


def configuration_of(stored: StoredObject) -> Configuration | None:
    """Return the configuration in an object, None if it is not valid."""
    try:
        return msgspec.convert(stored.body, Configuration)
    except msgspec.ValidationError:
        return None


def _token_of(body: object) -> int:
    try:
        return msgspec.convert(body, _SeedBody).fencing_token
    except msgspec.ValidationError:
        return 0


def addresses_of(body: object) -> list[Address]:
    """Return the addresses in a seed object, none if it is not valid."""
    try:
        return msgspec.convert(body, _SeedBody).addresses
    except msgspec.ValidationError:
        return []


def unreachable_zones(own: MemberRecord, table: MemberTable) -> frozenset[str]:
    """Return the zones that no living bridge of the own zone reaches."""
    zones = {record.availability_zone for record in table.records()}
    reached = {own.availability_zone}
    for record in table.balancers():
        if record.availability_zone == own.availability_zone:
            reached.update(record.reached_zones)
    return frozenset(zones - reached)

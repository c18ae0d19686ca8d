"""Views that a node derives from its member table and the seeds."""

from collections.abc import Callable, Mapping

from ..foundation.addresses import Address
from ..foundation.object_api import ObjectKind, ObjectOutcome
from ..foundation.timers import Timer
from ..routing.targets import TargetInfo
from .overlay import overlay_peers, predecessor
from .own_record import OwnRecord
from .ports import NodePorts
from .seeds import addresses_of
from .table import MemberTable
from .zone_directory import unreachable_zones

# Changes of the target set are batched for this time.
REPORT_S = 0.05
# For this time a new balancer compares tables with one neighbour only.
FIRST_SYNC_S = 2.0
# A zone is marked unreachable only after this time, so that the
# replacement of a bridge does not change the state of its targets.
UNREACHABLE_S = 5.0
# Pauses between reads of the seed while no balancer answers. They grow, so
# that a fleet that starts all at once stays within the rate limit of the
# object API.
FIRST_SEED_RETRY_S = 0.5
MAX_SEED_RETRY_S = 8.0

OnTargets = Callable[[Mapping[int, tuple[TargetInfo, ...]]], None]


class FirstSync:
    """Delays all but the first table comparison of a new balancer.

    Without the delay all neighbours would send the whole table at once.
    """

    def __init__(self, ports: NodePorts) -> None:
        self._ports = ports
        self._started_s: float | None = None
        self._count = 0

    @property
    def is_running(self) -> bool:
        """Whether the first digest was sent within `FIRST_SYNC_S`."""
        if self._started_s is None:
            return False
        return self._ports.timers.now() - self._started_s < FIRST_SYNC_S

    def schedule(self, send_digest: Callable[[], None]) -> None:
        """Send a digest now, or later while the first sync is running."""
        is_first = self._started_s is None
        if is_first:
            self._started_s = self._ports.timers.now()
        if is_first or not self.is_running:
            send_digest()
            return
        wait_s = FIRST_SYNC_S * self._ports.random.uniform(1, 2)
        self._ports.timers.call_after(wait_s, send_digest)


class OverlayView:
    """The overlay of the balancers in this zone that are not gone."""

    def __init__(
        self, own: OwnRecord, table: MemberTable, ports: NodePorts
    ) -> None:
        self._own = own
        self._table = table
        self._degree = ports.limits.overlay_degree
        self._seen_version = -1
        self._zone_balancer_ids: frozenset[str] = frozenset()
        self._peer_ids: frozenset[str] = frozenset()

    def zone_balancer_ids(self) -> frozenset[str]:
        """Return the ids of the zone's balancers, this one included."""
        self._refresh()
        return self._zone_balancer_ids

    def watched(self) -> frozenset[str]:
        """Return the ids of the balancers that this one monitors."""
        others = self.zone_balancer_ids() - {self._own.member_id}
        if not others:
            return frozenset()
        return self._peer_ids | {predecessor(self._own.member_id, others)}

    def wanted_links(self) -> dict[str, Address]:
        """Return the balancers to link to, by member id."""
        self._refresh()
        records = [self._table.get(entry) for entry in self._peer_ids]
        return {
            record.member_id: (record.host, record.control_port)
            for record in records
            if record is not None
        }

    def _refresh(self) -> None:
        if self._seen_version == self._table.version:
            return
        self._seen_version = self._table.version
        zone = self._own.record.availability_zone
        ids = frozenset(
            record.member_id
            for record in self._table.balancers()
            if record.availability_zone == zone
        )
        if ids != self._zone_balancer_ids:
            self._zone_balancer_ids = ids
            self._peer_ids = overlay_peers(
                self._own.member_id, ids, self._degree
            )


class ZoneMonitor:
    """Marks zones unreachable after `UNREACHABLE_S` without a bridge."""

    def __init__(
        self, own: OwnRecord, table: MemberTable, ports: NodePorts
    ) -> None:
        self._own = own
        self._table = table
        self._timers = ports.timers
        self._unreachable_since_by_zone: dict[str, float] = {}
        self._unreachable: frozenset[str] = frozenset()
        self._seen_version = -1

    def step(self) -> bool:
        """Update the unreachable zones; return whether they changed."""
        now_s = self._timers.now()
        if self._seen_version != self._table.version:
            self._seen_version = self._table.version
            self._unreachable = unreachable_zones(self._own.record, self._table)
        since_s_by_zone = self._unreachable_since_by_zone
        self._unreachable_since_by_zone = {
            zone: since_s_by_zone.get(zone, now_s) for zone in self._unreachable
        }
        overdue = frozenset(
            zone
            for zone, since_s in self._unreachable_since_by_zone.items()
            if now_s - since_s >= UNREACHABLE_S
        )
        view = self._table.target_view
        is_changed = overdue != view.unreachable_zones
        view.unreachable_zones = overdue
        return is_changed


class SeedReader:
    """Reads the seed of a zone until a balancer in it answers."""

    def __init__(self, zone: str, ports: NodePorts) -> None:
        self._zone = zone
        self._ports = ports
        self._addresses: list[Address] = []
        self._next_read_s = 0.0
        self._pause_s = FIRST_SEED_RETRY_S

    def addresses(self) -> list[Address]:
        """Return the known addresses; start a read if one is due."""
        now_s = self._ports.timers.now()
        if now_s >= self._next_read_s:
            jitter = self._ports.random.uniform(0.5, 1)
            self._next_read_s = now_s + self._pause_s * jitter
            self._pause_s = min(self._pause_s * 2, MAX_SEED_RETRY_S)
            self._ports.store.read(ObjectKind.SEED, self._zone, self._receive)
        return self._addresses

    def reset_pause(self) -> None:
        """Reset the pause between reads to its initial length."""
        self._pause_s = FIRST_SEED_RETRY_S

    def _receive(self, outcome: ObjectOutcome) -> None:
        if outcome.is_ok():
            self._addresses = addresses_of(outcome.unwrap().body)
        elif not self._addresses:
            self._addresses = list(self._ports.fallback_seeds)


class TargetNotifier:
    """Notifies routing of changed targets, in batches."""

    def __init__(
        self, table: MemberTable, ports: NodePorts, on_targets: OnTargets
    ) -> None:
        self._table = table
        self._timers = ports.timers
        self._on_targets = on_targets
        self._timer: Timer | None = None
        self._last: Mapping[int, tuple[TargetInfo, ...]] = {}

    def schedule(self) -> None:
        """Report the targets within `REPORT_S` if they have changed."""
        if self._timer is None:
            self._timer = self._timers.call_after(REPORT_S, self._send)

    def _send(self) -> None:
        self._timer = None
        targets = self._table.targets_by_service()
        if targets != self._last:
            self._last = targets
            self._on_targets(targets)

"""Routes of the active configuration."""

import xxhash
from result import Err, Ok, Result

_SPLIT_SEED = 0x5B
_DIGEST_RANGE = 0x10000000000000000


class ServiceShare:
    """Digest of a service and its weight among the services of a route."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: bytes, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Services that get the new flows to one address and port.

    `objective_s` is the latency objective in seconds, 0 if there is none;
    a `priority` of 0 is the highest.
    """

    __slots__ = ('name', 'objective_s', 'priority', 'shares')

    def __init__(
        self,
        name: str,
        shares: tuple[ServiceShare, ...],
        *,
        objective_s: float = 0,
        priority: int = 0,
    ) -> None:
        self.name = name
        self.shares = shares
        self.objective_s = objective_s
        self.priority = priority

    def choose_service(self, flow: bytes) -> bytes | None:
        """Return the service of a new flow, None if there is none to choose.

        A single service is chosen whatever its weight; of several, the
        sum of the weights has to be above 0. The choice depends on the
        flow only, so that all copies of an opening packet get the same
        service.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return None
        point = (
            xxhash.xxh3_64_intdigest(flow, _SPLIT_SEED) / _DIGEST_RANGE * total
        )
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class RouteTable:
    """Routes of one version, by packed destination port and address.

    `cold_per_s_by_service` has the new flows per second that a cold target
    bears, for the services that state a limit.
    """

    __slots__ = ('by_destination', 'cold_per_s_by_service', 'version')

    def __init__(
        self,
        version: int,
        by_destination: dict[bytes, Route],
        cold_per_s_by_service: dict[bytes, float] | None = None,
    ) -> None:
        self.version = version
        self.by_destination = by_destination
        self.cold_per_s_by_service = cold_per_s_by_service or {}


class RouteHolder:
    """Holds the active routes and the highest version seen at a peer."""

    __slots__ = ('latest_seen', 'table')

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.latest_seen = 0

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none."""
        return self.table.version if self.table else 0

    @property
    def is_behind(self) -> bool:
        """Return whether a version above the active one exists."""
        return self.latest_seen > self.version

    def observe_version(self, version: int) -> bool:
        """Record a version seen at a peer.

        Return True if it is the highest so far and above the active one.
        """
        if version <= self.latest_seen:
            return False
        self.latest_seen = version
        return self.is_behind

    def apply(self, table: RouteTable) -> Result[RouteTable, str]:
        """Make the table active if its version is above the active one."""
        if self.table and table.version <= self.version:
            return Err(f'version {table.version} is not above {self.version}')
        self.table = table
        self.latest_seen = max(self.latest_seen, table.version)
        return Ok(table)

    def find(self, flow: bytes) -> Route | None:
        """Return the route of a flow, None if its destination has none."""
        if self.table is None:
            return None
        return self.table.by_destination.get(pack_destination(flow))


def pack_destination(flow: bytes) -> bytes:
    """Return the packed destination port and address of a flow."""
    return flow[2:8]

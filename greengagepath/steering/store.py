"""Interface of the steering daemons to the platform's store."""

from collections import Counter
from enum import Enum, unique
from typing import Protocol

from result import Result

from ..foundation.store_version import StoreVersion
from .routes import RouteTable
from .store_eras import StoreEras


@unique
class MemberRole(Enum):
    """Role of a process of the system."""

    BALANCER = 'balancer'
    AGENT = 'agent'


class Member:
    """Address and role of a process that is registered in the store.

    `vouched_era` is the latest era of the store in which the process knew
    that the list has all running members, 0 if it knows of none. `owner`
    tells VMs apart that have had the same address, and `revision` is that
    of the entry as it was last seen, 0 if unknown.
    """

    __slots__ = ('address', 'owner', 'revision', 'role', 'vouched_era')

    def __init__(
        self, address: bytes, role: MemberRole, vouched_era: int = 0
    ) -> None:
        self.address = address
        self.role = role
        self.vouched_era = vouched_era
        self.owner = ''
        self.revision = 0

    def is_same(self, other: 'Member') -> bool:
        """Return whether another entry is of the same VM and role."""
        return (self.address, self.role, self.owner) == (
            other.address,
            other.role,
            other.owner,
        )


class MemberList:
    """Registered processes, as of an era of the store.

    Without `is_whole` the list is longer than what was read.
    """

    __slots__ = ('era', 'is_whole', 'members')

    def __init__(
        self, members: list[Member], era: int, *, is_whole: bool = True
    ) -> None:
        self.members = members
        self.era = era
        self.is_whole = is_whole

    @property
    def is_vouched(self) -> bool:
        """Return whether a member vouches for the list in its era.

        A store that names no era never loses an entry.
        """
        vouched_era = max(
            (member.vouched_era for member in self.members), default=0
        )
        return self.is_whole and vouched_era >= self.era

    def find_addresses(self, role: MemberRole) -> list[bytes]:
        """Return the addresses of the members of a role."""
        return [
            member.address for member in self.members if member.role is role
        ]


class StoredRoutes:
    """Routes and the store's version; `table` is None if unchanged."""

    __slots__ = ('table', 'version')

    def __init__(self, table: RouteTable | None, version: StoreVersion) -> None:
        self.table = table
        self.version = version


class StoredZones:
    """Names of the evacuated zones, and the version of the list."""

    __slots__ = ('names', 'version')

    def __init__(self, names: list[str], version: StoreVersion) -> None:
        self.names = names
        self.version = version


class StoreProblem:
    """Reason why a call failed.

    `is_history_lost` means that the store cannot watch from the version
    any more, so that the caller has to read again.
    """

    __slots__ = ('is_history_lost', 'reason')

    def __init__(self, reason: str, *, is_history_lost: bool = False) -> None:
        self.reason = reason
        self.is_history_lost = is_history_lost


class SteeringStore(Protocol):
    """Store whose calls block the greenlet until an answer or time-out.

    `calls` counts the calls by operation and outcome. `apply_s` is the
    time in seconds in which a configuration has to be in force. `eras`
    tells of a store that came back from an earlier copy; an answer of an
    era before the latest is an error.
    """

    calls: Counter[tuple[str, str]]
    apply_s: float
    eras: StoreEras

    def read_routes(self) -> Result[StoredRoutes, StoreProblem]:
        """Return the configuration of a linearizable read."""

    def watch_routes(
        self, version: StoreVersion
    ) -> Result[StoredRoutes, StoreProblem]:
        """Wait for a configuration that is newer than the version.

        The history of an earlier era is lost.
        """

    def interrupt_watch(self) -> None:
        """End the call of `watch_routes` that waits, if any, with an error."""

    def list_evacuated_zones(self) -> Result[StoredZones, StoreProblem]:
        """Return the availability zones that operators have evacuated."""

    def list_members(self) -> Result[MemberList, StoreProblem]:
        """Return all registered processes."""

    def add_member(self, member: Member) -> Result[None, StoreProblem]:
        """Register a process and set its revision; idempotent."""

    def is_registered(self, member: Member) -> Result[bool, StoreProblem]:
        """Return whether the entry is there, as of some seconds ago."""

    def remove_member(self, member: Member) -> Result[None, StoreProblem]:
        """Remove the registration of a process, and no other's."""

"""What the steering daemons read from and write to the platform's store."""

from collections import Counter
from enum import Enum, unique
from typing import Protocol

from result import Result

from .routes import RouteTable


@unique
class MemberRole(Enum):
    """Role of a process of the system."""

    BALANCER = 'balancer'
    AGENT = 'agent'


class Member:
    """Address of a process of the system, as the store lists it."""

    __slots__ = ('address', 'role')

    def __init__(self, address: bytes, role: MemberRole) -> None:
        self.address = address
        self.role = role


class StoredRoutes:
    """Routes and the store's revision; None if nothing has changed."""

    __slots__ = ('revision', 'table')

    def __init__(self, table: RouteTable | None, revision: int) -> None:
        self.table = table
        self.revision = revision


class StoreProblem:
    """Why a call failed; `is_history_lost` asks for a read from the start."""

    __slots__ = ('is_history_lost', 'reason')

    def __init__(self, reason: str, *, is_history_lost: bool = False) -> None:
        self.reason = reason
        self.is_history_lost = is_history_lost


class SteeringStore(Protocol):
    """Calls block the greenlet until the answer or a time-out.

    `calls` counts them by operation and outcome.
    """

    calls: Counter[tuple[str, str]]

    def read_routes(self) -> Result[StoredRoutes, StoreProblem]:
        """Return the configuration, linearizable."""

    def watch_routes(self, revision: int) -> Result[StoredRoutes, StoreProblem]:
        """Wait for a configuration after the revision."""

    def list_members(self) -> Result[list[Member], StoreProblem]:
        """Return all processes that are registered."""

    def add_member(self, member: Member) -> Result[None, StoreProblem]:
        """Register a process; once more changes nothing."""

    def remove_member(self, member: Member) -> Result[None, StoreProblem]:
        """Remove a process for good."""

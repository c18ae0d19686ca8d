"""Figures of capacity runs and lines fitted to them."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from statistics import linear_regression

DAY_S = 86400
DESIGN_BALANCERS = 520
DESIGN_AGENTS = 2800
DESIGN_SERVICES = 740
# Configuration changes per day.
DESIGN_CHANGES = 2700
# Restarts of targets per day: 1,000 planned and 17 unplanned ones.
DESIGN_RESTARTS = 1017


@dataclass(slots=True, frozen=True)
class Reading:
    """Means over the processes of one role.

    `busy_s` is real time spent in callbacks, in seconds; `calls` are
    calls to the object API.
    """

    sent_bytes: float
    received_bytes: float
    messages: float
    busy_s: float
    calls: float

    def minus(self, other: 'Reading') -> 'Reading':
        """Return the differences."""
        return Reading(
            *(
                getattr(self, entry.name) - getattr(other, entry.name)
                for entry in fields(self)
            )
        )

    def times(self, factor: float) -> 'Reading':
        """Return all figures times the factor."""
        return Reading(
            *(getattr(self, entry.name) * factor for entry in fields(self))
        )

    @property
    def total_bytes(self) -> float:
        """Bytes sent and received."""
        return self.sent_bytes + self.received_bytes


@dataclass(slots=True, frozen=True)
class RolePoint:
    """Means for one process of a role at one size.

    `idle` is per second; `change` and `restart` are the cost of one new
    configuration and of one replaced target beyond that.
    """

    idle: Reading
    change: Reading
    restart: Reading


@dataclass(slots=True, frozen=True)
class SizePoint:
    """All figures at one fleet size.

    `in_force_s` is the time until a configuration is in force at all
    balancers, `table_bytes` the memory of one balancer's member table.
    """

    balancers: int
    agents: int
    roles: dict[str, RolePoint]
    calls_per_s: float
    in_force_s: float
    table_bytes: int


@dataclass(slots=True, frozen=True)
class Line:
    """A straight line through the points, over the number of balancers."""

    intercept: float
    slope: float

    @property
    def at_design(self) -> float:
        """The value at the design size, not below 0."""
        return max(self.intercept + self.slope * DESIGN_BALANCERS, 0)


def fit_line(
    points: list[SizePoint], measure: Callable[[SizePoint], float]
) -> Line:
    """Return the least-squares line of a measure over the sizes."""
    sizes = [point.balancers for point in points]
    fitted = linear_regression(sizes, [measure(point) for point in points])
    return Line(fitted.intercept, fitted.slope)


def rate_at_design(
    points: list[SizePoint],
    role: str,
    measure: Callable[[Reading], float],
) -> float:
    """Return a measure per second at the design size."""
    idle = fit_line(points, lambda point: measure(point.roles[role].idle))
    change = fit_line(points, lambda point: measure(point.roles[role].change))
    restart = fit_line(points, lambda point: measure(point.roles[role].restart))
    return (
        idle.at_design
        + DESIGN_CHANGES / DAY_S * change.at_design
        + DESIGN_RESTARTS / DAY_S * restart.at_design
    )

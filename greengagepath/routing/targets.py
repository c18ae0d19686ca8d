"""Target records that balancers choose from."""

from dataclasses import dataclass
from enum import StrEnum, unique

from ..foundation.addresses import Address


@unique
class TargetState(StrEnum):
    """Whether a target may receive new flows."""

    ALIVE = 'alive'
    # No recent contact; it still serves its flows but gets no new ones.
    SUSPECT = 'suspect'
    # Finishes its flows and accepts no new ones.
    DRAINING = 'draining'


@dataclass(slots=True, frozen=True)
class Place:
    """Region and availability zone in which the balancer runs."""

    region: str
    availability_zone: str


@dataclass(slots=True, frozen=True)
class TargetInfo:
    """A target of one service.

    `address` is the address at which its agent receives datagrams.
    `weight` is its capacity relative to other targets of the service.
    `incarnation` differs after a restart. `started_ms` is the start of
    the target in milliseconds since the epoch, 0 if unknown.
    """

    target_id: str
    service: int
    address: Address
    weight: float
    state: TargetState
    incarnation: int
    availability_zone: str
    region: str
    started_ms: int = 0

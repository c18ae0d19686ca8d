"""What balancers know of a target when they choose one."""

from dataclasses import dataclass
from enum import StrEnum, unique

from ..foundation.addresses import Address


@unique
class TargetState(StrEnum):
    """Whether a target may receive new flows."""

    ALIVE = 'alive'
    # Still serves its flows, but nobody has heard from it lately.
    SUSPECT = 'suspect'
    # Finishes its flows and takes no new ones.
    DRAINING = 'draining'


@dataclass(slots=True, frozen=True)
class TargetInfo:
    """A target of one service.

    `address` is where its agent receives datagrams. `weight` is its
    capacity relative to other targets of the service. `started_ms` is
    the wall-clock start of the target in ms, 0 if unknown.
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

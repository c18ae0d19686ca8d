"""Inputs of the experiments: services, targets, callers and load."""

from dataclasses import dataclass

from ..generated.messages import SizeClass

# Long work takes this many times as long as short work.
LONG_FACTOR = 50.0


@dataclass(slots=True, frozen=True)
class OperationSpec:
    """An operation of a service.

    `mean_work_s` is in seconds at a target of speed 1; `weight` is the
    rate relative to the service's other operations.
    """

    name: str
    weight: float
    mean_work_s: float
    deadline_s: float
    size_class: SizeClass = SizeClass.short

    @property
    def is_long(self) -> bool:
        """Whether the operation is long work."""
        return self.size_class == SizeClass.long


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """A service with one target for each of `speeds`, of 2 slots each."""

    service: int
    name: str
    speeds: tuple[float, ...]
    operations: tuple[OperationSpec, ...]

    @property
    def capacity(self) -> float:
        """Work that all targets do per second, in seconds at speed 1."""
        return sum(self.speeds) * SLOTS

    @property
    def mean_work_s(self) -> float:
        """Mean work of a request in seconds at speed 1."""
        weights = [operation.weight for operation in self.operations]
        works = [one.weight * one.mean_work_s for one in self.operations]
        return sum(works) / sum(weights)


@dataclass(slots=True, frozen=True)
class ScenarioSpec:
    """A deployment; delays are one way, in seconds."""

    name: str
    client_delay_s: float
    zone_delay_s: float
    services: tuple[ServiceSpec, ...]
    customers: tuple[int, ...]
    # Share of short requests that take `LONG_FACTOR` times as long.
    straggler_share: float


SLOTS = 2
QUEUE_LENGTH = 64
BALANCERS = 3
ZONES = ('zone-1', 'zone-2', 'zone-3')
REGION = 'region-1'
# Speeds differ by a factor of 4; the weights of the targets do not
# reflect this.
SEVEN_SPEEDS = (1.0, 1.0, 2.0, 2.0, 3.0, 4.0, 4.0)
THREE_SPEEDS = (1.0, 2.0, 4.0)
_SHORT_S = 0.04
_LONG_S = _SHORT_S * LONG_FACTOR

# Deadlines in seconds: short if a person waits for the answer, long if
# the request may queue.
_LOOKUP_DEADLINE_S = 1.5
_REPORT_DEADLINE_S = 2.0
_UPDATE_DEADLINE_S = 4.0
_LISTING_DEADLINE_S = 30.0
_BATCH_DEADLINE_S = 60.0
# Rates relative to the service's long operation.
_STATUS_RATE = 150
_RENEWAL_RATE = 49
_INDEX_RATE = 99
_CATALOGUE_RATE = 170
_ORDER_RATE = 29
_SHEET_RATE = 49
_ZONE_DELAY_S = 0.001
_STRAGGLER_SHARE = 0.001

COOPERATIVE = ScenarioSpec(
    name='cooperative',
    client_delay_s=3 * _ZONE_DELAY_S,
    zone_delay_s=_ZONE_DELAY_S,
    services=(
        ServiceSpec(
            service=1,
            name='licence-core',
            speeds=SEVEN_SPEEDS,
            operations=(
                OperationSpec(
                    'status', _STATUS_RATE, _SHORT_S, _LOOKUP_DEADLINE_S
                ),
                OperationSpec(
                    'renewal', _RENEWAL_RATE, _SHORT_S * 2, _UPDATE_DEADLINE_S
                ),
                OperationSpec(
                    'history', 1, _LONG_S, _LISTING_DEADLINE_S, SizeClass.long
                ),
            ),
        ),
        ServiceSpec(
            service=2,
            name='report-desk',
            speeds=THREE_SPEEDS,
            operations=(
                OperationSpec(
                    'index', _INDEX_RATE, _SHORT_S, _REPORT_DEADLINE_S
                ),
                OperationSpec(
                    'bundle', 1, _LONG_S, _BATCH_DEADLINE_S, SizeClass.long
                ),
            ),
        ),
    ),
    customers=(1, 2, 3, 4),
    straggler_share=_STRAGGLER_SHARE,
)

JINHUA = ScenarioSpec(
    name='jinhua',
    client_delay_s=_ZONE_DELAY_S,
    zone_delay_s=_ZONE_DELAY_S,
    services=(
        ServiceSpec(
            service=1,
            name='order-desk',
            speeds=SEVEN_SPEEDS,
            operations=(
                OperationSpec(
                    'catalogue', _CATALOGUE_RATE, _SHORT_S, _LOOKUP_DEADLINE_S
                ),
                OperationSpec(
                    'order', _ORDER_RATE, _SHORT_S * 2, _UPDATE_DEADLINE_S
                ),
                OperationSpec(
                    'stock-list',
                    1,
                    _LONG_S,
                    _LISTING_DEADLINE_S,
                    SizeClass.long,
                ),
            ),
        ),
        ServiceSpec(
            service=2,
            name='proof-render',
            speeds=THREE_SPEEDS,
            operations=(
                OperationSpec(
                    'sheet', _SHEET_RATE, _SHORT_S, _REPORT_DEADLINE_S
                ),
                OperationSpec(
                    'render', 1, _LONG_S, _BATCH_DEADLINE_S, SizeClass.long
                ),
            ),
        ),
    ),
    customers=(1, 2, 3, 4, 5, 6),
    straggler_share=_STRAGGLER_SHARE,
)

SCENARIOS = (COOPERATIVE, JINHUA)

"""Flows and requests of a run, drawn before it starts.

Both systems get the same flows at the same times, regardless of the
outcome of earlier requests.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from .scenarios import LONG_FACTOR, OperationSpec, ScenarioSpec, ServiceSpec

# Shares of flows and their numbers of requests: most flows are short,
# the rest send requests for many seconds.
FLOW_LENGTHS = ((0.7, 1), (0.25, 4), (0.05, 16))
MEAN_FLOW_LENGTH = sum(share * length for share, length in FLOW_LENGTHS)
MEAN_REQUEST_INTERVAL_S = 0.5
# Shape of the gamma distribution of work: deviation is half the mean.
WORK_SHAPE = 4.0
_FLOW_ID_BITS = 64
_REQUEST_ID_BYTES = 16


@dataclass(slots=True, frozen=True)
class LoadPhase:
    """Offered load as a multiple of the capacity until `end_s`."""

    end_s: float
    load: float


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """Load over time.

    `with_long_work` is False to leave out long work and stragglers.
    `customer_weights` are relative rates of the customers, equal if
    empty. `single_requests` makes every flow one request long.
    """

    phases: tuple[LoadPhase, ...]
    with_long_work: bool = True
    customer_weights: tuple[float, ...] = ()
    single_requests: bool = False

    @property
    def end_s(self) -> float:
        """End of the load, in seconds of the run."""
        return self.phases[-1].end_s


@dataclass(slots=True, frozen=True)
class RequestSpec:
    """A request sent at `at_s`; `work_s` is in seconds at speed 1."""

    request_id: bytes
    flow_id: int
    service: int
    customer_id: int
    operation: OperationSpec
    work_s: float
    at_s: float
    is_straggler: bool = False

    @property
    def end_s(self) -> float:
        """Time of the deadline, in seconds of the run."""
        return self.at_s + self.operation.deadline_s

    @property
    def is_short(self) -> bool:
        """Whether it is neither long work nor a straggler."""
        return not (self.operation.is_long or self.is_straggler)


class WorkloadBuilder:
    """Draws the requests of one run."""

    def __init__(
        self, scenario: ScenarioSpec, plan: LoadPlan, seed: int
    ) -> None:
        self._scenario = scenario
        self._plan = plan
        self._random = random.Random(f'{seed} {scenario.name} workload')

    def build(self) -> list[RequestSpec]:
        """Return all requests in order of their time."""
        requests = [
            request
            for service in self._scenario.services
            for request in self._build_service(service)
        ]
        if not self._plan.with_long_work:
            requests = [one for one in requests if one.is_short]
        requests.sort(key=lambda request: (request.at_s, request.flow_id))
        return requests

    def _build_service(self, service: ServiceSpec) -> Iterator[RequestSpec]:
        work_s = service.mean_work_s
        # Stragglers are part of the offered load.
        work_s *= 1 + self._scenario.straggler_share * (LONG_FACTOR - 1)
        full_rate = service.capacity / work_s
        now_s = 0.0
        for phase in self._plan.phases:
            rate = full_rate * phase.load / self._mean_length()
            now_s += self._random.expovariate(rate)
            while now_s < phase.end_s:
                yield from self._build_flow(service, now_s)
                now_s += self._random.expovariate(rate)
            now_s = phase.end_s

    def _mean_length(self) -> float:
        return 1.0 if self._plan.single_requests else MEAN_FLOW_LENGTH

    def _build_flow(
        self, service: ServiceSpec, start_s: float
    ) -> Iterator[RequestSpec]:
        flow_id = self._random.getrandbits(_FLOW_ID_BITS)
        customer_id = self._random.choices(
            self._scenario.customers, self._plan.customer_weights or None
        )[0]
        at_s = start_s
        for _ in range(self._draw_length()):
            if at_s < self._plan.end_s:
                yield self._build_request(service, flow_id, customer_id, at_s)
            at_s += self._random.expovariate(1 / MEAN_REQUEST_INTERVAL_S)

    def _draw_length(self) -> int:
        if self._plan.single_requests:
            return 1
        shares = [share for share, _ in FLOW_LENGTHS]
        lengths = [length for _, length in FLOW_LENGTHS]
        return self._random.choices(lengths, shares)[0]

    def _build_request(
        self,
        service: ServiceSpec,
        flow_id: int,
        customer_id: int,
        at_s: float,
    ) -> RequestSpec:
        operation = self._random.choices(
            service.operations, [one.weight for one in service.operations]
        )[0]
        work_s = self._random.gammavariate(
            WORK_SHAPE, operation.mean_work_s / WORK_SHAPE
        )
        is_straggler = (
            not operation.is_long
            and self._random.random() < self._scenario.straggler_share
        )
        return RequestSpec(
            request_id=self._random.randbytes(_REQUEST_ID_BYTES),
            flow_id=flow_id,
            service=service.service,
            customer_id=customer_id,
            operation=operation,
            work_s=work_s * LONG_FACTOR if is_straggler else work_s,
            at_s=at_s,
            is_straggler=is_straggler,
        )

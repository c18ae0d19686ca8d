"""Simulation of a service under load, in several availability zones.

Targets run a few requests at once, queue some and refuse the rest. The
process with a number is in the zone `number % zones`, and so is a caller.
"""

import random

from greengagepath.steering.segments import Segment

from .builders import (
    ORDER_PORT,
    ROUTE_PORT,
    TARGET_SEQUENCE,
    make_address,
    make_answer,
    make_data,
    make_final,
    make_flow,
    make_load_table,
    make_opening,
    make_refusal,
    make_response,
)
from .world import FakeTarget, World

SLOTS = 2
QUEUE = 10
# Mean duration of a request at a target of speed 1.
WORK_S = 0.05
SPEEDS = (0.6, 1.0, 1.6)
OBJECTIVE_S = 0.25
FEED_S = 1.0
FEED_REQUESTS = 100
MAX_ATTEMPTS = 3
# Distance between the sequence numbers of two targets.
TARGET_GAP = 1000000


class SlottedTarget(FakeTarget):
    """A target that runs `SLOTS` requests at once, at a certain speed."""

    def __init__(self, world: 'Fleet', number: int, speed: float) -> None:
        super().__init__(world, number)
        self.speed = speed
        self.queued: list[bytes] = []
        self.running = 0
        self.busy_s = 0.0

    def _receive_opening(self, segment: Segment) -> None:
        self._send(make_answer(segment.flow, self.sequence))
        self.opened.add(segment.flow)

    def _receive_data(self, segment: Segment) -> None:
        if len(self.queued) >= QUEUE:
            self._send(make_refusal(segment.flow))
            return
        self.queued.append(segment.flow)
        self._run_next()

    def _run_next(self) -> None:
        if not self.queued or self.running >= SLOTS:
            return
        flow = self.queued.pop(0)
        self.running += 1
        work_s = WORK_S / self.speed * self.world.random.uniform(0.5, 1.5)
        self.busy_s += work_s / SLOTS
        self.world.timers.call_after(work_s, lambda: self._finish(flow))

    def _finish(self, flow: bytes) -> None:
        self.running -= 1
        self._send(make_response(flow))
        self._run_next()


class LoadCaller:
    """A caller that sends `requests` requests on one flow.

    They are `Fleet.feed_s` seconds apart. The flow is closed after the
    last response. If it is reset, the caller opens another one, twice at
    most.
    """

    def __init__(
        self, fleet: 'Fleet', flow: bytes, requests: int, attempt: int
    ) -> None:
        self.fleet = fleet
        self.flow = flow
        self.requests = requests
        self.attempt = attempt
        self.sequence = 0
        self.sent = 0
        self.sent_s = fleet.timers.now()

    def handle_answer(self, sequence: int) -> None:
        self.sequence = sequence
        target = self.fleet.find_target(self)
        zone = self.flow[-1]
        self.fleet.crossing += target.number % self.fleet.zones != zone
        self._send_request()

    def handle_reset(self) -> None:
        if self.attempt < MAX_ATTEMPTS:
            zone = self.flow[-1]
            self.fleet.start_load(self.requests, zone, attempt=self.attempt + 1)
        else:
            self.fleet.refused += 1

    def handle_response(self, *, is_refusal: bool) -> None:
        took_s = self.fleet.timers.now() - self.sent_s
        self.fleet.answered += 1
        self.fleet.refused += is_refusal
        self.fleet.late += took_s > OBJECTIVE_S
        if self.sent < self.requests:
            wait_s = max(self.fleet.feed_s - took_s, 0)
            self.fleet.timers.call_after(wait_s, self._send_next)
        else:
            target = self.fleet.find_target(self)
            self.fleet.send_from_target(target.number, make_final(self.flow))

    def _send_next(self) -> None:
        self.sent_s = self.fleet.timers.now()
        self._send_request()

    def _send_request(self) -> None:
        self.sent += 1
        packet = make_data(self.flow, self.sequence + 1, part=self.sent)
        self.fleet.send(packet, self.fleet.find_balancer(self.flow))


class Fleet(World):
    """Agents, targets and callers in `zones` zones, one balancer each.

    Counts responses, those after `OBJECTIVE_S`, refusals, and flows
    whose target is in another zone than the caller.
    """

    def __init__(self, agents: int, zones: int = 3) -> None:
        self.zones = zones
        self.random = random.Random(5)
        self.feed_s = FEED_S
        super().__init__(zones, agents)
        self.reset_counts()
        self.apply_routes(make_load_table(OBJECTIVE_S))

    def name_zone(self, number: int) -> str:
        return f'zone-{number % self.zones}'

    def start_target(self, number: int) -> SlottedTarget:
        speed = SPEEDS[number // self.zones % len(SPEEDS)]
        target = SlottedTarget(self, number, speed)
        self.target_by_address[make_address(number)] = target
        return target

    def count_feeds(self, share: float) -> int:
        """Return how many feeds use a share of the capacity."""
        speeds = [target.speed for target in self.target_by_address.values()]
        return int(sum(speeds) * SLOTS / WORK_S * FEED_S * share)

    def reset_counts(self) -> None:
        """Count from now on; busy times too."""
        self.late = self.answered = self.refused = self.crossing = 0
        self.counted_s = self.timers.now()
        for target in self.target_by_address.values():
            target.busy_s = 0.0

    def list_busy_shares(self) -> list[float]:
        """Return the busy share of each target since `reset_counts`."""
        elapsed_s = self.timers.now() - self.counted_s
        return [
            target.busy_s / elapsed_s
            for target in self.target_by_address.values()
        ]

    def find_balancer(self, flow: bytes) -> int:
        """Return the number of the balancer in the caller's zone."""
        return flow[-1] or self.zones

    def find_target(self, caller: LoadCaller) -> SlottedTarget:
        """Return the target that holds the flow of a caller."""
        number = (caller.sequence - TARGET_SEQUENCE) // TARGET_GAP
        return self.target_by_address[make_address(number)]

    def receive_at_caller(self, flow: bytes, raw: bytes) -> None:
        super().receive_at_caller(flow, raw)
        segment = self.segment_by_raw[raw]
        if segment.data_bytes:
            caller = self.caller_by_flow[flow]
            caller.handle_response(is_refusal=segment.is_refusal)

    def start_load(
        self, requests: int, zone: int | None = None, *, attempt: int = 1
    ) -> None:
        """Open a flow for a caller in a zone, by default in any."""
        if zone is None:
            zone = self.random.randrange(self.zones)
        port = ROUTE_PORT if requests > 1 else ORDER_PORT
        flow = make_flow(len(self.caller_by_flow), port, caller=zone)
        self.caller_by_flow[flow] = LoadCaller(self, flow, requests, attempt)
        self.send(make_opening(flow), self.find_balancer(flow))

"""Stand-ins in virtual time: fabric, object API, back end, records.

They simulate what is outside the compared systems and is the same for
the naive balancer and ours.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique

from result import Err, Ok, Result

from ..foundation.timers import Callback, TimerService
from .scenarios import SLOTS
from .workload import RequestSpec

# A new back end starts at this share of its speed, which then rises
# linearly until it has warmed up.
COLD_SPEED_FACTOR = 0.33
WARM_UP_S = 8.0
# Time for which the fabric still sprays packets to a dead balancer.
FABRIC_DETECTION_S = 0.5


class BackEnd:
    """Runs requests in its slots.

    `work_done_s` is in seconds at speed 1. With `started_s`, the back
    end starts cold at that time; with None it has its full speed.
    """

    def __init__(
        self, timers: TimerService, speed: float, started_s: float | None
    ) -> None:
        self._timers = timers
        self._started_s = started_s
        self.speed = speed
        self.slots = SLOTS
        self.running = 0
        self.work_done_s = 0.0
        self.is_dead = False

    @property
    def has_free_slot(self) -> bool:
        """Whether another request may start."""
        return self.running < self.slots

    def run(
        self,
        request: RequestSpec,
        on_done: Callable[[RequestSpec, float], None],
    ) -> None:
        """Run a request; call `on_done` with its duration in s at the end.

        Raises AssertionError if no slot is free.
        """
        if not self.has_free_slot:
            raise AssertionError('the back end has no free slot')
        self.running += 1
        duration_s = request.work_s / self._current_speed()
        self._timers.call_after(
            duration_s, lambda: self._end(request, duration_s, on_done)
        )

    def _end(
        self,
        request: RequestSpec,
        duration_s: float,
        on_done: Callable[[RequestSpec, float], None],
    ) -> None:
        if self.is_dead:
            return
        self.running -= 1
        self.work_done_s += request.work_s
        on_done(request, duration_s)

    def _current_speed(self) -> float:
        if self._started_s is None:
            return self.speed
        age_s = self._timers.now() - self._started_s
        warm_up_share = min(age_s / WARM_UP_S, 1.0)
        return self.speed * (
            COLD_SPEED_FACTOR + (1 - COLD_SPEED_FACTOR) * warm_up_share
        )


class Fabric:
    """Sprays packets to random balancers, also to one that just died."""

    def __init__(
        self, timers: TimerService, rng: random.Random, delay_s: float
    ) -> None:
        self._timers = timers
        self._random = rng
        self._delay_s = delay_s
        self._balancers: list[object] = []
        self.dead: set[int] = set()

    def add_balancer(self, balancer: object) -> None:
        """Spray packets to this balancer too from now on."""
        self._balancers.append(balancer)

    def kill_first_balancer(self) -> None:
        """Kill the first balancer.

        Packets sent to it are lost until the fabric detects this.
        """
        balancer = self._balancers[0]
        self.dead.add(id(balancer))
        self._timers.call_after(
            FABRIC_DETECTION_S, lambda: self._balancers.remove(balancer)
        )

    def spray(self, deliver: Callable[[object], None]) -> None:
        """Call `deliver` with a balancer after the delay, unless it is dead."""
        balancer = self._random.choice(self._balancers)
        if id(balancer) not in self.dead:
            self._timers.call_after(self._delay_s, lambda: deliver(balancer))


@unique
class ObjectApiError(StrEnum):
    """Why a call to the object API failed."""

    DOWN = 'down'
    CONFLICT = 'conflict'


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One version of an object."""

    version: int
    body: object


class FakeObjectApi:
    """Versioned objects with conditional updates and watches.

    `delay_s` returns the delay in s of the next notification, so that
    watchers receive a version at different times. Reads and writes
    fail with DOWN while `is_down` is set.
    """

    def __init__(
        self, timers: TimerService, delay_s: Callable[[], float]
    ) -> None:
        self._timers = timers
        self._delay_s = delay_s
        self._objects_by_name: dict[str, StoredObject] = {}
        self._watchers: list[Callable[[str, StoredObject], None]] = []
        self.is_down = False
        self.calls = 0

    def read(self, name: str) -> Result[StoredObject | None, ObjectApiError]:
        """Return the current version, None if the object does not exist."""
        self.calls += 1
        if self.is_down:
            return Err(ObjectApiError.DOWN)
        return Ok(self._objects_by_name.get(name))

    def write(
        self, name: str, body: object, if_version: int
    ) -> Result[StoredObject, ObjectApiError]:
        """Replace the object; fail unless its version is `if_version`."""
        self.calls += 1
        if self.is_down:
            return Err(ObjectApiError.DOWN)
        current = self._objects_by_name.get(name, StoredObject(0, None))
        if current.version != if_version:
            return Err(ObjectApiError.CONFLICT)
        stored = StoredObject(current.version + 1, body)
        self._objects_by_name[name] = stored
        for watcher in self._watchers:
            self._notify(watcher, name, stored)
        return Ok(stored)

    def watch(self, watcher: Callable[[str, StoredObject], None]) -> None:
        """Call `watcher` with each new version after a delay."""
        self.calls += 1
        self._watchers.append(watcher)

    def _notify(
        self,
        watcher: Callable[[str, StoredObject], None],
        name: str,
        stored: StoredObject,
    ) -> None:
        notification: Callback = lambda: watcher(name, stored)  # noqa: E731
        self._timers.call_after(self._delay_s(), notification)


@unique
class RequestResult(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'


@dataclass(slots=True, frozen=True)
class RequestOutcome:
    """End of a request; times in seconds of the run.

    `refusal_delay_s` is the time from sending the last attempt to its
    refusal; it is only valid for refused requests.
    """

    request: RequestSpec
    result: RequestResult
    ended_s: float
    refusal_delay_s: float = 0.0

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came before the deadline."""
        return (
            self.result == RequestResult.ANSWERED
            and self.ended_s <= self.request.end_s
        )

    @property
    def duration_s(self) -> float:
        """Seconds from sending the request to its end."""
        return self.ended_s - self.request.at_s


@dataclass(slots=True)
class RequestLog:
    """Records for the measures of a run, kept outside both systems.

    The owner of a flow is the target that its first packet reached. A
    flow is broken when a later packet reaches another target although
    the owner is still there.
    """

    outcomes: list[RequestOutcome] = field(default_factory=list)
    owners_by_flow: dict[int, str] = field(default_factory=dict)
    broken_flows: set[int] = field(default_factory=set)
    dead_targets: set[str] = field(default_factory=set)
    runs_by_request: Counter[bytes] = field(default_factory=Counter)

    def record_packet(self, flow_id: int, target_id: str) -> None:
        """Record that a packet of a flow has reached a target."""
        owner = self.owners_by_flow.setdefault(flow_id, target_id)
        if owner == target_id or owner in self.dead_targets:
            return
        self.broken_flows.add(flow_id)

    @property
    def broken_share(self) -> float:
        """Broken flows over all flows."""
        return len(self.broken_flows) / max(len(self.owners_by_flow), 1)

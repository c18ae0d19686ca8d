"""Measures the control plane at several sizes and fits lines.

`python -m greengagepath.bench.capacity` runs whole fleets in virtual
time in one process and rewrites the measured tables of
docs/CAPACITY.md. Processor time is real time spent in the decision
modules; frames and websockets are measured separately and added for
each message.
"""

import resource
import sys
import tracemalloc
from collections.abc import Callable, Iterable, Mapping

import msgspec

from ..foundation.timers import VirtualTimerService
from ..generated.messages import Configuration, MemberRecord, Service
from ..generated.settings import LimitSettings
from ..membership.balancer_node import BalancerNode
from ..membership.table import MemberTable
from ..protocol.codec import decode_body, encode_body
from .capacity_data_plane import measure_data_plane, render_data_plane
from .capacity_page import DATA_PLANE, replace_section, write_page
from .capacity_points import (
    DESIGN_AGENTS,
    DESIGN_BALANCERS,
    DESIGN_SERVICES,
    Reading,
    RolePoint,
    SizePoint,
)
from .control_fleet import ControlFleet, VirtualAgent, VirtualBalancer
from .wire_cost import measure_wire_cost

# With 8 balancers or more in a zone the overlay has its full degree.
SIZES = (48, 72, 96, 144)
AGENTS_PER_BALANCER = DESIGN_AGENTS / DESIGN_BALANCERS
SERVICES_PER_BALANCER = DESIGN_SERVICES / DESIGN_BALANCERS
ZONES = 6
ZONES_IN_REGION = 3
SETTLE_S = 30
IDLE_S = 30
# Time after an event in which it reaches all members.
EVENT_SETTLE_S = 8.0
POLL_INTERVAL_S = 0.01
IN_FORCE_LIMIT_S = 10
EVENTS = 3
SEED = 1
BYTES_IN_RSS_UNIT = 1024

Process = VirtualBalancer | VirtualAgent
Roles = Mapping[str, list[Process]]


class CapacityRun:
    """One simulated fleet and the measurements on it."""

    def __init__(self, balancers: int) -> None:
        self.fleet = ControlFleet(SEED, counts_bytes=True)
        self._replaced_count = 0
        self._version = 0
        self._services = round(balancers * SERVICES_PER_BALANCER)
        for index in range(balancers):
            self.fleet.add_balancer(f'b{index}', *_choose_zone(index))
        for index in range(round(balancers * AGENTS_PER_BALANCER)):
            zone, _region = _choose_zone(index)
            self.fleet.add_agent(f'a{index}', zone, 1 + index % self._services)
        self.fleet.advance(SETTLE_S)
        self.change_configuration()
        self.fleet.advance(SETTLE_S)
        self._roles = self._group_by_role()

    def measure(self) -> SizePoint:
        """Return the figures at this fleet size."""
        calls_before = self.fleet.store.calls
        idle = self._observe(lambda: self.fleet.advance(IDLE_S))
        idle = {role: cost.times(1 / IDLE_S) for role, cost in idle.items()}
        calls = self.fleet.store.calls - calls_before
        in_force_s = max(self.time_change() for _ in range(EVENTS))
        change = self._observe_events(self.change_configuration, idle)
        restart = self._observe_events(self.replace_target, idle)
        return SizePoint(
            balancers=len(self.fleet.balancers),
            agents=len(self.fleet.running_agents()),
            roles={
                role: RolePoint(idle[role], change[role], restart[role])
                for role in self._roles
            },
            calls_per_s=calls / IDLE_S,
            in_force_s=in_force_s,
            table_bytes=measure_table_bytes(self.records()),
        )

    def records(self) -> tuple[MemberRecord, ...]:
        """Return the member records of one balancer."""
        return self._first_balancer.table.records()

    def change_configuration(self) -> None:
        """Change one service and offer the version to one balancer."""
        self._version += 1
        services = [
            Service(
                name=f'service-{service_id}',
                service_id=service_id,
                host='10.200.0.1',
                port=self._version if service_id == 1 else service_id,
            )
            for service_id in range(1, self._services + 1)
        ]
        self._first_balancer.spread.offer(
            Configuration(version=self._version, services=services)
        )

    def time_change(self) -> float:
        """Return seconds until a change is in force, up to the limit."""
        self.change_configuration()
        waited_s = 0.0
        while not self._is_in_force() and waited_s < IN_FORCE_LIMIT_S:
            self.fleet.advance(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S
        return waited_s

    def replace_target(self) -> None:
        """Kill one target silently and start another in its place."""
        killed = self.fleet.agents[f'a{self._replaced_count}']
        self._replaced_count += 1
        self.fleet.kill(killed, silently=True)
        self.fleet.add_agent(
            f'new{self._replaced_count}', killed.record.availability_zone
        )

    @property
    def _first_balancer(self) -> BalancerNode:
        return self.fleet.balancers['b0'].node

    def _is_in_force(self) -> bool:
        return all(
            entry.node.spread.holder.version == self._version
            for entry in self.fleet.balancers.values()
        )

    def _observe_events(
        self, action: Callable[[], None], idle: Mapping[str, Reading]
    ) -> dict[str, Reading]:
        """Return the cost of one event beyond the idle traffic."""
        costs = self._observe(lambda: self._repeat(action))
        return {
            role: costs[role]
            .minus(idle[role].times(EVENTS * EVENT_SETTLE_S))
            .times(1 / EVENTS)
            for role in self._roles
        }

    def _repeat(self, action: Callable[[], None]) -> None:
        for _ in range(EVENTS):
            action()
            self.fleet.advance(EVENT_SETTLE_S)

    def _observe(self, action: Callable[[], None]) -> dict[str, Reading]:
        before = {
            role: _read_means(processes)
            for role, processes in self._roles.items()
        }
        action()
        return {
            role: _read_means(processes).minus(before[role])
            for role, processes in self._roles.items()
        }

    def _group_by_role(self) -> Roles:
        balancers = list(self.fleet.balancers.values())
        agents = list(self.fleet.agents.values())
        return {
            'balancer': [
                entry for entry in balancers if not entry.node.bridge.is_bridge
            ],
            'bridge': [
                entry for entry in balancers if entry.node.bridge.is_bridge
            ],
            # Agents that `replace_target` kills are not measured.
            'agent': agents[2 * EVENTS :],
        }


def measure_table_bytes(records: Iterable[MemberRecord]) -> int:
    """Return the memory in B of a table that holds decoded copies."""
    encoded = [encode_body(record) for record in records]
    tracemalloc.start()
    table = MemberTable(LimitSettings(), VirtualTimerService())
    for body in encoded:
        table.merge(decode_body(body, MemberRecord).unwrap())
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes


def _choose_zone(index: int) -> tuple[str, str]:
    zone = index % ZONES
    return f'z{zone}', f'r{zone // ZONES_IN_REGION}'


def _read_means(processes: list[Process]) -> Reading:
    count = max(len(processes), 1)
    return Reading(
        sent_bytes=sum(entry.links.traffic.sent_bytes for entry in processes),
        received_bytes=sum(
            entry.links.traffic.received_bytes for entry in processes
        ),
        messages=sum(
            entry.links.traffic.sent_messages
            + entry.links.traffic.received_messages
            for entry in processes
        ),
        busy_s=sum(entry.clock.busy_s for entry in processes),
        calls=sum(entry.transport.calls for entry in processes),
    ).times(1 / count)


def main() -> None:
    """Measure all sizes and rewrite the tables of the page."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    process_bytes = usage.ru_maxrss * BYTES_IN_RSS_UNIT
    replace_section(DATA_PLANE, render_data_plane(measure_data_plane()))
    points = []
    records: tuple[MemberRecord, ...] = ()
    for size in SIZES:
        run = CapacityRun(size)
        points.append(run.measure())
        records = run.records()
        sys.stdout.write(f'{msgspec.json.encode(points[-1]).decode()}\n')
        sys.stdout.flush()
    write_page(points, measure_wire_cost(records[0]), process_bytes)


if __name__ == '__main__':
    main()

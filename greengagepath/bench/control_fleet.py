"""Simulated balancers and agents with the real decision modules."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ..foundation.addresses import Address
from ..foundation.object_api import ObjectClient
from ..foundation.timers import VirtualTimerService
from ..generated.messages import (
    Configuration,
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
)
from ..generated.settings import LimitSettings
from ..membership.agent_node import AgentNode
from ..membership.balancer_node import BalancerListeners, BalancerNode
from ..membership.ports import NodePorts
from ..routing.targets import TargetInfo
from .virtual_links import VirtualLinks, VirtualNetwork
from .virtual_processes import ProcessClock
from .virtual_store import VirtualStore, VirtualTransport

CONTROL_PORT = 7000
HOSTS_PER_NETWORK = 250
SEED_BITS = 32


@dataclass(slots=True)
class VirtualBalancer:
    """A simulated balancer and what it passed to its data path."""

    record: MemberRecord
    clock: ProcessClock
    links: VirtualLinks
    transport: VirtualTransport
    node: BalancerNode | None = None
    targets: Mapping[int, tuple[TargetInfo, ...]] = field(default_factory=dict)
    configurations: list[Configuration] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether the process is neither paused nor dead."""
        return self.clock.is_running

    def target_ids(self) -> frozenset[str]:
        """Return the ids of the targets in the data path."""
        return frozenset(
            target.target_id
            for targets in self.targets.values()
            for target in targets
        )

    def on_targets(self, targets: Mapping[int, tuple[TargetInfo, ...]]) -> None:
        """Store the targets that were passed to the data path last."""
        self.targets = targets


@dataclass(slots=True)
class VirtualAgent:
    """A simulated agent and the versions of its service it received."""

    record: MemberRecord
    clock: ProcessClock
    links: VirtualLinks
    transport: VirtualTransport
    node: AgentNode | None = None
    services: list[Service] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether the process is neither paused nor dead."""
        return self.clock.is_running


class ControlFleet:
    """A fleet in virtual time; its random choices follow from one seed.

    A member that is added under an existing id is a restart at the same
    address. Availability zones are the locations of the network, which
    partitions can separate.
    """

    def __init__(
        self,
        seed: int,
        limits: LimitSettings | None = None,
        *,
        counts_bytes: bool = False,
    ) -> None:
        self.timers = VirtualTimerService(start_s=1000)
        self.random = random.Random(seed)
        self.limits = limits or LimitSettings()
        self.network = VirtualNetwork(self.timers, counts_bytes=counts_bytes)
        self.store = VirtualStore(self.timers, self.random)
        self.balancers: dict[str, VirtualBalancer] = {}
        self.agents: dict[str, VirtualAgent] = {}
        self.fallback_seeds: tuple[Address, ...] = ()
        self._host_count = 0

    def add_balancer(
        self, member_id: str, zone: str, region: str = 'r1'
    ) -> VirtualBalancer:
        """Start a balancer; an existing id restarts at its address."""
        previous = self.balancers.get(member_id)
        record = self._make_record(member_id, MemberKind.balancer, zone, region)
        if previous is not None:
            record = _restarted(previous.record)
        clock, links, transport = self._make_process(member_id, zone)
        balancer = VirtualBalancer(record, clock, links, transport)
        balancer.node = BalancerNode(
            record,
            self._make_ports(clock, links, transport),
            BalancerListeners(
                balancer.on_targets, balancer.configurations.append
            ),
        )
        links.listen((record.host, record.control_port), balancer.node)
        self.balancers[member_id] = balancer
        balancer.node.start()
        return balancer

    def add_agent(
        self, member_id: str, zone: str, service_id: int = 1
    ) -> VirtualAgent:
        """Start an agent; an existing id restarts at its address."""
        previous = self.agents.get(member_id)
        record = self._make_record(
            member_id, MemberKind.agent, zone, 'r1', service_id
        )
        if previous is not None:
            record = _restarted(previous.record)
        clock, links, transport = self._make_process(member_id, zone)
        agent = VirtualAgent(record, clock, links, transport)
        agent.node = AgentNode(
            record,
            self._make_ports(clock, links, transport),
            agent.services.append,
        )
        links.events = agent.node
        self.agents[member_id] = agent
        agent.node.start()
        return agent

    def kill(
        self, process: VirtualBalancer | VirtualAgent, *, silently: bool
    ) -> None:
        """End a process without an announcement that it leaves."""
        process.links.kill(silently=silently)

    def pause(self, process: VirtualBalancer | VirtualAgent) -> None:
        """Stop a process as SIGSTOP does."""
        process.clock.is_paused = True

    def resume(self, process: VirtualBalancer | VirtualAgent) -> None:
        """Continue a paused process."""
        process.clock.resume()
        process.links.release()

    def advance(self, duration_s: float) -> None:
        """Advance virtual time by `duration_s` seconds."""
        self.timers.advance(duration_s)

    def running_balancers(self) -> list[VirtualBalancer]:
        """Return the balancers that are neither paused nor dead."""
        return [entry for entry in self.balancers.values() if entry.is_running]

    def running_agents(self) -> list[VirtualAgent]:
        """Return the agents that are neither paused nor dead."""
        return [entry for entry in self.agents.values() if entry.is_running]

    def _make_process(
        self, member_id: str, zone: str
    ) -> tuple[ProcessClock, VirtualLinks, VirtualTransport]:
        clock = ProcessClock(self.timers)
        return (
            clock,
            VirtualLinks(self.network, clock, zone),
            VirtualTransport(self.store, clock, member_id),
        )

    def _make_ports(
        self,
        clock: ProcessClock,
        links: VirtualLinks,
        transport: VirtualTransport,
    ) -> NodePorts:
        rng = random.Random(self.random.getrandbits(SEED_BITS))
        return NodePorts(
            timers=clock,
            links=links,
            store=ObjectClient(transport, clock, rng),
            random=rng,
            limits=self.limits,
            fallback_seeds=self.fallback_seeds,
        )

    def _make_record(
        self,
        member_id: str,
        kind: MemberKind,
        zone: str,
        region: str,
        service_id: int = 0,
    ) -> MemberRecord:
        host, port = self._next_address()
        return MemberRecord(
            member_id=member_id,
            kind=kind,
            host=host,
            data_port=port + 1,
            control_port=port,
            region=region,
            availability_zone=zone,
            incarnation=1,
            record_version=0,
            state=MemberState.alive,
            service_id=service_id,
        )

    def _next_address(self) -> Address:
        self._host_count += 1
        third, fourth = divmod(self._host_count, HOSTS_PER_NETWORK)
        return f'10.0.{third}.{fourth + 1}', CONTROL_PORT


def _restarted(record: MemberRecord) -> MemberRecord:
    return msgspec.structs.replace(record, incarnation=record.incarnation + 1)

"""Simulation of balancers, agents, targets and callers in virtual time.

A small stand-in for the users' platform: the test chooses the balancer
of each packet in place of the fabric, targets send back packets of
flows that they do not hold, and every datagram takes a millisecond.
"""

from collections import defaultdict

from greengagepath.foundation.store_version import StoreVersion
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.pace.cold_limit import ColdBounds
from greengagepath.steering.agent.agent_steering import AgentSteering
from greengagepath.steering.balancer.balancer_contacts import BalancerIdentity
from greengagepath.steering.balancer.balancer_steering import BalancerSteering
from greengagepath.steering.messages.peer_messages import (
    PeerKind,
    decode_message,
    digest_service,
)
from greengagepath.steering.messages.segments import Segment
from greengagepath.steering.neighbours import digest_zone
from greengagepath.steering.routes import RouteTable

from .builders import (
    OTHER_SERVICE,
    SERVICE,
    TARGET_SEQUENCE,
    make_acknowledgement,
    make_address,
    make_answer,
    make_data,
    make_final,
    make_heartbeat,
    make_identity,
    make_opening,
    make_response,
    make_returned,
    make_table,
    make_target_final,
    make_target_reset,
)

HOP_S = 0.001
WORK_S = 0.03
# When a caller sends its opening packet and the copies of it.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
# First time after which an unanswered packet is sent again.
RETRANSMIT_S = 0.2
HEARTBEAT_S = 1.2
# In each span of this length in which `MAX_STRAYS` packets of an open flow
# reach other targets, its own target has to receive one.
REORDER_S = 2.0
MAX_STRAYS = 3
# Time in which the copies of a searched packet reach all targets.
SEARCH_S = 0.01
# When a caller sends a packet again that is not answered.
RETRANSMISSIONS_S = (0.0, 0.2, 0.6, 1.4, 3.0)


class Delivery:
    """A packet of an open flow that a target received.

    `at_s` is in virtual seconds; `target` is the number of the target.
    """

    __slots__ = ('at_s', 'target')

    def __init__(self, at_s: float, target: int) -> None:
        self.at_s = at_s
        self.target = target


class FakeTarget:
    """A target that opens flows and sends back packets of unknown ones.

    With `resets_unknown` it answers packets of unknown flows with a reset
    instead, as TCP does. It answers or sends back opening packets after
    `opening_delay_s` seconds. It acknowledges every second packet of a
    request of `request_parts` packets and responds after `work_s`. On a
    flow that it has closed it acknowledges a final packet and resets data.
    """

    def __init__(self, world: 'World', number: int) -> None:
        self.world = world
        self.number = number
        self.sequence = TARGET_SEQUENCE + number * 1000000
        self.opened: set[bytes] = set()
        self.work_s = WORK_S
        self.request_parts = 1
        self.parts_by_flow: dict[bytes, set[bytes]] = {}
        self.runs_by_flow: dict[bytes, int] = {}
        self.closed: set[bytes] = set()
        # Final packets that the callers have sent.
        self.finals_by_flow: dict[bytes, int] = {}
        self.is_full = False
        self.is_dead = False
        self.resets_unknown = False
        self.opening_delay_s = 0.0
        self.received = 0
        self.started_ms = 1000

    def receive(self, segment: Segment) -> None:
        """Answer a packet that the agent delivers."""
        if self.is_dead:
            return
        self.received += 1
        if segment.is_opening:
            self.world.timers.call_after(
                self.opening_delay_s, lambda: self._receive_opening(segment)
            )
            return
        self.world.record_delivery(segment.flow, self.number)
        ahead = segment.acknowledged - self.sequence
        if segment.flow not in self.opened or not 0 < ahead < 1000000:
            reject = make_target_reset if self.resets_unknown else make_returned
            self._send(reject(segment))
            return
        if segment.is_final:
            finals = self.finals_by_flow.get(segment.flow, 0)
            self.finals_by_flow[segment.flow] = finals + 1
            self._send(make_acknowledgement(segment.flow))
        if segment.data_bytes and segment.flow in self.closed:
            self._send(make_target_reset(segment))
        elif segment.data_bytes:
            self._receive_data(segment)

    def close(self, flow: bytes) -> None:
        """Close this end of a flow."""
        self.closed.add(flow)
        self._send(make_target_final(flow, self.sequence + 1))

    def _receive_data(self, segment: Segment) -> None:
        parts = self.parts_by_flow.setdefault(segment.flow, set())
        parts.add(segment.raw)
        if len(parts) < self.request_parts:
            if not len(parts) % 2:
                self._send(make_acknowledgement(segment.flow))
            return
        if segment.flow not in self.runs_by_flow:
            self.runs_by_flow[segment.flow] = 1
            self.world.timers.call_after(
                self.work_s, lambda: self._respond(segment.flow)
            )

    def _respond(self, flow: bytes) -> None:
        """Send the response, and again while the agent does not run."""
        self._send(make_response(flow))
        if make_address(self.number) not in self.world.agent_by_address:
            self.world.timers.call_after(
                RETRANSMIT_S, lambda: self._respond(flow)
            )

    def repeat_answer(self, flow: bytes) -> None:
        """Send the answer again, as if no acknowledgement has arrived."""
        self._send(make_answer(flow, self.sequence))

    def _receive_opening(self, segment: Segment) -> None:
        if self.is_full:
            self._send(make_returned(segment))
            return
        self._send(make_answer(segment.flow, self.sequence))
        self.opened.add(segment.flow)

    def _send(self, segment: Segment) -> None:
        if not self.is_dead:
            self.world.send_from_target(self.number, segment)


class FakeOutbox:
    """Delivers the datagrams of one process after `HOP_S`."""

    def __init__(self, world: 'World', address: bytes) -> None:
        self.world = world
        self.address = address
        self.is_dead = False

    def to_target(self, raw: bytes) -> None:
        if self.is_dead:
            return
        segment = self.world.segment_by_raw[raw]
        target = self.world.target_by_address[self.address]
        self.world.deliver_later(lambda: target.receive(segment))

    def to_caller(self, flow: bytes, raw: bytes) -> None:
        self.world.deliver_later(
            lambda: self.world.receive_at_caller(flow, raw)
        )

    def reset(self, flow: bytes) -> None:
        if self.is_dead:
            return
        self.world.deliver_later(lambda: self.world.receive_reset(flow))

    def reset_open(self, flow: bytes, sequence: int) -> None:
        if self.is_dead:
            return
        self.world.deliver_later(
            lambda: self.world.receive_reset_of_open(flow, sequence)
        )

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        if self.is_dead or self.world.is_cut(self.address, address):
            return
        self.world.deliver_later(
            lambda: self.world.receive_at_agent(self.address, address, datagram)
        )

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        if self.is_dead or self.world.is_cut(self.address, address):
            return
        self.world.deliver_later(
            lambda: self.world.receive_at_balancer(
                self.address, address, datagram
            )
        )


class FakeCaller:
    """A caller that sends one request and repeats unanswered packets.

    It acknowledges the first answer to its opening packet and ignores all
    others, and ignores resets once it has acknowledged an answer.
    """

    def __init__(self, world: 'World', flow: bytes, balancer: int) -> None:
        self.world = world
        self.flow = flow
        self.balancer = balancer
        self.sequence: int | None = None
        self.is_refused = False

    @property
    def is_served(self) -> bool:
        return bool(self.world.responses.get(self.flow))

    def start(self) -> None:
        """Send the opening packet, and its copies until an answer."""
        for copy, delay_s in enumerate(COPY_DELAYS_S):
            self.world.timers.call_after(
                delay_s, lambda copy=copy: self._send_opening(copy)
            )

    def handle_answer(self, sequence: int) -> None:
        """Acknowledge the first answer with the request."""
        if self.sequence is None and not self.is_refused:
            self.sequence = sequence
            self._send_request(RETRANSMIT_S)

    def handle_reset(self) -> None:
        """Give up unless the flow is open."""
        self.is_refused = self.sequence is None

    def _send_opening(self, copy: int) -> None:
        if self.sequence is None and not self.is_refused:
            self.world.send(make_opening(self.flow, copy), self.balancer)

    def _send_request(self, repeat_s: float) -> None:
        if not self.is_served:
            self.world.request(self.flow, self.sequence, self.balancer)
            self.world.timers.call_after(
                repeat_s, lambda: self._send_request(repeat_s * 2)
            )


class World:
    """One service on `agents` VMs behind `balancers` VMs.

    With `other_agents` a second service of the same route runs on so many
    further VMs; their numbers follow those of the first service.
    """

    def __init__(
        self,
        balancers: int = 2,
        agents: int = 4,
        *,
        other_agents: int = 0,
        cold_bounds: ColdBounds | None = None,
    ) -> None:
        self.cold_bounds = cold_bounds
        # Version of the store's latest list of evacuated zones.
        self.era = 1
        self.revision = 1
        self.first_agents = agents
        self.table = make_table()
        if other_agents:
            self.table = make_table(services=(SERVICE, OTHER_SERVICE))
        self.timers = VirtualTimerService(start_s=100.0)
        self.segment_by_raw: dict[bytes, Segment] = {}
        self.agent_by_address: dict[bytes, AgentSteering] = {}
        self.balancer_by_address: dict[bytes, BalancerSteering] = {}
        self.balancer_outboxes: dict[bytes, FakeOutbox] = {}
        self.target_by_address: dict[bytes, FakeTarget] = {}
        self.responses: dict[bytes, int] = {}
        self.answers: dict[bytes, list[int]] = {}
        self.resets: list[bytes] = []
        # Sequence numbers of the resets of open flows.
        self.open_resets: dict[bytes, list[int]] = defaultdict(list)
        # Flows that were reset although a running target held them.
        self.false_resets: list[bytes] = []
        # Senders and receivers between which all datagrams are lost.
        self.cut_links: set[tuple[bytes, bytes]] = set()
        # Whether the sockets of agents have unread messages all the time.
        self.has_backlog = False
        self.caller_by_flow: dict[bytes, FakeCaller] = {}
        self.deliveries_by_flow: dict[bytes, list[Delivery]] = {}
        self.heartbeats = 1
        for number in range(1, balancers + 1):
            self.start_balancer(number)
        for number in range(1, agents + other_agents + 1):
            self.start_target(number)
            self.start_agent(number)
        self.timers.subscribe(HEARTBEAT_S, self._send_heartbeats)
        self.timers.advance(0.5)

    def start_balancer(
        self, number: int, *, reads_store: bool = True
    ) -> BalancerSteering:
        address = make_address(number, network=9)
        earlier = self.balancer_outboxes.get(address)
        if earlier is not None:
            earlier.is_dead = True
        outbox = FakeOutbox(self, address)
        self.balancer_outboxes[address] = outbox
        steering = BalancerSteering(
            BalancerIdentity(address, self.name_zone(number)),
            self.timers,
            outbox,
            lambda: None,
        )
        self.balancer_by_address[address] = steering
        if reads_store:
            steering.apply_routes(self.table)
            # An agent that was killed stays in the store's list.
            steering.contacts.agent_lists.record_listed(
                list(self.target_by_address)
            )
        return steering

    def stop_all(self) -> None:
        """Cut the power of all VMs: processes and targets lose their state."""
        for number in range(1, len(self.target_by_address) + 1):
            self.stop_agent(number)
            self.restart_target(number).is_dead = True
        for address in self.balancer_by_address:
            self.balancer_outboxes[address].is_dead = True
        self.balancer_by_address.clear()

    def start_target(self, number: int) -> FakeTarget:
        target = FakeTarget(self, number)
        self.target_by_address[make_address(number)] = target
        return target

    def start_agent(
        self,
        number: int,
        *,
        is_first_start: bool = True,
        heartbeat_after_s: float = 0.0,
    ) -> AgentSteering:
        address = make_address(number)
        steering = AgentSteering(
            make_identity(
                number,
                is_first_start=is_first_start,
                service=self.find_service(number),
                zone_digest=digest_service(self.name_zone(number)),
                cold_bounds=self.cold_bounds,
                zone=digest_zone(self.name_zone(number)),
            ),
            self.timers,
            FakeOutbox(self, address),
        )
        target_id = f'i-{number}'
        heartbeat = make_heartbeat(
            self.heartbeats,
            target_id=target_id,
            started_ms=self.target_by_address[address].started_ms,
        )
        if heartbeat_after_s:
            self.timers.call_after(
                heartbeat_after_s,
                lambda: steering.handle_heartbeat(heartbeat),
            )
        else:
            steering.handle_heartbeat(heartbeat)
        known = list(self.agent_by_address)
        self.agent_by_address[address] = steering
        for balancer in self.balancer_by_address:
            steering.context.peers.record_balancer(balancer)
        steering.reports.report_to(
            [*self.balancer_by_address, *known], asks=True
        )
        return steering

    def name_zone(self, number: int) -> str:
        """Return the availability zone of the process with a number."""
        return 'zone-a'

    def find_service(self, number: int) -> bytes:
        """Return the service of the target with a number."""
        return SERVICE if number <= self.first_agents else OTHER_SERVICE

    def evacuate(self, *zones: str, balancer: int = 1) -> None:
        """Let a balancer read these zones in the store's list."""
        self.revision += 1
        address = make_address(balancer, network=9)
        self.balancer_by_address[address].contacts.announce_zones_read(
            list(zones),
            StoreVersion(self.era, self.revision),
            self.timers.now(),
        )

    def is_cut(self, sender: bytes, receiver: bytes) -> bool:
        return (sender, receiver) in self.cut_links

    def cut_off(self, number: int, *, one_way: bool = False) -> None:
        """Cut an agent off from all processes until `cut_links` is cleared.

        With `one_way` it still gets what others send.
        """
        address = make_address(number)
        others = [*self.agent_by_address, *self.balancer_by_address]
        self.cut_links |= {(address, other) for other in others}
        if not one_way:
            self.cut_links |= {(other, address) for other in others}

    def apply_routes(self, table: RouteTable) -> None:
        """Write a configuration: all balancers apply it, also later ones."""
        self.table = table
        for balancer in self.balancer_by_address.values():
            balancer.apply_routes(table)

    def stop_agent(self, number: int) -> None:
        """Kill the process; what its timers send is discarded."""
        steering = self.agent_by_address.pop(make_address(number))
        steering.context.outbox.is_dead = True

    def restart_target(self, number: int) -> FakeTarget:
        """Crash a target and start one that knows nothing of its flows."""
        self.target_by_address[make_address(number)].is_dead = True
        return self.start_target(number)

    def send_first_heartbeat(self, number: int, started_ms: int) -> None:
        """Report a target that has just started, if its agent runs."""
        agent = self.agent_by_address.get(make_address(number))
        target = self.target_by_address[make_address(number)]
        target.started_ms = started_ms
        if agent is not None:
            agent.handle_heartbeat(
                make_heartbeat(target_id=f'i-{number}', started_ms=started_ms)
            )

    def replace_target(self, number: int) -> None:
        """Crash a target and start one that reports itself at once."""
        self.restart_target(number)
        self.send_first_heartbeat(number, int(self.timers.now() * 1000))

    def replace_agent(
        self, number: int, *, starts: bool, is_listed: bool
    ) -> None:
        """Kill an agent, if it runs; start it, with or without the list."""
        if make_address(number) in self.agent_by_address:
            self.stop_agent(number)
        if starts:
            self.start_agent(number, is_first_start=False)
            if is_listed:
                self.list_members(number)

    def list_members(self, number: int) -> None:
        """Give an agent the store's list of all agents."""
        agent = self.agent_by_address[make_address(number)]
        listed = agent.context.peers.record_listed(list(self.target_by_address))
        agent.reports.report_to(listed, asks=True)

    def restart_agent(
        self,
        number: int,
        *,
        down_s: float = 0.0,
        heartbeat_after_s: float = 0.0,
    ) -> None:
        """Kill the process and start it again after `down_s` seconds."""
        self.stop_agent(number)
        self.timers.call_after(
            down_s,
            lambda: self.start_agent(
                number,
                is_first_start=False,
                heartbeat_after_s=heartbeat_after_s,
            ),
        )

    def send(self, segment: Segment, balancer: int = 1) -> None:
        """Deliver a caller's packet to a balancer, as the fabric does."""
        self.segment_by_raw[segment.raw] = segment
        address = make_address(balancer, network=9)

        def deliver() -> None:
            steering = self.balancer_by_address.get(address)
            if steering is not None:
                steering.handle_caller_packet(segment)

        self.deliver_later(deliver)

    def start_caller(self, flow: bytes, balancer: int = 1) -> 'FakeCaller':
        """Start a caller that opens a flow for one request."""
        caller = FakeCaller(self, flow, balancer)
        self.caller_by_flow[flow] = caller
        caller.start()
        return caller

    def open(self, flow: bytes, balancer: int = 1) -> int:
        """Open a flow; return the target's first sequence number."""
        self.send(make_opening(flow), balancer)
        self.timers.advance(0.02)
        return self.answers[flow][0]

    def request(self, flow: bytes, sequence: int, balancer: int = 1) -> None:
        """Send the request of an open flow."""
        self.send(make_data(flow, sequence + 1), balancer)

    def close(self, flow: bytes, sequence: int, balancer: int = 1) -> int:
        """Close the caller's end; return how often its target was told.

        `sequence` is the target's first sequence number.
        """
        target = self.target_by_address[make_address(self.find_holder(flow))]
        has_closed = flow in target.closed
        self.send(make_final(flow, sequence + 1 + has_closed), balancer)
        self.timers.advance(0.2)
        return target.finals_by_flow.get(flow, 0)

    def request_until_answered(
        self, flow: bytes, sequence: int, balancer: int = 1, parts: int = 1
    ) -> None:
        """Send a request of `parts` packets, and again while unanswered."""

        def send(part: int) -> None:
            if flow not in self.responses:
                packet = make_data(flow, sequence + 1, part=part)
                self.send(packet, balancer)

        for delay_s in RETRANSMISSIONS_S:
            for part in range(parts):
                self.timers.call_after(delay_s, lambda part=part: send(part))

    def count_runs(self, flow: bytes) -> int:
        return sum(
            target.runs_by_flow.get(flow, 0)
            for target in self.target_by_address.values()
        )

    def record_delivery(self, flow: bytes, target: int) -> None:
        deliveries = self.deliveries_by_flow.setdefault(flow, [])
        deliveries.append(Delivery(self.timers.now(), target))

    def count_strays(self, flow: bytes) -> int:
        """Return how many packets of the flow reached other targets."""
        return len(self._split_deliveries(flow)[1])

    def is_misdirected(self, flow: bytes) -> bool:
        """Return whether packets of the flow reached other targets only.

        True if within `REORDER_S` after one did, `MAX_STRAYS` or more
        reached other targets and none the flow's own.
        """
        own_s, strays_s = self._split_deliveries(flow)
        return any(
            self.timers.now() >= start_s + REORDER_S
            and _count_within(strays_s, start_s, start_s) >= MAX_STRAYS
            and not _count_within(own_s, start_s, start_s - SEARCH_S)
            for start_s in strays_s
        )

    def _split_deliveries(self, flow: bytes) -> tuple[list[float], list[float]]:
        """Return when the own target received packets, and when others."""
        holder = self.find_holder(flow)
        own_s: list[float] = []
        strays_s: list[float] = []
        for delivery in self.deliveries_by_flow.get(flow, []):
            is_own = delivery.target == holder
            (own_s if is_own else strays_s).append(delivery.at_s)
        return own_s, strays_s

    def find_holder(self, flow: bytes) -> int:
        """Return the number of the target that opened a flow."""
        for target in self.target_by_address.values():
            if flow in target.opened:
                return target.number
        raise LookupError(flow)

    def deliver_later(self, callback) -> None:
        self.timers.call_after(HOP_S, callback)

    def send_from_target(self, number: int, segment: Segment) -> None:
        if not segment.is_returned:
            self.segment_by_raw[segment.raw] = segment
        address = make_address(number)

        def deliver() -> None:
            agent = self.agent_by_address.get(address)
            if agent is not None:
                agent.handle_target_packet(segment)

        self.deliver_later(deliver)

    def _send_heartbeats(self) -> None:
        """Send those of all targets whose agents have had the first one."""
        self.heartbeats += 1
        for address, agent in self.agent_by_address.items():
            target_id = agent.context.gate.target_id
            target = self.target_by_address[address]
            if target_id and not target.is_dead:
                agent.handle_heartbeat(
                    make_heartbeat(
                        self.heartbeats,
                        target_id=target_id,
                        started_ms=target.started_ms,
                    )
                )

    def receive_at_caller(self, flow: bytes, raw: bytes) -> None:
        segment = self.segment_by_raw[raw]
        caller = self.caller_by_flow.get(flow)
        if segment.is_opening_answer:
            self.answers.setdefault(flow, []).append(segment.sequence)
            if caller is not None:
                caller.handle_answer(segment.sequence)
        elif segment.is_reset:
            self.receive_reset(flow)
        elif segment.data_bytes:
            self.responses[flow] = self.responses.get(flow, 0) + 1

    def receive_reset(self, flow: bytes) -> None:
        self.resets.append(flow)
        caller = self.caller_by_flow.get(flow)
        if caller is not None:
            caller.handle_reset()

    def receive_reset_of_open(self, flow: bytes, sequence: int) -> None:
        self.open_resets[flow].append(sequence)
        if any(
            flow in target.opened and not target.is_dead
            for target in self.target_by_address.values()
        ):
            self.false_resets.append(flow)

    def receive_at_agent(
        self, sender: bytes, address: bytes, datagram: bytes
    ) -> None:
        agent = self.agent_by_address.get(address)
        if agent is None:
            return
        message = decode_message(datagram).unwrap()
        segment = None
        if message.kind <= PeerKind.SEARCH:
            segment = self.segment_by_raw[message.body]
        agent.handle_peer_message(sender, message, segment)
        if not self.has_backlog:
            agent.backlog.mark_socket_empty()

    def receive_at_balancer(
        self, sender: bytes, address: bytes, datagram: bytes
    ) -> None:
        balancer = self.balancer_by_address.get(address)
        if balancer is None:
            return
        message = decode_message(datagram).unwrap()
        segment = None
        if message.kind is PeerKind.DENIED:
            segment = self.segment_by_raw[message.body]
        balancer.handle_peer_message(sender, message, segment)


def _count_within(times_s: list[float], start_s: float, from_s: float) -> int:
    """Return how many times are in `from_s` to `start_s` + `REORDER_S`."""
    return sum(from_s <= at_s < start_s + REORDER_S for at_s in times_s)

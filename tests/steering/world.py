"""Simulation of balancers, agents, targets and callers in virtual time.

A small stand-in for the users' platform: the test chooses the balancer
of each packet in place of the fabric, targets send back packets of
flows that they do not hold, and every datagram takes a millisecond.
"""

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.steering.agent_steering import AgentSteering
from greengagepath.steering.balancer_contacts import BalancerIdentity
from greengagepath.steering.balancer_steering import BalancerSteering
from greengagepath.steering.peer_messages import PeerKind, decode_message
from greengagepath.steering.segments import Segment

from .builders import (
    TARGET_SEQUENCE,
    make_address,
    make_answer,
    make_data,
    make_heartbeat,
    make_identity,
    make_opening,
    make_response,
    make_returned,
    make_table,
    make_target_reset,
)

HOP_S = 0.001
WORK_S = 0.03
# When a caller sends its opening packet and the copies of it.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
# First time after which a caller repeats an unanswered packet.
REPEAT_S = 0.2


class FakeTarget:
    """A target that opens flows and sends back packets of unknown ones.

    With `resets_unknown` it answers packets of unknown flows with a reset
    instead, as TCP does. It answers or sends back opening packets after
    `opening_delay_s` seconds.
    """

    def __init__(self, world: 'World', number: int) -> None:
        self.world = world
        self.number = number
        self.sequence = TARGET_SEQUENCE + number * 1000000
        self.opened: set[bytes] = set()
        self.runs_by_flow: dict[bytes, int] = {}
        self.is_full = False
        self.is_dead = False
        self.resets_unknown = False
        self.opening_delay_s = 0.0
        self.received = 0

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
        ahead = segment.acknowledged - self.sequence
        if segment.flow not in self.opened or not 0 < ahead < 1000000:
            reject = make_target_reset if self.resets_unknown else make_returned
            self._send(reject(segment))
            return
        if segment.data_bytes and segment.flow not in self.runs_by_flow:
            self.runs_by_flow[segment.flow] = 1
            self.world.timers.call_after(
                WORK_S, lambda: self._send(make_response(segment.flow))
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

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        if self.is_dead:
            return
        self.world.deliver_later(
            lambda: self.world.receive_at_agent(self.address, address, datagram)
        )

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        if self.is_dead:
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
            self._send_request(REPEAT_S)

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
    """One service on `agents` VMs behind `balancers` VMs."""

    def __init__(self, balancers: int = 2, agents: int = 4) -> None:
        self.timers = VirtualTimerService(start_s=100.0)
        self.segment_by_raw: dict[bytes, Segment] = {}
        self.agent_by_address: dict[bytes, AgentSteering] = {}
        self.balancer_by_address: dict[bytes, BalancerSteering] = {}
        self.target_by_address: dict[bytes, FakeTarget] = {}
        self.responses: dict[bytes, int] = {}
        self.answers: dict[bytes, list[int]] = {}
        self.resets: list[bytes] = []
        self.caller_by_flow: dict[bytes, FakeCaller] = {}
        for number in range(1, balancers + 1):
            self.start_balancer(number)
        for number in range(1, agents + 1):
            self.start_target(number)
            self.start_agent(number)
        self.timers.advance(0.5)

    def start_balancer(self, number: int) -> BalancerSteering:
        address = make_address(number, network=9)
        steering = BalancerSteering(
            BalancerIdentity(address, 'zone-a'),
            self.timers,
            FakeOutbox(self, address),
            lambda: None,
        )
        steering.apply_routes(make_table())
        self.balancer_by_address[address] = steering
        steering.contacts.add_agents(list(self.agent_by_address))
        return steering

    def start_target(self, number: int) -> FakeTarget:
        target = FakeTarget(self, number)
        self.target_by_address[make_address(number)] = target
        return target

    def start_agent(
        self, number: int, *, is_first_start: bool = True
    ) -> AgentSteering:
        address = make_address(number)
        steering = AgentSteering(
            make_identity(number, is_first_start=is_first_start),
            self.timers,
            FakeOutbox(self, address),
        )
        steering.handle_heartbeat(make_heartbeat(target_id=f'i-{number}'))
        known = list(self.agent_by_address)
        self.agent_by_address[address] = steering
        for balancer in self.balancer_by_address:
            steering.context.peers.record_balancer(balancer)
        steering.reports.report_to([*self.balancer_by_address, *known])
        return steering

    def stop_agent(self, number: int) -> None:
        """Kill the process; what its timers send is discarded."""
        steering = self.agent_by_address.pop(make_address(number))
        steering.context.outbox.is_dead = True

    def send(self, segment: Segment, balancer: int = 1) -> None:
        """Deliver a caller's packet to a balancer, as the fabric does."""
        self.segment_by_raw[segment.raw] = segment
        address = make_address(balancer, network=9)
        self.deliver_later(
            lambda: self.balancer_by_address[address].handle_caller_packet(
                segment
            )
        )

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

    def count_runs(self, flow: bytes) -> int:
        return sum(
            target.runs_by_flow.get(flow, 0)
            for target in self.target_by_address.values()
        )

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

    def receive_at_balancer(
        self, sender: bytes, address: bytes, datagram: bytes
    ) -> None:
        balancer = self.balancer_by_address.get(address)
        if balancer is not None:
            balancer.handle_peer_message(
                sender, decode_message(datagram).unwrap()
            )

"""Invariants of an agent with duplicated, late and replayed datagrams."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from greengagepath.protocol.packets import Kind

from .world import SentRequest, World

POSITION = st.integers(0, 1000)


class AgentMachine(RuleBasedStateMachine):
    """Random sequences of events at one agent.

    Callers retry only requests that the agent has refused.
    """

    def __init__(self):
        super().__init__()
        self.world = World()
        self.retried = set()

    @rule(port=st.integers(1, 3))
    def open_flow(self, port):
        self.world.open_flow(('198.51.100.1', port))

    @precondition(lambda machine: machine.world.flows)
    @rule(
        position=POSITION,
        parts=st.integers(1, 3),
        idempotent=st.booleans(),
        deadline_ms=st.sampled_from((0, 50, 60000)),
    )
    def request(self, position, parts, idempotent, deadline_ms):
        self.world.request(
            self._pick(self.world.flows, position),
            parts,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
        )

    @precondition(lambda machine: machine.world.flows)
    @rule(position=POSITION, count=st.integers(4, 7))
    def burst(self, position, count):
        for number in range(count):
            flow = self._pick(self.world.flows, position + number)
            self.world.request(flow)

    @precondition(lambda machine: machine._retriable())
    @rule(position=POSITION, flow=POSITION)
    def retry_on_another_flow(self, position, flow):
        attempt = self._pick(self._retriable(), position)
        self.retried.add(attempt)
        self.world.request(
            self._pick(self.world.flows, flow),
            request=self.world.requests_by_attempt[attempt],
        )

    @precondition(lambda machine: machine.world.flows)
    @rule(position=POSITION, order=st.permutations((0, 1, 2, 1)))
    def request_out_of_order(self, position, order):
        world = self.world
        flow = self._pick(world.flows, position)
        request_id = len(world.sent).to_bytes(16, 'little')
        request = SentRequest(request_id, parts=3)
        attempt = (flow.flow_id, flow.next_number)
        flow.next_number += 1
        world.requests_by_attempt[attempt] = request
        datagrams = world.request_datagrams(flow, attempt[1], request)
        for part in order:
            world.send(datagrams[part], flow.caller)

    @precondition(lambda machine: machine.world.sent)
    @rule(position=POSITION)
    def deliver_again(self, position):
        datagram, caller = self._pick(self.world.sent, position)
        self.world.send(datagram, caller)

    @precondition(lambda machine: machine.world.sealed)
    @rule(position=POSITION)
    def replay_envelope(self, position):
        self.world.receive(self._pick(self.world.sealed, position))

    @precondition(lambda machine: machine.world.requests_by_attempt)
    @rule(position=POSITION, kind=st.sampled_from((Kind.CANCEL, Kind.PING)))
    def cancel_or_ping(self, position, kind):
        attempt = self._pick(list(self.world.requests_by_attempt), position)
        self.world.send_in_flow(self.world.flow_of(attempt), kind, attempt[1])

    @precondition(lambda machine: machine.world.flows)
    @rule(position=POSITION)
    def cancel_before_the_request(self, position):
        flow = self._pick(self.world.flows, position)
        self.world.send_in_flow(flow, Kind.CANCEL, flow.next_number)

    @precondition(lambda machine: machine.world.answers_by_attempt)
    @rule(position=POSITION)
    def acknowledge(self, position):
        answered = list(self.world.answers_by_attempt)
        self.world.acknowledge(self._pick(answered, position))

    @precondition(lambda machine: machine.world.flows)
    @rule(position=POSITION, port=st.integers(10, 12))
    def move_caller(self, position, port):
        flow = self._pick(self.world.flows, position)
        flow.caller = ('198.51.100.1', port)
        flow.callers.add(flow.caller)
        self.world.send_in_flow(flow, Kind.PING, 0)

    @precondition(lambda machine: machine.world.running)
    @rule(
        position=POSITION,
        kind=st.sampled_from(('answered', 'answered', 'not_run', 'unknown')),
        size=st.sampled_from((0, 3000, 8000)),
    )
    def finish(self, position, kind, size):
        self.world.finish(position, kind, bytes(size))

    @rule(duration_s=st.sampled_from((0.01, 0.1, 1.0, 20.0, 650.0)))
    def advance(self, duration_s):
        self.world.advance(duration_s)

    @rule()
    def drain(self):
        self.world.drain()

    @precondition(lambda machine: machine.world.draining)
    @rule()
    def undrain(self):
        self.world.undrain()

    @rule()
    def restart(self):
        self.world.restart()

    @invariant()
    def non_idempotent_request_runs_at_most_once(self):
        for request_id, runs in self.world.runs_of_request().items():
            assert runs <= 1, f'{request_id.hex()} ran {runs} times'

    @invariant()
    def request_refused_as_not_run_was_not_run(self):
        for attempt in self.world.refused_attempts():
            runs = (
                self.world.started_by_attempt[attempt]
                - self.world.not_run_by_attempt[attempt]
            )
            assert not runs, f'{attempt} was refused and ran'

    @invariant()
    def caller_receives_the_answer_to_its_own_request(self):
        # World checks flow and token of each datagram to a caller.
        for attempt, answer in self.world.answers_by_attempt.items():
            request = self.world.requests_by_attempt[attempt]
            assert answer.request_id == request.request_id

    @invariant()
    def tables_stay_within_their_limits(self):
        agent = self.world.agent
        load = agent.gate.load()
        assert load.in_flight <= 2
        assert load.queued <= 3
        assert (
            len(agent.request_table.records)
            <= agent.request_table.records.max_records
        )
        assert agent.flow_table.active <= agent.flow_table.max_active
        assert agent.reassembly.reserved_bytes <= (
            agent.reassembly.max_total_bytes
        )

    def _retriable(self):
        """Return refused attempts that were not retried yet."""
        refused = self.world.refused_attempts() - self.retried
        return sorted(refused & self.world.requests_by_attempt.keys())

    def _pick(self, entries, position):
        return entries[position % len(entries)]


AgentMachineTest = AgentMachine.TestCase
AgentMachineTest.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None
)

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.daemon.agent_metrics import AgentMetrics
from greengagepath.daemon.backend import ConnectionPool
from greengagepath.protocol.envelopes import Envelope, seal_envelope
from greengagepath.protocol.packets import MAX_BODY_BYTES, Kind

from .world import BALANCER, SERVICE_ADDRESS, World

U32 = st.integers(0, 2**32 - 1)
SMALL = st.integers(0, 4)


class AgentFuzzTest(TestCase):
    @given(st.lists(st.binary(max_size=200), max_size=10))
    def test_any_bytes_from_outside_are_dropped(self, datagrams):
        # Guards against a malformed envelope that raises an exception, which
        # ends the process, or that is not counted as dropped.
        world = World()
        for datagram in datagrams:
            world.receive(datagram)
        self.assertEqual(len(datagrams), world.agent.drops.total())

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(Kind),
                SMALL | U32,
                SMALL | U32,
                SMALL | U32,
                st.binary(max_size=40) | st.just(bytes(MAX_BODY_BYTES)),
            ),
            max_size=20,
        )
    )
    def test_any_datagram_of_a_flow_is_handled(self, fields):
        # Guards against field values, such as a part count of 0, that raise
        # an exception or start a request that is not well-formed.
        world = World()
        flow = world.open_flow()
        for kind, number, part, part_count, body in fields:
            datagram = world.datagram(
                flow, kind, number, body, part, part_count
            )
            world.send(datagram, flow.caller)
        world.advance(0.1)
        self.assertEqual([], world.running)

    @given(st.binary(max_size=100))
    def test_any_bytes_in_an_envelope_are_dropped(self, inner):
        # Guards against a malformed datagram in a valid envelope: balancers
        # forward datagrams without checking their content.
        world = World()
        envelope = Envelope(1, 1, BALANCER, SERVICE_ADDRESS)
        world.receive(seal_envelope(world.keys, envelope, inner))
        self.assertEqual(1, world.agent.drops.total())


class AgentMetricsTest(TestCase):
    def test_fill_of_every_table_is_shown(self):
        # Guards against a bounded table without metrics, which fills up
        # unnoticed.
        world = World()
        world.request(world.open_flow())
        work = world.running[0]
        pool = ConnectionPool(BALANCER, 10, world.timers)
        udp = SimpleNamespace(received=3, send_errors=0)
        metrics = AgentMetrics(world.agent, pool, udp)
        world.finish(0, 'answered')
        metrics.observe(work, world.outcomes[-1], world.timers.now())
        text = metrics.metrics.render().decode()
        for table in (
            'active_flows',
            'answer_bytes',
            'connections',
            'flows',
            'queue',
            'replay_windows',
            'request_bytes',
            'request_records',
        ):
            self.assertIn(f'table_entries{{table="{table}"}}', text)
            self.assertIn(f'table_capacity{{table="{table}"}}', text)
        self.assertIn('requests_total{', text)
        self.assertIn('request_duration_seconds_count{', text)

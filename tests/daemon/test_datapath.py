"""The receive loop of the data path on 127.0.0.1."""

import gevent
from testtools import TestCase

from greengagepath.bench.wall_clock import (
    measure_cache,
    measure_packets,
    measure_tags,
)
from greengagepath.daemon.datapath import DataPath, open_data_socket
from greengagepath.daemon.target_sockets import TargetSockets
from greengagepath.datapath.packet_router import PacketRouter
from greengagepath.foundation.timers import LoopTimerService
from greengagepath.protocol.packets import Kind

from ..datapath.builders import (
    build_packet,
    build_router,
    build_target,
    build_token,
    unseal,
)

LOCALHOST = ('127.0.0.1', 0)
MAX_BYTES_PER_FLOW = 256


class DataPathTest(TestCase):
    def setUp(self):
        super().setUp()
        self.target = open_data_socket(LOCALHOST)
        self.fabric = open_data_socket(LOCALHOST)
        self.inbox = open_data_socket(LOCALHOST)
        self.sockets = TargetSockets(self.inbox, 10)
        timers = LoopTimerService()
        timers.start()
        self.parts = build_router([build_target()]).dependencies
        self.parts.timers = timers
        self.parts.connect = self.sockets.connect
        self.parts.send_probe = self.inbox.sendto
        self.address = self.inbox.getsockname()
        self.path = DataPath(
            self.inbox, self.sockets, PacketRouter(self.parts), timers
        )
        self.path.start()
        self.addCleanup(self.target.close)
        self.addCleanup(self.fabric.close)
        self.addCleanup(timers.stop)

    def send(self, flow_id):
        token = build_token(self.parts.keys, flow_id, self.target.getsockname())
        packet = build_packet(Kind.REQUEST, flow_id, token=token)
        self.fabric.sendto(packet, self.address)

    def test_all_datagrams_reach_the_target(self):
        # Guards against datagrams that stay in the socket after a batch of
        # `MAX_DRAINED` has been read.
        for flow_id in range(150):
            self.send(flow_id)
        gevent.sleep(0.1)
        flow_ids = set()
        for _ in range(150):
            sealed = self.target.recv(2000)
            flow_ids.add(unseal(self.parts.keys, sealed)[1].flow_id)
        self.assertEqual(150, len(flow_ids))
        self.assertEqual(0, self.path.stop())

    def test_drain_ends_when_quiet(self):
        # Guards against a shutdown that drops datagrams in the socket.
        self.send(1)
        self.assertTrue(self.path.drain(5.0))
        self.assertEqual(1, self.path.received)
        self.assertEqual(0, self.path.stop())

    def test_replies_to_probes_do_not_prolong_a_drain(self):
        # Guards against a drain that never ends because replies to the
        # probes of the balancer keep its socket busy.
        self.path.set_probed_services((7,))
        gevent.sleep(0.6)
        probes = self.path.router.counters.probes_sent
        self.assertGreater(probes, 0)
        self.assertTrue(self.path.drain(5.0))
        self.assertEqual(probes, self.path.router.counters.probes_sent)
        self.path.stop()

    def test_stop_counts_what_is_left(self):
        # Guards against lost datagrams that are not reported when a second
        # SIGTERM ends the drain.
        self.send(1)
        self.send(2)
        self.assertEqual(2, self.path.stop())

    def test_dead_target_does_not_stop_the_loop(self):
        # Guards against a receive loop that ends at an ICMP error, which
        # arrives when a target has closed its port.
        address = self.target.getsockname()
        self.target.close()
        for flow_id in range(5):
            token = build_token(self.parts.keys, flow_id, address)
            packet = build_packet(Kind.REQUEST, flow_id, token=token)
            self.fabric.sendto(packet, self.address)
            gevent.sleep(0.01)
        self.assertEqual(5, self.path.received)
        self.assertGreater(self.path.router.counters.send_failures, 0)
        self.path.stop()


class WallClockTest(TestCase):
    def test_memory_of_a_cached_flow(self):
        # Guards against a cache entry that needs more memory than the limit
        # for each flow.
        cost = measure_cache()
        self.assertEqual(300000, cost.entries)
        self.assertLessEqual(cost.bytes_per_entry, MAX_BYTES_PER_FLOW)

    def test_measurements_forward_all_datagrams(self):
        # Guards against a ratio measured with a loop that drops datagrams
        # instead of forwarding them.
        cost = measure_packets(300, rounds=20)
        self.assertGreater(cost.ratio, 1.0)
        self.assertGreater(cost.uncached_us, cost.ours_us)
        self.assertGreater(measure_tags(300, repeats=50).envelope_tag_us, 0)

"""Tests of the load that open flows are expected to cause."""

from testtools import TestCase

from greengagepath.routing.standing_load import MAX_ROUTES, StandingLoad

from ..steering.builders import ROUTE_PORT, make_flow

SERVICE_S = 0.1
SLOTS = 2


class StandingLoadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.load = StandingLoad()

    def _run_request(self, flow: bytes, start_s: float) -> None:
        self.load.record_opening(flow)
        self.load.record_request(flow, start_s)

    def _estimate_share(self, now_s: float) -> float:
        return self.load.estimate_share(SERVICE_S, SLOTS, now_s)

    def test_share_follows_the_rate_of_requests_on_open_flows(self):
        # Guards against a target that looks empty while its open flows
        # are idle: 8 flows with 2 requests of 0.1 s a second keep 0.8 of
        # two slots busy.
        for step in range(20):
            for number in range(8):
                self._run_request(make_flow(number), step / 2)
        self.assertAlmostEqual(0.8, self._estimate_share(9.9), delta=0.08)
        for number in range(8):
            self.load.discard(make_flow(number))
        self.assertEqual(0, self._estimate_share(9.9))

    def test_flows_count_as_soon_as_they_open(self):
        # Guards against a burst of opening flows at one target because
        # only requests that have run are counted.
        for number in range(8):
            self.load.record_opening(make_flow(number))
            self.load.record_request(make_flow(number), 0.0)
        self.assertEqual(0.4, self._estimate_share(0.4))
        self.assertEqual(0, self._estimate_share(60.0))

    def test_flows_with_one_request_each_add_nothing(self):
        # Guards against another placement of services whose flows carry
        # one request each, and against flows that are never removed.
        for number in range(100):
            flow = make_flow(number)
            self._run_request(flow, number / 50)
            self.load.discard(flow)
        self.load.record_opening(make_flow())
        self.assertEqual(0, self._estimate_share(2.0))
        self.assertEqual(1, len(self.load))

    def test_routes_beyond_the_limit_share_a_rate(self):
        # Guards against memory that grows with the number of routes.
        for number in range(MAX_ROUTES * 2):
            flow = make_flow(port=ROUTE_PORT + number)
            self.load.record_opening(flow)
        self.assertEqual(MAX_ROUTES + 1, self.load.count_routes())
        self.assertGreater(self._estimate_share(0.0), 0)

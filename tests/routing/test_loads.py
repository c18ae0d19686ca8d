from testtools import TestCase

from greengagepath.routing.loads import TargetLoad


class TargetLoadTest(TestCase):
    def test_one_long_request_does_not_make_a_target_slow(self):
        # Guards against avoiding a target for one report of long work.
        load = TargetLoad()
        load.take_report(1, 0, 0.02, 0.0)
        load.take_report(1, 0, 0.4, 0.1)
        self.assertAlmostEqual(0.022, load.latency_s)
        for step in range(40):
            load.take_report(1, 0, 0.4, 0.2 + step)
        self.assertAlmostEqual(0.4, load.latency_s)

    def test_busy_slots_are_averaged_over_seconds(self):
        # Guards against a busy time that follows single probes.
        load = TargetLoad()
        load.take_report(2, 0, 0.02, 0.0)
        load.take_report(0, 0, 0.02, 0.1)
        self.assertGreater(load.busy_slots, 1.9)
        load.take_report(0, 0, 0.02, 30.0)
        self.assertLess(load.busy_slots, 0.01)

    def test_old_report_loses_influence(self):
        # Guards against avoiding a target for a queue long gone.
        load = TargetLoad()
        load.take_report(2, 30, 0.02, 0.0)
        self.assertEqual(32, load.estimate_requests(0.0, 1.0))
        self.assertLess(load.estimate_requests(10.0, 1.0), 0.1)

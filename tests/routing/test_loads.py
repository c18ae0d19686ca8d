from testtools import TestCase

from greengagepath.routing.loads import TargetLoad


class TargetLoadTest(TestCase):
    def test_latency_changes_gradually(self):
        # Guards against avoiding a target because one long request
        # raised its reported latency.
        load = TargetLoad()
        load.record_report(1, 0, 0.02, 0.0)
        load.record_report(1, 0, 0.4, 0.1)
        self.assertAlmostEqual(0.022, load.latency_s)
        for step in range(40):
            load.record_report(1, 0, 0.4, 0.2 + step)
        self.assertAlmostEqual(0.4, load.latency_s)

    def test_busy_slots_are_averaged_over_seconds(self):
        # Guards against busy slots that follow each single probe reply.
        load = TargetLoad()
        load.record_report(2, 0, 0.02, 0.0)
        load.record_report(0, 0, 0.02, 0.1)
        self.assertGreater(load.busy_slots, 1.9)
        load.record_report(0, 0, 0.02, 30.0)
        self.assertLess(load.busy_slots, 0.01)

    def test_reported_load_decays_with_age(self):
        # Guards against avoiding a target because of an old report of a
        # long queue.
        load = TargetLoad()
        load.record_report(2, 30, 0.02, 0.0)
        self.assertEqual(32, load.estimate_requests(0.0, 1.0))
        self.assertLess(load.estimate_requests(10.0, 1.0), 0.1)

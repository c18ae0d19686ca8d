"""Balancers leave rotation one after the other."""

from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.steering.rotation import BalancerStage, Rotation

FIRST, SECOND = b'\x0a\x01\x00\x01', b'\x0a\x01\x00\x02'


class RotationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService(start_s=100.0)
        self.rotation = Rotation(self.timers)
        for address in (FIRST, SECOND):
            self.rotation.update(address, BalancerStage.READY)

    def test_leaves_while_half_of_the_zone_stays(self):
        # Guards against a restart that waits for nothing.
        self.rotation.request_leave()
        self.assertTrue(self.rotation.may_leave())

    def test_waits_for_a_balancer_that_left_before(self):
        # Replays a rolling restart closer together than a restart takes:
        # the fabric would use the balancer that does not run.
        self.rotation.update(FIRST, BalancerStage.LEAVING)
        self.timers.advance(1.2)
        self.rotation.update(SECOND, BalancerStage.READY)
        self.rotation.request_leave()
        self.assertFalse(self.rotation.may_leave())
        self.rotation.update(FIRST, BalancerStage.STARTING)
        self.assertFalse(self.rotation.may_leave())
        self.rotation.update(FIRST, BalancerStage.READY)
        self.assertFalse(self.rotation.may_leave())
        self.timers.advance(0.8)
        self.assertTrue(self.rotation.may_leave())

    def test_later_leaver_does_not_hold_an_earlier_one(self):
        # Guards against two balancers that wait for each other.
        self.rotation.request_leave()
        self.timers.advance(0.1)
        self.rotation.update(FIRST, BalancerStage.LEAVING)
        self.assertTrue(self.rotation.may_leave())

    def test_leaves_at_once_if_no_other_is_ready(self):
        # Guards against a wait that helps nobody: without any ready
        # balancer the fabric uses the nearest zones.
        self.timers.advance(3.0)
        self.rotation.request_leave()
        self.assertTrue(self.rotation.may_leave())

    def test_removed_balancer_is_forgotten(self):
        # Guards against waiting for a VM that never comes back.
        self.rotation.update(FIRST, BalancerStage.LEAVING)
        for _ in range(21):
            self.timers.advance(1.0)
            self.rotation.update(SECOND, BalancerStage.READY)
        self.rotation.request_leave()
        self.assertTrue(self.rotation.may_leave())

from testtools import TestCase

from .builders import make_fleet, make_service
from .operators import Operator

READY_S = 5


class IsolatedBalancerTest(TestCase):
    def test_balancer_alone_in_its_zone_becomes_ready_soon(self):
        # Guards against a new balancer that gets targets and configuration
        # only after the lease of a dead bridge has expired.
        fleet = make_fleet(balancers=3, agents=6, zones=3)
        operator = Operator(fleet, 'alice')
        operator.apply([make_service()], fleet.running_balancers())
        fleet.advance(3)
        fleet.kill(fleet.balancers['b0'], silently=False)
        fleet.advance(1)
        started = fleet.add_balancer('b3', 'z0')
        fleet.advance(READY_S)
        self.assertEqual(1, len(started.configurations))
        far = {'a1', 'a2', 'a4', 'a5'}
        self.assertLessEqual(far, started.target_ids())

    def test_zones_that_start_together_find_each_other(self):
        # Guards against zones that read the list of seeds before the other
        # zones have written theirs, and again only a minute later.
        fleet = make_fleet(balancers=3, agents=3, zones=3)
        fleet.advance(10)
        for balancer in fleet.running_balancers():
            self.assertEqual({'a0', 'a1', 'a2'}, balancer.target_ids())

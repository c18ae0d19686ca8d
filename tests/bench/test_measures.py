from testtools import TestCase

from greengagepath.bench.fakes import RequestOutcome, RequestResult
from greengagepath.bench.measures import (
    measure_fair_share_gap,
    measure_recovery_s,
    percentile,
)
from greengagepath.bench.scenarios import COOPERATIVE
from greengagepath.bench.workload import RequestSpec

OPERATION = COOPERATIVE.services[0].operations[0]


def build_outcome(customer_id=1, at_s=0.0, result=RequestResult.ANSWERED):
    request = RequestSpec(b'1', 1, 1, customer_id, OPERATION, 1.0, at_s)
    return RequestOutcome(request, result, at_s + 0.1)


class MeasuresTest(TestCase):
    def test_gap_shows_customer_above_its_fair_share(self):
        # Guards against a gap that the refused requests of one flooding
        # customer cause or hide.
        refused = [
            build_outcome(1, result=RequestResult.REFUSED) for _ in range(90)
        ]
        even = [build_outcome(1 + place % 2) for place in range(20)]
        self.assertAlmostEqual(0.0, measure_fair_share_gap(even + refused))
        uneven = [build_outcome(1) for _ in range(10)]
        waiting = [
            build_outcome(2, result=RequestResult.REFUSED) for _ in range(10)
        ]
        self.assertGreater(
            measure_fair_share_gap(even + uneven + waiting + refused), 0.5
        )

    def test_recovery_ends_after_the_last_missed_interval(self):
        # Guards against a recovery time that ends with the first good
        # interval although requests are refused in a later one.
        outcomes = [build_outcome(at_s=20.0 + step) for step in range(5)]
        self.assertEqual(0, measure_recovery_s(outcomes, 20.0, 0.99))
        outcomes.append(build_outcome(at_s=22.5, result=RequestResult.REFUSED))
        self.assertEqual(3, measure_recovery_s(outcomes, 20.0, 0.99))

    def test_percentile_is_a_sample(self):
        # Guards against an index that is too low by one, so that the tail
        # would leave out the slowest requests.
        self.assertEqual(99, percentile(range(1, 101), 0.99))
        self.assertEqual(5, percentile([5], 0.99))

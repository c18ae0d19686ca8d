from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.pacing import DeficitRoundRobin


def build_source(*sizes):
    datagrams = [bytes(size) for size in reversed(sizes)]
    return lambda now_s: datagrams.pop() if datagrams else None


def endless(size):
    return lambda now_s: bytes(size)


class PacingTest(TestCase):
    def test_short_answer_overtakes_long_ones(self):
        # Guards against a look-up that waits for a download.
        pacing = DeficitRoundRobin(10)
        for key in ('long', 'longer'):
            pacing.add(key, endless(1260))
        for _ in range(100):
            pacing.take(0.0)
        pacing.add('short', build_source(300))
        taken = [pacing.take(0.0)[0] for _ in range(4)]
        self.assertIn('short', taken)

    @given(
        sizes=st.lists(st.integers(60, 1260), min_size=2, max_size=6),
        weight=st.sampled_from([0.25, 1.0, 3.0]),
    )
    def test_bytes_follow_weights(self, sizes, weight):
        # Guards against a flow that gains by the size of its datagrams.
        pacing = DeficitRoundRobin(10)
        for number, size in enumerate(sizes):
            pacing.add(number, endless(size))
        pacing.add(0, endless(sizes[0]), weight)
        totals = Counter()
        for _ in range(20000):
            taken, datagram = pacing.take(0.0)
            totals[taken] += len(datagram)
        weighted = totals.pop(0)
        fair = min(totals.values())
        self.assertLess(max(totals.values()) / fair, 1.05)
        self.assertAlmostEqual(weight, weighted / fair, delta=0.05 * weight)

    def test_idle_flow_waits_for_activation(self):
        # Guards against polling flows whose window is full.
        pacing = DeficitRoundRobin(10)
        waiting = []
        pacing.add('a', lambda now_s: waiting.pop() if waiting else None)
        self.assertIsNone(pacing.take(0.0))
        waiting.append(b'x')
        self.assertIsNone(pacing.take(0.0))
        pacing.activate('a')
        self.assertEqual(('a', b'x'), pacing.take(0.0))

    def test_number_of_flows_is_limited(self):
        # Guards against a table that grows with the number of callers.
        pacing = DeficitRoundRobin(1)
        self.assertTrue(pacing.add('a', endless(1)))
        self.assertFalse(pacing.add('b', endless(1)))
        pacing.remove('a')
        self.assertIsNone(pacing.take(0.0))
        self.assertTrue(pacing.add('b', endless(1)))

    def test_weight_must_be_positive(self):
        # Guards against a flow that never gets credit.
        pacing = DeficitRoundRobin(1)
        self.assertRaises(ValueError, pacing.add, 'a', endless(1), 0)

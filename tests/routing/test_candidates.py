import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.routing.candidates import (
    MIN_TARGETS_TO_CACHE,
    RANKED_PER_BUCKET,
    CandidateTable,
)

from .builders import build_target, build_targets

FLOWS = 4000


class CandidateTableTest(TestCase):
    @given(
        count=st.integers(1, 12),
        flow_id=st.integers(0, 2**64 - 1),
        seed=st.integers(0, 1000),
    )
    def test_ranking_does_not_depend_on_input_order(self, count, flow_id, seed):
        # Guards against balancers that rank the same targets differently
        # because they learned of them in another order.
        targets = list(build_targets(count))
        table = CandidateTable.build(targets)
        random.Random(seed).shuffle(targets)
        shuffled = CandidateTable.build(targets)
        self.assertEqual(
            table.candidates(flow_id, 3), shuffled.candidates(flow_id, 3)
        )

    @given(
        count=st.integers(1, 12),
        wanted=st.integers(1, 15),
        flow_id=st.integers(0, 2**64 - 1),
    )
    def test_candidates_are_distinct_and_owner_is_first(
        self, count, wanted, flow_id
    ):
        # Guards against a target that is its own alternate, and against
        # an owner that depends on the number of candidates.
        table = CandidateTable.build(build_targets(count))
        found = table.candidates(flow_id, wanted)
        self.assertEqual(min(count, wanted), len(set(found)))
        self.assertEqual(found[:1], table.candidates(flow_id, 1))

    @given(count=st.integers(2, 10), gone=st.integers(0, 9))
    def test_only_flows_of_a_removed_target_move(self, count, gone):
        # Guards against moving flows between the remaining targets when
        # one is removed.
        targets = build_targets(count)
        gone %= count
        before = CandidateTable.build(targets)
        after = CandidateTable.build(
            target for number, target in enumerate(targets) if number != gone
        )
        for flow_id in range(100):
            owner = before.candidates(flow_id, 1)[0]
            if owner != targets[gone]:
                self.assertEqual((owner,), after.candidates(flow_id, 1))

    def test_cached_rankings_are_consistent(self):
        # Guards against cached rankings in large sets that depend on
        # the cache's content or move flows of remaining targets when
        # one is removed.
        targets = build_targets(MIN_TARGETS_TO_CACHE + 1)
        table = CandidateTable.build(targets)
        smaller = CandidateTable.build(targets[1:])
        for flow_id in range(300):
            few = table.candidates(flow_id, 2)
            many = table.candidates(flow_id, RANKED_PER_BUCKET + 4)
            fresh = CandidateTable.build(reversed(targets))
            self.assertEqual(few, many[:2])
            self.assertEqual(many, fresh.candidates(flow_id, len(many)))
            if few[0] != targets[0]:
                self.assertEqual(few[:1], smaller.candidates(flow_id, 1))

    def test_weights_are_respected(self):
        # Guards against a share of flows that is not proportional to the
        # weight of the target.
        table = CandidateTable.build(
            build_target(number, weight=2.0**number) for number in range(4)
        )
        owned = Counter(
            table.candidates(flow_id, 1)[0].weight for flow_id in range(FLOWS)
        )
        for weight, flows in owned.items():
            self.assertAlmostEqual(weight / 15, flows / FLOWS, delta=0.025)

    def test_invalid_target_sets_are_rejected(self):
        # Guards against a division by a weight of zero and against two
        # targets of the same id.
        self.assertRaises(
            ValueError, CandidateTable.build, [build_target(1, weight=0.0)]
        )
        self.assertRaises(
            ValueError, CandidateTable.build, [build_target(1), build_target(1)]
        )

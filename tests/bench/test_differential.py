from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.bench.scenarios import COOPERATIVE, JINHUA
from greengagepath.bench.simulation import Change, ChangeKind
from greengagepath.bench.systems import NaiveSimulation, OursSimulation

from .builders import build_plan, build_setup

RUN_S = 5.0
CHANGES = st.builds(
    Change,
    at_s=st.floats(0.1, RUN_S),
    kind=st.sampled_from(
        (ChangeKind.JOIN, ChangeKind.DRAIN, ChangeKind.DISAPPEAR)
    ),
    service=st.just(1),
    number=st.integers(1, 6),
)


class DifferentialTest(TestCase):
    @settings(max_examples=12)
    @given(
        seed=st.integers(0, 1000),
        scenario=st.sampled_from((COOPERATIVE, JINHUA)),
        changes=st.lists(CHANGES, min_size=1, max_size=4),
        balancer_dies=st.booleans(),
    )
    def test_ours_is_never_worse_than_naive(
        self, seed, scenario, changes, balancer_dies
    ):
        # Guards against broken flows, work run twice and lost requests
        # in combinations of changes that no experiment contains.
        if balancer_dies:
            changes = [*changes, Change(2.0, ChangeKind.KILL_BALANCER)]
        setup = build_setup(
            scenario=scenario,
            seed=seed,
            changes=tuple(changes),
            plan=build_plan(end_s=RUN_S, load=0.4),
        )
        ours = OursSimulation(setup).run().request_log
        naive = NaiveSimulation(setup).run().request_log
        self.assertEqual(set(), ours.broken_flows)
        self.assertLessEqual(ours.broken_share, naive.broken_share)
        self.assertLessEqual(max(ours.runs_by_request.values()), 1)
        answered = sum(one.in_time for one in ours.outcomes)
        naively = sum(one.in_time for one in naive.outcomes)
        self.assertGreaterEqual(answered, 0.97 * naively)

from collections import Counter

from testtools import TestCase

from greengagepath.bench.fakes import RequestLog, RequestResult
from greengagepath.bench.simulation import Change, ChangeKind
from greengagepath.bench.systems import NaiveSimulation, OursSimulation
from greengagepath.bench.workload import WorkloadBuilder

from .builders import build_plan, build_setup


class SimulationTest(TestCase):
    def test_same_seed_gives_the_same_run(self):
        # Guards against figures that depend on the machine or on the
        # iteration order of a set.
        for kind in (NaiveSimulation, OursSimulation):
            first = kind(build_setup()).run()
            second = kind(build_setup()).run()
            self.assertEqual(first.work_by_target, second.work_by_target)
            self.assertEqual(
                first.request_log.outcomes, second.request_log.outcomes
            )

    def test_both_systems_get_the_same_requests(self):
        # Guards against a comparison on different inputs.
        setup = build_setup()
        built = WorkloadBuilder(setup.scenario, setup.plan, 1).build()
        expected = Counter(request.request_id for request in built)
        for kind in (NaiveSimulation, OursSimulation):
            outcomes = kind(setup).run().request_log.outcomes
            seen = Counter(one.request.request_id for one in outcomes)
            self.assertEqual(Counter(), seen - expected)

    def test_offered_load_matches_the_plan(self):
        # Guards against an offered load that differs from the share of the
        # capacity in the plan.
        plan = build_plan(end_s=60.0, load=0.5)
        setup = build_setup(plan=plan)
        built = WorkloadBuilder(setup.scenario, plan, 1).build()
        capacity = sum(one.capacity for one in setup.scenario.services)
        load = sum(request.work_s for request in built) / 60.0 / capacity
        self.assertAlmostEqual(0.5, load, delta=0.05)

    def test_ours_runs_each_request_once_and_no_refused_one(self):
        # Guards against a request that runs twice, or that runs although
        # it was refused, when a target drains and a balancer dies.
        changes = (
            Change(2.0, ChangeKind.DRAIN, 1, 0),
            Change(3.0, ChangeKind.KILL_BALANCER),
        )
        request_log = (
            OursSimulation(build_setup(changes=changes)).run().request_log
        )
        self.assertEqual({1}, set(request_log.runs_by_request.values()))
        refused = {
            one.request.request_id
            for one in request_log.outcomes
            if one.result == RequestResult.REFUSED
        }
        self.assertEqual(set(), refused & request_log.runs_by_request.keys())


class RequestLogTest(TestCase):
    def test_packet_at_another_target_breaks_the_flow(self):
        # Guards against a log that never reports a broken flow.
        request_log = RequestLog()
        request_log.record_packet(1, 'a')
        request_log.record_packet(2, 'b')
        request_log.record_packet(1, 'b')
        self.assertEqual({1}, request_log.broken_flows)

    def test_flow_of_a_dead_target_is_not_broken_by_moving(self):
        # Guards against counting a flow as broken by the balancer when its
        # target has died.
        request_log = RequestLog(dead_targets={'a'})
        request_log.record_packet(1, 'a')
        request_log.record_packet(1, 'b')
        self.assertEqual(set(), request_log.broken_flows)

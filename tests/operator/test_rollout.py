from msgspec import structs
from result import Err, Ok
from testtools import TestCase

from greengagepath.configuration.files import (
    ConfigurationFile,
    compute_digest,
)
from greengagepath.configuration.rollout import (
    ChangeConflict,
    StoredConfiguration,
    StoreUnreachable,
    compute_delta,
    plan_drain,
    plan_file,
    query_any,
    send_to_balancers,
    summarize_rollout,
    wait_in_force,
    write_plan,
)
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import Configuration, StatusReply

from .builders import build_services, replace_limits
from .fakes import EMPTY, FakeBalancers, FakeStore, build_balancer

ADDRESSES = tuple(('127.0.0.1', port) for port in range(1, 6))


class RolloutTest(TestCase):
    def setUp(self):
        super().setUp()
        self.services = build_services()
        self.core = self.services[0]
        self.stored = StoredConfiguration(
            4, Configuration(version=4, services=self.services)
        )
        self.store = FakeStore(self.stored)
        self.changed = [replace_limits(self.core, slots=3), self.services[1]]

    def make_file(self, services, base=None):
        digest = compute_digest(self.services)
        return ConfigurationFile(
            base=digest if base is None else base, services=services
        )

    def plan(self, stored=None):
        content = self.make_file(self.changed)
        return plan_file(stored or self.stored, content).unwrap()

    def test_first_configuration_needs_no_base(self):
        # Guards against a first `apply` that fails because no stored
        # version matches its base.
        content = self.make_file(self.services, base='')
        plan = plan_file(EMPTY, content).unwrap()
        self.assertEqual(1, plan.wanted.version)
        self.assertEqual(0, compute_delta(plan).base_version)

    def test_stale_file_is_a_conflict_with_the_differences(self):
        # Guards against a file made from an older version that overwrites
        # the change of another operator.
        other = [replace_limits(self.core, queue_length=9), self.services[1]]
        stored = StoredConfiguration(
            5, Configuration(version=5, services=other)
        )
        conflict = plan_file(stored, self.make_file(self.changed)).unwrap_err()
        self.assertEqual(5, conflict.held_version)
        self.assertEqual(
            ['queue_length: 9 -> 200', 'slots: 2 -> 3'],
            [str(change).split('limits.')[1] for change in conflict.changes],
        )
        agreed = plan_file(stored, self.make_file(self.changed), 5)
        self.assertEqual(6, agreed.unwrap().wanted.version)
        late = plan_file(stored, self.make_file(self.changed), 4)
        self.assertIsInstance(late.unwrap_err(), ChangeConflict)

    def test_apply_keeps_drained_targets(self):
        # Guards against an `apply` that undrains a target, so that it
        # gets work again before it is removed.
        drained = plan_drain(
            self.stored, self.core.service_id, ['core-2'], drained=True
        ).unwrap()
        stored = StoredConfiguration(5, drained.wanted)
        plan = self.plan(stored)
        self.assertEqual(
            [['core-2'], []],
            [entry.drained_targets for entry in plan.wanted.services],
        )
        self.assertEqual(1, len(plan.changes))

    def test_drain_and_undrain(self):
        # Guards against a drain that is lost or cannot be undone.
        service_id = self.core.service_id
        drained = plan_drain(
            self.stored, service_id, ['b', 'a'], drained=True
        ).unwrap()
        self.assertEqual(['a', 'b'], drained.wanted.services[0].drained_targets)
        stored = StoredConfiguration(5, drained.wanted)
        back = plan_drain(stored, service_id, ['a'], drained=False).unwrap()
        self.assertEqual(['b'], back.wanted.services[0].drained_targets)
        again = plan_drain(stored, service_id, ['b'], drained=True).unwrap()
        self.assertEqual([], again.changes)
        unknown = plan_drain(stored, 1, ['a'], drained=True)
        self.assertTrue(unknown.is_err())

    def test_lost_answer_is_recognised_by_operation_id(self):
        # Guards against a conflict reported for the operator's own
        # write, of which only the answer was lost.
        self.store.lost_answers = 1
        plan = self.plan()
        self.assertEqual(Ok(None), write_plan(self.store, plan))
        self.assertEqual(5, self.store.stored.configuration.version)

    def test_write_that_did_not_happen_is_not_reported_as_done(self):
        # Guards against success reported for a write that never reached
        # the store.
        self.store.write = lambda *_: Err('no answer')
        failure = write_plan(self.store, self.plan()).unwrap_err()
        self.assertIn('nothing was written', failure.reason)

    def test_concurrent_write_reports_the_other_change(self):
        # Guards against a write that overwrites a change made since the
        # configuration was read.
        other = [replace_limits(self.core, max_flows=7), self.services[1]]
        plan = self.plan()
        self.store.stored = StoredConfiguration(
            5, Configuration(version=5, services=other, operation_id='x')
        )
        conflict = write_plan(self.store, plan).unwrap_err()
        self.assertEqual(
            ['services.licence-core.limits.max_flows: 2000 -> 7'],
            [str(change) for change in conflict.changes],
        )

    def test_unreachable_store_is_reported(self):
        # Guards against an outage that is reported as a conflict.
        plan = self.plan()
        self.store.is_down = True
        failure = write_plan(self.store, plan).unwrap_err()
        self.assertIsInstance(failure, StoreUnreachable)
        self.assertIn('may have taken effect', failure.reason)

    def test_delta_carries_only_what_changed(self):
        # Guards against the whole configuration being sent for a change
        # of one field.
        plan = self.plan()
        delta = compute_delta(plan)
        self.assertEqual((4, 5), (delta.base_version, delta.version))
        self.assertEqual(self.changed[:1], delta.changed)
        removal = plan_file(self.stored, self.make_file([self.core])).unwrap()
        self.assertEqual(
            [self.services[1].service_id], compute_delta(removal).removed
        )

    def test_version_is_sent_to_a_few_reachable_balancers(self):
        # Guards against one unreachable balancer that blocks a change.
        balancers = FakeBalancers(*ADDRESSES)
        balancers.down = {ADDRESSES[0]}
        failures = send_to_balancers(
            balancers, ADDRESSES, compute_delta(self.plan())
        )
        self.assertEqual(['127.0.0.1:1: connection refused'], failures)
        self.assertEqual(3, len(balancers.deltas))

    def test_balancers_with_a_lower_version_are_reported(self):
        # Guards against an `apply` that reports a version as in force
        # while a balancer has not applied it.
        balancers = FakeBalancers(*ADDRESSES)
        balancers.stuck = {ADDRESSES[4]}
        send_to_balancers(balancers, ADDRESSES, compute_delta(self.plan()))
        timers = VirtualTimerService()
        outcome = wait_in_force(
            lambda: query_any(balancers, ADDRESSES),
            5,
            timers,
            timers.advance,
            3,
        )
        self.assertEqual(4, outcome.in_force)
        self.assertEqual(
            ['balancer-5'], [entry.member_id for entry in outcome.behind]
        )
        self.assertGreaterEqual(timers.now(), 3)

    def test_dead_balancers_are_not_waited_for(self):
        # Guards against a change that never completes after a balancer
        # has failed.
        dead = build_balancer(ADDRESSES[0], 1, state='dead')
        alive = build_balancer(ADDRESSES[1], 5)
        agent = structs.replace(dead, kind='agent', state='alive')
        reply = StatusReply(
            query_id=1,
            configuration_version=5,
            records=[dead, alive, agent],
        )
        self.assertTrue(summarize_rollout(reply, 5).is_complete)

    def test_no_balancer_is_not_complete(self):
        # Guards against success reported when no balancer could be
        # queried.
        timers = VirtualTimerService()
        outcome = wait_in_force(
            lambda: query_any(FakeBalancers(), ()),
            5,
            timers,
            timers.advance,
            1,
        )
        self.assertFalse(outcome.is_complete)
        self.assertIn('no balancer', outcome.unreachable)

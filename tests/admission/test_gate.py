from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.admission.gate import CancelOutcome
from greengagepath.generated.messages import RefusalReason, SizeClass

from .builders import FakeBackEnd, build_request

SHORT_S = 0.01
LONG_S = 0.5


class GateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.back_end = FakeBackEnd()
        self.gate = self.back_end.gate

    def test_hopeless_request_is_refused_at_once(self):
        # Guards against queueing work whose caller has given up.
        for _ in range(30):
            self.back_end.offer(build_request(payload=1.0))
        refusal = self.back_end.offer(
            build_request(deadline_s=0.1, payload=1.0)
        ).err_value
        self.assertEqual(RefusalReason.deadline, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_queued_request_is_refused_before_its_deadline(self):
        # Guards against a caller whose deadline ends before it hears
        # that its request has not run, behind slots held by stragglers.
        for _ in range(2):
            self.back_end.offer(build_request(payload=60.0))
        late = build_request(deadline_s=1.0, payload=0.01)
        self.assertTrue(self.back_end.offer(late).is_ok())
        self.back_end.timers.advance(0.9)
        self.gate.refuse_expiring()
        self.assertEqual([], self.gate.take_refused())
        self.back_end.timers.advance(0.06)
        self.gate.refuse_expiring()
        refusal = self.gate.take_refused()[0]
        self.assertEqual(late.request_id, refusal.request_id)
        self.assertEqual(RefusalReason.deadline, refusal.reason)

    def test_full_queue_refuses_the_same_customer(self):
        # Guards against an unbounded queue.
        outcomes = [
            self.back_end.offer(build_request(payload=1.0)) for _ in range(67)
        ]
        self.assertTrue(outcomes[65].is_ok())
        self.assertEqual(
            RefusalReason.queue_full, outcomes[66].err_value.reason
        )

    def test_full_queue_gives_up_work_of_the_fullest_customer(self):
        # Guards against one customer that keeps the others out.
        for _ in range(66):
            self.back_end.offer(build_request(customer_id=1, payload=1.0))
        self.assertTrue(
            self.back_end.offer(
                build_request(customer_id=2, payload=1.0)
            ).is_ok()
        )
        self.assertEqual(64, self.gate.load().queued)
        self.assertEqual(1, len(self.back_end.refused))

    def test_draining_starts_no_new_work(self):
        # Guards against a leaving target that still starts work.
        for _ in range(5):
            self.back_end.offer(build_request(payload=1.0))
        self.gate.start_draining()
        self.back_end.offer(build_request(payload=1.0))
        self.back_end.timers.advance(10)
        self.assertEqual(2, len(self.back_end.finished))
        self.assertEqual(
            {RefusalReason.draining},
            {refusal.reason for refusal in self.back_end.refused},
        )
        self.assertEqual(4, len(self.back_end.refused))
        self.gate.stop_draining()
        self.back_end.pump()
        self.assertEqual(2, len(self.back_end.started))

    def test_cancel_tells_queued_from_running(self):
        # Guards against "not run" for a request that runs.
        requests = [build_request(payload=1.0) for _ in range(3)]
        for request in requests:
            self.back_end.offer(request)
        outcomes = [self.gate.cancel(entry.request_id) for entry in requests]
        self.assertEqual(
            [
                CancelOutcome.RUNNING,
                CancelOutcome.RUNNING,
                CancelOutcome.REMOVED,
            ],
            outcomes,
        )
        self.back_end.timers.advance(10)
        self.assertEqual(2, len(self.back_end.started))

    def test_missed_deadlines_do_not_lower_the_limit(self):
        # Guards against a limit that falls at the crest, when late
        # answers are frequent and every slot is needed.
        for _ in range(50):
            request = build_request()
            self.gate.offer(request)
            self.gate.next_request()
            self.gate.abandon(request.request_id, 1.0)
        self.assertEqual((0, 2), _in_flight_and_limit(self.gate))
        self.assertGreater(self.gate.costs.expected_s('status'), 0.5)

    def test_shed_requests_lower_the_limit(self):
        # Guards against more work for a back end that turns it down.
        for _ in range(5):
            request = build_request()
            self.gate.offer(request)
            self.gate.next_request()
            self.gate.release(request.request_id)
        self.assertEqual((0, 1), _in_flight_and_limit(self.gate))

    def test_single_slot_runs_long_work(self):
        # Guards against long work that starves on a target of one slot.
        back_end = FakeBackEnd(slots=1)
        back_end.offer(build_request(size_class=SizeClass.long, payload=1.0))
        self.assertEqual(1, len(back_end.started))

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 4),
                st.sampled_from(SizeClass),
                st.floats(0.001, 2),
                st.floats(0.001, 5),
            ),
            max_size=60,
        )
    )
    def test_refused_was_not_run(self, offers):
        # Guards against a request that is both refused and handed out,
        # against lost requests and against use beyond the slots.
        back_end = FakeBackEnd(queue_length=5)
        for number, (customer, size, duration, limit_s) in enumerate(offers):
            back_end.offer_at(
                number * 0.1,
                customer_id=customer,
                size_class=size,
                payload=duration,
                time_limit_s=limit_s,
            )
        back_end.timers.advance(1000)
        refused = [refusal.request_id for refusal in back_end.refused]
        run = [request.request_id for request in back_end.started]
        self.assertEqual(len(offers), len(set(refused + run)))
        self.assertEqual(len(offers), len(refused + run))
        self.assertLessEqual(back_end.most_running, 2)


class FairnessTest(TestCase):
    def test_customer_with_ten_times_the_load_gets_its_share(self):
        # Guards against sharing by arrivals instead of by cost.
        back_end = FakeBackEnd()
        for customer_id, rate_per_s in ((1, 600), (2, 60), (3, 60), (4, 60)):
            back_end.poisson(
                rate_per_s,
                20,
                mean_s=0.02,
                customer_id=customer_id,
                time_limit_s=2.0,
            )
        back_end.timers.advance(20)
        cost_by_customer = self._cost_by_customer(back_end.started)
        greedy = cost_by_customer.pop(1)
        # Two slots for 20 s, shared by four customers: 10 s each.
        self.assertLess(greedy, 10 * 1.1)
        for cost_s in cost_by_customer.values():
            self.assertGreater(cost_s, 10 * 0.9)

    def test_long_queue_is_served_by_share(self):
        # Guards against service in order of arrival while the queue has
        # room for everybody.
        back_end = FakeBackEnd(queue_length=100000)
        back_end.poisson(600, 10, mean_s=0.02, customer_id=1)
        back_end.poisson(60, 10, mean_s=0.02, customer_id=2)
        back_end.timers.advance(10)
        costs = self._cost_by_customer(back_end.started)
        self.assertAlmostEqual(costs[1], costs[2], delta=1)

    def test_shares_of_customers_weigh(self):
        # Guards against shares of the configuration that have no effect.
        back_end = FakeBackEnd(queue_length=100000)
        back_end.gate.replace_limits(back_end.limits, {1: 3.0, 2: 1.0})
        for customer_id in (1, 2):
            back_end.poisson(200, 10, mean_s=0.02, customer_id=customer_id)
        back_end.timers.advance(10)
        costs = self._cost_by_customer(back_end.started)
        self.assertAlmostEqual(3, costs[1] / costs[2], delta=0.4)

    def test_idle_time_is_not_saved_up(self):
        # Guards against a customer that returns and takes all slots.
        back_end = FakeBackEnd(queue_length=100000)
        back_end.offer_at(0, customer_id=2, payload=0.02)
        back_end.poisson(200, 20, mean_s=0.02, customer_id=1)
        back_end.poisson(200, 20, mean_s=0.02, customer_id=2, start_s=15)
        back_end.timers.advance(15)
        started = len(back_end.started)
        back_end.timers.advance(4)
        costs = self._cost_by_customer(back_end.started[started:])
        self.assertAlmostEqual(costs[1], costs[2], delta=1)

    def test_idle_capacity_goes_to_who_asks(self):
        # Guards against a queue that leaves slots idle.
        back_end = FakeBackEnd()
        back_end.poisson(200, 20, mean_s=0.02, customer_id=1)
        back_end.timers.advance(20)
        busy_s = sum(request.payload for request in back_end.started)
        self.assertGreater(busy_s, 0.95 * 40)

    def _cost_by_customer(self, requests):
        costs = Counter()
        for request in requests:
            costs[request.customer_id] += request.payload
        return costs


class HeadOfLineTest(TestCase):
    def test_short_work_does_not_wait_for_long_work(self):
        # Guards against head-of-line blocking of look-ups.
        alone = self._short_waits(long_per_s=0)
        mixed = self._short_waits(long_per_s=1.5)
        self.assertLess(
            _percentile(mixed, 0.99), 1.5 * _percentile(alone, 0.99)
        )

    def test_long_work_is_not_starved_by_short_work(self):
        # Guards against strict priority without aging.
        back_end = FakeBackEnd()
        back_end.poisson(
            190, 20, SHORT_S, operation='look-up', size_class=SizeClass.short
        )
        back_end.offer_at(
            10,
            operation='render',
            size_class=SizeClass.long,
            payload=LONG_S,
            time_limit_s=10,
        )
        back_end.timers.advance(13)
        self.assertIn(
            'render', [request.operation for request in back_end.started]
        )

    def test_unknown_size_is_learned_from_cost(self):
        # Guards against long work that callers do not declare.
        back_end = FakeBackEnd()
        for number in range(40):
            back_end.offer_at(number, operation='render', payload=LONG_S)
            back_end.offer_at(number, operation='look-up', payload=SHORT_S)
        back_end.timers.advance(60)
        costs = back_end.gate.costs
        self.assertEqual(
            [SizeClass.long, SizeClass.short],
            [
                costs.classify(name, SizeClass.unknown)
                for name in ('render', 'look-up')
            ],
        )

    def test_straggler_does_not_let_long_work_take_the_last_slot(self):
        # Guards against stragglers of short operations that, with long
        # work, occupy every slot.
        back_end = FakeBackEnd()
        back_end.offer(build_request(operation='look-up', payload=30.0))
        back_end.timers.advance(5)
        back_end.offer(build_request(size_class=SizeClass.long, payload=LONG_S))
        back_end.offer(build_request(operation='look-up', payload=SHORT_S))
        self.assertEqual(
            ['look-up', 'look-up'],
            [request.operation for request in back_end.started],
        )

    def _short_waits(self, long_per_s):
        back_end = FakeBackEnd()
        back_end.poisson(
            20, 200, SHORT_S, operation='look-up', size_class=SizeClass.short
        )
        if long_per_s:
            back_end.poisson(
                long_per_s,
                200,
                LONG_S,
                operation='render',
                size_class=SizeClass.long,
            )
        back_end.timers.advance(300)
        return [
            done_s - request.queued_s
            for done_s, request in back_end.finished
            if request.operation == 'look-up'
        ]


class SwingTest(TestCase):
    def test_goodput_at_three_times_the_capacity(self):
        # Guards against collapse under overload and slow recovery.
        back_end = FakeBackEnd(seed=3)
        back_end.poisson(80, 30, 0.02, customer_id=1, time_limit_s=0.5)
        back_end.poisson(
            220, 20, 0.02, start_s=10, customer_id=2, time_limit_s=0.5
        )
        back_end.timers.advance(20)
        useful_s = sum(
            request.payload
            for done_s, request in back_end.finished
            if 10 <= done_s <= 20 and done_s <= request.deadline_s
        )
        # Two slots for 10 s.
        self.assertGreater(useful_s, 0.9 * 20)
        back_end.timers.advance(2)
        refused = len(back_end.refused)
        back_end.timers.advance(8)
        self.assertEqual(refused, len(back_end.refused))


def _in_flight_and_limit(gate):
    load = gate.load()
    return load.in_flight, load.limit


def _percentile(samples, share):
    return sorted(samples)[int(len(samples) * share)]

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

    def test_request_that_would_be_late_is_refused_at_once(self):
        # Guards against queueing a request whose expected wait is longer
        # than the time to its deadline.
        for _ in range(30):
            self.back_end.offer(build_request(payload=1.0))
        refusal = self.back_end.offer(
            build_request(deadline_s=0.1, payload=1.0)
        ).err_value
        self.assertEqual(RefusalReason.deadline, refusal.reason)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_queued_request_is_refused_before_its_deadline(self):
        # Guards against a refusal that reaches the caller after the
        # deadline, while stragglers hold all slots: the caller could not
        # tell whether its request ran.
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
        # Guards against a queue that grows beyond its length.
        outcomes = [
            self.back_end.offer(build_request(payload=1.0)) for _ in range(67)
        ]
        self.assertTrue(outcomes[65].is_ok())
        self.assertEqual(
            RefusalReason.queue_full, outcomes[66].err_value.reason
        )

    def test_full_queue_evicts_from_the_customer_with_most_requests(self):
        # Guards against one customer that fills the queue and excludes
        # the others.
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
        # Guards against a draining target that still starts work, and
        # against running the refused requests when the drain is undone.
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

    def test_cancel_distinguishes_queued_from_running(self):
        # Guards against reporting a cancelled request as not run while
        # it is running.
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
        # Guards against a concurrency limit that falls at peak load,
        # when missed deadlines are frequent and every slot is needed.
        for _ in range(50):
            request = build_request()
            self.gate.offer(request)
            self.gate.next_request()
            self.gate.abandon(request.request_id, 1.0)
        self.assertEqual((0, 2), _in_flight_and_limit(self.gate))
        self.assertGreater(self.gate.costs.expected_s('status'), 0.5)

    def test_requests_rejected_by_the_back_end_lower_the_limit(self):
        # Guards against sending more work to a back end that rejects it.
        for _ in range(5):
            request = build_request()
            self.gate.offer(request)
            self.gate.next_request()
            self.gate.release(request.request_id)
        self.assertEqual((0, 1), _in_flight_and_limit(self.gate))

    def test_single_slot_runs_long_work(self):
        # Guards against long work that never starts on a target with a
        # single slot.
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
    def test_each_request_is_either_refused_or_run(self, offers):
        # Guards against a request that is both refused and handed out,
        # against lost requests and against more running than slots.
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
        # Guards against slots that are shared by the number of requests
        # instead of by their cost.
        back_end = FakeBackEnd()
        for customer_id, rate_per_s in ((1, 600), (2, 60), (3, 60), (4, 60)):
            back_end.offer_poisson(
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
        # Guards against service in order of arrival while the queue is
        # not full and nothing is evicted.
        back_end = FakeBackEnd(queue_length=100000)
        back_end.offer_poisson(600, 10, mean_s=0.02, customer_id=1)
        back_end.offer_poisson(60, 10, mean_s=0.02, customer_id=2)
        back_end.timers.advance(10)
        costs = self._cost_by_customer(back_end.started)
        self.assertAlmostEqual(costs[1], costs[2], delta=1)

    def test_configured_shares_set_the_ratio_of_costs(self):
        # Guards against shares in the configuration without effect.
        back_end = FakeBackEnd(queue_length=100000)
        back_end.gate.replace_limits(back_end.limits, {1: 3.0, 2: 1.0})
        for customer_id in (1, 2):
            back_end.offer_poisson(
                200, 10, mean_s=0.02, customer_id=customer_id
            )
        back_end.timers.advance(10)
        costs = self._cost_by_customer(back_end.started)
        self.assertAlmostEqual(3, costs[1] / costs[2], delta=0.4)

    def test_idle_time_is_not_saved_up(self):
        # Guards against a customer that gets all slots after a time
        # without requests.
        back_end = FakeBackEnd(queue_length=100000)
        back_end.offer_at(0, customer_id=2, payload=0.02)
        back_end.offer_poisson(200, 20, mean_s=0.02, customer_id=1)
        back_end.offer_poisson(200, 20, mean_s=0.02, customer_id=2, start_s=15)
        back_end.timers.advance(15)
        started = len(back_end.started)
        back_end.timers.advance(4)
        costs = self._cost_by_customer(back_end.started[started:])
        self.assertAlmostEqual(costs[1], costs[2], delta=1)

    def test_single_customer_may_use_all_slots(self):
        # Guards against slots that stay idle while requests are queued.
        back_end = FakeBackEnd()
        back_end.offer_poisson(200, 20, mean_s=0.02, customer_id=1)
        back_end.timers.advance(20)
        busy_s = sum(request.payload for request in back_end.started)
        self.assertGreater(busy_s, 0.95 * 40)

    def _cost_by_customer(self, requests):
        costs = Counter()
        for request in requests:
            costs[request.customer_id] += request.payload
        return costs


class HeadOfLineBlockingTest(TestCase):
    def test_short_work_does_not_wait_for_long_work(self):
        # Guards against short requests that are blocked by long requests
        # ahead of them in the queue.
        alone = self._short_waits(long_per_s=0)
        mixed = self._short_waits(long_per_s=1.5)
        self.assertLess(
            _percentile(mixed, 0.99), 1.5 * _percentile(alone, 0.99)
        )

    def test_long_work_is_not_starved_by_short_work(self):
        # Guards against strict priority of short requests, under which a
        # long one would not start while short ones fill the slots.
        back_end = FakeBackEnd()
        back_end.offer_poisson(
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

    def test_unknown_size_class_is_derived_from_cost(self):
        # Guards against treating long requests as short because callers
        # do not declare their size class.
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
        # Guards against a slow request of a short operation that,
        # together with long work, occupies every slot.
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
        back_end.offer_poisson(
            20, 200, SHORT_S, operation='look-up', size_class=SizeClass.short
        )
        if long_per_s:
            back_end.offer_poisson(
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


class OverloadTest(TestCase):
    def test_goodput_at_three_times_the_capacity(self):
        # Guards against slots that are spent on late answers under
        # overload, and against refusals that go on after the overload.
        back_end = FakeBackEnd(seed=3)
        back_end.offer_poisson(80, 30, 0.02, customer_id=1, time_limit_s=0.5)
        back_end.offer_poisson(
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

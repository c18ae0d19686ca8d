from testtools import TestCase

from greengagepath.admission.fair_queue import FairQueue, QueuedRequest
from greengagepath.admission.limiter import ConcurrencyLimiter
from greengagepath.admission.retry_budget import RetryBudget
from greengagepath.admission.size_classes import MAX_OPERATIONS, OperationCosts
from greengagepath.generated.messages import SizeClass


class LimiterTest(TestCase):
    def test_limit_falls_with_latency_and_recovers(self):
        # Guards against sending the same number of requests to a back
        # end that has slowed down, and against a limit that stays low.
        limiter = ConcurrencyLimiter(slots=8)
        for _ in range(60):
            limiter.record(4.0, 8, succeeded=True)
        low = limiter.limit
        for _ in range(200):
            limiter.record(1.0, 8, succeeded=True)
        self.assertLess(low, 4)
        self.assertEqual(8, limiter.limit)

    def test_limit_is_at_least_one(self):
        # Guards against a limit of 0, with which no request would run
        # and the limit could never grow again.
        limiter = ConcurrencyLimiter(slots=2)
        for _ in range(100):
            limiter.record(1.0, 2, succeeded=False)
        self.assertEqual(1, limiter.limit)


class FairQueueTest(TestCase):
    def test_request_queued_before_new_shares_can_be_removed(self):
        # Guards against a cancelled request that stays queued and runs,
        # since its customer shares a queue with others by now.
        queue = FairQueue()
        queue.push(QueuedRequest(b'a', 7, 'lookup', 1.0))
        queue.replace_shares({1: 2.0})
        removed = queue.remove(b'a')
        self.assertEqual(7, removed.customer_id if removed else None)
        self.assertEqual(0, len(queue))
        self.assertIsNone(queue.pop(SizeClass.unknown))


class RetryBudgetTest(TestCase):
    def test_retries_are_a_share_of_requests(self):
        # Guards against retry storms: retries that multiply the load
        # when many requests fail.
        budget = RetryBudget(share=0.1)
        allowed = 0
        for _ in range(1000):
            budget.record_request()
            allowed += budget.try_retry()
        self.assertAlmostEqual(110, allowed, delta=2)

    def test_share_of_zero_allows_no_retry(self):
        # Guards against an initial burst of retries although a share of
        # 0 turns retries off.
        self.assertFalse(RetryBudget(share=0).try_retry())


class OperationCostsTest(TestCase):
    def test_number_of_measured_operations_is_bounded(self):
        # Guards against memory that grows with the operation names that
        # callers invent.
        costs = OperationCosts()
        for number in range(2 * MAX_OPERATIONS):
            costs.record(f'operation-{number}', 1.0)
        self.assertLessEqual(len(costs._costs_by_operation), MAX_OPERATIONS + 1)

    def test_rare_cheap_operation_does_not_make_the_rest_long(self):
        # Guards against a boundary between short and long that a rare
        # health check moves below all other operations.
        costs = OperationCosts()
        costs.record('health', 0.0001)
        for _ in range(100):
            costs.record('status', 0.02)
        self.assertEqual(
            SizeClass.short, costs.classify('status', SizeClass.unknown)
        )

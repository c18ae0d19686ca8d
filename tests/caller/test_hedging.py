"""Tests hedged calls against slow targets."""

import time

import gevent
from testtools import TestCase

from greengagepath.caller.call_types import CallErrorKind
from greengagepath.caller.client import Client, create_setup
from greengagepath.caller.hedging import (
    MAX_OPERATIONS,
    MAX_SAMPLES,
    MIN_SAMPLES,
    HedgeDelays,
)
from greengagepath.protocol.packets import SizeCode

from .builders import FakeTarget
from .test_client import SocketTarget

SLOW_S = 5.0
DEADLINE_S = 1.0


class AlternatingTargets:
    """Sends each new flow to the next of several targets."""

    def __init__(self, *targets):
        self.targets = targets
        self.targets_by_flow = {}

    def receive(self, datagram, *arguments):
        count = len(self.targets_by_flow)
        target = self.targets_by_flow.setdefault(
            datagram.flow_id, self.targets[count % len(self.targets)]
        )
        target.receive(datagram, *arguments)

    def check_timeouts(self, now_s):
        for target in self.targets:
            target.check_timeouts(now_s)


class HedgedCallTest(TestCase):
    def setUp(self):
        super().setUp()
        self.slow = FakeTarget('slow', 100, SLOW_S)
        self.fast = FakeTarget('fast', 100)
        self.server = SocketTarget(AlternatingTargets(self.slow, self.fast))
        self.addCleanup(self.server.close)
        self.client = Client(create_setup(seed=1))
        self.addCleanup(self.client.close)

    def start(self, **fields):
        request = self.client.create_request(1, 'GET', '/status', **fields)
        return self.client.start(self.server.service, request, DEADLINE_S)

    def test_straggler_is_answered_by_a_second_target(self):
        # Guards against a short lookup that misses its deadline because
        # one target is slow.
        started_s = time.monotonic()
        outcome = self.start(idempotent=True).wait()
        self.assertTrue(outcome.is_ok())
        self.assertLess(time.monotonic() - started_s, DEADLINE_S)
        self.assertEqual(1, self.client.setup.events['hedges'])
        gevent.sleep(0.05)
        self.assertTrue(self.slow.cancelled)

    def test_non_idempotent_request_has_one_attempt(self):
        # Guards against an order that runs on two targets.
        outcome = self.start(idempotent=False).wait()
        self.assertEqual(CallErrorKind.DEADLINE, outcome.unwrap_err().kind)
        self.assertFalse(outcome.unwrap_err().not_run)
        self.assertEqual(1, self.slow.runs.total())
        self.assertEqual(0, self.fast.runs.total())

    def test_long_work_is_not_hedged(self):
        # Guards against a second run of long requests, which load the
        # targets most.
        self.start(idempotent=True, size_code=SizeCode.LONG).wait()
        self.assertEqual(0, self.fast.runs.total())

    def test_spent_budget_allows_no_second_attempt(self):
        # Guards against hedges that double the load during an overload.
        retry_budget = self.client.setup.retry_budget
        while retry_budget.tokens >= 1:
            retry_budget.try_retry()
        outcome = self.start(idempotent=True).wait()
        self.assertTrue(outcome.is_err())
        self.assertEqual(0, self.client.setup.events['hedges'])

    def test_cancellation_ends_both_attempts(self):
        # Guards against a second attempt that still runs after the
        # caller has cancelled the call.
        self.fast.duration_s = SLOW_S
        call = self.start(idempotent=True)
        gevent.sleep(DEADLINE_S / 2)
        call.cancel()
        error = call.wait().unwrap_err()
        self.assertEqual(CallErrorKind.CANCELLED, error.kind)
        gevent.sleep(0.05)
        self.assertTrue(self.slow.cancelled)
        self.assertTrue(self.fast.cancelled)


class HedgeDelaysTest(TestCase):
    def test_delay_follows_the_usual_latency(self):
        # Guards against hedges of requests that take as long as usual.
        delays = HedgeDelays()
        for _ in range(MIN_SAMPLES):
            delays.record('status', 0.2)
        self.assertGreaterEqual(delays.delay_s('status', 10.0), 0.4)
        self.assertLess(delays.delay_s('status', 10.0), 0.5)

    def test_half_of_the_deadline_is_left(self):
        # Guards against a second attempt that starts too late to be
        # answered before the deadline.
        delays = HedgeDelays()
        for _ in range(MIN_SAMPLES):
            delays.record('status', 0.9)
        self.assertEqual(0.5, delays.delay_s('status', 1.0))

    def test_delay_follows_a_change_with_as_many_operations_as_allowed(self):
        # Guards against hedges by the latency of long ago once the limit
        # of operations is reached.
        delays = HedgeDelays()
        for number in range(MAX_OPERATIONS - 1):
            delays.record(f'operation-{number}', 0.2)
        for _ in range(MAX_SAMPLES):
            delays.record('status', 0.2)
        for _ in range(MAX_SAMPLES):
            delays.record('status', 0.8)
        self.assertGreaterEqual(delays.delay_s('status', 10.0), 1.6)

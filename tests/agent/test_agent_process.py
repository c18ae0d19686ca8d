"""Tests of one agent process between a fake balancer and a back end."""

import hashlib
import shutil
import signal
import tempfile
import time

import gevent
import pytest
from testtools import TestCase

from greengagepath.caller.call_types import CallErrorKind
from greengagepath.generated.messages import RefusalReason

from .harness import AgentHarness

pytestmark = pytest.mark.processes


class AgentProcessTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        self.harness = AgentHarness(folder)
        self.addCleanup(self.harness.close)
        self.assertTrue(self.harness.call('/echo', body=b'up').is_ok())

    def test_mixed_load_is_answered_once(self):
        # Guards against answers that are lost or damaged, and requests that
        # run twice, when one large and many small requests share the agent.
        body = b'0123456789abcdef' * 65536
        large = gevent.spawn(self.harness.call, '/echo', 30.0, body=body)
        small = [
            gevent.spawn(self.harness.call, '/sleep/0.01') for _ in range(40)
        ]
        gevent.joinall([large, *small])
        self.assertTrue(all(call.value.is_ok() for call in small))
        self.assertEqual(
            hashlib.sha256(body).digest(),
            hashlib.sha256(large.value.unwrap().body).digest(),
        )
        self.assertEqual(1, max(self.harness.back_end.runs.values()))

    def test_sigterm_finishes_what_runs(self):
        # Guards against a graceful shutdown that aborts running requests or
        # leaves new ones without a reply.
        running = gevent.spawn(self.harness.call, '/sleep/1')
        gevent.sleep(0.3)
        self.harness.agent.process.send_signal(signal.SIGTERM)
        gevent.sleep(0.2)
        refused = self.harness.call('/echo', 1.0)
        self.assertEqual(RefusalReason.draining, refused.err_value.reason)
        self.assertTrue(refused.err_value.not_run)
        self.assertTrue(running.get().is_ok())
        self.assertEqual(0, self.harness.agent.wait(10))

    def test_second_sigterm_ends_at_once_and_logs_the_rest(self):
        # Guards against a process that cannot be stopped while a request
        # still runs, and against requests left without a log record.
        running = gevent.spawn(self.harness.call, '/sleep/5', 3.0)
        gevent.sleep(0.3)
        for _ in range(2):
            self.harness.agent.process.send_signal(signal.SIGTERM)
            gevent.sleep(0.1)
        started_s = time.monotonic()
        self.assertEqual(1, self.harness.agent.wait(5))
        self.assertLess(time.monotonic() - started_s, 1.0)
        log = self.harness.agent.log.read_text()
        self.assertIn('"requests_left":1', log)
        running.kill()

    def test_killed_agent_runs_nothing_again(self):
        # Guards against a restarted agent that runs a non-idempotent request
        # again when its caller retransmits it.
        running = gevent.spawn(self.harness.call, '/sleep/0.5', 8.0)
        gevent.sleep(0.3)
        self.harness.agent.end()
        self.harness.agent = self.harness.start_agent()
        outcome = running.get()
        self.assertEqual(CallErrorKind.UNKNOWN_OUTCOME, outcome.err_value.kind)
        self.assertEqual(1, max(self.harness.back_end.runs.values()))

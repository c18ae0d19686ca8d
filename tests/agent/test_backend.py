"""Outcomes of requests for each way in which a back end can fail."""

import time
from random import Random

import gevent
from gevent.server import StreamServer
from testtools import TestCase

from greengagepath.admission.fair_queue import QueuedRequest
from greengagepath.agent.replies import Route
from greengagepath.agent.request_records import Attempt, RequestRecord
from greengagepath.agent.work import Answered, NotRun, OutcomeUnknown, Work
from greengagepath.daemon.backend import (
    PROBE_AFTER_S,
    BackEnd,
    ConnectionPool,
)
from greengagepath.foundation.timers import LoopTimerService
from greengagepath.generated.messages import RefusalReason, Request

from .harness import HOST, free_port

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
SHED = b'HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
BUSY = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
CUT = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
LARGE = b'HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n%b' % bytes(5000)
CLOSE = b''


class ScriptedServer:
    """Answers each request with the next of `replies`.

    The first `silent_connections` connections stop answering after the
    first request.
    """

    def __init__(self, *replies, silent_connections=0):
        self.replies = list(replies)
        self.requests = []
        self.connections = 0
        self.silent_connections = silent_connections
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()

    def _serve(self, connection, _address):
        self.connections += 1
        number = self.connections
        while True:
            request = connection.recv(65536)
            if not request:
                return
            may_fall_silent = number <= self.silent_connections
            if may_fall_silent and self.requests:
                gevent.sleep(10)
            self.requests.append(request)
            reply = self.replies.pop(0)
            if reply == CLOSE:
                return
            connection.sendall(reply)
            if reply == CUT:
                return


class BackEndTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = LoopTimerService()

    def test_answer_and_headers(self):
        # Guards against missing headers, without which the back end cannot
        # detect repeats, tell customers apart or respect the deadline.
        server = self._start(OK)
        outcome = self._run(_work(self.timers, headers={'A': 'b'}))
        self.assertEqual(Answered(200, {}, b'ok'), outcome)
        head = server.requests[0].decode()
        self.assertIn(f'X-Request-Id: {bytes(16).hex()}\r\n', head)
        self.assertIn('X-Customer: red\r\n', head)
        self.assertIn('A: b\r\n', head)
        left_ms = int(head.split('X-Deadline-Ms: ')[1].split('\r\n')[0])
        self.assertTrue(4500 < left_ms <= 5000)

    def test_connection_is_reused(self):
        # Guards against a new connection for each request.
        server = self._start(OK, OK)
        for _ in range(2):
            self._run(_work(self.timers))
        self.assertEqual(1, server.connections)

    def test_refused_connection_is_not_run(self):
        # Guards against an unknown outcome although nothing was sent; the
        # caller could not retry a non-idempotent request.
        self._connect(free_port())
        outcome = self._run(_work(self.timers))
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(RefusalReason.no_target, outcome.reason)

    def test_shed_request_is_not_run(self):
        # Guards against a shed request that is reported as an answer or as
        # unknown, so that the caller does not retry it.
        self._start(SHED, OK)
        self.assertEqual(
            RefusalReason.queue_full, self._run(_work(self.timers)).reason
        )
        self.assertIsInstance(self._run(_work(self.timers)), Answered)

    def test_plain_503_is_an_answer(self):
        # Guards against "not run" for a 503 without X-Not-Run, after which
        # the request may have run.
        self._start(BUSY)
        self.assertEqual(503, self._run(_work(self.timers)).status)

    def test_connection_lost_after_sending_is_unknown(self):
        # Guards against "not run" when the connection closes before the
        # answer: the request may have run, and a retry would repeat it.
        self._start(CLOSE)
        self.assertIsInstance(self._run(_work(self.timers)), OutcomeUnknown)

    def test_cut_answer_is_unknown(self):
        # Guards against a truncated answer that is passed on as complete
        # when the connection closes before Content-Length bytes.
        self._start(CUT)
        self.assertIsInstance(self._run(_work(self.timers)), OutcomeUnknown)

    def test_silence_past_the_deadline_is_unknown(self):
        # Guards against a slot that stays occupied when the back end never
        # answers.
        self._start(OK, silent_connections=1)
        self._run(_work(self.timers))
        started_s = time.monotonic()
        outcome = self._run(_work(self.timers, limit_s=0.2))
        self.assertIsInstance(outcome, OutcomeUnknown)
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_silent_idle_connection_is_replaced(self):
        # Guards against requests sent over an idle connection whose peer has
        # stopped answering without closing it.
        server = self._start(OK, OK, silent_connections=1)
        self._run(_work(self.timers))
        gevent.sleep(PROBE_AFTER_S + 0.05)
        self.assertIsInstance(self._run(_work(self.timers)), Answered)
        self.assertEqual(2, server.connections)

    def test_closed_idle_connection_is_replaced(self):
        # Guards against an unknown outcome because a request is sent over an
        # idle connection that has been closed.
        server = self._start(OK, OK)
        self._run(_work(self.timers))
        self.pool._idle[0].sock.shutdown(2)
        self.assertIsInstance(self._run(_work(self.timers)), Answered)
        self.assertEqual(2, server.connections)

    def test_cancel_closes_the_connection(self):
        # Guards against a cancelled request that keeps its slot until the
        # deadline.
        self._start(OK, silent_connections=1)
        self._run(_work(self.timers))
        work = _work(self.timers)
        greenlet = gevent.spawn(self._run, work)
        gevent.sleep(0.1)
        work.is_cancelled = True
        self.back_end.cancel(work)
        self.assertIsInstance(greenlet.get(timeout=1), OutcomeUnknown)

    def test_too_large_answer_is_reported(self):
        # Guards against unbounded memory for one large answer.
        self._start(LARGE)
        self.back_end.max_answer_bytes = 4096
        self.assertEqual(502, self._run(_work(self.timers)).status)

    def test_request_that_cannot_be_sent_is_bad(self):
        # Guards against header injection: line breaks in a header, path or
        # method would let a caller set X-Customer itself.
        server = self._start(OK)
        for fields in (
            {'headers': {'A': 'b\r\nX-Customer: blue'}},
            {'path': '/a b\r\n'},
            {'method': 'GET /x HTTP/1.1\r\n'},
        ):
            outcome = self._run(_work(self.timers, **fields))
            self.assertEqual(RefusalReason.bad_request, outcome.reason)
        self.assertEqual([], server.requests)

    def test_connections_are_bounded(self):
        # Guards against more connections than the back end accepts.
        self._start(OK, OK)
        self.pool.max_connections = 0
        self.assertIsInstance(self._run(_work(self.timers)), NotRun)

    def _start(self, *replies, **options):
        server = ScriptedServer(*replies, **options)
        self.addCleanup(server.server.stop, timeout=0)
        self._connect(server.server.server_port)
        return server

    def _connect(self, port):
        self.pool = ConnectionPool((HOST, port), 4, self.timers)
        self.addCleanup(self.pool.close)
        self.back_end = BackEnd(self.pool, self.timers, 65536)

    def _run(self, work):
        return self.back_end.run(work, 'red')


def _work(timers, limit_s=5.0, **fields):
    values = {
        'request_id': bytes(16),
        'customer_id': 1,
        'operation': 'order',
        'idempotent': False,
        'deadline_ms': 5000,
        'method': 'GET',
        'path': '/orders',
    }
    attempt = Attempt(1, 1)
    key = Random().randbytes(12)
    return Work(
        route=Route(attempt, bytes(32), (HOST, 1)),
        request=Request(**(values | fields)),
        record=RequestRecord(attempt, bytes(16)),
        queued=QueuedRequest(key, 1, 'order', timers.now() + limit_s),
    )

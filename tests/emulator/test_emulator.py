import random
from http import HTTPStatus
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.emulator.backend import Run, checksum, make_body
from greengagepath.emulator.http_server import HttpRequest
from greengagepath.emulator.load import CallOutcome
from greengagepath.emulator.object_store import ObjectStore
from greengagepath.emulator.platform import Platform
from greengagepath.emulator.processes import (
    DeploymentError,
    PortPool,
    ProcessGroup,
)
from greengagepath.emulator.verdict import Verdict, count_outcomes, evaluate

KEY = ('configuration', 'current')


class FakeConnection:
    def __init__(self):
        self.is_closed = False

    def shutdown(self, how):
        self.is_closed = True


def make_request(method='GET', body=b'', version=0, query=None, path=None):
    return HttpRequest(
        method=method,
        path=path or '/objects/configuration/current',
        query=query or {},
        headers={'if-match': str(version)},
        body=body,
        connection=FakeConnection(),
    )


def make_outcome(request_id, **changes):
    outcome = CallOutcome(
        time=1.0,
        service='licence-core',
        customer='swan-river-cabs',
        operation='renewal',
        outcome='answered',
        latency_ms=5.0,
        request_id=request_id,
        idempotent=False,
        whole=True,
    )
    return msgspec.structs.replace(outcome, **changes)


def make_run(request_id, service_id='7'):
    return Run(
        request_id=request_id,
        service_id=service_id,
        customer='1',
        started_ms=1.0,
        path='/renewals',
    )


def make_verdict(outcomes, runs):
    return evaluate(
        Verdict(
            scenario='cooperative',
            seed=1,
            config_in_force_ms=100,
            drain_new_work_after_ms=0,
            **count_outcomes(outcomes, {'7': runs}),
        )
    )


class ObjectStoreTest(TestCase):
    @given(st.lists(st.integers(0, 4), max_size=20))
    def test_only_a_matching_version_replaces_an_object(self, expected):
        # Guards against a stand-in that accepts both of two racing writes.
        store = ObjectStore()
        current = 0
        for version in expected:
            outcome = store.write(KEY, version, {'writer': version})
            self.assertEqual(version == current, outcome.is_ok())
            if outcome.is_ok():
                current = outcome.unwrap().version

    def test_watch_returns_a_version_that_is_already_there(self):
        # Guards against a watch that waits although the change is stored.
        store = ObjectStore()
        store.write(KEY, 0, 'first')
        self.assertEqual('first', store.watch(KEY, 0, wait_s=0).body)
        self.assertIsNone(store.watch(KEY, 1, wait_s=0))


class PlatformTest(TestCase):
    def setUp(self):
        super().setUp()
        self.platform = Platform(random.Random(1))

    def set_faults(self, body):
        self.platform.handle_request(
            make_request('POST', body, path='/control/faults')
        )

    def test_lost_answer_leaves_the_write_in_place(self):
        # Guards against a fault that loses the write with its answer.
        self.set_faults(b'{"lose_answers": 1.0}')
        request = make_request('PUT', b'{"services": []}')
        self.platform.handle_request(request)
        self.assertTrue(request.connection.is_closed)
        self.assertEqual(1, self.platform.store.read(KEY).version)

    def test_store_that_is_down_closes_the_connection(self):
        # Guards against an outage during which writes are still stored.
        self.set_faults(b'{"down": true}')
        request = make_request('PUT', b'1')
        self.platform.handle_request(request)
        self.assertTrue(request.connection.is_closed)
        self.assertIsNone(self.platform.store.read(KEY))

    def test_conflict_carries_the_current_object(self):
        # Guards against a conflict that does not show the stored object.
        self.platform.handle_request(make_request('PUT', b'"mine"'))
        response = self.platform.handle_request(
            make_request('PUT', b'"theirs"')
        )
        status = HTTPStatus.PRECONDITION_FAILED
        self.assertTrue(response.status.startswith(str(status.value)))
        self.assertIn(b'"mine"', response.body)


class VerdictTest(TestCase):
    def test_clean_run_holds(self):
        # Guards against a verdict that fails a run without violations.
        outcomes = [make_outcome('a'), make_outcome('b')]
        runs = [make_run('a'), make_run('b')]
        self.assertTrue(make_verdict(outcomes, runs).held)

    def test_each_violation_is_found(self):
        # Guards against a violation that is not counted or passes the run.
        refused = make_outcome(
            'a', whole=False, not_run=True, outcome='refused'
        )
        unknown = make_outcome('a', whole=False, outcome='unknown')
        wrong = make_outcome('a', wrong_caller=True)
        run = make_run('a')
        cases = (
            ('refused_but_run', [refused], [run]),
            ('run_more_than_once', [make_outcome('a')], [run, run]),
            ('lost', [unknown], [run]),
            ('broken_flows', [unknown], [run]),
            ('wrong_caller', [wrong], [run]),
            ('wrong_service', [make_outcome('a')], [make_run('a', '8')]),
        )
        for name, outcomes, runs in cases:
            verdict = make_verdict(outcomes, runs)
            self.assertEqual(1, getattr(verdict, name), name)
            self.assertFalse(verdict.held, name)

    def test_idempotent_request_may_run_again(self):
        # Guards against counting an allowed retry as a violation.
        outcome = make_outcome('a', idempotent=True)
        verdict = make_verdict([outcome], [make_run('a'), make_run('a')])
        self.assertEqual(0, verdict.run_more_than_once)

    def test_late_configuration_fails_the_run(self):
        # Guards against a limit that is not checked.
        verdict = make_verdict([make_outcome('a')], [make_run('a')])
        late = msgspec.structs.replace(verdict, config_in_force_ms=3001.0)
        self.assertFalse(evaluate(late).held)


class AnswerBodyTest(TestCase):
    def test_answers_of_two_requests_differ(self):
        # Guards against equal bodies, whose checksum would also match the
        # answer to another request.
        bodies = {checksum(make_body(name, 1000)) for name in ('aa', 'bb')}
        self.assertEqual(2, len(bodies))


class PortPoolTest(TestCase):
    """Guards against two processes of a deployment with the same port.

    A back end whose port is taken ends at once; its agent then sends
    requests to the process at that port, the back end of another service.
    """

    def test_no_port_is_allocated_twice(self):
        pool = PortPool()

        ports = [port for _ in range(300) for port in pool.allocate(4)]

        self.assertEqual(1200, len(set(ports)))

    def test_ports_are_below_the_ephemeral_range(self):
        """Guards against outgoing connections that take allocated ports."""
        text = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
        first = int(text.split()[0])

        self.assertLess(max(PortPool().allocate(50)), first)

    def test_a_process_that_failed_at_start_is_reported(self):
        """Guards against a back end that ends unnoticed at a taken port."""
        with TemporaryDirectory() as name:
            processes = ProcessGroup(Path(name))
            processes.start('back-end', 'greengagepath.no_such_module')
            processes.wait('back-end', 30)

        error = self.assertRaises(DeploymentError, processes.check_running)

        self.assertIn('back-end ended', str(error))

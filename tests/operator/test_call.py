import io
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory

from result import Err, Ok
from testtools import TestCase

from greengagepath.caller.call_types import CallError, CallErrorKind
from greengagepath.caller.client import Client
from greengagepath.cli import call
from greengagepath.cli.tool import run_tool
from greengagepath.configuration.files import format_configuration
from greengagepath.foundation.exit_codes import ExitCode
from greengagepath.generated.messages import Answer, RefusalReason

from .builders import build_services


class RecordingClient(Client):
    """Returns the outcome set by the test; records the call."""

    outcome = None
    last_call = None

    def call(self, service, request, deadline_s, held=None):
        RecordingClient.last_call = (service, request, deadline_s)
        if RecordingClient.outcome is None:
            return Ok(
                Answer(request_id=request.request_id, status=200, body=b'valid')
            )
        return RecordingClient.outcome


class CallTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = self.enterContext(TemporaryDirectory())
        self.path = Path(folder, 'configuration.toml')
        self.services = build_services()
        self.path.write_text(format_configuration(self.services))
        self.patch(call, 'Client', RecordingClient)
        self.patch(RecordingClient, 'outcome', None)

    def call(self, *arguments):
        self.out = io.TextIOWrapper(io.BytesIO(), write_through=True)
        self.err = io.StringIO()
        with redirect_stdout(self.out), redirect_stderr(self.err):
            return run_tool(
                ['call', *arguments, '--configuration', str(self.path)]
            )

    def test_request_follows_the_operation(self):
        # Guards against a request that is sent as idempotent although
        # its operation is not, so that it may be repeated.
        code = self.call(
            'licence-core', 'renewal', '--customer', 'joondalup-cars'
        )
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(b'valid', self.out.buffer.getvalue())
        service, request, deadline_s = RecordingClient.last_call
        core = self.services[0]
        self.assertEqual(core.service_id, service.service_id)
        self.assertEqual((core.host, core.port), service.address)
        self.assertEqual('POST', request.method)
        self.assertEqual('/renewals', request.path)
        self.assertFalse(request.idempotent)
        self.assertEqual(core.customers[2].customer_id, request.customer_id)
        self.assertEqual(10, deadline_s)

    def test_failures_state_whether_the_request_may_have_run(self):
        # Guards against an operator who repeats a request that may have
        # run because the message does not say so.
        for kind, reason, not_run, expected in (
            (CallErrorKind.DEADLINE, None, False, ExitCode.TIMEOUT),
            (CallErrorKind.UNREACHABLE, None, True, ExitCode.UNREACHABLE),
            (
                CallErrorKind.REFUSED,
                RefusalReason.queue_full,
                True,
                ExitCode.FAILURE,
            ),
        ):
            failure = CallError(kind, not_run=not_run, reason=reason)
            self.patch(RecordingClient, 'outcome', Err(failure))
            code = self.call('licence-core', 'status-check', '/status/1')
            self.assertEqual(expected, code)
            verdict = 'did not run' if not_run else 'may have run'
            self.assertIn(verdict, self.err.getvalue())
            self.assertIn(str(reason or kind), self.err.getvalue())

    def test_error_status_of_the_service_is_a_failure(self):
        # Guards against scripts that use the body of an error status as
        # the answer.
        answer = Answer(request_id=b'', status=503, body=b'down')
        self.patch(RecordingClient, 'outcome', Ok(answer))
        code = self.call('licence-core', 'status-check')
        self.assertEqual(ExitCode.FAILURE, code)

    def test_unknown_names_list_the_known_ones(self):
        # Guards against a request that is sent although the service,
        # operation or customer is unknown, and against a message that
        # does not list the known names.
        for arguments in (
            ('core', 'renewal'),
            ('licence-core', 'renew'),
            ('licence-core', 'renewal', '--customer', 'nobody'),
        ):
            self.assertEqual(ExitCode.BAD_USAGE, self.call(*arguments))
            self.assertIn('there are: ', self.err.getvalue())

    def test_body_that_cannot_be_read_is_an_error_without_a_request(self):
        # Guards against a traceback, and against an order that is sent
        # without its body.
        RecordingClient.last_call = None
        code = self.call(
            'licence-core', 'renewal', '--data', str(self.path / 'missing')
        )
        self.assertEqual(ExitCode.BAD_USAGE, code)
        self.assertIn('cannot read', self.err.getvalue())
        self.assertIsNone(RecordingClient.last_call)

    def test_deadline_of_zero_is_an_error(self):
        # Guards against a deadline of the configuration in place of the
        # one on the command line.
        RecordingClient.last_call = None
        code = self.call('licence-core', 'renewal', '--deadline-ms', '0')
        self.assertEqual(ExitCode.BAD_USAGE, code)
        self.assertIsNone(RecordingClient.last_call)

"""`call`: sends one request through the system, as a caller does."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok, Result

from ..caller.call_types import CallError, CallErrorKind, ServiceAddress
from ..caller.client import Client
from ..configuration.files import load_configuration
from ..daemon.connections import open_connections
from ..foundation.exit_codes import ExitCode
from ..generated.messages import (
    Answer,
    Customer,
    Operation,
    Service,
    SizeClass,
)
from ..output.console import print_error, print_json, print_problems
from ..protocol.packets import SizeCode
from .options import (
    DEFAULT_SETTINGS,
    ConfigurationOption,
    JsonOption,
    SettingsOption,
)

MS_PER_S = 1000
_FIRST_ERROR_STATUS = 400
_SIZE_CODES = {
    SizeClass.unknown: SizeCode.UNKNOWN,
    SizeClass.short: SizeCode.SHORT,
    SizeClass.long: SizeCode.LONG,
}
_EXIT_CODES = {
    CallErrorKind.DEADLINE: ExitCode.TIMEOUT,
    CallErrorKind.UNREACHABLE: ExitCode.UNREACHABLE,
}


@cappa.command(
    help='Send one request to a service and print the answer.',
    description="""
The configuration of the operation gives the method, the deadline and
whether the request is idempotent, that is, may run twice. The body of
the answer is written to standard output. Exit codes: 1 refused or
failed, 4 unreachable, 5 deadline exceeded.

Examples:

- `greengagepath call licence-core status-check /status/1047 --customer
  fremantle-taxis`
- `greengagepath call order-desk stamping-order --customer taipei-shops
  --data order.json`
""",
)
@dataclass
class Call:
    """Options of `call`."""

    service: Annotated[
        str, cappa.Arg(value_name='SERVICE', help='Name of the service.')
    ]
    operation: Annotated[
        str, cappa.Arg(value_name='OPERATION', help='Name of the operation.')
    ]
    path: Annotated[
        str | None,
        cappa.Arg(
            value_name='PATH',
            help='Path; by default the path prefix of the operation.',
        ),
    ] = None
    customer: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name='NAME',
            help='Customer; by default the first one of the service.',
        ),
    ] = None
    body_path: Annotated[
        Path | None,
        cappa.Arg(long='--data', value_name='FILE', help='Request body.'),
    ] = None
    deadline_ms: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name='MS',
            help='Deadline; by default that of the operation.',
        ),
    ] = None
    configuration: ConfigurationOption = None
    settings: SettingsOption = DEFAULT_SETTINGS
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        match load_services(self.configuration, self.settings):
            case Ok(services):
                return self._resolve_and_call(services)
            case Err(code):
                return code
        return ExitCode.FAILURE

    def _resolve_and_call(self, services: list[Service]) -> ExitCode:
        service = _find_by_name(services, self.service, 'service')
        if service is None:
            return ExitCode.BAD_USAGE
        operation = _find_by_name(
            service.operations, self.operation, 'operation'
        )
        customer = service.customers[0]
        if self.customer is not None:
            customer = _find_by_name(
                service.customers, self.customer, 'customer'
            )
        if operation is None or customer is None:
            return ExitCode.BAD_USAGE
        if self.deadline_ms is not None and self.deadline_ms <= 0:
            print_error('--deadline-ms must be a positive number')
            return ExitCode.BAD_USAGE
        match self._read_body():
            case Ok(body):
                return self._call(service, operation, customer, body)
            case Err(problem):
                print_error(problem)
        return ExitCode.BAD_USAGE

    def _read_body(self) -> Result[bytes, str]:
        if self.body_path is None:
            return Ok(b'')
        try:
            return Ok(self.body_path.read_bytes())
        except OSError as error:
            return Err(f'cannot read {self.body_path}: {error.strerror}')

    def _call(
        self,
        service: Service,
        operation: Operation,
        customer: Customer,
        body: bytes,
    ) -> ExitCode:
        client = Client()
        request = client.create_request(
            customer.customer_id,
            operation.method,
            self.path or operation.path_prefix,
            operation=operation.name,
            idempotent=operation.idempotent,
            size_code=_SIZE_CODES[operation.size_class],
            body=body,
        )
        address = ServiceAddress(
            service.service_id, (service.host, service.port)
        )
        deadline_ms = self.deadline_ms or operation.deadline_ms
        outcome = client.call(address, request, deadline_ms / MS_PER_S)
        client.close()
        return self._report(outcome, request.request_id)

    def _report(
        self, outcome: Result[Answer, CallError], request_id: bytes
    ) -> ExitCode:
        match outcome:
            case Ok(answer):
                return _report_answer(answer, as_json=self.as_json)
            case Err(failure):
                return _report_failure(failure, request_id)
        return ExitCode.FAILURE


def load_services(
    configuration: Path | None, settings: Path
) -> Result[list[Service], ExitCode]:
    """Return the services of a file, or those in the object API.

    Without a `configuration` file the object API named in `settings` is
    read. The error is the exit code of the command; the problems have
    been printed by then.
    """
    if configuration is not None:
        match load_configuration(configuration):
            case Ok(content):
                return Ok(content.services)
            case Err(problems):
                print_problems(problems)
                return Err(ExitCode.BAD_USAGE)
    with open_connections(settings) as opened:
        match opened:
            case Ok(connections):
                return (
                    connections.store.read()
                    .map(_list_services)
                    .map_err(_report_unreadable)
                )
            case Err(problems):
                print_problems(problems)
    return Err(ExitCode.BAD_USAGE)


def _list_services(stored) -> list[Service]:
    return stored.configuration.services


def _report_unreadable(reason: str) -> ExitCode:
    advice = 'use a configuration file with --configuration FILE'
    print_error(f'cannot read from the object API: {reason}', advice)
    return ExitCode.UNREACHABLE


def _find_by_name(entries, name: str, kind: str):
    for entry in entries:
        if entry.name == name:
            return entry
    names = ', '.join(known.name for known in entries)
    print_error(f'no {kind} is named {name}', f'there are: {names}')
    return None


def _report_answer(answer: Answer, *, as_json: bool) -> ExitCode:
    if as_json:
        print_json(
            {
                'status': answer.status,
                'headers': answer.headers,
                'bytes': len(answer.body),
                'target': answer.target_id,
                'request_id': answer.request_id.hex(),
            }
        )
    else:
        sys.stdout.buffer.write(answer.body)
        sys.stdout.buffer.flush()
    if answer.status < _FIRST_ERROR_STATUS:
        return ExitCode.OK
    print_error(f'the service returned status {answer.status}')
    return ExitCode.FAILURE


def _report_failure(failure: CallError, request_id: bytes) -> ExitCode:
    reason = failure.reason or failure.kind
    run_status = 'did not run' if failure.not_run else 'may have run'
    print_error(
        f'{reason}: the request {run_status}',
        f'search the logs for request_id {request_id.hex()}',
    )
    return _EXIT_CODES.get(failure.kind, ExitCode.FAILURE)

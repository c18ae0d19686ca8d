"""Load generator for the callers of one customer.

`python -m greengagepath.emulator.load --plan FILE --output FILE` sends
requests at random times and writes one JSON line for each outcome. The
loop is open: a slow system does not slow the load down. The lines are
input for `greengagepath report --outcomes`.
"""

import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent
import msgspec
from gevent import monkey
from result import Err, Ok

from ..caller.call_types import (
    CallError,
    CallErrorKind,
    CallRequest,
    ServiceAddress,
)
from ..caller.client import Client, HeldFlow
from ..generated.messages import Answer
from ..protocol.packets import SizeCode
from .backend import checksum

MS_PER_S = 1000
STATUS_OK = 200
NO_FLOW = -1


class LoadOperation(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one operation.

    `rate_per_s` gives random times; `at_s` adds fixed ones, in seconds
    from the start. With `held_flows` the requests share that many long
    flows instead of opening one each.
    """

    service: str
    service_id: int
    host: str
    port: int
    name: str
    method: str
    path: str
    idempotent: bool
    size_code: int
    deadline_ms: int
    rate_per_s: float = 0.0
    at_s: tuple[float, ...] = ()
    held_flows: int = 0


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that the callers of one customer send in `seconds`."""

    customer: str
    customer_id: int
    seconds: float
    seed: int
    operations: list[LoadOperation]


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one call; extends the lines that `report` reads.

    `time` is in seconds since the epoch, `request_id` is hexadecimal.
    `not_run` is set if the system reported that the request did not run;
    `verdict.count_outcomes` compares it with the runs of the back ends.
    `whole` means that the checksum of the answer matches.
    """

    time: float
    service: str
    customer: str
    operation: str
    outcome: str
    latency_ms: float
    target: str = ''
    request_id: str
    idempotent: bool
    not_run: bool = False
    whole: bool = False
    wrong_caller: bool = False
    wrong_service: bool = False
    answer_bytes: int = 0
    detail: str = ''


_OUTCOMES_BY_KIND = {
    CallErrorKind.REFUSED: 'refused',
    CallErrorKind.DEADLINE: 'timeout',
    CallErrorKind.CANCELLED: 'cancelled',
    CallErrorKind.UNKNOWN_OUTCOME: 'unknown',
    CallErrorKind.UNREACHABLE: 'broken',
    CallErrorKind.MALFORMED_ANSWER: 'broken',
}


class LoadGenerator:
    """Sends the requests of a plan and collects their outcomes."""

    def __init__(self, plan: LoadPlan, client: Client) -> None:
        self._plan = plan
        self._client = client
        self._rng = random.Random(f'{plan.seed}/{plan.customer}')
        self.outcomes: list[CallOutcome] = []

    def run(self) -> None:
        """Send all requests and wait for the last outcome."""
        senders = [
            gevent.spawn(self._send_operation, operation)
            for operation in self._plan.operations
        ]
        gevent.joinall(senders, raise_error=True)

    def _send_operation(self, operation: LoadOperation) -> None:
        started_s = time.monotonic()
        address = ServiceAddress(
            operation.service_id, (operation.host, operation.port)
        )
        held = [
            self._client.hold_flow(address) for _ in range(operation.held_flows)
        ]
        calls = []
        for number, at_s in enumerate(self._draw_times(operation)):
            gevent.sleep(max(started_s + at_s - time.monotonic(), 0.0))
            flow = held[number % len(held)] if held else None
            calls.append(gevent.spawn(self._call, operation, address, flow))
        gevent.joinall(calls, raise_error=True)
        for flow in held:
            flow.close()

    def _draw_times(self, operation: LoadOperation) -> list[float]:
        times = list(operation.at_s)
        at_s = 0.0
        while operation.rate_per_s > 0:
            at_s += self._rng.expovariate(operation.rate_per_s)
            if at_s >= self._plan.seconds:
                break
            times.append(at_s)
        return sorted(times)

    def _call(
        self,
        operation: LoadOperation,
        address: ServiceAddress,
        held: HeldFlow | None,
    ) -> None:
        request = self._client.create_request(
            self._plan.customer_id,
            operation.method,
            operation.path,
            operation=operation.name,
            idempotent=operation.idempotent,
            size_code=SizeCode(operation.size_code),
            headers={'X-Service': str(operation.service_id)},
        )
        started_s = time.monotonic()
        deadline_s = operation.deadline_ms / MS_PER_S
        call_result = self._client.call(address, request, deadline_s, held)
        latency_ms = (time.monotonic() - started_s) * MS_PER_S
        match call_result:
            case Ok(answer):
                outcome = self._make_answer_outcome(operation, request, answer)
            case Err(failure):
                outcome = self._make_failure_outcome(
                    operation, request, failure
                )
        self.outcomes.append(
            msgspec.structs.replace(outcome, latency_ms=latency_ms)
        )

    def _make_answer_outcome(
        self, operation: LoadOperation, request: CallRequest, answer: Answer
    ) -> CallOutcome:
        headers = {name.lower(): text for name, text in answer.headers.items()}
        request_id = request.request_id.hex()
        is_ok = answer.status == STATUS_OK
        whole = is_ok and headers.get('x-checksum') == checksum(answer.body)
        return CallOutcome(
            time=time.time(),
            service=operation.service,
            customer=self._plan.customer,
            operation=operation.name,
            outcome=_classify_answer(is_ok=is_ok, whole=whole),
            latency_ms=0,
            target=answer.target_id,
            request_id=request_id,
            idempotent=operation.idempotent,
            whole=whole,
            wrong_caller=is_ok and headers.get('x-run-of') != request_id,
            wrong_service=is_ok
            and headers.get('x-service') != str(operation.service_id),
            answer_bytes=len(answer.body),
            detail='' if is_ok else f'status {answer.status}',
        )

    def _make_failure_outcome(
        self,
        operation: LoadOperation,
        request: CallRequest,
        failure: CallError,
    ) -> CallOutcome:
        return CallOutcome(
            time=time.time(),
            service=operation.service,
            customer=self._plan.customer,
            operation=operation.name,
            outcome=_OUTCOMES_BY_KIND.get(failure.kind, 'failed'),
            latency_ms=0,
            request_id=request.request_id.hex(),
            idempotent=operation.idempotent,
            not_run=failure.not_run,
            detail=f'{failure.kind} {failure.reason or ""}'.strip(),
        )


def _classify_answer(*, is_ok: bool, whole: bool) -> str:
    if whole:
        return 'answered'
    return 'broken' if is_ok else 'failed'


@dataclass(slots=True)
class LoadOptions:
    """Send the requests of a plan."""

    plan: Annotated[Path, cappa.Arg(long=True, help='Plan in JSON.')]
    output: Annotated[Path, cappa.Arg(long=True, help='Outcomes.')]


def main() -> None:
    """Send the requests of a plan and write the outcomes."""
    monkey.patch_all()
    options = cappa.parse(LoadOptions)
    plan = msgspec.json.decode(options.plan.read_bytes(), type=LoadPlan)
    client = Client()
    generator = LoadGenerator(plan, client)
    generator.run()
    client.close()
    lines = (msgspec.json.encode(outcome) for outcome in generator.outcomes)
    options.output.write_bytes(b'\n'.join(lines))
    # Counters of the client help to find out why a request was lost.
    sys.stderr.write(f'events {dict(client.setup.events)}\n')
    sys.stderr.write(f'drops {dict(client.setup.drops)}\n')


if __name__ == '__main__':
    main()

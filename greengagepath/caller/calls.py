"""State machine of one call, without I/O.

A call opens a flow, sends the request and receives the answer on it.
It retries on a new flow where this is safe: after a refusal, since a
refused request has not run, and after an unknown outcome if the
request is idempotent.
"""

from result import Err, Ok, Result

from ..generated.messages import Answer, Refusal, Request
from ..protocol.codec import encode_body
from ..protocol.packets import decode_service_datagram
from .call_types import (
    CallDrop,
    CallError,
    CallErrorKind,
    CallRequest,
    CallSetup,
    ServiceAddress,
)
from .exchange import Exchange, FlowLost, OutcomeUnknown
from .flows import Flow
from .opening import Opening
from .retry_plan import BackingOff, RetryPlan

CallOutcome = Result[Answer, CallError]
Phase = Opening | Exchange | BackingOff

_MS_PER_S = 1000
_MAX_DEADLINE_MS = 3600000


class Call:
    """One call; `outcome` is set when it has ended.

    When `due_s` is reached or a datagram has arrived, the owner calls
    `check_due`, moves to a new local port if `pop_port_move` returns
    true, and sends the datagrams that `check_due` and `datagrams`
    return. Times are in seconds of one monotonic clock.
    """

    __slots__ = (
        '_deadline_s',
        '_phase',
        '_plan',
        '_port_move_is_due',
        '_request',
        '_service',
        '_setup',
        'flow',
        'outcome',
    )

    def __init__(
        self,
        service: ServiceAddress,
        request: CallRequest,
        setup: CallSetup,
        deadline_s: float,
        now_s: float,
        flow: Flow | None = None,
    ) -> None:
        self._service = service
        self._request = request
        self._setup = setup
        self._deadline_s = deadline_s
        self._port_move_is_due = False
        self._plan = RetryPlan(setup, deadline_s)
        self._phase: Phase = BackingOff(now_s)
        self.flow = flow
        self.outcome: CallOutcome | None = None
        setup.retry_budget.record_request()
        if len(request.body) > setup.limits.max_request_bytes:
            self._fail(CallErrorKind.REQUEST_TOO_LARGE, not_run=True)
        else:
            self._start_attempt(now_s)

    def due_s(self) -> float:
        """Return when `check_due` and `datagrams` are to be called next."""
        return min(self._phase.due_s(), self._deadline_s)

    def datagrams(self, now_s: float) -> list[bytes]:
        """Return the datagrams to send now."""
        if isinstance(self._phase, BackingOff):
            return []
        return self._phase.datagrams(now_s)

    def check_due(self, now_s: float) -> list[bytes]:
        """Process timeouts and the deadline.

        Return the datagrams to send if the call ends at its deadline.
        """
        if self.outcome is not None:
            return []
        if now_s >= self._deadline_s:
            return self._end_at_deadline()
        match self._phase:
            case BackingOff(until_s=until_s):
                if now_s >= until_s:
                    self._start_attempt(now_s)
            case Exchange() as exchange:
                exchange.check_due(now_s)
                self._port_move_is_due = exchange.pop_port_move()
                self._apply_exchange(exchange, now_s)
        return []

    def receive(self, encoded: bytes, now_s: float) -> None:
        """Process a datagram from the network; never raises on bad input."""
        decoded = decode_service_datagram(encoded)
        if decoded.is_err():
            self._setup.drops[CallDrop.MALFORMED] += 1
            return
        datagram = decoded.unwrap()
        match self._phase:
            case Opening() as opening:
                opening.receive(datagram, now_s)
                self._apply_opening(opening, now_s)
            case Exchange() as exchange:
                exchange.receive(datagram, now_s)
                self._apply_exchange(exchange, now_s)
            case BackingOff():
                self._setup.drops[CallDrop.WRONG_FLOW] += 1

    def pop_port_move(self) -> bool:
        """Return whether to move to a new local port now, and reset it."""
        due = self._port_move_is_due
        self._port_move_is_due = False
        if due:
            self._setup.events['port_moves'] += 1
        return due

    def cancel(self) -> list[bytes]:
        """End the call as cancelled; return the datagrams to send."""
        if self.outcome is not None:
            return []
        final_datagrams, not_run = self._cancel_attempt()
        self._fail(CallErrorKind.CANCELLED, not_run=not_run)
        return final_datagrams

    def _start_attempt(self, now_s: float) -> None:
        if self.flow is None or not self.flow.is_usable:
            self.flow = None
            self._phase = Opening(
                self._service, self._request.size_code, self._setup, now_s
            )
            return
        payload = encode_request(self._request, self._deadline_s - now_s)
        self._phase = Exchange(
            self.flow, self._request, payload, self._setup, now_s
        )

    def _apply_opening(self, opening: Opening, now_s: float) -> None:
        match opening.outcome:
            case Flow() as flow:
                self._setup.events['flows_opened'] += 1
                self.flow = flow
                self._start_attempt(now_s)
            case Refusal() as refusal:
                self._back_off_or_end(self._plan.after_refusal(refusal, now_s))

    def _apply_exchange(self, exchange: Exchange, now_s: float) -> None:
        if self.outcome is not None:
            return
        match exchange.outcome:
            case Answer() as answer:
                self.outcome = Ok(answer)
            case Refusal() as refusal:
                self._mark_flow_unusable()
                self._back_off_or_end(self._plan.after_refusal(refusal, now_s))
            case FlowLost():
                self._mark_flow_unusable()
                self._back_off_or_end(self._plan.redirect(now_s))
            case OutcomeUnknown():
                self._mark_flow_unusable()
                self._back_off_or_end(
                    self._plan.after_unknown_outcome(
                        now_s, idempotent=self._request.idempotent
                    )
                )
            case CallErrorKind() as kind:
                self._fail(kind, not_run=False)

    def _back_off_or_end(self, wait: BackingOff | None) -> None:
        if wait is None:
            self.outcome = Err(self._plan.error)
        else:
            self._phase = wait

    def _mark_flow_unusable(self) -> None:
        if self.flow is not None:
            self.flow.is_usable = False

    def _cancel_attempt(self) -> tuple[list[bytes], bool]:
        # An earlier attempt of unknown outcome may have run as well.
        not_run = self._plan.error.not_run
        if isinstance(self._phase, Exchange):
            self._mark_flow_unusable()
            not_run = not_run and not self._phase.was_sent
            return self._phase.cancel(), not_run
        return [], not_run

    def _end_at_deadline(self) -> list[bytes]:
        final_datagrams, not_run = self._cancel_attempt()
        if isinstance(self._phase, Exchange):
            self._fail(CallErrorKind.DEADLINE, not_run=not_run)
        else:
            self.outcome = Err(self._plan.error)
        return final_datagrams

    def _fail(self, kind: CallErrorKind, *, not_run: bool) -> None:
        self.outcome = Err(CallError(kind, not_run=not_run))


def encode_request(request: CallRequest, remaining_s: float) -> bytes:
    """Return the encoded request, due in `remaining_s` seconds."""
    remaining_ms = int(remaining_s * _MS_PER_S)
    return encode_body(
        Request(
            request_id=request.request_id,
            customer_id=request.customer_id,
            operation=request.operation,
            idempotent=request.idempotent,
            deadline_ms=min(max(remaining_ms, 0), _MAX_DEADLINE_MS),
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
        )
    )

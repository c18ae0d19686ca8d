"""Client that runs calls on UDP sockets.

A client belongs to one gevent hub; any number of greenlets of the hub
may make calls at the same time.
"""

import os
import random
import time
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack

import gevent
from gevent.lock import BoundedSemaphore
from result import Err, Ok

from ..admission.retry_budget import RetryBudget
from ..protocol.packets import SizeCode
from .attempts import cancel_attempts, wait_for_first_answer, wait_for_outcome
from .call_types import (
    CallError,
    CallErrorKind,
    CallLimits,
    CallRequest,
    CallSetup,
    ServiceAddress,
)
from .calls import Call, CallOutcome
from .flow_sockets import FlowSocket
from .flows import Flow
from .hedging import HedgeDelays

REQUEST_ID_BYTES = 16
DEFAULT_RETRY_SHARE = 0.1
MAX_CALLS = 10000
# A call without a held flow keeps its socket open for this time, to
# repeat the last ACK of the answer if it was lost.
LINGER_S = 0.3
MAX_LINGERING_SOCKETS = 2000


def boot_clock() -> float:
    """Return CLOCK_BOOTTIME in seconds, which includes suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HeldFlow:
    """A long-lived flow that carries many requests of one caller.

    One call at a time uses it; others wait. After its target has left,
    the next call opens a new flow in its place.
    """

    __slots__ = ('flow', 'lock', 'service', 'socket')

    def __init__(self, service: ServiceAddress) -> None:
        self.service = service
        self.flow: Flow | None = None
        self.socket: FlowSocket | None = None
        self.lock = BoundedSemaphore(1)

    def close(self) -> None:
        """Wait for the call that uses the flow, and close the socket.

        The target is not notified; the flow expires there.
        """
        with self.lock:
            if self.socket is not None:
                self.socket.close()
            self.socket = None
            self.flow = None


class PendingCall:
    """A call that runs in its own greenlet."""

    __slots__ = ('_greenlet',)

    def __init__(self, greenlet: gevent.Greenlet) -> None:
        self._greenlet = greenlet

    def cancel(self) -> None:
        """Cancel the call, also at its target, without waiting for it.

        `wait` then returns CANCELLED, unless the call ended before.
        """
        self._greenlet.kill(block=False)

    def wait(self) -> CallOutcome:
        """Wait until the call has ended and return its outcome."""
        return wait_for_outcome(self._greenlet)


class Client:
    """Calls services through the load balancer.

    `clock` returns seconds. At most `max_calls` calls run at a time;
    others wait. `setup.drops` counts dropped datagrams, `setup.events`
    what calls did, such as retries.
    """

    def __init__(
        self,
        setup: CallSetup | None = None,
        clock: Callable[[], float] = boot_clock,
        max_calls: int = MAX_CALLS,
    ) -> None:
        self.setup = setup or create_setup()
        self._clock = clock
        self._slots = BoundedSemaphore(max_calls)
        self._lingering: deque[FlowSocket] = deque()
        self._hedge_delays = HedgeDelays()

    def create_request(
        self,
        customer_id: int,
        method: str,
        path: str,
        *,
        operation: str = '',
        idempotent: bool = False,
        size_code: SizeCode = SizeCode.UNKNOWN,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> CallRequest:
        """Return a request with a new random id."""
        return CallRequest(
            request_id=os.urandom(REQUEST_ID_BYTES),
            customer_id=customer_id,
            method=method,
            path=path,
            operation=operation,
            idempotent=idempotent,
            size_code=size_code,
            headers=headers or {},
            body=body,
        )

    def call(
        self,
        service: ServiceAddress,
        request: CallRequest,
        deadline_s: float,
        held: HeldFlow | None = None,
    ) -> CallOutcome:
        """Send a request; return the complete answer or the error.

        `deadline_s` is in seconds from now. The request uses the flow
        `held` if given. Killing the greenlet that waits here cancels
        the call, which then returns CANCELLED.
        """
        end_s = self._clock() + deadline_s
        if not self._slots.acquire(timeout=deadline_s):
            return _not_started()
        with ExitStack() as stack:
            stack.callback(self._slots.release)
            if request.idempotent and request.size_code is not SizeCode.LONG:
                return self._call_hedged(held, service, request, end_s)
            return self._call_unhedged(held, service, request, end_s)

    def start(
        self,
        service: ServiceAddress,
        request: CallRequest,
        deadline_s: float,
        held: HeldFlow | None = None,
    ) -> PendingCall:
        """Start a call that can be cancelled; arguments as for `call`."""
        return PendingCall(
            gevent.spawn(self.call, service, request, deadline_s, held)
        )

    def hold_flow(self, service: ServiceAddress) -> HeldFlow:
        """Return a long-lived flow; the first call on it opens it."""
        return HeldFlow(service)

    def close(self) -> None:
        """Close the sockets that are kept open after their calls."""
        while self._lingering:
            self._lingering.popleft().close()

    def _call_hedged(
        self,
        held: HeldFlow | None,
        service: ServiceAddress,
        request: CallRequest,
        end_s: float,
    ) -> CallOutcome:
        """Send a request that takes unusually long to a second target."""
        started_s = self._clock()
        first = gevent.spawn(self._call_unhedged, held, service, request, end_s)
        attempts = [first]
        remaining_s = end_s - started_s
        try:
            first.join(
                self._hedge_delays.delay_s(request.operation, remaining_s)
            )
            if not first.dead and self.setup.retry_budget.try_retry():
                self.setup.events['hedges'] += 1
                attempts.append(
                    gevent.spawn(
                        self._call_on_new_flow, service, request, end_s
                    )
                )
            outcome = wait_for_first_answer(attempts)
        except gevent.GreenletExit:
            return cancel_attempts(attempts)
        if isinstance(outcome, Ok):
            latency_s = self._clock() - started_s
            self._hedge_delays.record(request.operation, latency_s)
        return outcome

    def _call_unhedged(
        self,
        held: HeldFlow | None,
        service: ServiceAddress,
        request: CallRequest,
        end_s: float,
    ) -> CallOutcome:
        if held is None:
            return self._call_on_new_flow(service, request, end_s)
        if not held.lock.acquire(timeout=max(end_s - self._clock(), 0.0)):
            return _not_started()
        with ExitStack() as stack:
            stack.callback(held.lock.release)
            return self._call_on_held_flow(held, request, end_s)

    def _call_on_new_flow(
        self, service: ServiceAddress, request: CallRequest, end_s: float
    ) -> CallOutcome:
        now_s = self._clock()
        call = Call(service, request, self.setup, end_s, now_s)
        flow_socket = FlowSocket(service.address, self.setup.events)
        outcome = self._run(call, flow_socket)
        if isinstance(outcome, Ok) and call.flow is not None:
            self._linger(flow_socket, call.flow)
        else:
            flow_socket.close()
        return outcome

    def _call_on_held_flow(
        self, held: HeldFlow, request: CallRequest, end_s: float
    ) -> CallOutcome:
        now_s = self._clock()
        call = Call(held.service, request, self.setup, end_s, now_s, held.flow)
        if held.socket is None:
            held.socket = FlowSocket(held.service.address, self.setup.events)
        held.socket.stop_lingering()
        outcome = self._run(call, held.socket)
        held.flow = call.flow
        if call.flow is not None:
            held.socket.linger(call.flow)
        return outcome

    def _run(self, call: Call, flow_socket: FlowSocket) -> CallOutcome:
        try:
            self._drive(call, flow_socket)
        except gevent.GreenletExit:
            flow_socket.send_all(call.cancel())
        outcome = call.outcome
        if outcome is None:
            raise RuntimeError('a call ended without an outcome')
        return outcome

    def _drive(self, call: Call, flow_socket: FlowSocket) -> None:
        while call.outcome is None:
            now_s = self._clock()
            flow_socket.send_all(call.check_due(now_s))
            if call.pop_port_move():
                flow_socket.move_to_new_port()
            flow_socket.send_all(call.datagrams(now_s))
            if call.outcome is not None:
                return
            flow_socket.wait(call.due_s() - self._clock())
            now_s = self._clock()
            for datagram in flow_socket.receive_available():
                call.receive(datagram, now_s)
        # The last ACK of the answer.
        flow_socket.send_all(call.datagrams(self._clock()))

    def _linger(self, flow_socket: FlowSocket, flow: Flow) -> None:
        self._lingering.append(flow_socket)
        flow_socket.linger(flow, LINGER_S)
        while self._lingering and (
            self._lingering[0].is_closed
            or len(self._lingering) > MAX_LINGERING_SOCKETS
        ):
            self._lingering.popleft().close()


def create_setup(
    limits: CallLimits | None = None,
    retry_share: float = DEFAULT_RETRY_SHARE,
    seed: int | None = None,
) -> CallSetup:
    """Return a setup with its own retry budget.

    `retry_share` is the share of requests that may be retried. Without
    `seed`, flow ids come from the random source of the operating system,
    so that they cannot be guessed.
    """
    source = random.SystemRandom() if seed is None else random.Random(seed)
    return CallSetup(
        random=source,
        retry_budget=RetryBudget(retry_share),
        limits=limits or CallLimits(),
    )


def _not_started() -> CallOutcome:
    return Err(CallError(CallErrorKind.DEADLINE, not_run=True))

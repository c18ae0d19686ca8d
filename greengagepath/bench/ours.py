"""Our system in virtual time: the real decision modules on fakes.

Balancer: `TargetChooser` and flow tokens. Agent: `AdmissionGate` and
its back end. Caller: flows with tokens and `RetryBudget`, as in the
library.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ..admission.fair_queue import QueuedRequest
from ..admission.gate import AdmissionGate
from ..admission.retry_budget import RetryBudget
from ..foundation.addresses import Address
from ..foundation.timers import TimerService
from ..generated.messages import Limits, RefusalReason
from ..protocol.tags import KEY_BYTES, Key, KeyRing
from ..protocol.tokens import TokenClaims, issue_token, verify_token
from ..routing.choice import (
    Choice,
    ChooserServices,
    ProbeReply,
    ProbeState,
    TargetChooser,
)
from ..routing.targets import TargetInfo
from .fakes import BackEnd, Fabric, RequestLog, RequestOutcome, RequestResult
from .scenarios import QUEUE_LENGTH, SLOTS
from .workload import RequestSpec

MAX_HAND_OFFS = 2
OPEN_TIMEOUT_S = 0.25
MAX_SENDS = 4
PROBE_TIMEOUT_S = 0.25
# Largest random delay of a probe, added to the network delay.
PROBE_JITTER_S = 0.02
PROBE_CHECK_S = 0.25
BACKOFF_S = 0.05
RETRY_SHARE = 0.1
_US_PER_S = 1000000.0
_FLOW_ID_BITS = 64
_MS_PER_S = 1000.0


def make_keys() -> KeyRing:
    """Return a key ring; its secret does not matter here."""
    return KeyRing([Key(1, bytes(KEY_BYTES))], float)


@dataclass(slots=True)
class RunContext:
    """Services and settings that all parts of a run share.

    `random` draws delays and flow ids; delays are one way, in seconds.
    """

    timers: TimerService
    fabric: Fabric
    request_log: RequestLog
    random: random.Random
    client_delay_s: float
    zone_delay_s: float
    keys: KeyRing = field(default_factory=make_keys)
    agents_by_address: dict[Address, 'Agent'] = field(default_factory=dict)


class Agent:
    """Admission control in front of one back end."""

    def __init__(
        self, context: RunContext, target: TargetInfo, back_end: BackEnd
    ) -> None:
        self.target = target
        self.back_end = back_end
        self._context = context
        limits = Limits(slots=SLOTS, queue_length=QUEUE_LENGTH)
        self.gate = AdmissionGate(context.timers, limits)
        self._attempts_by_request: dict[bytes, Attempt] = {}

    def receive_open(self, opening: 'Opening') -> None:
        """Accept a flow, or hand it to the next candidate."""
        if self.back_end.is_dead:
            return
        cannot_accept = self.gate.is_draining or self.gate.load().is_full
        if cannot_accept and opening.alternates:
            self._hand_off(opening)
            return
        if self.gate.is_draining:
            opening.reply(None)
            return
        claims = TokenClaims(self.target.address, self.target.incarnation, 0)
        token = issue_token(
            self._context.keys, self.target.service, opening.flow_id, claims
        )
        self._context.request_log.record_packet(
            opening.flow_id, self.target.target_id
        )
        opening.reply(token)

    def receive_request(self, attempt: 'Attempt') -> None:
        """Offer a request to the gate."""
        if self.back_end.is_dead:
            return
        request = attempt.request
        self._attempts_by_request[request.request_id] = attempt
        offered = self.gate.offer(
            QueuedRequest(
                request_id=request.request_id,
                customer_id=request.customer_id,
                operation=request.operation.name,
                deadline_s=request.end_s,
                size_class=request.operation.size_class,
                payload=request,
            )
        )
        if offered.is_err():
            self._answer(request.request_id, offered.unwrap_err().reason)
        self._process_queue()

    def start_draining(self) -> None:
        """Refuse queued and new requests from now on."""
        self.gate.start_draining()
        self._process_queue()

    def load(self) -> ProbeReply:
        """Return the reply to a probe."""
        load = self.gate.load()
        return ProbeReply(
            target_id=self.target.target_id,
            in_flight=load.in_flight,
            queued=load.queued,
            latency_us=int(load.latency_s * _US_PER_S),
            state=ProbeState.DRAINING
            if self.gate.is_draining
            else ProbeState.ACCEPTING,
        )

    def _hand_off(self, opening: 'Opening') -> None:
        address = opening.alternates[0].address
        forwarded = Opening(
            opening.flow_id, opening.reply, opening.alternates[1:]
        )
        agent = self._context.agents_by_address[address]
        self._context.timers.call_after(
            self._context.zone_delay_s, lambda: agent.receive_open(forwarded)
        )

    def _process_queue(self) -> None:
        queued = self.gate.next_request()
        while queued is not None:
            self._run(queued.payload)
            queued = self.gate.next_request()
        for refusal in self.gate.take_refused():
            self._answer(refusal.request_id, refusal.reason)

    def _run(self, request: RequestSpec) -> None:
        self._context.request_log.runs_by_request[request.request_id] += 1
        self.back_end.run(request, self._finish)

    def _finish(self, request: RequestSpec, duration_s: float) -> None:
        self.gate.finish(request.request_id, duration_s, succeeded=True)
        self._answer(request.request_id, None)
        self._process_queue()

    def _answer(self, request_id: bytes, reason: RefusalReason | None) -> None:
        attempt = self._attempts_by_request.pop(request_id)
        self._context.timers.call_after(
            self._context.client_delay_s, lambda: attempt.reply(reason)
        )


@dataclass(slots=True, frozen=True)
class Opening:
    """An OPEN in transit; `reply` gets the token, None if refused."""

    flow_id: int
    reply: Callable[[bytes | None], None]
    alternates: tuple[TargetInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class Attempt:
    """A request in transit; `reply` gets the refusal, None if run."""

    request: RequestSpec
    reply: Callable[[RefusalReason | None], None]


ChooserFactory = Callable[[int, ChooserServices], TargetChooser]


class Balancer:
    """Chooses targets for new flows and routes other packets by token."""

    def __init__(
        self,
        context: RunContext,
        shared: ChooserServices,
        make_chooser: ChooserFactory = TargetChooser,
    ) -> None:
        self._context = context
        self._shared = shared
        self._make_chooser = make_chooser
        self._choosers_by_service: dict[int, TargetChooser] = {}
        self.is_dead = False
        context.timers.subscribe(PROBE_CHECK_S, self._probe_all)

    def replace_targets(
        self, targets_by_service: dict[int, tuple[TargetInfo, ...]]
    ) -> None:
        """Replace the targets of the given services."""
        for service, targets in targets_by_service.items():
            chooser = self._choosers_by_service.get(service)
            if chooser is None:
                chooser = self._make_chooser(service, self._shared)
                self._choosers_by_service[service] = chooser
            chooser.replace_targets(targets)

    def receive_open(self, request: RequestSpec, opening: Opening) -> None:
        """Choose a target and send it the OPEN."""
        if self.is_dead:
            return
        chooser = self._choosers_by_service[request.service]
        chosen = chooser.choose(opening.flow_id, request.operation.size_class)
        if chosen.is_err():
            return
        choice: Choice = chosen.unwrap()
        agent = self._context.agents_by_address[choice.target.address]
        forwarded = Opening(
            opening.flow_id,
            opening.reply,
            choice.alternates[:MAX_HAND_OFFS],
        )
        self._context.timers.call_after(
            self._hop_s(choice.target),
            lambda: agent.receive_open(forwarded),
        )
        self._probe(chooser)

    def route(self, service: int, flow_id: int, token: bytes) -> Agent | None:
        """Return the agent in the token, None if it is not valid."""
        if self.is_dead:
            return None
        claims = verify_token(self._context.keys, service, flow_id, token)
        if claims is None:
            return None
        agent = self._context.agents_by_address[claims.address]
        self._context.request_log.record_packet(flow_id, agent.target.target_id)
        return agent

    def _probe_all(self) -> None:
        if not self.is_dead:
            for chooser in self._choosers_by_service.values():
                self._probe(chooser)

    def _probe(self, chooser: TargetChooser) -> None:
        for target in chooser.targets_to_probe():
            ProbeExchange(self._context, chooser, target).start(
                self._hop_s(target)
            )

    def _hop_s(self, target: TargetInfo) -> float:
        zone = self._shared.place.availability_zone
        if target.availability_zone == zone:
            return self._context.zone_delay_s / 4
        return self._context.zone_delay_s


class ProbeExchange:
    """One probe, its reply and its timeout."""

    def __init__(
        self, context: RunContext, chooser: TargetChooser, target: TargetInfo
    ) -> None:
        self._context = context
        self._chooser = chooser
        self._agent = context.agents_by_address[target.address]
        self._answered = False

    def start(self, hop_s: float) -> None:
        """Send the probe; `hop_s` is the delay one way."""
        delay_s = hop_s + self._context.random.uniform(0, PROBE_JITTER_S)
        self._context.timers.call_after(delay_s, lambda: self._reply(hop_s))
        self._context.timers.call_after(PROBE_TIMEOUT_S, self._time_out)

    def _reply(self, hop_s: float) -> None:
        if self._agent.back_end.is_dead:
            return
        reply = self._agent.load()
        self._context.timers.call_after(hop_s, lambda: self._receive(reply))

    def _receive(self, reply: ProbeReply) -> None:
        self._answered = True
        self._chooser.record_probe(reply)

    def _time_out(self) -> None:
        if not self._answered:
            self._chooser.record_outcome(
                self._agent.target.target_id, succeeded=False
            )


@dataclass(slots=True)
class CallerFlow:
    """A flow of the library; calls are `waiting` until it is open."""

    flow_id: int
    token: bytes | None = None
    waiting: list['Call'] = field(default_factory=list)


class LibraryCaller:
    """The callers of all customers, each with a retry budget."""

    def __init__(self, context: RunContext) -> None:
        self.context = context
        self.budgets_by_customer: dict[int, RetryBudget] = {}
        self._flows_by_group: dict[int, CallerFlow] = {}

    def start(self, request: RequestSpec) -> None:
        """Send a request and limit it by its deadline."""
        call = Call(self, request)
        self.context.timers.call_after(
            request.operation.deadline_s, call.time_out
        )
        budget = self.budgets_by_customer.setdefault(
            request.customer_id, RetryBudget(RETRY_SHARE)
        )
        budget.record_request()
        self.attempt(call)

    def attempt(self, call: 'Call') -> None:
        """Send the request on its flow, opening one if needed."""
        if call.ended:
            return
        group = call.request.flow_id
        flow = self._flows_by_group.get(group)
        if flow is None:
            flow_id = group
            if group in self.context.request_log.owners_by_flow:
                flow_id = self.context.random.getrandbits(_FLOW_ID_BITS)
            flow = CallerFlow(flow_id, waiting=[call])
            self._flows_by_group[group] = flow
            self._send_open(call.request, flow)
        elif flow.token is None:
            flow.waiting.append(call)
        else:
            self._send(call, flow)

    def drop_flow(self, request: RequestSpec) -> None:
        """Remove the flow, so that the next request opens a new one."""
        self._flows_by_group.pop(request.flow_id, None)

    def _send_open(self, request: RequestSpec, flow: CallerFlow) -> None:
        if flow.token is not None or not flow.waiting:
            return
        opening = Opening(flow.flow_id, partial(self._answer_open, flow))
        self.context.fabric.spray(
            lambda balancer: balancer.receive_open(request, opening)
        )
        self.context.timers.call_after(
            OPEN_TIMEOUT_S, lambda: self._send_open(request, flow)
        )

    def _answer_open(self, flow: CallerFlow, token: bytes | None) -> None:
        self.context.timers.call_after(
            self.context.client_delay_s, partial(self._accept, flow, token)
        )

    def _accept(self, flow: CallerFlow, token: bytes | None) -> None:
        if token is None or flow.token is not None:
            return
        flow.token = token
        waiting = flow.waiting
        flow.waiting = []
        for call in waiting:
            self._send(call, flow)

    def _send(self, call: 'Call', flow: CallerFlow) -> None:
        RequestTransmission(self.context, call, flow).send()

    def acknowledge(self, request: RequestSpec, flow: CallerFlow) -> None:
        """Send the packet that acknowledges an answer."""
        token = flow.token or b''
        self.context.fabric.spray(
            lambda balancer: balancer.route(
                request.service, flow.flow_id, token
            )
        )


class RequestTransmission:
    """Sends a request on a flow until the agent has received it."""

    def __init__(
        self, context: RunContext, call: 'Call', flow: CallerFlow
    ) -> None:
        self._context = context
        self._call = call
        self._flow = flow
        self._attempt = Attempt(
            call.request, partial(call.reply, flow, context.timers.now())
        )
        self._arrived = False
        self._sends = 0

    def send(self) -> None:
        """Send or retransmit; after `MAX_SENDS`, move to a new flow."""
        if self._arrived:
            return
        if self._sends >= MAX_SENDS:
            self._call.retry_on_new_flow()
            return
        self._sends += 1
        self._context.fabric.spray(self._deliver)
        self._context.timers.call_after(OPEN_TIMEOUT_S, self.send)

    def _deliver(self, balancer: Balancer) -> None:
        token = self._flow.token or b''
        service = self._call.request.service
        agent = balancer.route(service, self._flow.flow_id, token)
        if agent is None or agent.back_end.is_dead or self._arrived:
            return
        self._arrived = True
        agent.receive_request(self._attempt)


class Call:
    """One request of a caller, with its attempts."""

    def __init__(self, caller: LibraryCaller, request: RequestSpec) -> None:
        self.request = request
        self._caller = caller
        self._retries = 0
        self.ended = False

    def time_out(self) -> None:
        """End the call at its deadline."""
        self._end(RequestResult.TIMED_OUT, 0.0)

    def retry_on_new_flow(self) -> None:
        """Retry on a new flow; the target did not get the request."""
        self._caller.drop_flow(self.request)
        self._retry(0.0)

    def reply(
        self, flow: CallerFlow, sent_s: float, reason: RefusalReason | None
    ) -> None:
        """Handle the outcome of an attempt that was sent at `sent_s`."""
        if reason is None:
            self._caller.acknowledge(self.request, flow)
            self._end(RequestResult.ANSWERED, 0.0)
            return
        self._caller.drop_flow(self.request)
        self._handle_refusal(reason, self._caller.context.timers.now() - sent_s)

    def _handle_refusal(
        self, reason: RefusalReason, refusal_delay_s: float
    ) -> None:
        context = self._caller.context
        budget = self._caller.budgets_by_customer[self.request.customer_id]
        if reason == RefusalReason.draining:
            # As in the library, a new flow after draining costs no budget.
            self._retry(0.0)
        elif budget.try_retry():
            longest_s = BACKOFF_S * 2**self._retries
            self._retries += 1
            self._retry(context.random.uniform(0.0, longest_s))
        else:
            self._end(RequestResult.REFUSED, refusal_delay_s)

    def _retry(self, delay_s: float) -> None:
        if not self.ended:
            self._caller.context.timers.call_after(
                delay_s, lambda: self._caller.attempt(self)
            )

    def _end(self, result: RequestResult, refusal_delay_s: float) -> None:
        if self.ended:
            return
        self.ended = True
        self._caller.context.request_log.outcomes.append(
            RequestOutcome(
                self.request,
                result,
                self._caller.context.timers.now(),
                refusal_delay_s,
            )
        )

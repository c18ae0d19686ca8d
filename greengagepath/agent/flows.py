"""State machine of an agent, without I/O.

The owner passes datagrams to `receive` and calls `tick` every `TICK_S`.
It runs the requests that `scheduler.next_work` returns, passes their
outcomes to `scheduler.complete`, and sends the datagrams that
`take_outgoing` and `answer_parts` return.
"""

from collections import Counter
from collections.abc import Iterator
from random import Random

from result import Err, Ok

from ..admission.gate import AdmissionGate
from ..admission.retry_budget import RetryBudget
from ..foundation.timers import TimerService
from ..generated.messages import Service
from ..protocol.envelopes import Envelope, open_envelope
from ..protocol.packets import (
    Address,
    DropReason,
    Kind,
    decode_service_datagram,
)
from ..protocol.tags import KeyRing
from ..protocol.tokens import TokenClaims, verify_token
from .answer_transfers import AnswerTransfers
from .flow_table import FlowTable
from .openings import Openings
from .operation_match import ServiceView
from .outcomes import AgentContext, OutcomeReporter
from .replay_windows import ReplayWindows
from .replies import AgentIdentity, Arrival, Outgoing, Replies
from .requests import FlowRequests
from .requests_table import RequestTable

TICK_S = 0.01
SWEEP_S = 5.0
# Limit of the bytes of kept answers, in answers of the largest size.
MAX_KEPT_ANSWERS = 2
# Kinds whose sender waits for the outcome of a request.
_EXPECT_OUTCOME = frozenset((Kind.REQUEST, Kind.CANCEL, Kind.PING))


class AgentFlows:
    """The flows and requests of one agent.

    `drops` counts dropped datagrams by reason. `events` counts flows
    that were opened or handed off, and answers whose transfer failed.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        keys: KeyRing,
        timers: TimerService,
        service: Service,
        random: Random,
    ) -> None:
        limits = service.limits
        self.drops: Counter[DropReason] = Counter()
        self.events: Counter[str] = Counter()
        self.flow_table = FlowTable(timers, limits.max_flows)
        self.request_table = RequestTable(
            self.flow_table,
            limits.request_records,
            MAX_KEPT_ANSWERS * limits.max_answer_bytes,
        )
        self.transfers = AnswerTransfers(timers)
        self.gate = AdmissionGate(timers, limits)
        self._identity = identity
        self._keys = keys
        self._timers = timers
        self._last_sweep_s = timers.now()
        self.replay_windows = ReplayWindows()
        self._replies = Replies(identity, keys, self.flow_table)
        self._context = AgentContext(
            timers=timers,
            random=random,
            gate=self.gate,
            request_table=self.request_table,
            transfers=self.transfers,
            flow_table=self.flow_table,
            replies=self._replies,
            budget=RetryBudget(limits.retry_share),
            view=ServiceView(service),
        )
        self.reporter = OutcomeReporter(self._context)
        self._requests = FlowRequests(
            self._context, self.reporter, limits, self.drops
        )
        self.scheduler = self._requests.scheduler
        self.reassembly = self._requests.reassembly
        self._openings = Openings(
            self._context, keys, self.scheduler, self.drops, self.events
        )
        self.replace_service(service)

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused."""
        return self.gate.is_draining

    @property
    def is_idle(self) -> bool:
        """Whether no request or answer is in progress.

        Requests being received, queued or running and answers being
        sent are in progress.
        """
        return not (
            len(self.scheduler) or len(self.transfers) or len(self.reassembly)
        )

    @property
    def view(self) -> ServiceView:
        """Lookups in the current configuration of the service."""
        return self._context.view

    def replace_service(self, service: Service) -> None:
        """Apply a new configuration of the service."""
        limits = service.limits
        view = ServiceView(service)
        self._context.view = view
        self._context.budget.replace_share(limits.retry_share)
        self.gate.replace_limits(limits, view.shares_by_customer)
        self.flow_table.max_active = limits.max_flows
        self.request_table.records.max_records = limits.request_records
        self.request_table.max_answer_bytes = (
            MAX_KEPT_ANSWERS * limits.max_answer_bytes
        )
        self._requests.replace_limits(limits)

    def start_draining(self) -> None:
        """Refuse requests that do not run yet, and hand off new flows."""
        self._requests.start_draining()

    def stop_draining(self) -> None:
        """Accept flows and requests again."""
        self.gate.stop_draining()

    def receive(self, sealed: bytes, source: Address) -> None:
        """Process a datagram; never raises on bad input.

        `sealed` is an envelope with its tag, `source` the address of the
        socket that sent it.
        """
        match open_envelope(self._keys, sealed):
            case Err(reason):
                self.drops[reason] += 1
            case Ok((envelope, encoded)):
                self._receive_opened(envelope, encoded, source)

    def tick(self) -> None:
        """Send due ACKs and retransmissions, and expire old state."""
        now_s = self._timers.now()
        self._requests.send_due_acks()
        self.scheduler.refuse_late()
        for transfer in self.transfers.check_due():
            self.events['answers_abandoned'] += 1
            self.request_table.records.settle(transfer.record)
        if now_s >= self._last_sweep_s + SWEEP_S:
            self._last_sweep_s = now_s
            self.scheduler.failure_rate.decay()
            self.reassembly.expire()
            self.flow_table.expire()
            self.request_table.records.expire()

    def take_outgoing(self) -> list[Outgoing]:
        """Return the datagrams to send, except parts of answers.

        Each one is returned once.
        """
        return self._replies.take_outgoing()

    def answer_parts(self, max_count: int) -> Iterator[Outgoing]:
        """Yield at most `max_count` parts of answers to send now."""
        for transfer, datagram in self.transfers.next_parts(max_count):
            yield from self._replies.to_flow(transfer.route, datagram)

    def _receive_opened(
        self, envelope: Envelope, encoded: bytes, source: Address
    ) -> None:
        if not self.replay_windows.accept(envelope.sender, envelope.sequence):
            self.drops[DropReason.REPLAYED] += 1
            return
        match decode_service_datagram(encoded):
            case Err(reason):
                self.drops[reason] += 1
            case Ok(datagram):
                self._dispatch(Arrival(envelope, datagram), source)

    def _dispatch(self, arrival: Arrival, source: Address) -> None:
        if arrival.datagram.service_id != self._identity.service_id:
            self.drops[DropReason.UNKNOWN_SERVICE] += 1
            return
        match arrival.datagram.kind:
            case Kind.OPEN:
                self._openings.receive_open(arrival)
            case Kind.PROBE:
                self._openings.receive_probe(arrival, source)
            case Kind.REQUEST | Kind.ANSWER_ACK | Kind.CANCEL | Kind.PING:
                self._check_token(arrival)
            case _:
                self.drops[DropReason.UNKNOWN_KIND] += 1

    def _check_token(self, arrival: Arrival) -> None:
        datagram = arrival.datagram
        claims = verify_token(
            self._keys, datagram.service_id, datagram.flow_id, datagram.token
        )
        if claims is None or claims.address != self._identity.address:
            self.drops[DropReason.BAD_TOKEN] += 1
        elif self._is_history_lost(claims, datagram.flow_id):
            if datagram.kind in _EXPECT_OUTCOME:
                self._replies.reply(arrival, Kind.UNKNOWN_OUTCOME)
        else:
            self._receive_in_flow(arrival, claims)

    def _is_history_lost(self, claims: TokenClaims, flow_id: int) -> bool:
        """Return whether the agent may not know all requests of the flow."""
        if claims.incarnation != self._identity.incarnation:
            return True
        has_entry = self.flow_table.find(flow_id) is not None
        return not (
            has_entry or self.flow_table.is_known_unused(claims.issued_s)
        )

    def _receive_in_flow(self, arrival: Arrival, claims: TokenClaims) -> None:
        datagram = arrival.datagram
        entry = self.flow_table.touch(
            datagram.flow_id, claims.issued_s, arrival.envelope.caller
        )
        if entry is None:
            if datagram.kind in _EXPECT_OUTCOME:
                # The flow has begun no request and will never get an entry.
                self._replies.refuse_flow(arrival)
            return
        self._requests.receive(
            arrival,
            may_begin=self.flow_table.may_begin_requests(claims.issued_s),
        )

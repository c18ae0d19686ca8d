"""Datagrams that need no accepted flow: OPEN and PROBE."""

import struct
from collections import Counter

from ..generated.messages import RefusalReason
from ..protocol.packets import TOKEN_BYTES, Address, DropReason, Kind
from ..protocol.tags import KeyRing
from ..protocol.tokens import TokenClaims, issue_token
from ..routing.choice import ProbeState
from .outcomes import AgentContext
from .replies import Arrival
from .scheduler import WorkScheduler

MAX_HAND_OFFS = 2
# Above this failure rate, probe replies report the back end as failing.
FAILING_RATE = 0.5
# Requests in flight, requests queued, latency estimate in microseconds,
# state.
_PROBE_REPLY = struct.Struct('!HHIB')
_MAX_U16 = 0xFFFF
_MAX_U32 = 0xFFFFFFFF
_MICROSECONDS = 1000000


class Openings:
    """Accepts flows, hands them off or refuses them; answers probes.

    `drops` and `events` are counters shared with the owner.
    """

    def __init__(
        self,
        context: AgentContext,
        keys: KeyRing,
        scheduler: WorkScheduler,
        drops: Counter[DropReason],
        events: Counter[str],
    ) -> None:
        self._context = context
        self._keys = keys
        self._scheduler = scheduler
        self._drops = drops
        self._events = events

    def receive_open(self, arrival: Arrival) -> None:
        """Accept, hand off to an alternate, or refuse an OPEN."""
        if len(arrival.datagram.body) < TOKEN_BYTES:
            # The ACCEPT has a token as its body. It must not be longer
            # than the OPEN, which may have a forged source address.
            self._drops[DropReason.TRUNCATED] += 1
        elif arrival.envelope.hops > MAX_HAND_OFFS:
            self._drops[DropReason.TOO_MANY_HOPS] += 1
        else:
            reason = self._refusal_reason()
            if reason is None:
                self._accept(arrival)
            else:
                self._hand_off_or_refuse(arrival, reason)

    def receive_probe(self, arrival: Arrival, source: Address) -> None:
        """Send load and state to the socket at `source`."""
        load = self._context.gate.load()
        state = ProbeState.ACCEPTING
        if self._scheduler.failure_rate.rate > FAILING_RATE:
            state = ProbeState.FAILING
        if self._context.gate.is_draining:
            state = ProbeState.DRAINING
        body = _PROBE_REPLY.pack(
            min(load.in_flight, _MAX_U16),
            min(load.queued, _MAX_U16),
            min(int(load.latency_s * _MICROSECONDS), _MAX_U32),
            state,
        )
        self._context.replies.reply_probe(arrival, source, body)

    def _refusal_reason(self) -> RefusalReason | None:
        if self._context.gate.is_draining:
            return RefusalReason.draining
        if self._context.gate.load().is_full:
            return RefusalReason.queue_full
        return (
            RefusalReason.table_full
            if self._context.flow_table.is_full
            else None
        )

    def _hand_off_or_refuse(
        self, arrival: Arrival, reason: RefusalReason
    ) -> None:
        envelope = arrival.envelope
        if envelope.alternates and envelope.hops < MAX_HAND_OFFS:
            self._events['handed_off'] += 1
            self._context.replies.hand_off(arrival)
        else:
            self._context.replies.refuse_open(arrival, reason)

    def _accept(self, arrival: Arrival) -> None:
        self._events['opened'] += 1
        identity = self._context.replies.identity
        token = issue_token(
            self._keys,
            identity.service_id,
            arrival.datagram.flow_id,
            TokenClaims(
                address=identity.address,
                incarnation=identity.incarnation,
                issued_s=int(self._context.timers.now()),
            ),
        )
        self._context.replies.reply(arrival, Kind.ACCEPT, token)

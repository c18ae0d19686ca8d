"""Simulates an agent, its callers and its back end in virtual time."""

import itertools
import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from greengagepath.agent.flows import TICK_S, AgentFlows
from greengagepath.agent.replies import AgentIdentity
from greengagepath.agent.work import Answered, NotRun, OutcomeUnknown
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import (
    Answer,
    Limits,
    Refusal,
    Request,
    Service,
)
from greengagepath.protocol.acks import encode_final_ack
from greengagepath.protocol.codec import decode_body, encode_body
from greengagepath.protocol.envelopes import (
    Envelope,
    open_envelope,
    seal_envelope,
)
from greengagepath.protocol.packets import (
    FABRIC_HEADER_BYTES,
    Kind,
    ServiceDatagram,
    decode_fabric_header,
    decode_service_datagram,
)
from greengagepath.protocol.tags import Key, KeyRing
from greengagepath.protocol.transfer import (
    PART_BYTES,
    PartReceiver,
    count_parts,
)

SERVICE_ID = 7
SERVICE_ADDRESS = ('192.0.2.7', 80)
AGENT_ADDRESS = ('10.0.0.1', 9000)
OTHER_AGENT = ('10.0.0.2', 9000)
FABRIC_ADDRESS = ('10.0.0.9', 9999)
BALANCER = ('10.0.0.3', 9000)
SMALL = Limits(
    slots=2,
    queue_length=3,
    max_flows=6,
    max_request_bytes=8192,
    max_answer_bytes=8192,
    request_records=6,
)


def build_service(limits=SMALL, **fields):
    return Service(
        name='orders',
        service_id=SERVICE_ID,
        host=SERVICE_ADDRESS[0],
        port=SERVICE_ADDRESS[1],
        limits=limits,
        **fields,
    )


@dataclass
class SentRequest:
    """Fields of a request that a caller sends."""

    request_id: bytes
    idempotent: bool = False
    parts: int = 1
    deadline_ms: int = 60000

    def payload(self):
        request = Request(
            request_id=self.request_id,
            customer_id=1,
            operation='order',
            idempotent=self.idempotent,
            deadline_ms=self.deadline_ms,
            method='POST',
            path='/orders',
            body=b'b' * (PART_BYTES * (self.parts - 1)),
        )
        return encode_body(request)


@dataclass
class SentFlow:
    """State of an accepted flow at its caller.

    `callers` holds all addresses that the caller has used.
    """

    flow_id: int
    token: bytes
    caller: tuple
    callers: set
    next_number: int = 1


class World:
    """Runs an agent and records the datagrams and runs of requests.

    Raises AssertionError if the agent starts a request while draining
    or sends a datagram from a wrong address or to the wrong caller.
    """

    def __init__(self, limits=SMALL, service=None):
        self.timers = VirtualTimerService(1000.0)
        self.keys = KeyRing([Key(1, b'k' * 32)], time.time)
        self.service = service or build_service(limits)
        self.incarnation = 0
        self.sequence = 0
        self.numbers = itertools.count(1)
        self.flows = []
        # Sent requests and received replies by (flow id, request number).
        self.requests_by_attempt = {}
        self.replies_by_attempt = {}
        self.receivers_by_attempt = {}
        self.answers_by_attempt = {}
        self.started_by_attempt = Counter()
        self.not_run_by_attempt = Counter()
        self.running = []
        self.cancelled = []
        self.sent = []
        self.sealed = []
        self.to_peers = []
        self.outcomes = []
        self.restart()

    def restart(self):
        """Replace the agent; running requests get no outcome."""
        self.incarnation += 1
        self.running = []
        self.draining = False
        self.agent = AgentFlows(
            AgentIdentity(
                service_id=SERVICE_ID,
                target_id='target-1',
                address=AGENT_ADDRESS,
                fabric=FABRIC_ADDRESS,
                incarnation=self.incarnation,
                sender=77,
            ),
            self.keys,
            self.timers,
            self.service,
            Random(1),
        )

    def send(self, datagram, caller, **envelope):
        """Deliver a datagram in an envelope, as a balancer does."""
        self.sent.append((datagram, caller))
        self.sealed.append(self.seal(datagram, caller, **envelope))
        self.receive(self.sealed[-1])

    def seal(self, datagram, caller, **envelope):
        self.sequence += 1
        wrapped = Envelope(
            5, self.sequence, caller, SERVICE_ADDRESS, **envelope
        )
        return seal_envelope(self.keys, wrapped, datagram.encode())

    def receive(self, sealed):
        self.agent.receive(sealed, BALANCER)
        self.pump()

    def open_flow(self, caller=('198.51.100.1', 4000), **envelope):
        """Send an OPEN; return the accepted flow, or None."""
        flow_id = next(self.numbers)
        known = len(self.flows)
        opening = ServiceDatagram(
            Kind.OPEN, SERVICE_ID, flow_id, body=bytes(32)
        )
        self.send(opening, caller, **envelope)
        return self.flows[-1] if len(self.flows) > known else None

    def datagram(self, flow, kind, number, body=b'', part=0, count=0):
        return ServiceDatagram(
            kind,
            SERVICE_ID,
            flow.flow_id,
            flow.token,
            number,
            part,
            count,
            body=body,
        )

    def send_in_flow(self, flow, kind, number, body=b''):
        self.send(self.datagram(flow, kind, number, body), flow.caller)

    def request(self, flow, parts=1, request=None, **fields):
        """Send a request; return its (flow id, request number)."""
        if request is None:
            request = SentRequest(
                next(self.numbers).to_bytes(16, 'big'), parts=parts, **fields
            )
        number = flow.next_number
        flow.next_number += 1
        attempt = (flow.flow_id, number)
        self.requests_by_attempt[attempt] = request
        for datagram in self.request_datagrams(flow, number, request):
            self.send(datagram, flow.caller)
        return attempt

    def request_datagrams(self, flow, number, request):
        payload = request.payload()
        count = count_parts(len(payload))
        return [
            self.datagram(
                flow,
                Kind.REQUEST,
                number,
                payload[part * PART_BYTES : (part + 1) * PART_BYTES],
                part,
                count,
            )
            for part in range(count)
        ]

    def flow_of(self, attempt):
        return next(flow for flow in self.flows if flow.flow_id == attempt[0])

    def acknowledge(self, attempt):
        receiver = self.receivers_by_attempt[attempt]
        self.send_in_flow(
            self.flow_of(attempt),
            Kind.ANSWER_ACK,
            attempt[1],
            encode_final_ack(receiver.part_count),
        )

    def finish(self, position, kind, body=b''):
        """End a run; `kind` is 'answered', 'not_run' or 'unknown'."""
        work = self.running.pop(position % len(self.running))
        match kind:
            case 'answered':
                outcome = Answered(200, body=body)
            case 'not_run':
                self.not_run_by_attempt[tuple(work.record.attempt)] += 1
                outcome = NotRun('refused connection')
            case 'unknown':
                outcome = OutcomeUnknown('reset')
        self.outcomes.append(outcome)
        self.agent.scheduler.complete(work, outcome)
        self.pump()

    def drain(self):
        self.draining = True
        self.agent.start_draining()
        self.pump()

    def undrain(self):
        self.draining = False
        self.agent.stop_draining()
        self.pump()

    def advance(self, duration_s):
        """Advance the time in steps; the agent ticks after each one."""
        end_s = self.timers.now() + duration_s
        while self.timers.now() < end_s:
            left_s = end_s - self.timers.now()
            self.timers.advance(min(max(left_s / 50, TICK_S), left_s))
            self.agent.tick()
            self.pump()

    def pump(self):
        work = self.agent.scheduler.next_work()
        while work is not None:
            if self.draining:
                raise AssertionError('a draining target started new work')
            self.running.append(work)
            self.started_by_attempt[tuple(work.record.attempt)] += 1
            work = self.agent.scheduler.next_work()
        self.cancelled += self.agent.scheduler.take_cancelled()
        for outgoing in self.agent.take_outgoing():
            self._deliver(outgoing)
        for part in self.agent.answer_parts(100):
            self._deliver(part)

    def runs_of_request(self):
        """Return the number of runs of each non-idempotent request."""
        runs = Counter()
        for attempt, started in self.started_by_attempt.items():
            request = self.requests_by_attempt[attempt]
            if not request.idempotent:
                runs[request.request_id] += (
                    started - self.not_run_by_attempt[attempt]
                )
        return runs

    def refused_attempts(self):
        return {
            attempt
            for attempt, replies in self.replies_by_attempt.items()
            if any(isinstance(reply, Refusal) for reply in replies)
        }

    def _deliver(self, outgoing):
        if outgoing.address != FABRIC_ADDRESS:
            _, datagram = open_envelope(self.keys, outgoing.payload).unwrap()
            decoded = decode_service_datagram(datagram).unwrap()
            self.to_peers.append((outgoing, decoded))
            return
        header = decode_fabric_header(outgoing.payload).unwrap()
        datagram = decode_service_datagram(
            outgoing.payload[FABRIC_HEADER_BYTES:]
        ).unwrap()
        if header.source != SERVICE_ADDRESS:
            raise AssertionError(f'sent from {header.source}')
        self._receive_at_caller(header.destination, datagram)

    def _receive_at_caller(self, caller, datagram):
        if datagram.kind is Kind.ACCEPT:
            # A caller keeps the first of several ACCEPTs.
            if all(flow.flow_id != datagram.flow_id for flow in self.flows):
                self.flows.append(
                    SentFlow(datagram.flow_id, datagram.body, caller, {caller})
                )
            return
        attempt = (datagram.flow_id, datagram.request_number)
        replies = self.replies_by_attempt.setdefault(attempt, [])
        if datagram.token == bytes(32):
            # Without a token, it is the refusal of an OPEN.
            replies.append(Kind.REFUSE)
            return
        flow = self.flow_of(attempt)
        if caller not in flow.callers or datagram.token != flow.token:
            raise AssertionError(f'{datagram.kind!r} for another caller')
        if datagram.kind is Kind.REFUSE:
            replies.append(decode_body(datagram.body, Refusal).unwrap())
        elif datagram.kind is Kind.ANSWER:
            self._collect(attempt, datagram)
        else:
            replies.append(datagram.kind)

    def _collect(self, attempt, datagram):
        receiver = self.receivers_by_attempt.setdefault(
            attempt, PartReceiver(datagram.part_count)
        )
        receiver.accept(
            datagram.part,
            datagram.part_count,
            datagram.body,
            self.timers.now(),
        )
        if receiver.is_complete:
            answer = decode_body(receiver.payload(), Answer).unwrap()
            self.answers_by_attempt[attempt] = answer

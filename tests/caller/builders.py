"""Fake targets and a simulated network in virtual time."""

import heapq
from collections import Counter
from random import Random

from greengagepath.admission.retry_budget import RetryBudget
from greengagepath.caller.call_types import (
    CallLimits,
    CallRequest,
    CallSetup,
    ServiceAddress,
)
from greengagepath.caller.calls import Call
from greengagepath.generated.messages import (
    Answer,
    Refusal,
    Request,
)
from greengagepath.protocol.acks import decode_ack, encode_ack, encode_final_ack
from greengagepath.protocol.codec import decode_body, encode_body
from greengagepath.protocol.packets import (
    Kind,
    ServiceDatagram,
    decode_service_datagram,
)
from greengagepath.protocol.transfer import PartReceiver, PartSender

SERVICE = ServiceAddress(7, ('192.0.2.7', 80))
ONE_WAY_S = 0.001


def build_setup(seed=1, retry_share=1.0, **limits):
    return CallSetup(
        Random(seed), RetryBudget(retry_share), CallLimits(**limits)
    )


def build_request(number=1, **fields):
    values = {
        'request_id': number.to_bytes(16),
        'customer_id': 3,
        'method': 'POST',
        'path': '/orders',
    }
    return CallRequest(**(values | fields))


class FakeTarget:
    """A target that runs each request at most once.

    Its answers have a body of `answer_bytes` bytes, `duration_s` seconds
    after the request is complete. `refusals` are the reasons with which
    it refuses the next flows or requests. With `has_restarted` it
    replies UNKNOWN_OUTCOME to each request.
    """

    def __init__(self, name, answer_bytes=10, duration_s=0.01):
        self.name = name
        self.answer_bytes = answer_bytes
        self.duration_s = duration_s
        self.runs = Counter()
        self.refusals = []
        self.has_restarted = False
        self.answers_open = True
        self.receivers = {}
        self.senders = {}
        self.resends = {}
        self.cancelled = []

    def token(self):
        return self.name.encode().ljust(32, b'.')

    def answer_body(self, request_id):
        return Random(request_id).randbytes(self.answer_bytes)

    def receive(self, datagram, now_s, reply, schedule):
        key = (datagram.flow_id, datagram.request_number)
        match datagram.kind:
            case Kind.OPEN if self.answers_open:
                if self.refusals:
                    return self.refuse(datagram, reply)
                reply(self.reply_to(datagram, Kind.ACCEPT, self.token()))
            case Kind.PING:
                reply(self.reply_to(datagram, Kind.PONG))
            case Kind.REQUEST:
                self.receive_part(key, datagram, now_s, reply, schedule)
            case Kind.ANSWER_ACK if key in self.senders:
                ack = decode_ack(datagram.body).unwrap()
                self.senders[key].acknowledge(ack, now_s)
                self.send_parts(key, datagram, now_s, reply)
            case Kind.CANCEL:
                self.cancelled.append(key)
        return None

    def refuse(self, datagram, reply):
        refusal = Refusal(reason=self.refusals.pop(0))
        body = encode_body(refusal)
        reply(self.reply_to(datagram, Kind.REFUSE, body))

    def receive_part(self, key, datagram, now_s, reply, schedule):
        if self.has_restarted:
            return reply(self.reply_to(datagram, Kind.UNKNOWN_OUTCOME))
        if key in self.senders:
            body = encode_final_ack(datagram.part_count)
            return reply(self.reply_to(datagram, Kind.REQUEST_ACK, body))
        receiver = self.receivers.setdefault(
            key, PartReceiver(datagram.part_count)
        )
        was_complete = receiver.is_complete
        receiver.accept(
            datagram.part, datagram.part_count, datagram.body, now_s
        )
        body = encode_ack(receiver.build_ack())
        reply(self.reply_to(datagram, Kind.REQUEST_ACK, body))
        if receiver.is_complete and not was_complete:
            if self.refusals:
                return self.refuse(datagram, reply)
            request = decode_body(receiver.payload(), Request).unwrap()
            self.runs[request.request_id] += 1
            schedule(
                self.duration_s,
                lambda when_s: self.answer(
                    key, request, datagram, when_s, reply
                ),
            )
        return None

    def answer(self, key, request, datagram, now_s, reply):
        answer = Answer(
            request_id=request.request_id,
            status=200,
            body=self.answer_body(request.request_id),
        )
        self.senders[key] = PartSender(encode_body(answer), now_s)
        self.resends[key] = lambda when_s: self.send_parts(
            key, datagram, when_s, reply
        )
        self.resends[key](now_s)

    def due_s(self):
        due = [sender.due_s() for sender in self.senders.values()]
        return [moment for moment in due if moment is not None]

    def check_timeouts(self, now_s):
        for key, sender in self.senders.items():
            if sender.check_timeout(now_s) and not sender.has_failed(now_s):
                self.resends[key](now_s)

    def send_parts(self, key, datagram, now_s, reply):
        sender = self.senders[key]
        part = sender.next_part(now_s)
        while part is not None:
            reply(
                self.reply_to(
                    datagram,
                    Kind.ANSWER,
                    sender.body(part),
                    part,
                    sender.part_count,
                )
            )
            part = sender.next_part(now_s)

    def reply_to(self, datagram, kind, body=b'', part=0, part_count=0):
        return ServiceDatagram(
            kind=kind,
            service_id=datagram.service_id,
            flow_id=datagram.flow_id,
            token=datagram.token,
            request_number=datagram.request_number,
            part=part,
            part_count=part_count,
            body=body,
        ).encode()


def pass_unchanged(encoded):
    return [encoded]


class CallWorld:
    """Runs one call against targets; each OPEN reaches the next one.

    The network loses the share `loss` of the datagrams, repeats 1 in 50,
    and delays each by up to `spread_s` seconds more. Datagrams from and
    to `silent_ports` are lost.
    """

    def __init__(self, call, targets, seed=1, loss=0.0, spread_s=0.0):
        self.call = call
        self.targets = targets
        self.targets_by_token = {each.token(): each for each in targets}
        self.random = Random(seed)
        self.loss = loss
        self.spread_s = spread_s
        self.now_s = 0.0
        self.ended_s = 0.0
        self.events = []
        self.order = 0
        self.open_count = 0
        self.port = 0
        self.silent_ports = set()
        self.sent_by_kind = Counter()
        # Called with each datagram on its way to the caller.
        self.intercept = pass_unchanged

    def schedule(self, delay_s, action):
        self.order += 1
        heapq.heappush(self.events, (self.now_s + delay_s, self.order, action))

    def transmit(self, action):
        for _ in range(2 if self.random.randrange(50) == 0 else 1):
            if self.random.random() >= self.loss:
                spread_s = self.random.random() * self.spread_s
                self.schedule(ONE_WAY_S + spread_s, action)

    def send_to_target(self, encoded):
        port = self.port
        self.sent_by_kind[decode_service_datagram(encoded).unwrap().kind] += 1
        self.transmit(
            lambda when_s: self.deliver_to_target(encoded, port, when_s)
        )

    def deliver_to_target(self, encoded, port, now_s):
        if port in self.silent_ports:
            return
        datagram = decode_service_datagram(encoded).unwrap()
        if datagram.kind is Kind.OPEN:
            target = self.targets[self.open_count % len(self.targets)]
            self.open_count += 1
        else:
            target = self.targets_by_token[datagram.token]
        target.receive(
            datagram,
            now_s,
            lambda reply: self.send_to_caller(reply, port),
            self.schedule,
        )

    def send_to_caller(self, encoded, port):
        for datagram in self.intercept(encoded):
            self.transmit(
                lambda when_s, sent=datagram: self.deliver_to_caller(
                    sent, port, when_s
                )
            )

    def deliver_to_caller(self, encoded, port, now_s):
        if port == self.port and port not in self.silent_ports:
            self.call.receive(encoded, now_s)

    def step(self):
        final_datagrams = self.call.check_due(self.now_s)
        if self.call.pop_port_move():
            self.port += 1
        for datagram in final_datagrams + self.call.datagrams(self.now_s):
            self.send_to_target(datagram)
        if self.call.outcome is None:
            due_s = [self.call.due_s()] + [each[0] for each in self.events[:1]]
            for target in self.targets:
                due_s.extend(target.due_s())
            self.now_s = max(self.now_s, min(due_s))
        while self.events and self.events[0][0] <= self.now_s:
            heapq.heappop(self.events)[2](self.now_s)
        for target in self.targets:
            target.check_timeouts(self.now_s)

    def run(self, until_s=60.0):
        while self.call.outcome is None and self.now_s < until_s:
            self.step()
        self.step()
        self.ended_s = self.now_s
        while self.events:
            self.now_s = max(self.now_s, self.events[0][0])
            heapq.heappop(self.events)[2](self.now_s)
        return self.call.outcome


def build_world(
    targets, request=None, setup=None, deadline_s=10.0, flow=None, **options
):
    setup = setup or build_setup()
    request = request or build_request()
    call = Call(SERVICE, request, setup, deadline_s, 0.0, flow)
    return CallWorld(call, targets, **options)

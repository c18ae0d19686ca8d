"""Tests the client against a fake target on 127.0.0.1."""

import importlib
import socket
import time

import gevent
from gevent.socket import wait_read
from testtools import TestCase

from greengagepath.caller.call_types import CallErrorKind, ServiceAddress
from greengagepath.caller.client import Client, create_setup
from greengagepath.protocol.packets import Kind, decode_service_datagram

from .builders import FakeTarget


class SocketTarget:
    """Serves a fake target on a UDP socket."""

    def __init__(self, target):
        self.target = target
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(('127.0.0.1', 0))
        self.socket.setblocking(False)
        self.service = ServiceAddress(7, self.socket.getsockname())
        self.silent_ports = set()
        # Latest caller address by flow id.
        self.callers_by_flow_id = {}
        self.greenlets = [gevent.spawn(self.serve), gevent.spawn(self.tick)]

    def serve(self):
        while True:
            wait_read(self.socket.fileno())
            encoded, caller = self.socket.recvfrom(2000)
            datagram = decode_service_datagram(encoded).unwrap()
            if caller[1] in self.silent_ports:
                continue
            flow_id = datagram.flow_id
            self.callers_by_flow_id[flow_id] = caller
            self.target.receive(
                datagram,
                time.monotonic(),
                lambda reply, flow_id=flow_id: self.send(reply, flow_id),
                self.schedule,
            )

    def send(self, reply, flow_id):
        caller = self.callers_by_flow_id[flow_id]
        if caller[1] not in self.silent_ports:
            self.socket.sendto(reply, caller)

    def schedule(self, delay_s, action):
        gevent.spawn_later(delay_s, lambda: action(time.monotonic()))

    def tick(self):
        while True:
            gevent.sleep(0.01)
            self.target.check_timeouts(time.monotonic())

    def close(self):
        gevent.killall(self.greenlets)
        self.socket.close()


class ClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.target = FakeTarget('a', 3000)
        self.server = SocketTarget(self.target)
        self.addCleanup(self.server.close)
        self.client = Client(create_setup(seed=1))
        self.addCleanup(self.client.close)

    def create_request(self):
        return self.client.create_request(1, 'POST', '/orders')

    def test_calls_at_the_same_time(self):
        # Guards against answers that reach another call of the client.
        requests = [self.create_request() for _ in range(50)]
        pending = [
            self.client.start(self.server.service, request, 5.0)
            for request in requests
        ]
        for request, call in zip(requests, pending, strict=True):
            answer = call.wait().unwrap()
            self.assertEqual(request.request_id, answer.request_id)
            self.assertEqual(
                self.target.answer_body(request.request_id), answer.body
            )
        self.assertEqual(50, self.target.runs.total())

    def test_cancellation_reaches_the_target(self):
        # Guards against a target that still runs a request after the
        # caller has cancelled it.
        self.target.duration_s = 5.0
        call = self.client.start(
            self.server.service, self.create_request(), 10.0
        )
        gevent.sleep(0.1)
        call.cancel()
        error = call.wait().unwrap_err()
        gevent.sleep(0.05)
        self.assertEqual(CallErrorKind.CANCELLED, error.kind)
        self.assertTrue(self.target.cancelled)

    def test_cancellation_before_the_start(self):
        # Guards against a call that is sent although it was cancelled
        # before its greenlet first ran.
        call = self.client.start(
            self.server.service, self.create_request(), 10.0
        )
        call.cancel()
        self.assertTrue(call.wait().unwrap_err().not_run)

    def test_silent_port_is_replaced(self):
        # Guards against a request that waits until its deadline because
        # the network drops all datagrams of its local port.
        self.target.duration_s = 0.3
        call = self.client.start(
            self.server.service, self.create_request(), 10.0
        )
        gevent.sleep(0.1)
        self.server.silent_ports.add(
            next(iter(self.server.callers_by_flow_id.values()))[1]
        )
        self.assertTrue(call.wait().is_ok())
        self.assertEqual(1, self.client.setup.events['port_moves'])
        self.assertEqual(1, self.target.runs.total())

    def test_held_flow_carries_many_requests(self):
        # Guards against a held flow that is opened again for each
        # request.
        held = self.client.hold_flow(self.server.service)
        self.addCleanup(held.close)
        pending = [
            self.client.start(
                self.server.service, self.create_request(), 5.0, held
            )
            for _ in range(10)
        ]
        for call in pending:
            self.assertTrue(call.wait().is_ok())
        self.assertEqual(1, self.client.setup.events['flows_opened'])

    def test_lost_last_ack_is_repeated(self):
        # Guards against a target that resends an answer until the
        # transfer times out, because the last ACK was lost.
        lost = []
        receive = self.target.receive

        def drop_first_ack(datagram, *arguments):
            if datagram.kind is Kind.ANSWER_ACK and not lost:
                lost.append(datagram)
                return None
            return receive(datagram, *arguments)

        self.target.receive = drop_first_ack
        outcome = self.client.call(
            self.server.service, self.create_request(), 5.0
        )
        gevent.sleep(0.28)
        self.assertTrue(outcome.is_ok())
        self.assertEqual(1, len(lost))
        for sender in self.target.senders.values():
            self.assertTrue(sender.is_complete)


class PublicNameTest(TestCase):
    def test_programs_import_the_client_by_its_documented_name(self):
        # Guards against programs that fail to import the client after
        # modules of the package have moved.
        module = importlib.import_module('greengagepath.client')
        self.assertIs(Client, module.Client)

"""Runs one agent process with a fake back end, fabric and balancer."""

import os
import socket as plain_socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from gevent import Timeout, killall, sleep, socket, spawn
from gevent.pywsgi import WSGIServer

from greengagepath.caller.call_types import ServiceAddress
from greengagepath.caller.client import Client
from greengagepath.protocol.envelopes import Envelope, seal_envelope
from greengagepath.protocol.packets import (
    FABRIC_HEADER_BYTES,
    decode_fabric_header,
)
from greengagepath.protocol.tags import Key, KeyRing

HOST = '127.0.0.1'
SERVICE_ID = 7
SECRET = b'k' * 32
ROOT = Path(__file__).parents[2]
RUNNER = Path(__file__).with_name('run_agent.py')


def free_port():
    with plain_socket.socket() as bound:
        bound.bind((HOST, 0))
        return bound.getsockname()[1]


class BackEndServer:
    """Back end that counts runs by request id.

    The first path segment selects the behaviour: `health`, `shed`,
    `sleep/<seconds>`, `bytes/<count>`, or anything else for an echo.
    """

    def __init__(self):
        self.runs = Counter()
        self.health_reads = 0
        self.connections_to_drop = 0
        self.server = WSGIServer((HOST, 0), self._answer, log=None)
        self.server.start()

    def _answer(self, environ, start_response):
        _, action, *arguments = environ['PATH_INFO'].split('/')
        if action == 'health':
            self.health_reads += 1
            start_response('200 OK', [('Content-Length', '2')])
            return [b'ok']
        if action == 'shed':
            start_response(
                '503 Service Unavailable',
                [('X-Not-Run', '1'), ('Content-Length', '0')],
            )
            return [b'']
        self.runs[environ['HTTP_X_REQUEST_ID']] += 1
        body = environ['wsgi.input'].read()
        if action == 'sleep':
            sleep(float(arguments[0]))
        if action == 'bytes':
            body = os.urandom(1024) * (int(arguments[0]) // 1024)
        start_response(
            '200 OK',
            [
                ('Content-Length', str(len(body))),
                ('X-Seen-Customer', environ['HTTP_X_CUSTOMER']),
                ('X-Seen-Deadline', environ['HTTP_X_DEADLINE_MS']),
            ],
        )
        return [body]


class FakeBalancer:
    """Plays the balancer and the fabric between callers and the agent.

    Forwards datagrams of callers to the agent in envelopes, and replies
    of the agent to the callers.
    """

    def __init__(self, agent_port):
        self.agent = (HOST, agent_port)
        self.service = _bind()
        self.fabric = _bind()
        self.keys = KeyRing([Key(1, SECRET)], time.time)
        self.sequence = 0
        self.greenlets = [
            spawn(self._forward),
            spawn(self._deliver),
        ]

    @property
    def address(self):
        return ServiceAddress(SERVICE_ID, self.service.getsockname())

    def close(self):
        killall(self.greenlets)
        self.service.close()
        self.fabric.close()

    def _forward(self):
        while True:
            datagram, caller = self.service.recvfrom(2048)
            self.sequence += 1
            envelope = Envelope(
                sender=1,
                sequence=self.sequence,
                caller=caller,
                service=self.service.getsockname(),
            )
            self.fabric.sendto(
                seal_envelope(self.keys, envelope, datagram), self.agent
            )

    def _deliver(self):
        while True:
            datagram, _ = self.fabric.recvfrom(2048)
            header = decode_fabric_header(datagram).unwrap()
            self.service.sendto(
                datagram[FABRIC_HEADER_BYTES:], header.destination
            )


class AgentProcess:
    """An agent process; its settings and log are files in `folder`."""

    def __init__(self, folder, port, fabric_port, back_end_port):
        secret = Path(folder, 'tag.key')
        secret.write_text(SECRET.hex(), encoding='ascii')
        path = Path(folder, 'agent.toml')
        path.write_text(
            SETTINGS.format(
                port=port,
                control_port=free_port(),
                fabric_port=fabric_port,
                back_end_port=back_end_port,
                # Nothing listens on this port: the object API is down.
                object_port=free_port(),
            ),
            encoding='utf-8',
        )
        environment = dict(os.environ, PYTHONPATH=str(ROOT))
        self.log = Path(folder, 'agent.log')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'gevent.monkey', RUNNER, path],
                env=environment,
                stderr=log,
            )

    def wait(self, timeout_s):
        with Timeout(timeout_s):
            while self.process.poll() is None:
                sleep(0.02)
        return self.process.returncode

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class AgentHarness:
    """An agent process, its back end and balancer, and a client."""

    def __init__(self, folder):
        self.folder = folder
        self.back_end = BackEndServer()
        self.agent_port = free_port()
        self.balancer = FakeBalancer(self.agent_port)
        self.client = Client()
        self.agent = self.start_agent()

    def start_agent(self):
        return AgentProcess(
            self.folder,
            self.agent_port,
            self.balancer.fabric.getsockname()[1],
            self.back_end.server.server_port,
        )

    def call(self, path, deadline_s=10.0, **fields):
        request = self.client.create_request(3, 'POST', path, **fields)
        return self.client.call(self.balancer.address, request, deadline_s)

    def close(self):
        self.agent.end()
        self.client.close()
        self.balancer.close()
        self.back_end.server.stop(timeout=0)


def _bind():
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4194304)
    bound.bind((HOST, 0))
    return bound


SETTINGS = """
role = "agent"

[node]
member_id = "target-1"
host = "127.0.0.1"
data_port = {port}
control_port = {control_port}
region = "r1"
availability_zone = "z1"

[object_api]
url = "http://127.0.0.1:{object_port}"
timeout_s = 0.5

[fabric]
host = "127.0.0.1"
port = {fabric_port}

[target]
service_id = 7
host = "127.0.0.1"
port = {back_end_port}
slots = 2

[[keys]]
key_id = 1
secret_file = "tag.key"
"""

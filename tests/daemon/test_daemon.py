"""A balancer process on 127.0.0.1 without an object API."""

import json
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.error import HTTPError
from urllib.request import urlopen

import pytest
from testtools import TestCase

from greengagepath.foundation.exit_codes import ExitCode
from greengagepath.protocol.packets import Kind

from ..datapath.builders import (
    build_key,
    build_keys,
    build_packet,
    build_token,
    unseal,
)

SETTINGS = """
role = "balancer"
[node]
member_id = "b1"
host = "127.0.0.1"
data_port = {data_port}
control_port = {control_port}
region = "r"
availability_zone = "a"
metrics_port = {metrics_port}
[object_api]
url = "http://127.0.0.1:{unused_port}"
[fabric]
host = "127.0.0.1"
port = {unused_port}
[[keys]]
key_id = 1
secret_file = "key"
[limits]
shutdown_s = {shutdown_s}
"""
PORTS = ('data_port', 'control_port', 'metrics_port', 'unused_port')
START_LIMIT_S = 10.0
DGRAM = socket.SOCK_DGRAM


def find_ports():
    # Ports below the ephemeral range, so that no connection of another
    # test is assigned a port before the balancer binds it.
    ports = []
    while len(ports) < len(PORTS):
        port = random.randrange(20000, 32000)
        with socket.socket() as probe, socket.socket(type=DGRAM) as data_probe:
            if port not in ports and is_free(port, probe, data_probe):
                ports.append(port)
    return dict(zip(PORTS, ports, strict=True))


def is_free(port, *probes):
    try:
        for each in probes:
            each.bind(('127.0.0.1', port))
    except OSError:
        return False
    return True


@pytest.mark.processes
class BalancerProcessTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.ports = find_ports()
        self.keys = build_keys()
        secret = build_key().secret.hex()
        (self.folder / 'key').write_text(secret, encoding='ascii')
        self.target = socket.socket(type=DGRAM)
        self.addCleanup(self.target.close)
        self.target.bind(('127.0.0.1', 0))
        self.target.settimeout(5.0)

    def start(self, shutdown_s=10.0, **changes):
        settings = self.folder / 'b1.toml'
        text = SETTINGS.format(shutdown_s=shutdown_s, **self.ports)
        for old, new in changes.values():
            text = text.replace(old, new)
        settings.write_text(text, encoding='utf-8')
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'greengagepath.daemon',
                '--config',
                str(settings),
            ],
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        if process.poll() is None:
            process.kill()
        process.communicate()

    def get(self, path):
        port = self.ports['metrics_port']
        try:
            with urlopen(f'http://127.0.0.1:{port}{path}', timeout=2) as answer:
                return answer.status, answer.read().decode()
        except HTTPError as error:
            with error:
                return error.code, error.read().decode()

    def wait_until_started(self):
        end_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end_s:
            try:
                return self.get('/healthz')
            except OSError:
                time.sleep(0.05)
        return self.fail('the balancer has not started')

    def send(self, flow_id):
        token = build_token(self.keys, flow_id, self.target.getsockname())
        packet = build_packet(Kind.REQUEST, flow_id, token=token)
        self.target.sendto(packet, ('127.0.0.1', self.ports['data_port']))

    def test_flow_is_routed_before_any_configuration(self):
        # Guards against a restarted balancer that breaks open flows: it
        # must route by their tokens before it has a configuration.
        process = self.start()
        self.wait_until_started()
        status, text = self.get('/readyz')
        self.assertEqual(503, status)
        self.assertIn('no configuration', text)
        self.send(5)
        datagram = unseal(self.keys, self.target.recv(2000))[1]
        self.assertEqual(5, datagram.flow_id)
        self.assertIn(
            'datagrams_forwarded_total{kind="request"} 1',
            self.get('/metrics')[1],
        )
        process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        # Datagrams that arrive while it drains are still forwarded.
        self.send(6)
        datagram = unseal(self.keys, self.target.recv(2000))[1]
        self.assertEqual(6, datagram.flow_id)
        self.assertIn('draining', self.get('/readyz')[1])
        self.assertEqual(ExitCode.OK, process.wait(10))

    def test_second_signal_ends_at_once(self):
        # Guards against a balancer that cannot be stopped at once because
        # it is still draining.
        process = self.start(shutdown_s=30.0)
        self.wait_until_started()
        process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        begun_s = time.monotonic()
        process.send_signal(signal.SIGTERM)
        process.wait(5)
        self.assertLess(time.monotonic() - begun_s, 1.0)
        last = json.loads(process.stderr.read().splitlines()[-1])
        self.assertEqual('balancer.stopped', last['event'])
        self.assertIn('datagrams_left', last)

    def test_invalid_settings(self):
        # Guards against a process that starts with invalid settings, and
        # against a message that names only the first of them.
        process = self.start(
            role=('role = "balancer"', 'role = "switch"'),
            zone=('control_port = ', 'control_port = -'),
        )
        problems = process.communicate(timeout=20)[1]
        self.assertEqual(ExitCode.BAD_USAGE, process.returncode)
        self.assertIn('role', problems)
        self.assertIn('node.control_port', problems)

    def test_port_that_is_taken(self):
        # Guards against a process that runs although it could not bind one
        # of its ports.
        for name, kind in (
            ('data_port', DGRAM),
            ('control_port', socket.SOCK_STREAM),
            ('metrics_port', socket.SOCK_STREAM),
        ):
            with socket.socket(type=kind) as taken:
                taken.bind(('127.0.0.1', self.ports[name]))
                process = self.start()
                problems = process.communicate(timeout=20)[1]
            self.assertEqual(ExitCode.BAD_USAGE, process.returncode)
            self.assertIn(f'node.{name}', problems)

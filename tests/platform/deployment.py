"""Balancers and agents as real processes on 127.0.0.0/8.

Targets, a caller and the store are stand-ins in the test process.
"""

import contextlib
import os
import random
import socket as native
import subprocess
import sys
import tempfile
from pathlib import Path

import gevent
from gevent import socket
from result import UnwrapError

from greengagepath.daemon.http_connection import HttpConnection

from .builders import (
    ACK,
    SYN,
    make_configuration,
    make_heartbeat_body,
    make_packet,
)
from .stand_in import StoreStandIn

ROOT = Path(__file__).parents[2]
SERVICE = 'wuno96b'
ROUTE = (native.inet_aton('198.18.0.2'), 8443)
TARGET_SEQUENCE = 90000
START_S = 15.0
POLL_S = 0.05
_HEADER_BYTES = 31


class TargetStandIn:
    """A target on the VM of an agent: opens flows and answers requests."""

    def __init__(self, host: str, app_port: int, outbound_port: int) -> None:
        self.requests: list[bytes] = []
        self.opened = 0
        self._outbound = (host, outbound_port)
        self._socket = socket.socket(native.AF_INET, native.SOCK_DGRAM)
        self._socket.bind((host, app_port))
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        self._loop.kill()
        self._socket.close()

    def _run(self) -> None:
        while True:
            raw = self._socket.recv(2048)
            source = (raw[26:30], int.from_bytes(raw[18:20], 'big'))
            route = (raw[22:26], int.from_bytes(raw[20:22], 'big'))
            if raw[30] & SYN:
                self.opened += 1
                self._send(route, source, SYN | ACK, TARGET_SEQUENCE, b'')
            elif len(raw) > _HEADER_BYTES:
                self.requests.append(raw[_HEADER_BYTES:])
                self._send(route, source, ACK, TARGET_SEQUENCE + 1, b'done')

    def _send(self, route, source, flags, sequence, payload) -> None:
        packet = make_packet(
            route, source, flags, sequence=sequence, payload=payload
        )
        self._socket.sendto(packet, self._outbound)


class Caller:
    """A caller that sends to balancers directly, without a fabric."""

    def __init__(self, host: str, data_port: int) -> None:
        self._address = native.inet_aton(host)
        self._port = data_port
        self._socket = socket.socket(native.AF_INET, native.SOCK_DGRAM)
        self._socket.bind((host, data_port))

    def stop(self) -> None:
        self._socket.close()

    def open(self, port: int, balancer: str) -> int | None:
        """Open a flow; return the target's sequence, None if it is reset."""
        for attempt in range(10):
            self._send(port, balancer, SYN, acknowledged=attempt)
            answer = self._receive(1.0)
            if answer is not None:
                opened = answer[30] == SYN | ACK
                return int.from_bytes(answer[10:14], 'big') if opened else None
        raise TimeoutError('no answer to ten opening packets')

    def request(self, port: int, balancer: str, sequence: int) -> bytes | None:
        """Send a request on an open flow; return the answer."""
        self._send(
            port, balancer, ACK, acknowledged=sequence + 1, payload=b'order'
        )
        answer = self._receive(3.0)
        return None if answer is None else answer[_HEADER_BYTES:]

    def _send(self, port: int, balancer: str, flags: int, **fields) -> None:
        packet = make_packet((self._address, port), ROUTE, flags, **fields)
        self._socket.sendto(packet, (balancer, self._port))

    def _receive(self, limit_s: float) -> bytes | None:
        with gevent.Timeout(limit_s, exception=False):
            return self._socket.recv(2048)


class PlatformDeployment:
    """Balancers and agents with their targets, and a store."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.store.put('config', 'main', make_configuration(7))
        self.folder = tempfile.TemporaryDirectory()
        self.base = random.randrange(20000, 50000, 20)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.targets: dict[str, TargetStandIn] = {}
        self.caller = Caller('127.0.0.31', self.base)
        self._heartbeat_loops: dict[str, gevent.Greenlet] = {}
        self.draining: set[str] = set()

    def start_balancer(self, host: str) -> None:
        self._start('balancer', host)

    def start_agent(self, host: str) -> None:
        self.targets[host] = TargetStandIn(host, self.base + 4, self.base + 3)
        self._start('agent', host)
        self._heartbeat_loops[host] = gevent.spawn(self._send_heartbeats, host)

    def wait_ready(self, host: str) -> None:
        """Wait until the process answers that it is ready."""
        with gevent.Timeout(START_S):
            while self.get(host, self.base + 1, '/ready') != 200:
                gevent.sleep(POLL_S)

    def get(self, host: str, port: int, path: str) -> int:
        """Return the status of a GET, 0 without an answer."""
        connection = HttpConnection((host, port))
        answer = connection.call('GET', path, b'', 1.0)
        connection.close()
        return answer.ok_value.status if answer.is_ok() else 0

    def report(self, host: str, target_id: str, **fields) -> int:
        """Send a report of a target; return the status of the answer."""
        body = make_heartbeat_body(service=SERVICE, **fields)
        connection = HttpConnection((host, self.base + 2))
        path = f'/endpoints/{target_id}'
        answer = connection.call('PUT', path, body, 1.0)
        connection.close()
        return answer.unwrap().status

    def kill(self, host: str) -> None:
        self.processes[host].kill()
        self.processes[host].wait()

    def stop(self) -> None:
        for loop in self._heartbeat_loops.values():
            loop.kill()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for target in self.targets.values():
            target.stop()
        self.caller.stop()
        self.store.stop()
        self.folder.cleanup()

    def _start(self, role: str, host: str) -> None:
        path = Path(self.folder.name) / f'{role}-{host}.toml'
        path.write_text(self._write_settings(role, host))
        self.processes[host] = subprocess.Popen(
            [sys.executable, '-m', 'greengagepath.platform', role],
            cwd=ROOT,
            env=os.environ | {'GREENGAGEPATH_BOOT': str(path)},
            stdout=subprocess.DEVNULL,
        )

    def _write_settings(self, role: str, host: str) -> str:
        store_host, store_port = self.store.address
        addresses = {
            'data_address': f'{host}:{self.base}',
            'readiness_address': f'{host}:{self.base + 1}',
            'heartbeat_address': f'{host}:{self.base + 2}',
            'target_outbound_address': f'{host}:{self.base + 3}',
            'target_address': f'{host}:{self.base + 4}',
            'store_address': f'{store_host}:{store_port}',
        }
        texts = addresses | {
            'member_id': f'{role}-{host}',
            'availability_zone': 'zone-a',
            'address': host,
            'service': SERVICE,
            'peer_ports': f'{self.base + 6},{self.base + 9}',
            'seeds': '',
        }
        lines = [f'{name} = "{text}"' for name, text in texts.items()]
        lines += [
            f'metrics_port = {self.base + 5}',
            'first_start = true',
            'heartbeat_ms = 1200',
            'termination_s = 4',
            'flow_lifetime_s = 60',
        ]
        return '\n'.join(lines)

    def _send_heartbeats(self, host: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            state = 'draining' if host in self.draining else 'ready'
            with contextlib.suppress(UnwrapError):
                self.report(host, f'i-{host}', sequence=sequence, state=state)
            gevent.sleep(0.2)

"""Control planes with real links on 127.0.0.1, for test_daemon_control.

Runs in a separate process as `python -m gevent.monkey processes.py`,
because the patches of gevent would affect all other tests.
"""

import json
import socket
import sys
import time

import gevent
import msgspec

from greengagepath.configuration.delta import compute_delta
from greengagepath.daemon.control import AgentControl, BalancerControl
from greengagepath.daemon.links import LinkOptions, exchange_message
from greengagepath.foundation.timers import LoopTimerService
from greengagepath.generated import messages, settings
from greengagepath.protocol.tags import Key, KeyRing
from tests.control.http_store import HttpStore

HOST = '127.0.0.1'
LIMITS = settings.LimitSettings()
FOREIGN_KEYS = KeyRing([Key(1, b'x' * 32)], time.time)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((HOST, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for unused in sockets:
        unused.close()
    return ports


def make_settings(member_id, role, port, object_port):
    return msgspec.convert(
        {
            'role': role,
            'node': {
                'member_id': member_id,
                'host': HOST,
                'data_port': port,
                'control_port': port,
                'region': 'r1',
                'availability_zone': 'z1',
            },
            'object_api': {'url': f'http://{HOST}:{object_port}'},
            'fabric': {'host': HOST, 'port': 1},
            'keys': [{'key_id': 1, 'secret_file': 'unused'}],
        },
        settings.Settings,
    )


def make_agent_record(member_id, port):
    return messages.MemberRecord(
        member_id=member_id,
        kind=messages.MemberKind.agent,
        host=HOST,
        data_port=port,
        control_port=0,
        region='r1',
        availability_zone='z1',
        incarnation=int(time.time()),
        record_version=0,
        state=messages.MemberState.alive,
        service_id=1,
    )


def wait_until(condition, timeout_s):
    """Return the seconds it took, or None after the timeout."""
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > timeout_s:
            return None
        gevent.sleep(0.01)
    return round(time.monotonic() - started_s, 2)


class Fleet:
    """Three balancers and one agent in one process."""

    def __init__(self):
        self.targets = {}
        self.services = []
        object_port, agent_port, *ports = free_ports(5)
        self.ports = ports
        self.store = HttpStore()
        self.store.serve(HOST, object_port)
        self.keys = KeyRing([Key(1, bytes(32))], time.time)
        timers = LoopTimerService()
        timers.start()
        self.balancers = [
            BalancerControl(
                make_settings(f'b{port}', 'balancer', port, object_port),
                self.keys,
                timers,
                lambda found, port=port: self.targets.update({port: found}),
                lambda found: None,
            )
            for port in self.ports
        ]
        self.agent = AgentControl(
            make_settings('a1', 'agent', agent_port, object_port),
            self.keys,
            timers,
            make_agent_record('a1', agent_port),
            self.services.append,
        )

    def start(self):
        for balancer in self.balancers:
            balancer.start()
        self.agent.start()

    def all_see(self, *states):
        seen = [
            tuple(target.state.value for target in found.get(1, ()))
            for found in self.targets.values()
        ]
        return seen == [states for _ in self.balancers]

    def ask(self, index, question, keys=None):
        options = LinkOptions(keys or self.keys, LIMITS)
        return exchange_message((HOST, self.ports[index]), options, question, 2)

    def is_configured(self):
        return all(balancer.is_ready for balancer in self.balancers)


def main():
    fleet = Fleet()
    fleet.start()
    report = {'target_s': wait_until(lambda: fleet.all_see('alive'), 15)}
    service = messages.Service(name='s', service_id=1, host=HOST, port=1)
    configuration = messages.Configuration(version=1, services=[service])
    reply = fleet.ask(0, compute_delta(None, configuration))
    report['operator_version'] = reply.unwrap().version
    report['in_force_s'] = wait_until(fleet.is_configured, 5)
    report['service_s'] = wait_until(lambda: bool(fleet.services), 5)
    query = messages.StatusQuery(query_id=1)
    report['wrong_key'] = fleet.ask(0, query, FOREIGN_KEYS).is_err()
    report['records'] = len(fleet.ask(1, query).unwrap().records)
    fleet.agent.set_state(messages.MemberState.draining)
    report['draining_s'] = wait_until(lambda: fleet.all_see('draining'), 5)
    fleet.balancers[0].stop()
    fleet.targets.pop(fleet.ports[0])
    fleet.balancers.pop(0)
    report['left_s'] = wait_until(
        lambda: (
            len(
                [
                    record
                    for record in fleet.balancers[0].records()
                    if record.state is messages.MemberState.left
                ]
            )
            == 1
        ),
        5,
    )
    fleet.agent.stop()
    report['gone_s'] = wait_until(fleet.all_see, 5)
    for balancer in fleet.balancers:
        balancer.stop()
    json.dump(report, sys.stdout)


if __name__ == '__main__':
    main()

"""Flows from a caller to a target through real processes."""

import signal

import gevent
import pytest
from testtools import TestCase

from .deployment import PlatformDeployment

BALANCERS = ('127.0.0.11', '127.0.0.12')
AGENTS = ('127.0.0.21', '127.0.0.22')


@pytest.mark.processes
class PlainFlowProcessesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.deployment = PlatformDeployment()
        self.addCleanup(self.deployment.stop)
        for host in AGENTS:
            self.deployment.start_agent(host)
        for host in BALANCERS:
            self.deployment.start_balancer(host)
        for host in (*AGENTS, *BALANCERS):
            self.deployment.wait_ready(host)

    def _count_requests(self) -> int:
        targets = self.deployment.targets.values()
        return sum(len(target.requests) for target in targets)

    def test_flow_continues_through_another_balancer(self):
        # Guards against flows that break when the balancer that opened
        # them fails, and against a request that reaches two targets.
        caller = self.deployment.caller
        sequence = caller.open(41001, BALANCERS[0])
        self.deployment.kill(BALANCERS[0])
        answer = caller.request(41001, BALANCERS[1], sequence)
        self.assertEqual(b'done', answer)
        self.assertEqual(1, self._count_requests())

    def test_route_that_does_not_exist_is_reset(self):
        # Guards against a caller that waits for its timeout because its
        # route was removed.
        self.deployment.store.put('config', 'main', _without_routes(9))
        gevent.sleep(1.0)
        opened = self.deployment.caller.open(41002, BALANCERS[0])
        self.assertIsNone(opened)

    def test_draining_target_gets_no_new_flow(self):
        # Guards against flows opened at a target that is shutting down.
        leaving = self.deployment.targets[AGENTS[0]]
        self.deployment.draining.add(AGENTS[0])
        gevent.sleep(1.0)
        before = leaving.opened
        for port in range(42000, 42020):
            self.deployment.caller.open(port, BALANCERS[0])
        self.assertEqual(before, leaving.opened)

    def test_late_report_is_not_acknowledged_and_opens_nothing(self):
        # Guards against a late report of an earlier start that makes a
        # draining target accept flows again, or is acknowledged though it
        # was not applied.
        leaving = self.deployment.targets[AGENTS[0]]
        self.deployment.draining.add(AGENTS[0])
        gevent.sleep(1.0)
        before = leaving.opened
        for born in (1600000000000, 1800000000000):
            status = self.deployment.report(
                AGENTS[0], 'i-earlier', born=born, sequence=1000
            )
            self.assertEqual(503, status)
        for port in range(42100, 42120):
            self.deployment.caller.open(port, BALANCERS[0])
        self.assertEqual(before, leaving.opened)

    def test_balancer_forwards_after_sigterm(self):
        # Guards against packets lost while the fabric still sends to a
        # balancer that is stopping.
        caller = self.deployment.caller
        sequence = caller.open(41003, BALANCERS[0])
        process = self.deployment.processes[BALANCERS[0]]
        process.send_signal(signal.SIGTERM)
        gevent.sleep(0.3)
        base = self.deployment.base
        ready = self.deployment.get(BALANCERS[0], base + 1, '/ready')
        self.assertEqual(503, ready)
        answer = caller.request(41003, BALANCERS[0], sequence)
        self.assertEqual(b'done', answer)
        self.assertEqual(0, process.wait(timeout=10))

    def test_metrics_are_served(self):
        # Guards against a metrics address on which nothing listens.
        base = self.deployment.base
        for host in (BALANCERS[0], AGENTS[0]):
            status = self.deployment.get(host, base + 5, '/metrics')
            self.assertEqual(200, status)


def _without_routes(version: int) -> dict[str, object]:
    return {'version': version, 'routes': [], 'services': [], 'limits': {}}

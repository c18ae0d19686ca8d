"""Failures of real processes under load, one deployment for all.

Each test runs a mixed load of a few seconds against the deployment,
brings one failure about, and judges the run by what callers received
and back ends counted.
"""

import signal
import tempfile
import time
from pathlib import Path

import pytest
from testtools import TestCase

from greengagepath.emulator.control_paths import fetch
from greengagepath.emulator.demo import (
    collect_outcomes,
    collect_runs,
    start_load,
)
from greengagepath.emulator.deployment import Deployment
from greengagepath.emulator.processes import run_tool, wait_until
from greengagepath.emulator.verdict import count_outcomes
from greengagepath.foundation.exit_codes import ExitCode

LOAD_S = 6
LOAD_SHARE = 0.15
PAUSE_S = 3.5
STOP_TIMEOUT_S = 20
ALWAYS_ZERO = (
    'refused_but_run',
    'run_more_than_once',
    'wrong_service',
    'wrong_caller',
)


@pytest.mark.processes
class ProcessFailuresTest(TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.folder = tempfile.TemporaryDirectory(prefix='greengagepath-')
        cls.addClassCleanup(cls.folder.cleanup)
        cls.deployment = Deployment(
            Path(cls.folder.name), 'jinhua', seed=7, max_targets=3
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()

    def run_load(self, *actions):
        """Return the counts of a load during which the actions run."""
        names = start_load(self.deployment, LOAD_S, LOAD_SHARE)
        for action in actions:
            time.sleep(LOAD_S / (2 + len(actions)))
            action()
        outcomes = collect_outcomes(self.deployment, names)
        counts = count_outcomes(outcomes, collect_runs(self.deployment))
        self.failed = [entry for entry in outcomes if not entry.whole][:10]
        self.assertGreater(counts['answered_whole'], 0)
        for name in ALWAYS_ZERO:
            self.assertEqual(0, counts[name], name)
        return counts

    def send(self, name, number):
        self.deployment.processes.send_signal(name, number)

    def restart(self, name):
        self.deployment.processes.wait(name, STOP_TIMEOUT_S)
        self.deployment.start_daemon(name)
        self.deployment.wait_until_ready(name)

    def assert_nothing_lost(self, counts):
        self.assertEqual(0, counts['lost'], self.failed)
        self.assertEqual(0, counts['broken_flows'], self.failed)

    def test_killed_balancer(self):
        # Guards against flows that depend on the state of one balancer.
        counts = self.run_load(
            lambda: self.send('balancer-1', signal.SIGKILL),
            lambda: self.restart('balancer-1'),
        )
        self.assert_nothing_lost(counts)

    def test_paused_balancer(self):
        # Guards against late packets of a balancer that runs work again.
        counts = self.run_load(
            lambda: self.send('balancer-2', signal.SIGSTOP),
            lambda: self.send('balancer-2', signal.SIGCONT),
        )
        self.assert_nothing_lost(counts)

    def test_stopped_balancer(self):
        # Guards against a graceful stop that drops packets.
        counts = self.run_load(
            lambda: self.send('balancer-3', signal.SIGTERM),
        )
        self.assert_nothing_lost(counts)
        code = self.deployment.processes.wait('balancer-3', STOP_TIMEOUT_S)
        self.assertEqual(ExitCode.OK, code)
        self.restart('balancer-3')

    def test_killed_agent(self):
        # Guards against a restarted agent that runs old requests again.
        self.run_load(
            lambda: self.send('order-desk-1', signal.SIGKILL),
            lambda: self.restart('order-desk-1'),
        )

    def test_paused_agent(self):
        # Guards against requests that run after their caller was told
        # that they had not.
        self.run_load(
            lambda: self.send('order-desk-2', signal.SIGSTOP),
            lambda: self.send('order-desk-2', signal.SIGCONT),
        )

    def test_stopped_agent(self):
        # Guards against a graceful stop that cuts requests in progress.
        counts = self.run_load(
            lambda: self.send('order-desk-3', signal.SIGTERM),
        )
        self.assert_nothing_lost(counts)
        code = self.deployment.processes.wait('order-desk-3', STOP_TIMEOUT_S)
        self.assertEqual(ExitCode.OK, code)
        self.restart('order-desk-3')

    def test_key_rotation(self):
        # Guards against a rotation that needs a restart or that breaks
        # flows whose tokens were signed with the former key.
        counts = self.run_load(
            lambda: self.deployment.use_keys(1, 2),
            lambda: self.deployment.use_keys(2, 1),
        )
        self.assert_nothing_lost(counts)
        self.deployment.use_keys(2)
        counts = self.run_load()
        self.assert_nothing_lost(counts)

    def test_balancer_metrics(self):
        # Guards against documented metrics that no part ever sets.
        balancer = self.deployment.balancers_by_name['balancer-2']
        text = fetch(balancer.status_port, '/metrics').decode()
        for name in ('object_api_calls_total', 'lease_held', 'members'):
            self.assertIn(f'\ngreengagepath_{name}', text)
        self.assertIn('outcome="ok"', text)

    def test_lossy_fabric(self):
        # Guards against work that a repeated datagram runs twice.
        faults = self.deployment.control_client.set_fabric_faults
        self.addCleanup(faults)
        faults(loss=0.02, duplication=0.02, reordering=0.05)
        counts = self.run_load()
        self.assert_nothing_lost(counts)

    def test_object_api_outage(self):
        # Guards against traffic that needs the object API, and against
        # a command that hangs or claims success without it.
        faults = self.deployment.control_client.set_platform_faults
        self.addCleanup(faults)
        faults(down=True)
        counts = self.run_load(
            lambda: self.send('balancer-1', signal.SIGKILL),
            lambda: self.restart('balancer-1'),
        )
        self.assert_nothing_lost(counts)
        done = run_tool(self.deployment.folder, 'drain', 'order-desk-1')
        self.assertEqual(ExitCode.UNREACHABLE, done.returncode, done.stderr)

    def test_lost_answer_of_a_write(self):
        # Guards against a change that is repeated, or taken for
        # somebody else's, because the answer of its write was lost.
        faults = self.deployment.control_client.set_platform_faults
        self.addCleanup(faults)
        faults(lose_answers=1.0)
        before = self.deployment.control_client.read_stored_version()
        done = run_tool(self.deployment.folder, 'drain', 'order-desk-1')
        self.assertEqual(ExitCode.OK, done.returncode, done.stderr)
        after = self.deployment.control_client.read_stored_version()
        self.assertGreater(after, before)
        faults()
        done = run_tool(self.deployment.folder, 'undrain', 'order-desk-1')
        self.assertEqual(ExitCode.OK, done.returncode, done.stderr)
        wait_until(
            lambda: self.deployment.is_ready('order-desk-1'),
            'order-desk-1 ready',
            STOP_TIMEOUT_S,
        )

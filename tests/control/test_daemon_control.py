import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from testtools import TestCase

SCRIPT = Path(__file__).with_name('processes.py')
ROOT = SCRIPT.parent.parent.parent


@pytest.mark.processes
class DaemonControlTest(TestCase):
    def test_real_links_carry_members_and_configuration(self):
        # Guards against nodes that work on simulated links only. Covers
        # frames, websockets under gevent, the HTTP client and operator
        # messages.
        finished = subprocess.run(
            [sys.executable, '-m', 'gevent.monkey', str(SCRIPT)],
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            capture_output=True,
            timeout=60,
            check=True,
        )
        report = json.loads(finished.stdout)
        self.assertEqual(1, report.pop('operator_version'))
        self.assertTrue(report.pop('wrong_key'))
        self.assertEqual(4, report.pop('records'))
        overdue = {name for name, took_s in report.items() if took_s is None}
        self.assertEqual(set(), overdue)

"""The platform's names occur only in its adapter."""

import re
from pathlib import Path

from testtools import TestCase

PACKAGE = Path(__file__).parents[2] / 'greengagepath'
ADAPTER = PACKAGE / 'platform'
# Fields, paths and headers of the platform's wire format that nothing
# else in the product uses.
NAMES = (
    'heartbeat-address',
    'cold-remaining-ms',
    'delete-pending',
    'current-rev',
    'is-stale',
    'wait-ms',
    'path-prefix',
    'target-latency-ms',
    'datagram-addr',
    'forwarding-mode',
    'idle-timeout-ms',
    '/endpoints/',
    "'/ready'",
    'Server-Load',
    'Server-Stamp',
    'Not-Executed',
    'GREENGAGEPATH_BOOT',
    'BOUNCED',
)


class BoundaryTest(TestCase):
    def test_names_of_the_wire_stay_in_the_adapter(self):
        # Guards against decisions that depend on the wire format.
        pattern = re.compile('|'.join(map(re.escape, NAMES)))
        found = [
            f'{path.relative_to(PACKAGE)}: {match.group()}'
            for path in PACKAGE.rglob('*.py')
            if ADAPTER not in path.parents
            for match in pattern.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_decisions_do_not_import_the_adapter(self):
        # Guards against a lower layer that depends on the platform.
        pattern = re.compile(r'from \.+platform|import greengagepath\.platform')
        found = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob('*.py')
            if ADAPTER not in path.parents and pattern.search(path.read_text())
        ]
        self.assertEqual([], found)

import json
import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from greengagepath.foundation.exit_codes import ExitCode

from .builders import ROOT, build_services, write_tool_settings
from .certificates import Authority
from .test_cli import CommandTest

SCRIPT = Path(__file__).with_name('fleet.py')
TIMEOUT_S = 10


@pytest.mark.processes
class FleetTest(CommandTest):
    """Runs commands against the control planes of real balancers."""

    def start_fleet(self, *arguments):
        self.fleet = subprocess.Popen(
            [sys.executable, '-m', 'gevent.monkey', str(SCRIPT), *arguments],
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(self.fleet.communicate, timeout=TIMEOUT_S)
        ports = json.loads(self.fleet.stdout.readline())
        self.settings = write_tool_settings(
            self.folder,
            f'http://127.0.0.1:{ports["object_api"]}',
            *(f'127.0.0.1:{port}' for port in ports['balancers']),
        )
        self.init()

    def run_json(self, command, *arguments):
        code = self.run_command(
            command, *arguments, '--json', '--settings', self.settings
        )
        return code, json.loads(self.out.getvalue() or 'null')

    def wait_for_records(self, count):
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            _, status = self.run_json('status')
            if status is not None and len(status['records']) == count:
                return
            time.sleep(0.05)
        self.fail(f'status did not show {count} members in time')

    def test_versions_reach_every_balancer(self):
        # Guards against a tool that works only with the stand-ins of the
        # other tests. Covers links, deltas, the object API, and the
        # check that a version is in force also on balancers that the
        # tool did not connect to.
        self.start_fleet()
        self.wait_for_records(4)
        code, first = self.run_json('apply', self.file)
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual((1, 3), (first['version'], first['in_force']))
        code, drained = self.run_json(
            'drain', 'a1', '--service', 'licence-core'
        )
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(3, drained['in_force'])
        self.assertGreater(drained['version'], first['version'])
        # The required maximum for any accepted version is 3 s.
        self.assertLess(max(first['took_ms'], drained['took_ms']), 3000)
        _, status = self.run_json('status')
        versions = {
            record['configuration_version']
            for record in status['records']
            if record['kind'] == 'balancer'
        }
        self.assertEqual({drained['version']}, versions)

    def test_status_shows_drained_zones(self):
        # Guards against an evacuation that nobody can see in `status`, or
        # that the balancers which answer do not have in force.
        self.start_fleet()
        self.wait_for_records(4)
        self.run_json('apply', self.file)
        code, drained = self.run_json('drain', '--zone', 'z1')
        self.assertEqual((ExitCode.OK, 3), (code, drained['in_force']))
        self.assertLess(drained['took_ms'], 3000)
        _, status = self.run_json('status')
        core = build_services()[0].service_id
        rows = {row['service_id']: row for row in status['drained_zones']}
        self.assertEqual(2, len(rows))
        self.assertEqual(
            {
                'availability_zone': 'z1',
                'service_id': core,
                'targets': 1,
                'not_draining': 1,
            },
            rows[core],
        )
        self.run_command('status', '--settings', self.settings)
        self.assertIn('drained zones', self.out.getvalue())
        self.run_json('undrain', '--zone', 'z1')
        _, status = self.run_json('status')
        self.assertEqual([], status['drained_zones'])

    def test_route_shows_the_choice_and_why_a_target_is_left_out(self):
        # Guards against a question that the balancers do not answer, and
        # against an answer that does not say why a target gets nothing.
        self.start_fleet()
        self.wait_for_records(4)
        self.run_json('apply', self.file)
        code, found = self.run_json('route', 'licence-core', '--zone', 'z1')
        self.assertEqual((ExitCode.OK, 'a1'), (code, found['target_id']))
        self.assertEqual(-1, found['candidates'][0]['report_age_ms'])
        for arguments, cause in (
            (('--zone', 'z1'), 'zone_drained'),
            (('a1',), 'drained'),
        ):
            self.run_json('drain', *arguments)
            code, found = self.run_json('route', 'licence-core')
            self.assertEqual((ExitCode.OK, ''), (code, found['target_id']))
            self.assertEqual('none_alive', found['reason'])
            self.assertEqual(cause, found['candidates'][0]['left_out'])
        self.run_command('route', 'licence-core', '--settings', self.settings)
        self.assertIn('left out: drained', self.out.getvalue())
        for arguments in (('nobody',), ('licence-core', '--zone', 'z9')):
            code, _ = self.run_json('route', *arguments)
            self.assertEqual(ExitCode.BAD_USAGE, code)
        self.assertIn('zones with balancers: z1', self.err.getvalue())

    def test_links_require_a_certificate_of_the_authority(self):
        # Guards against balancers that have TLS configured but accept
        # links without it, and against balancers that answer a tool
        # whose certificate was signed by another authority.
        certificates = self.folder / 'certificates'
        certificates.mkdir()
        tls = Authority('system').write(certificates)
        self.start_fleet(str(certificates))
        code, _ = self.run_json('status')
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.add_tls(tls)
        self.wait_for_records(4)
        code, applied = self.run_json('apply', self.file)
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(3, applied['in_force'])
        other = self.folder / 'other'
        other.mkdir()
        Authority('other').write(other)
        self.settings.write_text(
            self.settings.read_text().replace(str(certificates), str(other))
        )
        code, _ = self.run_json('status')
        self.assertEqual(ExitCode.UNREACHABLE, code)

    def add_tls(self, tls):
        lines = [
            f'{name} = "{path}"'
            for name, path in msgspec.to_builtins(tls).items()
        ]
        text = self.settings.read_text()
        joined = '\n'.join([text, '[tls]', *lines, ''])
        self.settings.write_text(joined)

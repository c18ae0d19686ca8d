import io
import json
import os
import subprocess
import sys
import tempfile
import tomllib
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

import gevent
from msgspec import structs
from testtools import TestCase

from greengagepath.cli.tool import run_tool
from greengagepath.daemon.http_status import StatusServer
from greengagepath.foundation.exit_codes import ExitCode
from greengagepath.foundation.metrics import Metrics
from greengagepath.foundation.settings import load_tool_settings
from greengagepath.protocol.keys import load_keys

from .builders import (
    COOPERATIVE,
    OTHER_SECRET,
    ROOT,
    SECRET,
    write_tool_settings,
)
from .fakes import build_balancer
from .stand_ins import Balancer, ObjectApi

CURRENT = '/objects/configuration/current'


class CommandTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.file = self.folder / 'configuration.toml'

    def run_command(self, *arguments):
        self.out = io.StringIO()
        self.err = io.StringIO()
        with redirect_stdout(self.out), redirect_stderr(self.err):
            return run_tool([str(entry) for entry in arguments])

    def init(self, *arguments):
        return self.run_command(
            'init', '--answers', COOPERATIVE, '--output', self.file, *arguments
        )


class FilesTest(CommandTest):
    def test_init_explains_and_check_accepts(self):
        # Guards against an `init` that does not explain derived values, or
        # that generates a file which `check` refuses.
        self.assertEqual(ExitCode.OK, self.init())
        self.assertIn('queue_length', self.out.getvalue())
        self.assertIn('# answer connections_per_target', self.file.read_text())
        code = self.run_command('check', self.file, COOPERATIVE)
        self.assertEqual(ExitCode.OK, code)

    def test_init_overwrites_only_with_force(self):
        # Guards against an edited configuration that a second `init`
        # overwrites without --force.
        self.file.write_text('edited')
        self.assertEqual(ExitCode.BAD_USAGE, self.init())
        self.assertEqual('edited', self.file.read_text())
        self.assertEqual(ExitCode.OK, self.init('--force'))

    def test_init_names_a_file_that_cannot_be_written(self):
        # Guards against a traceback when the folder does not exist.
        self.file = self.folder / 'missing' / 'greengagepath.toml'
        self.assertEqual(ExitCode.BAD_USAGE, self.init())
        self.assertIn(f'cannot write {self.file}', self.err.getvalue())

    def test_init_names_the_contradictory_answer(self):
        # Guards against an error that does not name the answer to change,
        # and against a file written in spite of the error.
        answers = self.folder / 'answers.toml'
        text = COOPERATIVE.read_text()
        answers.write_text(text.replace('typical_ms = 20', 'typical_ms = 9999'))
        code = self.run_command(
            'init', '--answers', answers, '--output', self.file
        )
        self.assertEqual(ExitCode.BAD_USAGE, code)
        self.assertIn('operations[0].deadline_ms', self.err.getvalue())
        self.assertFalse(self.file.exists())

    def test_check_reports_all_files(self):
        # Guards against a `check` that stops at the first invalid file.
        first, second = self.folder / 'a.toml', self.folder / 'b.toml'
        first.write_text('role = 1\n')
        second.write_text('services = []\n')
        code = self.run_command('check', first, second)
        self.assertEqual(ExitCode.BAD_USAGE, code)
        self.assertIn('a.toml:1: role = 1', self.err.getvalue())
        self.assertIn('b.toml:1: services = []', self.err.getvalue())

    def test_output_without_terminal_has_no_colours(self):
        # Guards against escape codes in output that goes to a file or pipe.
        self.init()
        self.run_command('check', self.folder / 'missing.toml')
        self.assertNotIn('\x1b', self.out.getvalue() + self.err.getvalue())

    def test_exit_code_and_completion_script_of_the_entry_point(self):
        # Guards against an entry point that loses the exit code of a usage
        # error, and against a completion script whose lines are wrapped
        # at the terminal width. Runs the entry point as users do.
        environment = {**os.environ, 'SHELL': 'bash', 'PYTHONPATH': str(ROOT)}
        command = [sys.executable, '-m', 'greengagepath']
        bad = subprocess.run(
            [*command, 'apply'],
            env=environment,
            capture_output=True,
            check=False,
        )
        self.assertEqual(ExitCode.BAD_USAGE, bad.returncode)
        script = subprocess.run(
            [*command, '--completion', 'generate'],
            env=environment,
            capture_output=True,
            check=True,
            text=True,
        )
        checked = subprocess.run(
            ['bash', '-n'], input=script.stdout, text=True, check=False
        )
        self.assertEqual(0, checked.returncode)
        self.assertIn('" COMPLETION_LOCATION=', script.stdout)


class ApplyTest(CommandTest):
    def setUp(self):
        super().setUp()
        self.api = ObjectApi()
        self.addCleanup(self.api.close)
        self.settings = write_tool_settings(self.folder, self.api.url)
        keys = load_keys(load_tool_settings(self.settings).unwrap()).unwrap()
        self.balancer = Balancer(keys)
        self.addCleanup(self.balancer.close)
        write_tool_settings(self.folder, self.api.url, self.balancer.name)
        self.init()

    def run_with_settings(self, command, *arguments):
        return self.run_command(
            command, *arguments, '--settings', self.settings
        )

    def apply(self, *arguments):
        return self.run_with_settings(
            'apply', self.file, '--wait-s', 1, *arguments
        )

    def edit(self, before, after):
        text = self.file.read_text()
        self.assertIn(before, text)
        self.file.write_text(text.replace(before, after))

    def test_dry_run_shows_changes_and_writes_nothing(self):
        # Guards against a dry run that writes to the object API.
        self.assertEqual(ExitCode.OK, self.apply('--dry-run'))
        self.assertIn('+ services.licence-core.port', self.out.getvalue())
        self.assertEqual({}, self.api.objects)

    def test_apply_is_in_force_and_can_be_repeated(self):
        # Guards against an `apply` that does not update the base in the
        # file, so that the next one is a conflict, and against writes
        # without a change.
        self.assertEqual(ExitCode.OK, self.apply())
        self.assertIn('version 1 is in force on all 1', self.out.getvalue())
        self.assertEqual(1, self.balancer.version)
        self.edit('queue_length = 200', 'queue_length = 100')
        self.assertEqual(ExitCode.OK, self.apply())
        self.assertEqual(2, self.balancer.version)
        self.assertEqual(ExitCode.OK, self.apply())
        self.assertEqual(2, self.api.writes)

    def test_lost_answer_to_a_write_is_not_a_conflict(self):
        # Guards against a write that took effect but whose answer was lost,
        # and which is then reported as the change of another operator.
        self.api.lose_next = 1
        self.assertEqual(ExitCode.OK, self.apply())
        self.assertEqual(1, self.api.writes)

    def test_second_operator_gets_a_conflict_and_can_resolve_it(self):
        # Guards against an `apply` that overwrites the change of another
        # operator, made since the file was copied, without an error.
        self.apply()
        other = self.folder / 'other.toml'
        other.write_text(self.file.read_text())
        self.edit('queue_length = 200', 'queue_length = 100')
        self.apply()
        other.write_text(other.read_text().replace('max_flows = 2000', ''))
        code = self.run_with_settings('apply', other)
        self.assertEqual(ExitCode.CONFLICT, code)
        self.assertIn('queue_length: 100 -> 200', self.out.getvalue())
        self.assertIn('--base-version 2', self.err.getvalue())
        self.assertEqual(2, self.api.writes)
        code = self.run_with_settings('apply', other, '--base-version', 2)
        self.assertEqual(ExitCode.OK, code)

    def test_fetched_file_can_be_applied(self):
        # Guards against a file from --fetch that cannot be applied; the
        # error of a conflict recommends --fetch.
        self.apply()
        self.assertEqual(ExitCode.OK, self.apply('--fetch'))
        self.edit('queue_length = 200', 'queue_length = 100')
        self.assertEqual(ExitCode.OK, self.apply())

    def test_balancer_with_an_old_version_is_named(self):
        # Guards against success reported while a balancer still has the old
        # version.
        self.balancer.is_stuck = True
        self.assertEqual(ExitCode.TIMEOUT, self.apply('--json'))
        report = json.loads(self.out.getvalue())
        self.assertEqual(1, report['version'])
        self.assertEqual(1, len(report['behind']))
        self.assertIn('still has version 0', self.err.getvalue())

    def test_version_stored_without_balancers_is_not_a_later_conflict(self):
        # Guards against a base that is updated only if balancers confirm
        # the version: with all of them down the write is stored, and the
        # next `apply` would conflict with it.
        self.balancer.close()
        self.assertEqual(ExitCode.UNREACHABLE, self.apply())
        self.assertIn('version 1 is stored', self.err.getvalue())
        self.edit('queue_length = 200', 'queue_length = 100')
        self.assertEqual(ExitCode.UNREACHABLE, self.apply())
        self.assertEqual(2, self.api.writes)

    def test_object_api_down_changes_nothing(self):
        # Guards against an outage of the object API that gets another exit
        # code or changes the base in the file.
        self.api.close()
        self.assertEqual(ExitCode.UNREACHABLE, self.apply())
        self.assertIn('nothing was changed', self.err.getvalue())
        self.assertEqual('', tomllib.loads(self.file.read_text())['base'])

    def test_drain_finds_the_service_and_persists_across_apply(self):
        # Guards against an `apply` that undrains targets, because the file
        # does not list them, and against a `drain` that needs --service.
        self.apply()
        stored = self.api.objects[CURRENT]['body']['services'][0]
        record = build_balancer(('127.0.0.1', 9), 0)
        self.balancer.targets = [
            structs.replace(
                record,
                kind='agent',
                member_id='core-1',
                service_id=stored['service_id'],
            )
        ]
        self.assertEqual(ExitCode.OK, self.run_with_settings('drain', 'core-1'))
        self.edit('queue_length = 200', 'queue_length = 100')
        self.assertEqual(ExitCode.OK, self.apply())
        self.assertEqual(['core-1'], self.get_drained_targets())
        self.assertEqual(
            ExitCode.OK, self.run_with_settings('undrain', 'core-1')
        )
        self.assertEqual([], self.get_drained_targets())
        code = self.run_with_settings('drain', 'nobody')
        self.assertEqual(ExitCode.BAD_USAGE, code)

    def get_drained_targets(self):
        services = self.api.objects[CURRENT]['body']['services']
        return services[0]['drained_targets']

    def test_status_works_with_the_object_api_down(self):
        # Guards against a `status` that needs the object API.
        self.apply()
        self.api.close()
        self.assertEqual(ExitCode.OK, self.run_with_settings('status'))
        self.assertIn('has version 1 in force', self.out.getvalue())
        self.run_with_settings('status', '--json')
        reply = json.loads(self.out.getvalue())
        self.assertEqual(1, reply['configuration_version'])

    def test_wrong_key_is_refused(self):
        # Guards against balancers that answer a tool with the key of
        # another system.
        (self.folder / 'tag.key').write_text(OTHER_SECRET)
        self.assertEqual(ExitCode.UNREACHABLE, self.run_with_settings('status'))
        (self.folder / 'tag.key').write_text(SECRET)
        self.assertEqual(ExitCode.OK, self.run_with_settings('status'))


class ReportTest(CommandTest):
    def setUp(self):
        super().setUp()
        self.init()
        self.outcomes = self.folder / 'outcomes.jsonl'
        lines = [
            {
                'time': 1000.0 + number,
                'service': 'licence-core',
                'customer': '<b>firm</b>',
                'operation': 'status-check',
                'outcome': 'refused' if number < 2 else 'answered',
                'latency_ms': 20,
            }
            for number in range(10)
        ]
        text = '\n'.join(json.dumps(line) for line in lines)
        self.outcomes.write_text(text)

    def report(self, *arguments):
        return self.run_command(
            'report', self.outcomes, '--configuration', self.file, *arguments
        )

    def test_json_has_the_burn_rates(self):
        # Guards against burn rates that are missing from the JSON output.
        # 2 of 10 requests are bad and 0.1% are allowed, a rate of 200.
        self.assertEqual(ExitCode.OK, self.report('--json'))
        report = json.loads(self.out.getvalue())
        row = report['burn'][0]
        self.assertAlmostEqual(200, row['rates_by_window_s']['300'])
        self.assertEqual(['fast', 'slow'], row['alerts'])

    def test_page_is_self_contained_and_escaped(self):
        # Guards against a page that loads other files, and against names
        # that are inserted as HTML.
        page = self.folder / 'burn.html'
        self.assertEqual(ExitCode.OK, self.report('--html', page))
        text = page.read_text()
        self.assertEqual(2, text.count('src="data:image/svg+xml;base64,'))
        self.assertEqual(2, text.count('src='))
        self.assertNotIn('<b>firm', text)
        self.assertIn('8/10 ', self.out.getvalue())

    def test_scrapes_are_kept_in_a_history(self):
        # Guards against failures in the first scrape that raise an alert,
        # although they may date from any time since the process started,
        # and against a second scrape that ignores the first.
        metrics = Metrics()
        labels = {
            'service': 'licence-core',
            'customer': 'firm',
            'operation': 'status-check',
        }
        metrics.add('requests_total', 100, outcome='failed', **labels)
        server = StatusServer(('127.0.0.1', 0), metrics, list)
        server.start()
        self.addCleanup(server.stop)
        url = f'http://127.0.0.1:{server.port}/metrics'
        history = self.folder / 'history.jsonl'
        first = self.scrape(url, history)
        self.assertEqual((0, 100), (first['good'], first['total']))
        self.assertIsNone(first['rates_by_window_s']['300'])
        metrics.add('requests_total', 50, outcome='answered', **labels)
        for _ in range(50):
            metrics.observe('request_duration_seconds', 0.02, **labels)
        second = self.scrape(url, history)
        self.assertEqual((50, 150), (second['good'], second['total']))
        self.assertEqual(0, second['rates_by_window_s']['300'])
        code = self.run_command(
            'report',
            '--metrics',
            'http://127.0.0.1:1/metrics',
            '--configuration',
            self.file,
            '--history',
            history,
        )
        self.assertEqual(ExitCode.UNREACHABLE, code)

    def scrape(self, url, history):
        # Runs in a thread, because the blocking read of the command would
        # stop the event loop that the server runs in.
        code = gevent.get_hub().threadpool.apply(
            self.run_command,
            (
                'report',
                '--metrics',
                url,
                '--json',
                '--configuration',
                self.file,
                '--history',
                history,
            ),
        )
        self.assertEqual(ExitCode.OK, code)
        return json.loads(self.out.getvalue())['burn'][0]

    def test_malformed_lines_are_named(self):
        # Guards against a report that skips malformed input and covers only
        # the rest.
        self.outcomes.write_text('{"time": 1}\n')
        self.assertEqual(ExitCode.BAD_USAGE, self.report())
        self.assertIn('outcomes.jsonl:1:', self.err.getvalue())

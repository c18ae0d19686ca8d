import tempfile

from testtools import TestCase

from greengagepath.foundation.settings import load_settings

from .builders import SETTINGS, write_settings

CONTRADICTIONS = """
[[keys]]
key_id = 1
secret_file = "b"
not_after = "2"

[limits]
lease_s = 4
heartbeat_s = 3.5
"""


class SettingsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def load(self, text=SETTINGS):
        return load_settings(write_settings(self.folder, text))

    def problems(self, text):
        return {entry.key: entry for entry in self.load(text).unwrap_err()}

    def test_valid_settings_have_defaults_and_absolute_key_paths(self):
        # Guards against key paths that depend on the working directory.
        settings = self.load().unwrap()
        self.assertEqual(5, settings.limits.overlay_degree)
        self.assertEqual(f'{self.folder}/tag.key', settings.keys[0].secret_file)

    def test_all_problems_are_reported_at_once_with_lines(self):
        # Guards against a loader that stops at the first bad value.
        text = SETTINGS.replace('4000', '70000').replace('"balancer"', '"x"')
        text = text.replace('key_id = 1', 'key_id = true')
        problems = self.problems(f'{text}colour = "red"\n')
        self.assertEqual(
            {
                'role': (2, "'x'", 'one of balancer, agent'),
                'node.data_port': (
                    7,
                    '70000',
                    'integer at least 1 and at most 65535',
                ),
                'keys[0].key_id': (
                    20,
                    'True',
                    'integer at least 0 and at most 255',
                ),
                'keys[0].colour': (
                    22,
                    "'red'",
                    'one of the keys key_id, secret_file, not_after',
                ),
            },
            {
                key: (entry.line, entry.shown, entry.allowed)
                for key, entry in problems.items()
            },
        )

    def test_missing_key_is_reported_at_its_table(self):
        # Guards against line 0 in the problem of a key that is missing.
        problems = self.problems(SETTINGS.replace('data_port = 4000\n', ''))
        self.assertEqual(4, problems['node.data_port'].line)
        self.assertEqual('(missing)', problems['node.data_port'].shown)

    def test_contradictions_are_refused(self):
        # Guards against accepting values that are valid alone but not
        # together.
        text = SETTINGS.replace('"127.0.0.1"', '"127.0.0.300"')
        text = text.replace('"balancer"\n', '"agent"\n')
        text = text.replace('http://', 'ftp://')
        self.assertEqual(
            {
                'node.host',
                'fabric.host',
                'target',
                'object_api.url',
                'keys[1].key_id',
                'keys[1].not_after',
                'limits.lease_renew_s',
                'limits.heartbeat_s',
            },
            self.problems(f'{text}{CONTRADICTIONS}').keys(),
        )

    def test_syntax_error_names_the_line(self):
        # Guards against a traceback for a file that is not TOML.
        problems = self.problems(f'{SETTINGS}broken\n')
        self.assertEqual(22, problems['syntax'].line)

    def test_unreadable_file_is_a_problem(self):
        # Guards against a traceback for a wrong path.
        problems = load_settings(f'{self.folder}/none.toml').unwrap_err()
        self.assertEqual(['file'], [problem.key for problem in problems])

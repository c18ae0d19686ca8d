import tempfile
from pathlib import Path

from msgspec import structs
from testtools import TestCase

from greengagepath.configuration.diff import diff_services
from greengagepath.configuration.files import (
    compute_digest,
    format_configuration,
    load_configuration,
    update_base,
)

from .builders import build_services, replace_limits


class ConfigurationFilesTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder, 'configuration.toml')
        services = build_services()
        self.core = services[0]
        self.desk = services[1]

    def problems(self, services):
        self.path.write_text(format_configuration(services))
        found = load_configuration(self.path).unwrap_err()
        return {problem.key for problem in found}

    def test_all_contradictions_are_found_at_once(self):
        # Guards against an invalid configuration that is stored and fails
        # only in the balancers.
        core = structs.replace(
            replace_limits(self.core, slots=1),
            host='10.0.0.256',
            operations=[
                structs.replace(
                    self.core.operations[0],
                    size_class='long',
                    path_prefix='status',
                ),
            ],
        )
        desk = structs.replace(
            self.desk, service_id=core.service_id, host='10.0.0.256'
        )
        self.assertEqual(
            {
                'services[1].service_id',
                'services[1].port',
                'services[0].host',
                'services[1].host',
                'services[0].operations[0].path_prefix',
                'services[0].operations[0].size_class',
                'services[0].objectives[1].operation',
            },
            self.problems([core, desk]),
        )

    def test_drained_targets_in_a_file_are_refused(self):
        # Guards against an `apply` that silently undoes a drain, because
        # the file was made before it.
        text = format_configuration([self.core]).replace(
            'port = 7100', 'port = 7100\ndrained_targets = ["a"]'
        )
        self.path.write_text(text)
        found = load_configuration(self.path).unwrap_err()
        self.assertEqual(
            ['services[0].drained_targets'],
            [problem.key for problem in found],
        )

    def test_base_is_changed_in_place(self):
        # Guards against a file that loses its comments and order when the
        # base is replaced.
        notes = {'services[0].limits.queue_length': 'a note'}
        text = format_configuration([self.core], notes_by_key=notes)
        self.assertIn('# a note\nqueue_length = 200\n', text)
        self.path.write_text(text)
        update_base(self.path, 'abcd')
        self.assertEqual(
            text.replace('base = ""', 'base = "abcd"'), self.path.read_text()
        )

    def test_digest_ignores_order_and_drained_targets(self):
        # Guards against a drain that makes every operator's file
        # conflict with the stored version.
        drained = structs.replace(self.core, drained_targets=['core-1'])
        self.assertEqual(
            compute_digest([self.core, self.desk]),
            compute_digest([self.desk, drained]),
        )
        changed = replace_limits(self.core, slots=3)
        self.assertNotEqual(
            compute_digest([self.core]), compute_digest([changed])
        )

    def test_diff_names_entries_and_values(self):
        # Guards against entries that are matched by position: one added
        # or removed entry would then change all that follow it.
        core = structs.replace(
            replace_limits(self.core, slots=3),
            operations=self.core.operations[1:],
            customers=list(reversed(self.core.customers)),
            drained_targets=['core-1'],
        )
        changes = {
            change.path: (change.before, change.after)
            for change in diff_services([self.core], [core])
        }
        prefix = 'services.licence-core'
        self.assertEqual(('2', '3'), changes.pop(f'{prefix}.limits.slots'))
        self.assertEqual(
            ('(absent)', 'core-1'), changes.pop(f'{prefix}.drained_targets')
        )
        self.assertTrue(
            all('operations.status-check' in path for path in changes)
        )
        self.assertEqual(6, len(changes))

import tempfile
from pathlib import Path

from testtools import TestCase

from greengagepath.configuration.checks import find_contradictions
from greengagepath.configuration.derivation import derive_services
from greengagepath.configuration.explanations import explain_derived_values
from greengagepath.configuration.files import (
    format_configuration,
    load_configuration,
)
from greengagepath.configuration.questionnaire import load_answers

from .builders import COOPERATIVE, JINHUA


class QuestionnaireTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def problems(self, *replacements):
        text = COOPERATIVE.read_text()
        for before, after in replacements:
            self.assertIn(before, text)
            text = text.replace(before, after, 1)
        path = self.folder / 'answers.toml'
        path.write_text(text)
        found = load_answers(path).unwrap_err()
        return {problem.key: problem.allowed for problem in found}

    def test_examples_give_configurations_that_pass_the_checks(self):
        # Guards against generated files that `check` would refuse.
        for name in (COOPERATIVE, JINHUA):
            answers = load_answers(name).unwrap()
            services = derive_services(answers)
            self.assertEqual([], list(find_contradictions(services)))
            path = self.folder / 'configuration.toml'
            notes = explain_derived_values(answers)
            path.write_text(format_configuration(services, notes_by_key=notes))
            loaded = load_configuration(path).unwrap()
            self.assertEqual(services, loaded.services)

    def test_derived_values_of_the_cooperative(self):
        # Guards against unintended changes of the formulas; the values
        # are computed by hand from the example's answers.
        core, desk = derive_services(load_answers(COOPERATIVE).unwrap())
        self.assertEqual(
            [('status-check', 'short', True), ('renewal', 'short', False)],
            [
                (entry.name, entry.size_class.value, entry.idempotent)
                for entry in core.operations
            ],
        )
        self.assertEqual('long', desk.operations[0].size_class.value)
        # 2 slots times 2000 ms / 20 ms.
        self.assertEqual(200, core.limits.queue_length)
        # 140/s over 7 targets, kept 20 s, 4 times.
        self.assertEqual(1600, core.limits.request_records)
        self.assertEqual(2 * 256 * 1024, core.limits.max_request_bytes)
        self.assertEqual(2 * 32768 * 1024, desk.limits.max_answer_bytes)
        self.assertEqual(120, desk.limits.drain_s)
        self.assertEqual(0.999, core.objectives[0].target_share)

    def test_ids_do_not_depend_on_the_order(self):
        # Guards against ids that depend on positions: flows of one
        # service would reach another after a service is added in front.
        text = COOPERATIVE.read_text()
        head, core, desk = text.split('[[services]]')
        path = self.folder / 'answers.toml'
        path.write_text(f'{head}[[services]]{desk}[[services]]{core}')
        services = derive_services(load_answers(path).unwrap())
        original = derive_services(load_answers(COOPERATIVE).unwrap())
        self.assertEqual(
            {entry.name: entry.service_id for entry in original},
            {entry.name: entry.service_id for entry in services},
        )

    def test_contradictions_name_the_question(self):
        # Guards against a configuration that is derived from
        # contradictory answers.
        problems = self.problems(
            ('idempotent = true', 'idempotent = false'),
            ('deadline_ms = 10000', 'deadline_ms = 100'),
            ('port = 7100', 'port = 7101'),
            ('name = "fremantle-taxis"', 'name = "swan-river-cabs"'),
            ('path_prefix = "/bundles"', 'path_prefix = "bundles"'),
            ('usual_per_s = 120', 'usual_per_s = 12000'),
        )
        self.assertEqual(
            {
                'services[0].operations[0].idempotent',
                'services[0].operations[1].deadline_ms',
                'services[0].operations[1].objective_ms',
                'services[0].targets',
                'services[1].operations[0].path_prefix',
                'customers[1].name',
            },
            problems.keys(),
        )
        # 12000/s at 20 ms and 20/s at 120 ms keep 242.4 slots busy.
        self.assertIn('at least 122', problems['services[0].targets'])

    def test_long_work_needs_a_second_slot(self):
        # Guards against short work that waits behind long work on the
        # only slot.
        text = COOPERATIVE.read_text()
        before, after = text.rsplit('slots_per_target = 2', 1)
        path = self.folder / 'answers.toml'
        path.write_text(f'{before}slots_per_target = 1{after}')
        problems = load_answers(path).unwrap_err()
        self.assertEqual(
            ['services[1].slots_per_target'],
            [problem.key for problem in problems],
        )
        self.assertEqual(
            text.splitlines().index('name = "report-desk"') + 5,
            problems[0].line,
        )

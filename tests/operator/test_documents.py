import runpy
import subprocess
import sys
from typing import get_args

from testtools import TestCase

from greengagepath.cli.tool import Tool
from greengagepath.foundation.metrics import DEFINITIONS, PREFIX

from .builders import ROOT

EXAMPLE = ROOT / 'examples' / 'embedding.py'


class DocumentsTest(TestCase):
    def test_embedding_example_runs_and_distributes_the_work(self):
        # Guards against an example that breaks when the modules change, and
        # against one that refuses work or distributes it unevenly.
        names = runpy.run_path(str(EXAMPLE))
        ended = names['run_work'](400)
        self.assertEqual(400, sum(ended.values()))
        self.assertEqual(0, ended.pop('refused'))
        self.assertGreater(min(ended.values()), 400 / 4 * 0.8)
        self.assertEqual(names['run_work'](400, seed=3)['refused'], 0)

    def test_embedding_example_runs_as_a_program(self):
        # Guards against an example that runs only inside the test process,
        # because its imports depend on the paths set there.
        run = subprocess.run(
            [sys.executable, str(EXAMPLE)],
            env={'PYTHONPATH': str(ROOT)},
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertIn('worker-0:', run.stdout)

    def test_operations_page_lists_every_metric(self):
        # Guards against metrics that are missing from the operations page,
        # so that an on-call engineer cannot look them up.
        page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
        for definition in DEFINITIONS:
            labels = ', '.join(definition.labels) or '-'
            row = (
                f'| `{PREFIX}{definition.name}` | {definition.kind.value}'
                f' | {labels} | {definition.meaning} |'
            )
            self.assertIn(row, page)

    def test_readme_names_every_command_and_folder(self):
        # Guards against new commands and packages that are missing from the
        # overview in the README.
        readme = (ROOT / 'README.md').read_text()
        for command in get_args(Tool.__annotations__['command'])[0].__args__:
            self.assertIn(f'`{command.__name__.lower()}`', readme)
        packages = (ROOT / 'greengagepath').glob('*/__init__.py')
        for package in packages:
            name = f'`greengagepath/{package.parent.name}/`'
            self.assertIn(name, readme)

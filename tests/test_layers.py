"""Layers of the package: modules import from lower layers only."""

import ast
from collections.abc import Iterator
from pathlib import Path

from testtools import TestCase

PACKAGE = Path(__file__).parents[1] / 'greengagepath'
# Lowest layer first. `daemon` is below `emulator` and `cli`, because the
# demo and the commands share its module of the tool's connections.
LAYERS = (
    'generated',
    'foundation',
    'protocol',
    'evacuation',
    'pace',
    'routing',
    'admission',
    'steering',
    'configuration',
    'membership',
    'agent',
    'caller',
    'datapath',
    'reports',
    'daemon',
    'platform',
    'startup',
    'output',
    'emulator',
    'bench',
    'cli',
)


class LayersTest(TestCase):
    def test_every_package_has_a_layer(self):
        # Guards against a new package that the next test does not check
        # because it is missing in `LAYERS`.
        packages = {path.parent.name for path in PACKAGE.glob('*/__init__.py')}
        self.assertEqual(packages, set(LAYERS))

    def test_no_package_imports_from_a_higher_layer(self):
        # Guards against decision modules that depend on sockets or
        # commands, and against roles that load modules which only other
        # roles need.
        found = [
            f'{path.parent.name} imports {imported} in {path.name}'
            for path, imported in _list_imports()
            if LAYERS.index(imported) > LAYERS.index(path.parent.name)
        ]
        self.assertEqual([], found)

    def test_root_contains_entry_points_only(self):
        # Guards against modules that are added to the root of the
        # package, which once held 52.
        self.assertEqual(
            {'__init__.py', '__main__.py', 'client.py'},
            {path.name for path in PACKAGE.glob('*.py')},
        )


def _list_imports() -> Iterator[tuple[Path, str]]:
    """Yield each module in a package and a package that it imports."""
    for path in PACKAGE.glob('*/*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.level == 2:
                imported = node.module or node.names[0].name
                yield path, imported.partition('.')[0]

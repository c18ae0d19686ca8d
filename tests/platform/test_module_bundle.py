"""Import of modules from a bundle file, as at the start of a daemon."""

import dataclasses
import marshal
import re
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from testtools import TestCase

from greengagepath.startup.bundle_writer import write_bundle
from greengagepath.startup.module_bundle import FORMAT, install_bundle
from greengagepath.startup.precompiled import PatternTable, SourceTable
from greengagepath.startup.precompiler import (
    SourceRecorder,
    compile_loaded_patterns,
)

ROOT = Path(__file__).parents[2]


class ModuleBundleTest(TestCase):
    def test_modules_come_from_the_bundle(self):
        # Guards against a bundle that lacks modules, which the slower
        # import then loads unnoticed.
        folder = self._make_folder()
        path = str(folder / 'modules.bundle')
        write_bundle(
            path, ['json', 'json.decoder', 'greengagepath.foundation.timers']
        )
        script = (
            'import sys\n'
            'from greengagepath.startup.module_bundle import install_bundle\n'
            f'assert install_bundle({path!r})\n'
            'import json\n'
            'print(type(json.__spec__.loader).__name__, json.loads("1"))\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', script],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('BundleFinder 1\n', done.stdout)

    def test_namespace_package_comes_from_the_bundle(self):
        # Guards against a start that fails, because a library is part of a
        # namespace package and its folder is not on the path.
        folder = self._make_folder()
        (folder / 'spaced' / 'part').mkdir(parents=True)
        (folder / 'spaced' / 'part' / '__init__.py').write_text('SIZE = 3\n')
        path = folder / 'modules.bundle'
        writing = (
            'import sys\n'
            f'sys.path.append({str(folder)!r})\n'
            'import spaced.part\n'
            'from greengagepath.startup.bundle_writer import write_bundle\n'
            f'write_bundle({str(path)!r}, ["spaced", "spaced.part"])\n'
        )
        subprocess.run([sys.executable, '-c', writing], cwd=ROOT, check=True)
        done = self._run_with_bundle(
            path, 'import spaced.part; print(spaced.part.SIZE)'
        )
        self.assertEqual('3\n', done.stdout)

    def test_error_tools_are_loaded_at_their_first_use(self):
        # Guards against a start that loads `inspect` and what it needs, for
        # which nothing asks before the first error.
        path = self._make_folder() / 'modules.bundle'
        write_bundle(str(path), ['ast', 'dis', 'inspect', 'opcode'])
        done = self._run_with_bundle(
            path,
            'import sys\n'
            'for name in ("ast", "dis", "inspect"):\n'
            '    sys.modules.pop(name, None)\n'
            'sys.modules.pop("opcode", None)\n'
            'import inspect\n'
            'import inspect\n'
            'print("opcode" in sys.modules)\n'
            'print(inspect.isclass(int), "opcode" in sys.modules)\n'
            'print(type(inspect) is type(sys))\n',
        )
        self.assertEqual('False\nTrue True\nTrue\n', done.stdout)

    def test_bundled_data_classes_do_not_load_inspect(self):
        # Guards against a start in which `dataclass` loads `inspect` to
        # derive a docstring from the signature of a class.
        folder = self._make_folder()
        (folder / 'points.py').write_text(
            'from dataclasses import dataclass\n\n\n'
            '@dataclass\nclass Point:\n    x: int\n'
        )
        path = folder / 'modules.bundle'
        writing = (
            'import inspect, sys\n'
            f'sys.path.append({str(folder)!r})\n'
            'import points\n'
            'from greengagepath.startup.bundle_writer import write_bundle\n'
            f'write_bundle({str(path)!r}, ["points"])\n'
        )
        subprocess.run([sys.executable, '-c', writing], cwd=ROOT, check=True)
        (folder / 'points.py').unlink()
        done = self._run_with_bundle(
            path,
            'import inspect, points\n'
            'inspect.signature = None\n'
            'import importlib, sys\n'
            'del sys.modules["points"]\n'
            'import points\n'
            'print(points.Point.__doc__)\n',
        )
        self.assertEqual('Point(x: int)\n', done.stdout)

    def test_precompiled_pattern_is_the_one_that_re_compiles(self):
        # Guards against a pattern that matches otherwise, or lacks its
        # groups, in a role that starts from the bundle.
        patterns = (
            (rb'(?P<name>[a-z]+):[ \t]*(?P<value>.*)', 0),
            ('(?i)ab|c', re.MULTILINE),
            ('x(y)?', re.DOTALL | re.ASCII),
        )
        for pattern, flags in patterns:
            expected = re.compile(pattern, flags)
            compiler = SimpleNamespace(compile=self.fail)
            PatternTable(compile_loaded_patterns()).install(compiler)
            found = compiler.compile(pattern, int(flags))
            self.assertEqual(expected, found)
            self.assertEqual(expected.groupindex, found.groupindex)
            self.assertEqual(expected.groups, found.groups)

    def test_unknown_pattern_is_compiled_as_usual(self):
        # Guards against modules that fail, because the build did not load
        # them, and against errors of patterns that are lost.
        compiler = SimpleNamespace(compile=re._compiler.compile)
        PatternTable({}).install(compiler)
        self.assertEqual('ab', compiler.compile('a.').match('abc').group())
        self.assertRaises(re.error, compiler.compile, '(')

    def test_data_class_has_the_methods_of_its_source(self):
        # Guards against a data class of the bundle that compares or shows
        # otherwise, and against one that the build did not load.
        with mock.patch.object(dataclasses, 'exec', exec, create=True):
            recorder = SourceRecorder()
            recorder.install()
            dataclasses.make_dataclass('Point', [('x', int)], frozen=True)
            table = SourceTable(recorder.code_by_source)
            table.install(dataclasses)
            for name in ('x', 'y'):
                point = dataclasses.make_dataclass(
                    'Point', [(name, int)], frozen=True
                )
                self.assertEqual(f'Point({name}=1)', repr(point(1)))
                self.assertEqual(point(1), point(1))
                self.assertNotEqual(point(1), point(2))
                self.assertRaises(
                    dataclasses.FrozenInstanceError, setattr, point(1), 'x', 2
                )

    def test_missing_or_foreign_bundle_leaves_the_usual_import(self):
        # Guards against a daemon that does not start after an upgrade of
        # Python, because its bundle is of the earlier version.
        folder = self._make_folder()
        self.assertFalse(install_bundle(str(folder / 'absent')))
        foreign = folder / 'foreign'
        write_bundle(str(foreign), [])
        written = foreign.read_bytes()
        version = sys.version.encode()
        self.assertIn(version, written)
        foreign.write_bytes(written.replace(version, b'x' * len(version)))
        self.assertFalse(install_bundle(str(foreign)))

    def test_damaged_bundle_leaves_the_usual_import_and_is_reported(self):
        # Guards against processes that end with EOFError, because they start
        # while a build writes the bundle, or after it was cut off.
        path = self._make_folder() / 'modules.bundle'
        write_bundle(str(path), ['json', 'json.decoder'])
        whole = path.read_bytes()
        damaged_by_reason = {
            'not the whole bundle': whole[:-1],
            'shorter than the index': whole[:100],
            'EOFError': b'',
            f'layout {FORMAT - 1}': _change_index(whole, format=FORMAT - 1),
            'ValueError': whole.replace(
                _read_index(whole), b'?' * len(_read_index(whole))
            ),
            'KeyError': whole.replace(b'modules', b'mudoles'),
        }
        for reason, damaged in damaged_by_reason.items():
            path.write_bytes(damaged)
            done = self._run_with_bundle(path, 'assert not is_used')
            self.assertEqual(1, done.stderr.count('\n'), done.stderr)
            self.assertIn(str(path), done.stderr)
            self.assertIn(reason, done.stderr)

    def test_damaged_module_is_imported_from_its_source(self):
        # Guards against a start that fails at one module, if the code in
        # the bundle was damaged without a change of its length.
        path = self._make_folder() / 'modules.bundle'
        write_bundle(str(path), ['json', 'json.decoder'])
        whole = path.read_bytes()
        index_end = 8 + len(_read_index(whole))
        path.write_bytes(whole[:index_end] + b'?' * (len(whole) - index_end))
        done = self._run_with_bundle(
            path, 'import json; print(json.loads("1"))'
        )
        self.assertEqual('1\n', done.stdout)
        self.assertIn('json/__init__.py is not used', done.stderr)

    def test_bundle_is_replaced_while_it_is_open(self):
        # Guards against a bundle that is rewritten in place: a process that
        # has it open would read code from offsets of the file before.
        folder = self._make_folder()
        path = folder / 'modules.bundle'
        write_bundle(str(path), ['json', 'json.decoder', 'bisect'])
        script = (
            'import os\n'
            'from greengagepath.startup.bundle_writer import write_bundle\n'
            f'write_bundle({str(path)!r}, ["os"])\n'
            'import bisect\n'
            'print(type(bisect.__spec__.loader).__name__)\n'
        )
        done = self._run_with_bundle(path, script)
        self.assertEqual(('BundleFinder\n', ''), (done.stdout, done.stderr))
        self.assertEqual([path], list(folder.iterdir()))

    def _run_with_bundle(self, path: Path, script: str):
        """Run a script in a process that imports from the bundle."""
        head = (
            'from greengagepath.startup.module_bundle import install_bundle\n'
            f'is_used = install_bundle({str(path)!r})\n'
        )
        return subprocess.run(
            [sys.executable, '-c', head + script],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )

    def _make_folder(self) -> Path:
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        return Path(holder.name)


def _read_index(whole: bytes) -> bytes:
    return whole[8 : 8 + int.from_bytes(whole[:8], 'big')]


def _change_index(whole: bytes, **changes) -> bytes:
    index = _read_index(whole)
    changed = marshal.dumps(marshal.loads(index) | changes)
    code = whole[8 + len(index) :]
    return len(changed).to_bytes(8, 'big') + changed + code

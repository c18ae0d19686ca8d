"""Import of modules from a bundle file, as at the start of a daemon."""

import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

from greengagepath.startup.module_bundle import install_bundle, write_bundle

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

    def _make_folder(self) -> Path:
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        return Path(holder.name)

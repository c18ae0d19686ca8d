"""Modules that a role loads until its sockets are open."""

import json
import subprocess
import sys
import tempfile

from testtools import TestCase

from .test_module_bundle import ROOT

# As `deploy/launch.py` and `greengagepath.platform` do, up to the event loop.
SCRIPT = """
import sys
sys.path[0] = {root!r}
from greengagepath.startup.module_bundle import install_bundle
assert install_bundle({bundle!r})
before = set(sys.modules)
import greengagepath.platform.__main__ as platform
import greengagepath.daemon.steering_{role} as role
import gevent
platform._configure_gevent()
gevent.get_hub()
from greengagepath.daemon.steering_process import SteeringProcess
from greengagepath.platform.store import PlatformStore
PlatformStore(('127.0.0.1', 1))
import json
print(json.dumps([
    [name, type(getattr(module, '__loader__', None)).__name__]
    for name, module in sys.modules.items()
    if name not in before and name != '__main__'
]))
"""
# What the first packet does not need.
LATE = {
    'aioprometheus',
    'asyncio',
    'datetime',
    'gevent.pool',
    'gevent.resolver.thread',
    'gevent.server',
    'gevent.ssl',
    'gevent.subprocess',
    'gevent.threadpool',
    'h11._connection',
    'opcode',
    'pathlib',
    'pprint',
    'tomllib',
    'urllib.parse',
}


class StartImportsTest(TestCase):
    def test_roles_start_from_the_bundle_and_load_no_more_than_they_need(self):
        # Guards against a start that finds, and perhaps compiles, a module
        # outside of the bundle: `pprint` took 7 ms of every start. Guards
        # also against imports that the first packet does not need.
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        subprocess.run(
            [sys.executable, '-m', 'greengagepath.startup', holder.name],
            cwd=ROOT,
            check=True,
            stdout=subprocess.DEVNULL,
        )
        bundle = f'{holder.name}/modules.bundle'
        for role in ('balancer', 'agent'):
            script = SCRIPT.format(root=str(ROOT), bundle=bundle, role=role)
            done = subprocess.run(
                [sys.executable, '-c', script],
                cwd=ROOT,
                check=True,
                capture_output=True,
            )
            loader_by_name = dict(json.loads(done.stdout))
            sources = {
                name
                for name, loader in loader_by_name.items()
                if loader == 'SourceFileLoader'
            }
            self.assertEqual(set(), sources, role)
            self.assertEqual(set(), LATE & loader_by_name.keys(), role)

"""The store client against a stand-in over HTTP."""

import subprocess
import sys

import gevent
from testtools import TestCase

from greengagepath.foundation.store_version import StoreVersion
from greengagepath.platform.store import PlatformStore
from greengagepath.steering.store import Member, MemberRole

from .builders import make_configuration
from .stand_in import StoreStandIn

OWN = Member(bytes((10, 1, 0, 13)), MemberRole.AGENT)


class PlatformStoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.stand_in = StoreStandIn()
        self.addCleanup(self.stand_in.stop)
        self.store = PlatformStore(self.stand_in.address)

    def test_reads_the_configuration(self):
        # Guards against a balancer without routes, because it misses the
        # stored configuration.
        self.stand_in.put('config', 'main', make_configuration(7))
        stored = self.store.read_routes().unwrap()
        self.assertEqual(7, stored.table.version)
        self.assertEqual(self.stand_in.revision, stored.version.revision)

    def test_watch_brings_the_next_version(self):
        # Guards against a change that comes into force late, because the
        # watch does not return it.
        self.stand_in.put('config', 'main', make_configuration(7))
        version = self.store.read_routes().unwrap().version
        waiting = gevent.spawn(self.store.watch_routes, version)
        gevent.sleep(0.05)
        self.stand_in.put('config', 'main', make_configuration(9))
        stored = waiting.get(timeout=2).unwrap()
        self.assertEqual(9, stored.table.version)

    def test_lost_history_is_reported(self):
        # Guards against a watch that is repeated forever after a status
        # 410, instead of a new read.
        self.stand_in.put('config', 'main', make_configuration(7))
        self.stand_in.discard_history()
        problem = self.store.watch_routes(StoreVersion()).unwrap_err()
        self.assertTrue(problem.is_history_lost)

    def test_refused_call_returns_an_error(self):
        # Guards against an exception that ends the process when the
        # store refuses a call.
        self.stand_in.forced_status = 503
        problem = self.store.read_routes().unwrap_err()
        self.assertEqual('status 503', problem.reason)
        self.assertEqual(1, self.store.calls['read_routes', '503'])

    def test_unreachable_store_returns_an_error(self):
        # Guards against an exception that ends the process when the
        # store does not answer.
        self.stand_in.stop()
        self.assertTrue(self.store.list_members().is_err())

    def test_registration_replaces_an_earlier_vm_of_the_same_address(self):
        # Guards against a reused address that keeps the role of the
        # earlier VM.
        kind = 'greengagepath-members'
        self.stand_in.put(kind, '10.1.0.13', {'role': 'balancer'})
        self.assertTrue(self.store.add_member(OWN).is_ok())
        listed = self.store.list_members().unwrap()
        self.assertEqual(
            [MemberRole.AGENT], [entry.role for entry in listed.members]
        )

    def test_malformed_members_are_left_out(self):
        # Guards against malformed entries of other writers that fail the
        # whole list.
        kind = 'greengagepath-members'
        for name, spec in (
            ('x', {'role': 'agent'}),
            ('10.1.0.1', None),
            ('10.1.0.2', {'role': 7}),
            ('10.1.0.3', ['agent']),
            ('10.1.0.4', {'role': 'agent'}),
        ):
            self.stand_in.put(kind, name, spec)
        listed = self.store.list_members().unwrap()
        self.assertEqual(
            [bytes((10, 1, 0, 4))], [m.address for m in listed.members]
        )

    def test_malformed_configuration_returns_an_error(self):
        # Guards against a malformed route that makes the configuration
        # look empty, so that all routes are removed.
        broken = make_configuration()
        broken['routes'][0]['host'] = 'x'
        self.stand_in.put('config', 'main', broken)
        self.assertTrue(self.store.read_routes().is_err())

    def test_calls_load_no_resolver(self):
        # Guards against a start that loads the thread pool of name
        # look-ups, 8 ms of processor time, though addresses are numbers.
        script = (
            'import sys\n'
            'from greengagepath.daemon.http_connection import HttpConnection\n'
            f'connection = HttpConnection({self.stand_in.address!r})\n'
            'print(connection.call("GET", "/objects/config", b"", 0.2))\n'
            'print("concurrent.futures" in sys.modules)\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('False', done.stdout.split()[-1])

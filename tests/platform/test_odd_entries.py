"""Entries and messages of other writers that cannot be decoded.

One odd entry must neither end a greenlet nor hide the entries beside it.
"""

import json
import random

import gevent
from gevent.event import Event
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result
from testtools import TestCase

from greengagepath.daemon.http_listener import (
    HttpListener,
    HttpReply,
    HttpRequest,
)
from greengagepath.daemon.membership_listing import MembershipListing
from greengagepath.daemon.route_follower import RouteFollower
from greengagepath.foundation.store_version import StoreVersion
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.platform.configuration import decode_configuration
from greengagepath.platform.heartbeats import decode_heartbeat
from greengagepath.platform.store import PlatformStore
from greengagepath.steering.balancer.balancer_contacts import BalancerIdentity
from greengagepath.steering.balancer.balancer_steering import BalancerSteering
from greengagepath.steering.messages.peer_messages import (
    NO_SERVICE,
    LoadReport,
    PeerKind,
    PeerMessage,
    ReportedState,
    decode_message,
    decode_report,
    decode_roster,
)
from greengagepath.steering.messages.route_codec import decode_routes
from greengagepath.steering.store import (
    Member,
    MemberRole,
    StoredRoutes,
    StoreProblem,
)

from ..steering.recorder import RecordingOutbox
from .builders import make_configuration, make_heartbeat_body, make_object
from .odd_values import LONG_INTEGER, ODD_JSON, odd_values

READ = StoreVersion(revision=1)
OWN = Member(bytes((10, 1, 0, 13)), MemberRole.AGENT)
VALID = bytes((10, 1, 0, 4))
_ODD = '"odd-value"'


class FixedStore:
    """Answers every read with given bytes and accepts every write."""

    def __init__(self) -> None:
        self.body = b'{}'
        self._listener = HttpListener(('127.0.0.1', 0), self._answer)
        self._listener.start()
        self.client = PlatformStore(('127.0.0.1', self._listener.port))

    def stop(self) -> None:
        self._listener.stop()

    def serve_members(self, odd_json: str) -> None:
        """Answer with a valid member between two odd entries."""
        odd_spec = make_object('10.1.0.3', {'role': 'odd-value'})
        odd_name = make_object('odd-value', {'role': 'agent'})
        valid = make_object('10.1.0.4', {'role': 'agent'})
        items = [odd_spec, valid, odd_name, 'odd-value']
        self.serve({'items': items, 'current-rev': 5}, odd_json)

    def serve(self, answer: object, odd_json: str = _ODD) -> None:
        """Answer with JSON in which `odd-value` is replaced."""
        text = json.dumps(answer).replace(_ODD, odd_json)
        self.body = text.encode('utf-8', 'surrogatepass')

    def _answer(self, _: HttpRequest) -> HttpReply:
        return HttpReply(200, self.body)


class OddMembersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = FixedStore()
        self.addCleanup(self.store.stop)

    def test_members_beside_an_odd_entry_are_found(self):
        # Guards against a fleet that finds no member, because one entry
        # is deeply nested, unhashable or has a number out of range.
        for odd_json in ODD_JSON:
            self.store.serve_members(odd_json)
            listed = self.store.client.list_members().unwrap()
            self.assertIn(
                VALID, [m.address for m in listed.members], odd_json[:40]
            )

    def test_members_beside_undecodable_bytes_are_found(self):
        # Guards against a list that is dropped for one byte that is not
        # UTF-8.
        self.store.serve_members(_ODD)
        self.store.body = self.store.body.replace(b'odd-value', b'\xff\xfe')
        listed = self.store.client.list_members().unwrap()
        self.assertEqual([VALID], [m.address for m in listed.members])

    def test_odd_entries_are_counted(self):
        # Guards against entries that are skipped without a trace.
        self.store.serve_members('["agent"]')
        self.store.client.list_members().unwrap()
        self.assertEqual(
            3, self.store.client.calls['list_members', 'odd_entry']
        )

    def test_any_answer_gives_a_result(self):
        # Guards against an exception for an answer of another shape.
        for field in ('items', 'events', 'current-rev', 'more'):
            for odd_json in ODD_JSON:
                answer = {'current-rev': 5, field: 'odd-value'}
                self.store.serve(answer, odd_json)
                self.store.client.list_members()
                self.store.client.read_routes()
                self.store.client.watch_routes(READ)

    def test_process_registers_beside_an_odd_entry(self):
        # Guards against a listing that ends by an exception, so that a
        # process that starts later reads no members and does not
        # register.
        self.store.serve_members('["agent"]')
        listed = Event()
        MembershipListing(
            self.store.client, OWN, lambda *_: listed.set()
        ).start()
        self.assertTrue(listed.wait(2))


class OddConfigurationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = FixedStore()
        self.addCleanup(self.store.stop)

    def test_watch_goes_on_after_an_unreadable_version(self):
        # Guards against a watch that returns to reading the store each
        # second, because one version of several cannot be decoded.
        unreadable = make_configuration(8)
        unreadable['routes'][0]['path-prefix'] = '/70000/'
        events = [
            {'object': make_object('main', spec), 'removed': False}
            for spec in (make_configuration(7), unreadable)
        ]
        self.store.serve({'events': events, 'current-rev': 9})
        stored = self.store.client.watch_routes(READ).unwrap()
        self.assertEqual(7, stored.table.version)
        self.assertEqual(9, stored.version.revision)

    def test_values_out_of_range_are_refused(self):
        # Guards against an exception, now or when the first packet of
        # the route is handled, for a port, objective or priority that
        # does not fit.
        for field, odd in (
            ('path-prefix', '/70000/'),
            ('path-prefix', '/-1/'),
            ('path-prefix', '/0/'),
            ('target-latency-ms', float('inf')),
            ('target-latency-ms', -5),
            ('target-latency-ms', 10**400),
            ('priority', -1),
            ('priority', float('inf')),
            ('host', '198.18.0.1\0'),
        ):
            spec = make_configuration()
            spec['routes'][0][field] = odd
            decoded = decode_configuration(spec)
            self.assertTrue(decoded.is_err(), f'{field} {odd}')

    @given(odd_values(), st.sampled_from(('host', 'name', 'backends')))
    def test_any_route_gives_a_result(self, odd, field):
        # Guards against an exception for a route of another writer.
        spec = make_configuration()
        spec['routes'][1][field] = odd
        decode_configuration(spec)
        decode_configuration({'version': 7, 'routes': odd})
        decode_configuration(odd)

    def test_weights_out_of_range_are_refused(self):
        # Guards against an infinite or negative weight, with which no
        # service of a split route can be chosen.
        for odd in (float('inf'), float('nan'), -1, 10**400):
            spec = make_configuration()
            spec['routes'][0]['backends'][0]['weight'] = odd
            self.assertTrue(decode_configuration(spec).is_err(), odd)


class OddHeartbeatTest(TestCase):
    def test_numbers_that_fit_no_report_are_refused(self):
        # Guards against an agent whose load reports fail from then on,
        # because a heartbeat had a start time of more than 64 bits.
        for field in ('born', 'sequence', 'slots'):
            body = make_heartbeat_body(**{field: 2**64})
            decoded = decode_heartbeat('i-1', body, 'huvo11a')
            self.assertTrue(decoded.is_err(), field)

    def test_largest_numbers_fit_a_report(self):
        # Guards against a bound that is higher than what a report holds.
        body = make_heartbeat_body(born=2**64 - 1, slots=2**64 - 1)
        heartbeat = decode_heartbeat('i-1', body, 'huvo11a').unwrap()
        report = LoadReport(
            ReportedState.READY,
            started_ms=heartbeat.started_ms,
            slots=heartbeat.slots,
        )
        self.assertTrue(decode_report(report.encode()).is_ok())

    def test_heartbeat_with_a_long_integer_is_refused(self):
        # Guards against an exception for an integer of 5,000 digits.
        body = make_heartbeat_body(born=7).replace(
            b'"born": 7', b'"born": %b' % LONG_INTEGER.encode()
        )
        self.assertTrue(decode_heartbeat('i-1', body, 'huvo11a').is_err())

    def test_heartbeat_without_a_field_is_refused(self):
        # Guards against a target that another writer names: its report
        # lacks a field, or has one of another type or out of range.
        for field in json.loads(make_heartbeat_body()):
            # The page's example has no start time.
            if field != 'born':
                body = make_heartbeat_body(**{field: None})
                decoded = decode_heartbeat('i-1', body, 'huvo11a')
                self.assertTrue(decoded.is_err(), field)
        for odd in (
            {'zone': 7},
            {'version': ['v1']},
            {'cold-remaining-ms': -1},
            {'cold-remaining-ms': '0'},
            {'address': '10.128.0.9'},
            {'address': '10.128.0.9:0'},
            {'address': '10.128.0.9:65536'},
            {'address': f'10.128.0.9:{LONG_INTEGER}'},
            {'address': 'x:8080'},
        ):
            body = make_heartbeat_body(**odd)
            decoded = decode_heartbeat('i-1', body, 'huvo11a')
            self.assertTrue(decoded.is_err(), odd)

    @given(odd_values(), st.sampled_from(('service', 'state', 'born')))
    def test_any_heartbeat_gives_a_result(self, odd, field):
        # Guards against an exception for a heartbeat of another writer.
        fields = json.loads(make_heartbeat_body())
        fields[field] = odd
        for value in (fields, odd):
            body = json.dumps(value).encode('utf-8', 'surrogatepass')
            decode_heartbeat('i-1', body, 'huvo11a')

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_result(self, body):
        # Guards against an exception for a body that is not text.
        decode_heartbeat('i-1', body, 'huvo11a')


class OddDatagramTest(TestCase):
    @given(st.binary(max_size=1400), st.sampled_from(tuple(PeerKind)))
    def test_any_bytes_give_a_result(self, raw, kind):
        # Guards against an exception for a datagram of another process.
        decode_message(raw)
        decode_report(raw)
        decode_roster(raw)
        decode_routes(7, raw)
        decode_message(PeerMessage(kind, bytes(8), body=raw).encode())


class OutdatedStore:
    """Has an older version than a peer has named; counts the reads."""

    def __init__(self) -> None:
        self.reads = 0

    def read_routes(self) -> Result[StoredRoutes, StoreProblem]:
        self.reads += 1
        # A call gives other greenlets the time to run.
        gevent.sleep(0)
        table = decode_configuration(make_configuration(7)).unwrap()
        return Ok(StoredRoutes(table, READ))

    def watch_routes(
        self, _: StoreVersion
    ) -> Result[StoredRoutes, StoreProblem]:
        gevent.sleep(30)
        return Err(StoreProblem('no answer in time'))

    def interrupt_watch(self) -> None:
        """Do nothing: the watch ends by itself."""


class CatchUpTest(TestCase):
    def test_version_that_does_not_exist_causes_few_reads(self):
        # Guards against a balancer that reads the store without a pause,
        # because a stray datagram named a version that nobody wrote.
        store = OutdatedStore()
        steering = BalancerSteering(
            BalancerIdentity(OWN.address, 'zone-a'),
            VirtualTimerService(),
            RecordingOutbox(),
            lambda: None,
        )
        follower = RouteFollower(store, steering, random.Random(1))
        follower.start()
        stray = PeerMessage(PeerKind.PULL, NO_SERVICE, version=2**63)
        steering.handle_peer_message(bytes(4), stray)
        follower.request_catch_up()
        gevent.sleep(1)
        self.assertEqual(7, steering.routes.version)
        self.assertLess(store.reads, 10)

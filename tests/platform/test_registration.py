"""Registrations that the store has lost, against a stand-in over HTTP."""

import gevent
from testtools import TestCase

from greengagepath.daemon import membership_listing
from greengagepath.daemon.membership_listing import MembershipListing
from greengagepath.platform.store import PlatformStore
from greengagepath.steering.store import Member, MemberRole
from greengagepath.steering.store_eras import narrow_era

from .stand_in import StoreStandIn

KIND = 'greengagepath-members'
PROCESSES = 20
# Running processes are registered again within this time of the first
# answer in a new era.
AGAIN_S = membership_listing.NEW_ERA_SPREAD_S + 0.5


class RegistrationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = StoreStandIn()
        self.store.era = 1
        self.addCleanup(self.store.stop)
        self.patch(membership_listing, 'VOUCH_AFTER_S', 0.2)

    def _start(self, number: int, *, hears=None, is_first_start=True):
        client = PlatformStore(self.store.address)
        listing = MembershipListing(
            client,
            Member(bytes((10, 1, 0, number)), MemberRole.AGENT),
            lambda _: None,
            is_first_start=is_first_start,
            has_all=hears,
        )
        listing.start()
        return client, listing

    def _registered(self) -> int:
        return len(self.store.objects.get(KIND, {}))

    def test_lost_registrations_are_written_again_in_a_new_era(self):
        # Guards against processes that run on and that no list names, so
        # that those which join know only each other.
        saved = self.store.save()
        clients = [self._start(number)[0] for number in range(1, PROCESSES + 1)]
        gevent.sleep(0.5)
        self.assertEqual(PROCESSES, self._registered())
        self.store.restore(saved)
        for client in clients:
            client.read_routes()
        gevent.sleep(AGAIN_S)
        self.assertEqual(PROCESSES, self._registered())

    def test_registrations_of_a_new_era_are_spread(self):
        # Guards against hundreds of processes that call the store in the
        # same moment.
        saved = self.store.save()
        clients = [self._start(number)[0] for number in range(1, PROCESSES + 1)]
        gevent.sleep(0.5)
        self.store.restore(saved)
        for client in clients:
            client.read_routes()
        gevent.sleep(0.1)
        self.assertLess(self._registered(), PROCESSES / 2)

    def test_peer_in_another_era_tells_of_it(self):
        # Guards against an agent that reads nothing from the store and so
        # never sees the new era.
        saved = self.store.save()
        _, listing = self._start(1)
        gevent.sleep(0.2)
        self.store.restore(saved)
        for era in (0, 1):
            listing.record_peer_era(narrow_era(era))
        gevent.sleep(AGAIN_S)
        self.assertEqual(0, self._registered())
        listing.record_peer_era(narrow_era(2))
        gevent.sleep(AGAIN_S)
        self.assertEqual(1, self._registered())

    def test_peer_that_stays_in_an_earlier_era_causes_few_calls(self):
        # Guards against a read for each message of a balancer that cannot
        # reach the store.
        client, listing = self._start(1)
        gevent.sleep(0.2)
        self.store.restore(self.store.save())
        self.assertTrue(client.read_routes().is_ok())
        gevent.sleep(AGAIN_S)
        before = len(self.store.calls)
        for _ in range(100):
            listing.record_peer_era(narrow_era(1))
            gevent.sleep(0.02)
        self.assertLessEqual(len(self.store.calls) - before, 2)

    def test_list_of_a_new_era_is_vouched_for_once_it_has_all(self):
        # Guards against a list that nobody vouches for after a drill, and
        # against one that is vouched for while a member is missing.
        hears = []
        client, _ = self._start(1, hears=lambda _: bool(hears))
        gevent.sleep(0.2)
        self.assertTrue(client.list_members().unwrap().is_vouched)
        self.store.restore(self.store.save())
        self.assertFalse(client.list_members().unwrap().is_vouched)
        gevent.sleep(AGAIN_S)
        self.assertFalse(client.list_members().unwrap().is_vouched)
        hears.append(True)
        gevent.sleep(1.5)
        self.assertTrue(client.list_members().unwrap().is_vouched)

    def test_process_that_joins_passes_a_voucher_on(self):
        # Guards against a list that nobody vouches for after those that
        # have started first are gone.
        self._start(1)
        gevent.sleep(0.2)
        self._start(2, is_first_start=False)
        gevent.sleep(0.2)
        self.store.remove(KIND, '10.1.0.1')
        client = PlatformStore(self.store.address)
        self.assertTrue(client.list_members().unwrap().is_vouched)

    def test_narrow_eras_differ_in_a_row(self):
        # Guards against an era that looks unknown, or like the one before.
        self.assertEqual(0, narrow_era(0))
        for era in (1, 254, 255, 256, 2**40):
            self.assertNotEqual(narrow_era(era), narrow_era(era + 1))
            self.assertTrue(0 < narrow_era(era) < 256)

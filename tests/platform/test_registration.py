"""Registrations that the store has lost, against a stand-in over HTTP."""

import gevent
from testtools import TestCase

from greengagepath.daemon import membership_listing
from greengagepath.daemon.membership_listing import MembershipListing
from greengagepath.platform.store import PlatformStore
from greengagepath.steering.store import Member, MemberRole
from greengagepath.steering.store_eras import is_later_era, narrow_era

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

    def _count_lists(self) -> int:
        return self.store.calls.count(('GET', f'/objects/{KIND}'))

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
        # reach the store. Looks at the own entry go on beside it.
        self.patch(membership_listing, 'CHECKS_S', (0.5,))
        client, listing = self._start(1)
        gevent.sleep(0.2)
        self.store.restore(self.store.save())
        self.assertTrue(client.read_routes().is_ok())
        gevent.sleep(AGAIN_S)
        before = self._count_lists()
        for _ in range(100):
            listing.record_peer_era(narrow_era(1))
            gevent.sleep(0.02)
        self.assertEqual(before, self._count_lists())

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

    def test_list_of_the_build_before_gets_a_voucher(self):
        # Guards against a fleet that was started by a build without
        # vouchers and waits after each loss of all.
        self.store.put(KIND, '10.1.0.7', {'role': 'agent'})
        client, _ = self._start(1, hears=lambda _: True, is_first_start=False)
        gevent.sleep(1)
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
            self.assertTrue(is_later_era(narrow_era(era + 1), era))
            self.assertFalse(is_later_era(narrow_era(era), era))
            self.assertFalse(is_later_era(narrow_era(era), era + 1))


class ReusedAddressTest(TestCase):
    """The address of a VM that has left passes to another one."""

    def setUp(self):
        super().setUp()
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.patch(membership_listing, 'CHECKS_S', (0.3,))

    def _start(self, owner: str) -> tuple[PlatformStore, Member]:
        """Start an agent at the address; return its client and entry."""
        client = PlatformStore(self.store.address)
        own = Member(bytes((10, 1, 0, 9)), MemberRole.AGENT)
        own.owner = owner
        listing = MembershipListing(client, own, lambda _: None)
        listing.start()
        self.addCleanup(listing.stop)
        self.listing = listing
        gevent.sleep(0.1)
        return client, own

    def _leave_soon(
        self, client: PlatformStore, own: Member
    ) -> gevent.Greenlet:
        """Send the removal without waiting for its answer."""
        self.listing.stop()
        self.store.late_s = {'DELETE': 0.3}
        sent = gevent.spawn(client.remove_member, own)
        gevent.sleep(0.05)
        return sent

    def _owner(self) -> str:
        entry = self.store.objects.get(KIND, {}).get('10.1.0.9')
        return entry['spec']['owner'] if entry else ''

    def _count(self, method: str) -> int:
        return sum(method == called for called, _ in self.store.calls)

    def test_late_removal_leaves_the_entry_of_the_next_vm(self):
        # Guards against a removal without a condition, which is executed
        # when the entry is that of another VM.
        client, own = self._start('first')
        gone = self._leave_soon(client, own)
        self._start('second')
        gone.join(timeout=2)
        gevent.sleep(0.4)
        self.assertEqual('second', self._owner())
        # Its entry was not missing at any time.
        self.assertEqual(2, self._count('POST'))

    def test_entry_that_was_removed_by_mistake_is_written_again(self):
        # Guards against a VM that runs and that no list names for good,
        # also where a store executes the call whatever its condition.
        self.store.ignores_revisions = True
        client, own = self._start('first')
        gone = self._leave_soon(client, own)
        self._start('second')
        gone.join(timeout=2)
        gevent.sleep(1)
        self.assertEqual('second', self._owner())
        # It was written, removed and written again.
        self.assertEqual(3, self._count('POST'))

    def test_entry_of_an_earlier_vm_is_not_taken_for_the_own(self):
        # Guards against an entry whose revision the earlier VM knows.
        self._start('first')
        self.listing.stop()
        self._start('second')
        self.assertEqual('second', self._owner())

    def test_restarted_process_of_the_same_vm_writes_nothing(self):
        # Guards against a write of each process after a kill of all.
        self._start('first')
        self.listing.stop()
        self._start('first')
        self.assertEqual(1, self._count('POST'))
        self.assertEqual(0, self._count('PUT'))

    def test_late_write_does_not_replace_the_entry_of_the_next_vm(self):
        # Guards against the registration of a VM that is gone, written over
        # that of the VM which has its address now.
        client, own = self._start('first')
        self.listing.stop()
        own.owner = 'gone'
        self.store.late_s = {'PUT': 0.3}
        gevent.spawn(client.add_member, own)
        gevent.sleep(0.05)
        self.store.late_s = {}
        self._start('second')
        gevent.sleep(0.25)
        self.assertEqual('second', self._owner())

    def test_process_that_leaves_does_not_register_again(self):
        # Guards against the entry of a VM that is gone, written by a check
        # between its removal and its end.
        client, own = self._start('first')
        self.listing.stop()
        self.assertTrue(client.remove_member(own).is_ok())
        gevent.sleep(0.5)
        self.assertEqual('', self._owner())

import random

from testtools import TestCase

from greengagepath.bench.virtual_processes import ProcessClock
from greengagepath.bench.virtual_store import VirtualStore, VirtualTransport
from greengagepath.foundation.object_api import ObjectClient
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import MemberState
from greengagepath.membership.leases import Lease, LeaseTerms

from .builders import make_fleet

DURATION_S = 15
RENEW_S = 5


class Holder:
    def __init__(self, timers, store, name):
        self.clock = ProcessClock(timers)
        self.transport = VirtualTransport(store, self.clock, name)
        rng = random.Random(name)
        self.lease = Lease(
            LeaseTerms('bridge-z0-1', name, DURATION_S, RENEW_S),
            ObjectClient(self.transport, self.clock, rng),
            self.clock,
            rng,
            lambda: None,
        )
        self.clock.subscribe(0.1, self.lease.step)


class LeaseTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService(100)
        self.store = VirtualStore(self.timers, random.Random(1))
        self.first = self.add('first')
        self.timers.advance(1)
        self.second = self.add('second')

    def add(self, name):
        return Holder(self.timers, self.store, name)

    def holders(self):
        return [
            entry
            for entry in (self.first, self.second)
            if entry.lease.is_held()
        ]

    def advance_checked(self, duration_s):
        for _ in range(int(duration_s * 10)):
            self.timers.advance(0.1)
            self.assertLessEqual(len(self.holders()), 1)

    def test_renewing_holder_keeps_the_lease(self):
        # Guards against the takeover of a lease that is renewed in time.
        self.advance_checked(100)
        self.assertEqual([self.first], self.holders())

    def test_paused_holder_loses_the_lease(self):
        # Guards against a process that still counts as the holder when it
        # resumes after its lease has expired, and against two holders at
        # the same time.
        self.first.clock.is_paused = True
        self.advance_checked(40)
        self.assertEqual([self.second], self.holders())
        earlier, later = (
            entry.lease.fencing_token for entry in (self.first, self.second)
        )
        self.assertGreater(later, earlier)
        self.first.clock.resume()
        self.advance_checked(20)
        self.assertEqual([self.second], self.holders())

    def test_short_pause_leaves_one_holder(self):
        # Guards against an observer that takes over the lease before its
        # whole duration has passed.
        self.first.clock.is_paused = True
        self.advance_checked(DURATION_S - RENEW_S - 2)
        self.first.clock.resume()
        self.advance_checked(30)
        self.assertEqual([self.first], self.holders())

    def test_lease_expires_while_the_store_is_down(self):
        # Guards against a holder that continues to write although it could
        # not renew its lease.
        self.store.faults.is_down = True
        self.advance_checked(DURATION_S + 1)
        self.assertEqual([], self.holders())
        self.store.faults.is_down = False
        self.advance_checked(30)
        self.assertEqual(1, len(self.holders()))

    def test_lease_is_acquired_when_the_answer_is_lost(self):
        # Guards against a process that does not recognise its own lease in
        # the store and waits for it to expire.
        self.store.faults.lose_answers = 1
        self.first.clock.is_dead = True
        self.advance_checked(DURATION_S * 2)
        self.store.faults.lose_answers = 0
        self.advance_checked(RENEW_S * 2)
        self.assertEqual([self.second], self.holders())

    def test_released_lease_is_acquired_at_once(self):
        # Guards against a planned restart after which the next holder waits
        # for the whole duration of the lease.
        self.first.lease.release()
        self.first.clock.is_dead = True
        self.advance_checked(RENEW_S + 1)
        self.assertEqual([self.second], self.holders())


class SeedWriteTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = make_fleet(balancers=3, agents=0, zones=1)
        self.holder = next(
            entry
            for entry in self.fleet.running_balancers()
            if entry.node.own.record.bridge_slot == 1
        )

    def count_writes(self):
        return sum(
            write.key[0] == 'seed' and write.writer == self.name()
            for write in self.fleet.store.writes
        )

    def name(self):
        return self.holder.record.member_id

    def start_seed_check(self):
        """Change the seed addresses; return when the holder has read."""
        reads = []
        self.holder.transport.on_send = lambda call: reads.append(call.path)
        self.fleet.add_balancer('b9', 'z0')
        while '/objects/seed/z0' not in reads:
            self.fleet.advance(0.001)

    def test_lease_is_checked_between_read_and_write(self):
        # Guards against a write without a lease after a pause between the
        # read and the write.
        before = self.count_writes()
        self.fleet.store.faults.delay_s = 1.5
        self.start_seed_check()
        self.fleet.pause(self.holder)
        self.fleet.advance(60)
        self.fleet.store.faults.delay_s = 0
        self.fleet.resume(self.holder)
        self.fleet.advance(0.1)
        self.assertEqual(before, self.count_writes())

    def test_retry_of_a_write_checks_the_lease(self):
        # Guards against a retry that is sent after the lease of its writer
        # has expired.
        sent = []
        self.start_seed_check()
        self.holder.transport.on_send = lambda call: sent.append(
            (call.body, self.holder.node.bridge.holds_lease)
        )
        self.fleet.store.faults.lose_answers = 1
        self.fleet.advance(1)
        self.fleet.pause(self.holder)
        self.fleet.advance(60)
        self.fleet.resume(self.holder)
        self.fleet.advance(20)
        seeds = [held for body, held in sent if body and 'addresses' in body]
        self.assertEqual([True], seeds)

    def test_older_token_does_not_overwrite(self):
        # Guards against an earlier holder that overwrites the seed of a
        # later one.
        seed = ('seed', 'z0')
        version, body = self.fleet.store.objects_by_key[seed]
        self.fleet.store.objects_by_key[seed] = (
            version,
            {**body, 'fencing_token': body['fencing_token'] + 1},
        )
        before = self.count_writes()
        self.start_seed_check()
        self.fleet.advance(10)
        self.assertEqual(before, self.count_writes())

    def test_suspected_bridge_keeps_its_slot(self):
        # Guards against slots that move to another balancer with each short
        # silence of a bridge.
        self.fleet.pause(self.holder)
        self.fleet.advance(3.5)
        self.fleet.resume(self.holder)
        self.fleet.advance(10)
        record = self.holder.node.own.record
        self.assertEqual(1, record.bridge_slot)
        self.assertIs(MemberState.alive, record.state)

    def test_last_bridge_writes_the_seed(self):
        # Guards against a seed that lists only dead balancers, because the
        # only live one has the second slot and does not write it.
        last = next(
            entry
            for entry in self.fleet.running_balancers()
            if entry.node.own.record.bridge_slot == 2
        )
        for entry in self.fleet.running_balancers():
            if entry is not last:
                self.fleet.kill(entry, silently=True)
        self.fleet.advance(40)
        _, body = self.fleet.store.objects_by_key['seed', 'z0']
        self.assertEqual([[last.record.host, 7000]], body['addresses'])

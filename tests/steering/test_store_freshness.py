"""Tests of the age of the last answered read of the store."""

from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.steering.store_freshness import MAX_AGE_S, StoreFreshness


class StoreFreshnessTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService(start_s=100.0)
        self.own = StoreFreshness(self.timers)
        self.peer = StoreFreshness(self.timers)

    def test_read_of_a_peer_counts_with_its_age(self):
        # Guards against a peer's old read that is taken for a new one.
        self.peer.record_read(self.timers.now() - 0.5)
        self.own.record_peer(self.peer.encode_own())
        self.assertAlmostEqual(0.5, self.own.age_s)

    def test_older_read_does_not_replace_a_younger_one(self):
        # Guards against needless reads after a late message.
        late = self.peer
        late.record_read(99.0)
        self.own.record_read(100.0)
        self.own.record_peer(late.encode_own())
        self.assertAlmostEqual(0.0, self.own.age_s)

    def test_read_of_a_peer_is_not_passed_on(self):
        # Guards against balancers that tell each other of a read that
        # nobody repeats: each message would make it look younger.
        self.peer.record_read(100.0)
        self.own.record_peer(self.peer.encode_own())
        third = StoreFreshness(self.timers)
        third.record_peer(self.own.encode_own())
        self.assertEqual(MAX_AGE_S, third.age_s)

    def test_pause_makes_the_last_word_older(self):
        # Guards against a balancer that was suspended and takes what it
        # knew before for the present.
        self.own.record_read(self.timers.now())
        self.timers.pause(5.0)
        self.assertAlmostEqual(5.0, self.own.age_s)

    def test_age_beyond_the_field_is_unknown(self):
        # Guards against an error, or a small age, after a minute without
        # an answer; and against a message of an earlier build.
        self.peer.record_read(0.0)
        self.own.record_peer(self.peer.encode_own())
        self.own.record_peer(b'')
        self.assertEqual(MAX_AGE_S, self.own.age_s)

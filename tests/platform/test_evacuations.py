"""Evacuated zones read from the store, with answers that are lost.

The time in which an evacuation has to be in force is shorter than on the
platform, so that the tests take seconds.
"""

import random

import gevent
from testtools import TestCase

from greengagepath.daemon.evacuation_follower import EvacuationFollower
from greengagepath.platform.bounds import (
    COLD_OVERAGE_VARIABLE,
    COLD_SLACK_VARIABLE,
    EVACUATE_VARIABLE,
    read_zone_bounds,
)
from greengagepath.platform.store import PlatformStore
from greengagepath.steering.messages.peer_messages import digest_service

from .builders import make_bounds, make_configuration
from .stand_in import StoreStandIn
from .test_lost_answers import Fleet

EVACUATE_S = 1.0
BALANCERS = 3


class ZoneBoundsTest(TestCase):
    def test_bounds_of_the_deployment_turn_the_features_on(self):
        # Guards against evacuations and limits that are not in force, or
        # that are where a deployment does not have them.
        bounds = make_bounds()
        read_zone_bounds({EVACUATE_VARIABLE: ''}, bounds)
        self.assertEqual((0, None), (bounds.evacuate_s, bounds.cold))
        environment = {
            EVACUATE_VARIABLE: '5000',
            COLD_OVERAGE_VARIABLE: '1.5',
            COLD_SLACK_VARIABLE: '5',
        }
        read_zone_bounds(environment, bounds)
        self.assertEqual(5, bounds.evacuate_s)
        self.assertEqual((1.5, 5), (bounds.cold.overage, bounds.cold.slack))


class EvacuationFollowerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.store = StoreStandIn()
        self.addCleanup(self.store.stop)
        self.fleet = Fleet(self.store.address, BALANCERS)
        self.addCleanup(self.fleet.stop)

    def _start(self) -> None:
        for number, steering in enumerate(
            self.fleet.steering_by_address.values()
        ):
            follower = EvacuationFollower(
                PlatformStore(self.store.address, EVACUATE_S),
                steering,
                random.Random(number),
                EVACUATE_S,
            )
            self.fleet.greenlets.append(follower.start())
        gevent.sleep(0.1)

    def _evacuated(self) -> set[frozenset[bytes]]:
        """Return the zones that the balancers take for evacuated."""
        return {
            steering.contacts.zones.zones.digests
            for steering in self.fleet.steering_by_address.values()
        }

    def test_evacuation_is_known_in_time_and_ends(self):
        # Guards against balancers that miss an entry or its removal.
        self._start()
        self.store.put('evacuations', 'zone-a', {})
        gevent.sleep(EVACUATE_S)
        expected = frozenset((digest_service('zone-a'),))
        self.assertEqual({expected}, self._evacuated())
        self.store.revision += 1
        del self.store.objects['evacuations']['zone-a']
        gevent.sleep(EVACUATE_S)
        self.assertEqual({frozenset()}, self._evacuated())

    def test_one_balancer_reads_for_all(self):
        # Guards against calls to the store that grow with the fleet.
        self._start()
        gevent.sleep(2 * EVACUATE_S)
        calls = [path for _, path in self.store.calls if 'evacuations' in path]
        self.assertLess(len(calls), 2 * EVACUATE_S / 0.2 + 2 * BALANCERS)

    def test_lost_answers_delay_but_do_not_hide_an_evacuation(self):
        # Guards against a balancer that waits for an answer that is lost
        # longer than an evacuation may take.
        self._start()
        lost = iter((True, True))
        self.store.loses = lambda path: next(lost, False)
        self.store.put('evacuations', 'zone-a', {})
        gevent.sleep(EVACUATE_S)
        self.assertNotIn(frozenset(), self._evacuated())

    def test_store_that_answers_nobody_leaves_the_last_list(self):
        # Guards against an evacuation that ends because the store is down.
        self.store.put('evacuations', 'zone-a', {})
        self._start()
        self.store.forced_status = 503
        gevent.sleep(EVACUATE_S)
        self.assertNotIn(frozenset(), self._evacuated())

    def test_odd_entries_are_skipped(self):
        # Guards against an entry of another writer that hides the others.
        self.store.put('evacuations', 'zone-a', {})
        self.store.objects['evacuations']['odd'] = {'meta': 7}
        client = PlatformStore(self.store.address)
        listed = client.list_evacuated_zones().unwrap()
        self.assertEqual(['zone-a'], listed.names)
        self.assertEqual(1, client.calls['list_evacuated_zones', 'odd_entry'])


class RestoredStoreTest(TestCase):
    """The store comes back from a copy while balancers follow it."""

    def setUp(self):
        super().setUp()
        self.store = StoreStandIn()
        self.store.era = 1
        self.store.put('config', 'main', make_configuration(7))
        self.addCleanup(self.store.stop)
        self.client = PlatformStore(self.store.address, EVACUATE_S)

    def test_answer_that_left_before_the_drill_is_an_error(self):
        # Guards against a list that is late and taken for the latest: its
        # revision is the higher one.
        saved = self.store.save()
        self.store.put('evacuations', 'zone-a', {})
        self.store.delay_s = lambda path: 0.1
        late = gevent.spawn(self.client.list_evacuated_zones)
        gevent.sleep(0.05)
        self.store.restore(saved)
        self.store.delay_s = lambda path: 0
        listed = self.client.list_evacuated_zones().unwrap()
        self.assertEqual((2, []), (listed.version.era, listed.names))
        self.assertTrue(late.get(timeout=1).is_err())

    def test_watch_of_an_earlier_era_ends_though_its_revision_exists(self):
        # Guards against a watch that misses what was written again under
        # revisions which the store had given out before.
        saved = self.store.save()
        self.store.put('config', 'main', make_configuration(8))
        version = self.client.read_routes().unwrap().version
        self.store.restore(saved)
        for number in range(9):
            self.store.put('other', f'entry-{number}', {})
        problem = self.client.watch_routes(version).unwrap_err()
        self.assertTrue(problem.is_history_lost)

    def test_waiting_watch_ends_when_another_call_meets_the_new_era(self):
        # Guards against a watch on a connection that went silent in the
        # drill: it would wait for its time-out.
        version = self.client.read_routes().unwrap().version
        self.store.loses = lambda path: 'watch=' in path
        watch = gevent.spawn(self.client.watch_routes, version)
        gevent.sleep(0.05)
        self.store.restore(self.store.save())
        self.assertTrue(self.client.list_evacuated_zones().is_ok())
        self.assertTrue(watch.get(timeout=1).is_err())

    def test_store_without_an_era_is_in_one_for_good(self):
        # Guards against a store that names no era, or an odd one, and whose
        # answers are errors.
        for era in (0, 'x', '-1', '1e3', '9' * 30):
            self.store.era = era
            self.assertTrue(self.client.list_evacuated_zones().is_ok())

    def test_list_is_read_again_at_once_in_a_new_era(self):
        # Guards against an evacuation that waits until the last list is
        # too old; one call of each balancer tells it of the era.
        fleet = Fleet(self.store.address, 1)
        self.addCleanup(fleet.stop)
        steering = next(iter(fleet.steering_by_address.values()))
        follower = EvacuationFollower(
            self.client, steering, random.Random(1), 10 * EVACUATE_S
        )
        fleet.greenlets.append(follower.start())
        gevent.sleep(0.1)
        saved = self.store.save()
        self.store.put('other', 'entry', {})
        self.store.restore(saved)
        self.store.put('evacuations', 'zone-a', {})
        self.assertTrue(self.client.read_routes().is_ok())
        gevent.sleep(EVACUATE_S)
        expected = frozenset((digest_service('zone-a'),))
        self.assertEqual(expected, steering.contacts.zones.zones.digests)

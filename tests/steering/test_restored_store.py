"""Evacuations in a store that comes back from an earlier copy.

Its revisions go back and are given out again, and its era rises by one.
"""

from testtools import TestCase

from greengagepath.evacuation.notices import ZoneNotice, decode_notice
from greengagepath.evacuation.zones import EvacuatedZones, ZoneState
from greengagepath.foundation.store_version import StoreVersion
from greengagepath.steering.agent.agent_zones import ERA_SILENCE_S
from greengagepath.steering.messages.peer_messages import (
    PeerKind,
    digest_service,
)

from .builders import EVACUATE_S, make_address, make_flow, make_message
from .test_evacuation import FLOWS, ZonedWorld, count_by_zone

# Revisions by which the store goes back in a drill.
LOST = 12
# How soon a list reaches all agents.
SPREAD_S = 0.05
ZONE = digest_service('a')
OTHER_ZONE = digest_service('b')


class RestoredWorld(ZonedWorld):
    """A world whose store has a long history and may go back."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self.callers = 0

    def drill(self, lost: int = LOST) -> None:
        """Restore the store from a copy without its last changes."""
        self.era += 1
        self.revision -= lost

    def read(self, *zones: str, balancer: int = 1) -> None:
        """Let a balancer read the list, and wait until it is spread."""
        self.evacuate(*zones, balancer=balancer)
        self.timers.advance(SPREAD_S)

    def share_of_zone(self) -> int:
        """Open flows; return how many of them open in zone a."""
        flows = []
        for _ in range(FLOWS):
            self.callers += 1
            flow = make_flow(self.callers)
            self.start_caller(flow, self.callers % 2 + 1)
            self.timers.advance(0.01)
            flows.append(flow)
        self.timers.advance(0.3)
        return count_by_zone(self, flows)['a']


class RestoredStoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = RestoredWorld()

    def test_evacuation_after_a_drill_is_in_force(self):
        # Guards against a list that is taken for old because its revision
        # is below that of a list read before the drill.
        self.world.read()
        self.world.drill()
        self.world.read('a')
        self.assertEqual(0, self.world.share_of_zone())

    def test_evacuation_taken_back_after_a_drill_ends(self):
        # Guards against a zone that gets nothing for good, and against one
        # that waits though the list has named it since the drill.
        self.world.read('a')
        self.world.drill()
        self.world.read('a')
        self.world.read()
        self.assertGreater(self.world.share_of_zone(), FLOWS // 4)

    def test_lost_evacuation_stays_in_force_until_it_is_written_again(self):
        # Guards against flows in an evacuated zone while its entry is
        # missing in the copy, and against a hold that ends it afterwards.
        self.world.read('a')
        self.world.drill()
        self.world.read()
        self.assertEqual(0, self.world.share_of_zone())
        self.world.read('a')
        self.world.timers.advance(EVACUATE_S + 1)
        self.assertEqual(0, self.world.share_of_zone())

    def test_evacuation_that_nobody_writes_again_ends(self):
        # Guards against a zone that stays empty because the operator has
        # taken the evacuation back before anybody read the list.
        self.world.read('a')
        self.world.drill()
        self.world.read()
        self.world.timers.advance(EVACUATE_S + 1)
        self.assertGreater(self.world.share_of_zone(), FLOWS // 4)

    def test_lost_evacuation_is_held_though_revisions_have_run_past(self):
        # Guards against a removal that is read out of revisions which were
        # given out again before anybody read the list.
        self.world.read('a')
        self.world.drill()
        self.world.revision += 10 * LOST
        self.world.read()
        self.assertEqual(0, self.world.share_of_zone())

    def test_two_drills_in_a_row_lose_no_evacuation(self):
        # Guards against a hold that the second drill ends.
        self.world.read('a')
        self.world.drill()
        self.world.read()
        self.world.drill()
        self.world.read()
        self.assertEqual(0, self.world.share_of_zone())
        self.world.read('a')
        self.assertEqual(0, self.world.share_of_zone())

    def test_late_list_of_the_earlier_era_changes_nothing(self):
        # Guards against an answer that left before the drill, has the
        # higher revision and arrives at another balancer after it.
        self.world.read()
        late = StoreVersion(self.world.era, self.world.revision)
        self.world.drill()
        self.world.read('a')
        balancer = self.world.balancer_by_address[make_address(2, network=9)]
        balancer.contacts.announce_zones_read([], late, self.world.timers.now())
        self.world.timers.advance(SPREAD_S)
        self.assertEqual(0, self.world.share_of_zone())

    def test_started_balancer_does_not_take_over_the_earlier_era(self):
        # Guards against a balancer that starts after the drill and hears
        # the list of a peer that cannot reach the store.
        self.world.read()
        cut_off = make_address(1, network=9)
        started = make_address(2, network=9)
        self.world.cut_links = {(cut_off, started), (started, cut_off)}
        self.world.drill()
        self.world.start_balancer(2).contacts.add_balancers([cut_off])
        self.world.read('a', balancer=2)
        self.world.cut_links.clear()
        old = self.world.balancer_by_address[cut_off].contacts
        old.zones.send_to_balancers([started])
        old.zones.send_to_agents(old.agents)
        self.world.timers.advance(SPREAD_S)
        self.assertEqual(0, self.world.share_of_zone())

    def test_balancer_without_the_store_hears_of_the_new_era(self):
        # Guards against a balancer that stays in the old era because it
        # cannot read the store itself.
        self.world.read()
        for number in (1, 2):
            steering = self.world.balancer_by_address[
                make_address(number, network=9)
            ]
            steering.contacts.add_balancers(
                list(self.world.balancer_by_address)
            )
        self.world.drill()
        self.world.read('a')
        zones = steering.contacts.zones
        self.assertEqual(frozenset((ZONE,)), zones.zones.digests)
        self.assertLess(zones.freshness.age_s, 1)

    def test_read_of_the_earlier_era_is_not_taken_for_a_fresh_one(self):
        # Guards against a peer in the earlier era that tells its list as
        # just read, so that nobody reads the new one.
        self.world.read()
        first, second = (
            self.world.balancer_by_address[make_address(number, network=9)]
            for number in (1, 2)
        )
        self.world.drill()
        self.world.read('a', balancer=2)
        self.world.timers.advance(2)
        first.contacts.zones.freshness.record_read(self.world.timers.now())
        first.contacts.zones.send_to_balancers([make_address(2, network=9)])
        self.world.timers.advance(SPREAD_S)
        self.assertGreater(second.contacts.zones.freshness.age_s, 2)

    def test_agent_that_starts_after_the_drill_believes_the_new_era(self):
        # Guards against an agent that takes the old list of a balancer that
        # cannot reach the store, because it hears that one last.
        self.world.read()
        old = make_address(1, network=9)
        self.world.drill()
        self.world.read('a', balancer=2)
        self.world.restart_agent(1)
        self.world.timers.advance(SPREAD_S)
        contacts = self.world.balancer_by_address[old].contacts
        contacts.zones.send_to_agents(contacts.agents)
        self.world.timers.advance(SPREAD_S)
        self.assertEqual(0, self.world.share_of_zone())


class ZoneStateTest(TestCase):
    def test_hold_begins_with_a_new_era_only(self):
        # Guards against a zone that is held after an evacuation which was
        # taken back in the same era, and against one that is not held
        # after two drills; each row is one list.
        earlier, first, later, second = (
            StoreVersion(1, 100),
            StoreVersion(2, 88),
            StoreVersion(2, 89),
            StoreVersion(3, 80),
        )
        named, empty = frozenset((ZONE,)), frozenset()
        for lists, is_evacuated in (
            ([(earlier, named)], True),
            ([(earlier, named), (earlier, empty)], True),
            ([(earlier, named), (first, empty)], True),
            ([(earlier, named), (first, named), (later, empty)], False),
            ([(earlier, named), (first, empty), (later, empty)], True),
            ([(earlier, named), (first, empty), (second, empty)], True),
            ([(earlier, empty), (first, empty)], False),
            ([(first, named), (earlier, empty)], True),
            ([(first, named), (later, empty)], False),
            ([(first, empty)], False),
        ):
            state = ZoneState(ZONE, EVACUATE_S)
            for version, digests in lists:
                state.replace(digests, version, 10.0)
            self.assertIs(is_evacuated, state.is_evacuated(14.9), lists)

    def test_deployment_without_eras_orders_by_revision(self):
        # Guards against a store that names no era and whose lists are all
        # taken for late.
        zones = EvacuatedZones()
        self.assertTrue(zones.replace(frozenset(), StoreVersion(0, 5)))
        self.assertTrue(zones.replace(frozenset((ZONE,)), StoreVersion(0, 6)))
        self.assertFalse(zones.replace(frozenset(), StoreVersion(0, 5)))


class MixedBuildsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world = RestoredWorld()

    def _send_without_era(self, zones: frozenset[bytes], revision: int) -> None:
        """Send agent 1 the list of a balancer of the build before."""
        notice = ZoneNotice(zones, StoreVersion(0, revision))
        message = make_message(PeerKind.ZONES, body=notice.encode())
        agent = self.world.agent_by_address[make_address(1)]
        agent.handle_peer_message(make_address(2, network=9), message, None)

    def _is_evacuated(self) -> bool:
        return self.world.agent_by_address[make_address(1)].context.is_evacuated

    def test_era_survives_the_wire(self):
        # Guards against a notice without its era, or with zones that are
        # none.
        for era in (0, 1, 2**33):
            zones = frozenset((ZONE, OTHER_ZONE))
            sent = ZoneNotice(zones, StoreVersion(era, 7), 2.0)
            received = decode_notice(sent.encode()).unwrap()
            self.assertEqual(era, received.version.era)
            self.assertEqual(7, received.version.revision)
            self.assertEqual(zones, received.digests)

    def test_earlier_build_can_read_a_notice_with_an_era(self):
        # Guards against a length that the build before refuses: head and
        # 8 bytes for each entry that the head counts.
        encoded = ZoneNotice(frozenset((ZONE,)), StoreVersion(3, 7)).encode()
        count = encoded[12]
        self.assertEqual(13 + 8 * count, len(encoded))
        self.assertIn(ZONE, encoded)

    def test_list_without_an_era_loses_against_one_with_it(self):
        # Guards against a balancer of the build before that has kept the
        # list of the earlier era.
        self.world.read()
        self.world.drill()
        self.world.read('a')
        self._send_without_era(frozenset(), self.world.revision + LOST)
        self.assertTrue(self._is_evacuated())

    def test_lists_without_an_era_count_once_nobody_names_one(self):
        # Guards against an agent that ignores all lists after all balancers
        # have returned to the build before.
        self.world.read()
        for balancer in tuple(self.world.balancer_by_address):
            self.world.balancer_outboxes[balancer].is_dead = True
        self.world.balancer_by_address.clear()
        self.world.timers.advance(ERA_SILENCE_S + 1)
        self._send_without_era(frozenset((ZONE,)), self.world.revision + 1)
        self.assertTrue(self._is_evacuated())

"""Tests of whom an agent reports to, and how often."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.steering.agent.agent_steering import AgentSteering
from greengagepath.steering.balancer.balancer_contacts import (
    MAX_LISTED,
    BalancerContacts,
    BalancerIdentity,
)
from greengagepath.steering.balancer.known_agents import KnownAgents
from greengagepath.steering.messages.peer_messages import (
    LoadReport,
    PeerKind,
    ReportedState,
    decode_report,
)
from greengagepath.steering.neighbours import (
    MAX_NEIGHBOURS,
    ZONE_NEIGHBOURS,
    choose_neighbours,
    digest_zone,
)
from greengagepath.steering.paced_rounds import PacedRounds
from greengagepath.steering.routes import RouteHolder

from .builders import (
    SERVICE,
    make_address,
    make_flow,
    make_heartbeat,
    make_identity,
    make_message,
    make_opening,
    make_report_message,
)
from .recorder import RecordingOutbox

ZONES = 5


def make_zones(agents: int) -> dict[bytes, int]:
    """Return the zones of agents, by address."""
    return {
        make_address(number % 250, network=1 + number // 250): number % ZONES
        + 1
        for number in range(agents)
    }


class NeighboursTest(TestCase):
    def test_about_as_many_report_to_each_agent(self):
        # Guards against homes that know the load of hardly any target,
        # while others get the reports of all.
        zones = make_zones(110)
        received = Counter()
        for address, zone in zones.items():
            chosen = choose_neighbours(address, zone, zones)
            self.assertEqual(MAX_NEIGHBOURS, len(set(chosen)))
            self.assertNotIn(address, chosen)
            received.update(chosen)
        self.assertGreaterEqual(min(received.values()), MAX_NEIGHBOURS // 2)
        self.assertLessEqual(max(received.values()), MAX_NEIGHBOURS * 2)

    def test_half_of_them_are_in_the_own_zone(self):
        # Guards against reports that nearly all cross between zones.
        zones = make_zones(110)
        for address, zone in zones.items():
            chosen = choose_neighbours(address, zone, zones)
            near = [entry for entry in chosen if zones[entry] == zone]
            self.assertGreaterEqual(len(near), ZONE_NEIGHBOURS)
            self.assertLess(len(near), MAX_NEIGHBOURS)

    def test_others_are_taken_from_all_zones_alike(self):
        # Guards against homes that know no target in the zone of a caller,
        # and against a surplus of load that reaches one zone only.
        zones = {
            address: number % 3 + 1
            for number, address in enumerate(make_zones(60))
        }
        for address, zone in zones.items():
            chosen = choose_neighbours(address, zone, zones)
            counts = Counter(zones[entry] for entry in chosen)
            self.assertEqual([2, 2, 4], sorted(counts.values()))

    def test_neighbours_connect_all_agents(self):
        # Guards against a group of agents whose surplus of load reaches
        # no other one.
        zones = make_zones(110)
        reached = {make_address(0)}
        edge = list(reached)
        while edge:
            address = edge.pop()
            for entry in choose_neighbours(address, zones[address], zones):
                if entry not in reached:
                    reached.add(entry)
                    edge.append(entry)
        self.assertEqual(set(zones), reached)

    def test_small_service_reports_to_all(self):
        # Guards against a small service that leaves targets out.
        zones = make_zones(MAX_NEIGHBOURS + 1)
        own = make_address(0)
        chosen = choose_neighbours(own, 1, zones)
        self.assertEqual(set(zones) - {own}, set(chosen))

    @given(
        st.dictionaries(st.binary(min_size=4, max_size=4), st.integers(0, 3))
    )
    def test_any_agents_give_bounded_neighbours(self, zones):
        # Guards against an exception or more reports than the limit.
        chosen = choose_neighbours(make_address(1), 1, zones)
        others = len(zones.keys() - {make_address(1)})
        self.assertEqual(min(others, MAX_NEIGHBOURS), len(set(chosen)))

    def test_zones_have_numbers_that_fit_a_report(self):
        # Guards against a zone that a report cannot hold.
        for number in range(1000):
            report = LoadReport(
                ReportedState.READY, zone=digest_zone(f'zone-{number}')
            )
            decoded = decode_report(report.encode()).unwrap()
            self.assertGreater(decoded.zone, 0)


class PacedRoundsTest(TestCase):
    def test_each_receiver_is_served_once_a_round(self):
        # Guards against receivers that are left out, and against bursts.
        receivers = [make_address(number) for number in range(100)]
        rounds = PacedRounds(0)
        served = Counter()
        for step in range(1, 101):
            due = rounds.take(receivers, 2, step * 0.02)
            self.assertLessEqual(len(due), 2)
            served.update(due)
        self.assertEqual(set(receivers), set(served))
        self.assertEqual(1, max(served.values()))

    def test_pause_causes_no_burst_beyond_one_round(self):
        # Guards against a flood of messages after the VM was suspended.
        receivers = [make_address(number) for number in range(10)]
        rounds = PacedRounds(0)
        self.assertEqual(receivers, rounds.take(receivers, 1, 60))
        self.assertEqual([], rounds.take([], 1, 61))


class LargeServiceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService(start_s=100)
        self.outbox = RecordingOutbox()
        self.agent = AgentSteering(
            make_identity(1, zone=1), self.timers, self.outbox
        )
        self.agent.handle_heartbeat(make_heartbeat())

    def _report_from(self, agents: int, load: int = 0, hops: int = 0) -> None:
        for number in range(2, agents + 2):
            message = make_report_message(load, slots=1)
            message.hops = hops
            self.agent.handle_peer_message(make_address(number), message, None)

    def _count_reports(self, agents: int) -> int:
        self._report_from(agents)
        self.outbox.sent_to_agents.clear()
        self.timers.advance(10)
        return sum(
            message.kind is PeerKind.REPORT
            for _, message in self.outbox.sent_to_agents
        )

    def test_reports_grow_more_slowly_than_the_fleet(self):
        # Guards against reports that take a growing share of each process
        # the more agents a service has.
        few = self._count_reports(30)
        many = self._count_reports(120)
        self.assertLess(many, few * 2)

    def test_rare_report_draws_no_flows(self):
        # Guards against all homes choosing the one target whose rare
        # report has just arrived.
        self._report_from(8, load=3)
        rare = make_report_message(0, slots=1)
        rare.hops = 2
        self.agent.handle_peer_message(make_address(40), rare, None)
        loads = self.agent.context.peers.load_by_address
        self.assertFalse(loads[make_address(40)].is_usable(self.timers.now()))
        self.assertTrue(loads[make_address(2)].is_usable(self.timers.now()))

    def test_flow_is_tried_elsewhere_before_it_is_refused(self):
        # Guards against a refusal by agents without room while others,
        # whose load they do not know, are idle.
        self.timers.advance(1)
        neighbours = 8
        self._report_from(neighbours, load=90)
        rare = make_report_message(90, slots=1)
        rare.hops = 2
        self.agent.handle_peer_message(make_address(40), rare, None)
        self.agent.handle_peer_message(make_address(41), rare, None)
        self.agent.leave()
        self.outbox.sent_to_agents.clear()
        opening = make_opening(make_flow())
        message = make_message(PeerKind.OPEN, body=opening.raw)
        message.objective_ms = 500
        self.agent.handle_peer_message(make_address(9, 9), message, opening)
        self.assertEqual([], self.outbox.resets)
        placed = self.outbox.placed_agents()
        neighbours = self.agent.context.peers.neighbours
        self.assertEqual(1, len(set(placed) - set(neighbours)))
        message.hops = 4
        flow = make_flow(2)
        opening = make_opening(flow)
        message.body = opening.raw
        self.agent.handle_peer_message(make_address(9, 9), message, opening)
        self.assertEqual([flow], self.outbox.resets)


class LargeFleetContactsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService(start_s=100)
        self.outbox = RecordingOutbox()
        self.contacts = BalancerContacts(
            BalancerIdentity(make_address(1, 9), 'zone-a'),
            self.timers,
            self.outbox,
            RouteHolder(),
        )

    def _add_agents(self, count: int) -> None:
        for address in make_zones(count):
            self.contacts.agents.record_report(
                address, SERVICE, LoadReport(ReportedState.READY)
            )

    def test_rosters_are_bounded(self):
        # Guards against rosters to all agents each second, which fill the
        # link of a small VM.
        self._add_agents(200)
        self.outbox.sent_to_agents.clear()
        self.timers.advance(10)
        self.assertLessEqual(len(self.outbox.sent_to_agents), 210)
        notified = {address for address, _ in self.outbox.sent_to_agents}
        self.assertEqual(200, len(notified))

    def test_list_of_another_writer_is_bounded(self):
        # Guards against a balancer without memory, because the store
        # lists a million members that do not exist.
        listed = [number.to_bytes(4, 'big') for number in range(MAX_LISTED * 2)]
        self.contacts.agent_lists.record_listed(listed)
        self.contacts.agent_lists.record_listed(list(reversed(listed)))
        self.contacts.add_balancers(listed)
        self.assertEqual(MAX_LISTED, len(self.contacts.agents.by_address))
        self.outbox.sent_to_balancers.clear()
        self.contacts.announce()
        self.assertEqual(MAX_LISTED, len(self.outbox.sent_to_balancers))

    def test_agent_that_reports_rarely_is_not_silent(self):
        # Guards against agents that seem silent, because they report less
        # often to many balancers.
        agents = KnownAgents(self.timers)
        report = LoadReport(ReportedState.READY, interval_ms=1000)
        agents.record_report(make_address(1), SERVICE, report)
        self.timers.advance(2.5)
        self.assertTrue(agents.by_service[SERVICE].live.addresses)
        self.timers.advance(2)
        self.assertEqual((), agents.by_service[SERVICE].live.addresses)

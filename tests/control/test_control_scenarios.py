"""Single failures against the real decision modules in virtual time."""

from testtools import TestCase

from greengagepath.configuration.drains import is_drained
from greengagepath.generated.messages import MemberState
from greengagepath.routing.targets import TargetState
from tests.control.builders import (
    make_configuration,
    make_fleet,
    make_service,
)
from tests.control.operators import Operator

OUTAGE_S = 600


def find_targets(balancer):
    return {
        target.target_id: target
        for targets in balancer.targets.values()
        for target in targets
    }


def find_draining(fleet, balancer):
    """Return the ids of targets that a balancer takes for draining."""
    return {
        name
        for name, target in find_targets(fleet.balancers[balancer]).items()
        if target.state is TargetState.DRAINING
    }


def drain_zone(fleet, version, *target_ids):
    """Drain zone z0 and some targets of service 1."""
    entries = ['availability_zone=z0', *target_ids]
    drained = make_service(1, drained_targets=entries)
    spread = fleet.balancers['b1'].node.spread
    spread.offer(make_configuration(version, drained, make_service(2)))


def set_fallback_seeds(fleet):
    """Set two balancers as fallback seeds of processes started later."""
    records = [entry.record for entry in fleet.running_balancers()]
    fleet.fallback_seeds = tuple(
        (record.host, record.control_port) for record in records[:2]
    )


class MembershipTest(TestCase):
    def test_dead_target_disappears_within_5_s(self):
        # Guards against new flows to a host that failed without closing
        # its links.
        fleet = make_fleet()
        fleet.kill(fleet.agents['a0'], silently=True)
        fleet.advance(5)
        for balancer in fleet.running_balancers():
            self.assertNotIn('a0', balancer.target_ids())

    def test_target_disappears_also_when_its_homes_die_with_it(self):
        # Guards against an agent that no balancer watches because all its
        # homes have failed.
        fleet = make_fleet(balancers=8)
        agent = fleet.agents['a0']
        for home in agent.node.own.record.homes:
            fleet.kill(fleet.balancers[home], silently=True)
        fleet.kill(agent, silently=True)
        fleet.advance(12)
        for balancer in fleet.running_balancers():
            self.assertNotIn('a0', balancer.target_ids())

    def test_paused_agent_comes_back(self):
        # Guards against a live target that stays removed because it was
        # declared dead during a pause.
        fleet = make_fleet()
        fleet.pause(fleet.agents['a0'])
        fleet.advance(30)
        self.assertNotIn('a0', fleet.balancers['b1'].target_ids())
        fleet.resume(fleet.agents['a0'])
        fleet.advance(3)
        for balancer in fleet.running_balancers():
            state = find_targets(balancer)['a0'].state
            self.assertIs(TargetState.ALIVE, state)

    def test_resumed_balancer_suspects_nobody(self):
        # Guards against a process that, after a pause of its own, takes
        # all other members for silent.
        fleet = make_fleet(balancers=6, zones=1)
        fleet.pause(fleet.balancers['b0'])
        fleet.advance(2.5)
        versions = {
            member_id: entry.node.own.record.record_version
            for member_id, entry in fleet.agents.items()
        }
        fleet.resume(fleet.balancers['b0'])
        fleet.advance(5)
        for member_id, entry in fleet.agents.items():
            record = entry.node.own.record
            self.assertEqual(versions[member_id], record.record_version)

    def test_silenced_link_is_replaced(self):
        # Guards against a connection that stays open but loses all that
        # is sent on it.
        fleet = make_fleet(balancers=2, agents=1, zones=1)
        links = fleet.agents['a0'].links
        links.silence(next(iter(links.ends_by_link)))
        fleet.advance(8)
        homes = fleet.agents['a0'].node.own.record.homes
        self.assertEqual(['b0', 'b1'], homes)
        for balancer in fleet.running_balancers():
            self.assertIn('a0', balancer.target_ids())

    def test_agent_cut_off_from_one_home_stays(self):
        # Guards against the removal of a live target because of one broken
        # path. The other home must forward the suspicion to the agent, so
        # that the agent can refute it.
        fleet = make_fleet(balancers=4, agents=1, zones=1)
        agent = fleet.agents['a0']
        home = fleet.balancers[agent.node.own.record.homes[0]]
        agent.links.location = 'agent'
        home.links.location = 'home'
        fleet.network.block('agent', 'home')
        for _ in range(100):
            fleet.advance(0.5)
            for balancer in fleet.running_balancers():
                self.assertIn('a0', balancer.target_ids())

    def test_partitioned_zone_is_unreachable_but_not_dead(self):
        # Guards against the removal of all targets of a zone because of a
        # partition.
        fleet = make_fleet()
        fleet.network.block('z0', 'z1')
        fleet.advance(120)
        for balancer in fleet.running_balancers():
            zone = balancer.record.availability_zone
            states = {
                (target.availability_zone == zone, target.state)
                for target in find_targets(balancer).values()
            }
            self.assertEqual(
                {(True, TargetState.ALIVE), (False, TargetState.SUSPECT)},
                states,
            )
        fleet.add_agent('a9', 'z0')
        fleet.network.unblock('z0', 'z1')
        fleet.advance(20)
        for healed in fleet.running_balancers():
            found = find_targets(healed).values()
            states = {target.state for target in found}
            self.assertEqual({TargetState.ALIVE}, states)
        self.assertIn('a9', fleet.balancers['b1'].target_ids())

    def test_other_zone_does_not_declare_a_suspect_dead(self):
        # Guards against a live target declared dead across a partition. It
        # begins during a suspicion, so the refutation cannot arrive.
        fleet = make_fleet()
        agent = fleet.agents['a0']
        fleet.pause(agent)
        fleet.advance(3.2)
        fleet.network.block('z0', 'z1')
        fleet.resume(agent)
        fleet.advance(60)
        far = find_targets(fleet.balancers['b1'])
        self.assertIn('a0', far)

    def test_membership_changes_while_the_store_is_down(self):
        # Guards against changes of membership that depend on the object
        # API.
        fleet = make_fleet()
        fleet.store.faults.is_down = True
        fleet.advance(OUTAGE_S / 2)
        fleet.kill(fleet.agents['a0'], silently=True)
        bridge = next(
            entry
            for entry in fleet.running_balancers()
            if entry.node.own.record.bridge_slot
        )
        fleet.kill(bridge, silently=False)
        fleet.advance(OUTAGE_S / 4)
        fleet.agents['a1'].node.set_state(MemberState.draining)
        set_fallback_seeds(fleet)
        fleet.add_agent('a0', 'z0')
        fleet.advance(OUTAGE_S / 4)
        for balancer in fleet.running_balancers():
            found = find_targets(balancer)
            self.assertEqual(6, len(found))
            self.assertIs(TargetState.DRAINING, found['a1'].state)

    def test_agent_finds_homes_again_while_the_store_is_down(self):
        # Guards against an agent that loses the known balancers together
        # with its links and cannot read the seed either.
        fleet = make_fleet(balancers=6, agents=1, zones=1)
        fleet.store.faults.is_down = True
        for home in fleet.agents['a0'].node.own.record.homes:
            fleet.kill(fleet.balancers[home], silently=False)
        fleet.advance(10)
        self.assertEqual(2, len(fleet.agents['a0'].node.own.record.homes))

    def test_calls_to_the_store_do_not_grow_with_the_fleet(self):
        # Guards against load on the object API from members that are not
        # bridges.
        counts = []
        for members in (6, 18):
            fleet = make_fleet(balancers=members, agents=members)
            before = fleet.store.calls
            fleet.advance(120)
            counts.append(fleet.store.calls - before)
        self.assertAlmostEqual(counts[0], counts[1], delta=counts[0] / 10)


class ConfigurationTest(TestCase):
    def test_missing_base_is_pulled(self):
        # Guards against a balancer that missed a version and lacks the base
        # of the next delta until tables are compared.
        fleet = make_fleet()
        spread = fleet.balancers['b0'].node.spread
        spread.holder.offer(make_configuration(5))
        spread.offer(make_configuration(6, make_service(1)))
        fleet.advance(1)
        for balancer in fleet.running_balancers():
            self.assertEqual(6, balancer.node.spread.holder.version)
            services = balancer.node.spread.holder.current.services
            self.assertEqual([make_service(1)], services)

    def test_old_version_never_comes_back(self):
        # Guards against an earlier version that comes back into force
        # through a late tool, a stale read or a late neighbour.
        fleet = make_fleet()
        operator = Operator(fleet, 'o1')
        balancer = fleet.balancers['b0']
        for port in (1, 2):
            operator.apply([make_service(1, port=port)], [balancer])
            fleet.advance(2)
        operator.hand_over(operator.accepted[0], [balancer])
        fleet.balancers['b1'].node.spread.offer(operator.accepted[0])
        fleet.advance(15)
        for entry in fleet.running_balancers():
            versions = [found.version for found in entry.configurations]
            self.assertEqual([1, 2], versions)
            holder = entry.node.spread.holder
            self.assertEqual(operator.accepted[1], holder.current)

    def test_any_balancer_knows_where_a_version_is_in_force(self):
        # Guards against an operator who waits in vain because versions in
        # force are reported to direct neighbours only.
        fleet = make_fleet(balancers=24, agents=0)
        fleet.balancers['b0'].node.spread.offer(make_configuration(1))
        fleet.advance(3)
        for balancer in fleet.running_balancers():
            known = balancer.node.table.balancers()
            records = [
                balancer.node.table.get(record.member_id) for record in known
            ]
            versions = [record.configuration_version for record in records]
            self.assertEqual([1 for _ in range(24)], versions)

    def test_restarted_balancer_is_configured_while_the_store_is_down(self):
        # Guards against a balancer that gets its configuration only after
        # an outage of the object API has ended.
        fleet = make_fleet(zones=1)
        fleet.balancers['b0'].node.spread.offer(make_configuration(3))
        fleet.advance(1)
        old = fleet.balancers['b1']
        fleet.kill(old, silently=False)
        fleet.store.faults.is_down = True
        fleet.advance(60)
        set_fallback_seeds(fleet)
        started = fleet.add_balancer('b1', 'z0')
        fleet.advance(5)
        self.assertEqual(3, started.node.spread.holder.version)

    def test_agent_learns_that_it_is_drained(self):
        # Guards against an agent that is not told that its target is
        # drained.
        fleet = make_fleet()
        drained = make_service(1, drained_targets=['a0'])
        spread = fleet.balancers['b1'].node.spread
        spread.offer(make_configuration(1, drained, make_service(2)))
        fleet.advance(3)
        self.assertEqual([drained], fleet.agents['a0'].services)
        for balancer in fleet.running_balancers():
            state = find_targets(balancer)['a0'].state
            self.assertIs(TargetState.DRAINING, state)

    def test_drained_zone_covers_targets_that_join_it_later(self):
        # Guards against new work for a target that starts in an evacuated
        # zone, and for targets of that zone at a restarted balancer.
        fleet = make_fleet()
        drain_zone(fleet, 1)
        fleet.advance(3)
        self.assertEqual({'a0', 'a2', 'a4'}, find_draining(fleet, 'b1'))
        fleet.add_agent('a9', 'z0')
        fleet.add_agent('other', 'z0', 2)
        fleet.kill(fleet.balancers['b0'], silently=False)
        fleet.advance(3)
        fleet.add_balancer('b0', 'z0')
        fleet.advance(5)
        for name in fleet.balancers:
            draining = find_draining(fleet, name)
            self.assertEqual({'a0', 'a2', 'a4', 'a9'}, draining)
        service = fleet.agents['a9'].services[-1]
        self.assertTrue(is_drained(service, 'a9', 'z0'))
        self.assertFalse(is_drained(service, 'a9', 'z1'))

    def test_targets_of_a_zone_come_back(self):
        # Guards against targets that stay without work after the zone is
        # taken back, and against work for one drained by its id.
        fleet = make_fleet()
        drain_zone(fleet, 1, 'a4')
        fleet.advance(3)
        undrained = make_service(1, drained_targets=['a4'])
        spread = fleet.balancers['b0'].node.spread
        spread.offer(make_configuration(2, undrained, make_service(2)))
        fleet.advance(3)
        for name in fleet.balancers:
            self.assertEqual({'a4'}, find_draining(fleet, name))
        self.assertEqual([undrained], fleet.agents['a0'].services[1:])

    def test_second_of_two_operators_gets_a_conflict(self):
        # Guards against a lost update: two operators write at the same
        # time and one change is overwritten without an error.
        fleet = make_fleet()
        operators = [Operator(fleet, 'o1'), Operator(fleet, 'o2')]
        for operator in operators:
            operator.apply([make_service(1)], [fleet.balancers['b0']])
        fleet.advance(5)
        accepted = [len(entry.accepted) for entry in operators]
        self.assertEqual([0, 1], sorted(accepted))

    def test_lost_answer_of_a_write_is_recognised(self):
        # Guards against a conflict of a change with itself, when the answer
        # to an accepted write is lost and the write is repeated.
        fleet = make_fleet()
        fleet.store.faults.lose_answers = 1
        operator = Operator(fleet, 'o1')
        operator.apply([make_service(1)], [fleet.balancers['b0']])
        fleet.advance(1)
        fleet.store.faults.lose_answers = 0
        fleet.advance(10)
        self.assertEqual(1, len(operator.accepted))
        for balancer in fleet.running_balancers():
            self.assertEqual(1, balancer.node.spread.holder.version)

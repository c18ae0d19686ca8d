"""Random faults against the real decision modules in virtual time.

With the profile `ci` hypothesis derives its histories from a hash of the
source of `ControlMachine` without comments, so a changed name in the
class changes the histories.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from greengagepath.generated.messages import MemberState
from tests.control.builders import make_fleet, make_service
from tests.control.operators import Operator

ZONES = ('z0', 'z1')
# Limits stated on the design page.
IN_FORCE_S = 3
DEAD_S = 5
# After this time without a new fault the overlay is repaired: two rounds
# of suspicion of 4.5 s and one reconnect pause of at most 5 s.
CALM_S = 15
# Time to converge after the last fault, in the worst case: 4.5 s until a
# dead bridge is detected, 27 s until its lease is observed to expire, 5 s
# until the seed is written, 8 s until an agent without links reads it,
# 10 s to compare tables.
CONVERGED_S = 60
# Longer than all attempts of a read and a write together.
GIVEN_UP_S = 30

seeds = st.integers(0, 2**16)
zones = st.sampled_from(ZONES)
delays = st.sampled_from((0, 0.5, 1.5, 3))
shares = st.sampled_from((0, 0.5, 1))


class ControlMachine(RuleBasedStateMachine):
    @initialize(seed=seeds)
    def start(self, seed):
        self.fleet = make_fleet(seed)
        self.operators = [
            Operator(self.fleet, 'o1'),
            Operator(self.fleet, 'o2', 'z1'),
        ]
        self.count = 0
        self.last_fault_s = self.now()
        self.partitioned = False
        self.dead_targets = {}
        self.highest_by_process = {}
        self.watch_writes()
        for port in (1, 2):
            balancer = self.pick(self.fleet.running_balancers(), seed)
            self.operators[0].apply([make_service(1, port=port)], [balancer])
            self.fleet.advance(1)

    def now(self):
        return self.fleet.timers.now()

    def watch_writes(self):
        """Check each write of a lease holder when it is sent."""
        for balancer in self.fleet.balancers.values():
            balancer.transport.on_send = lambda call, node=balancer.node: (
                self.check_write(call, node)
            )

    def check_write(self, call, node):
        if call.body and call.path.startswith('/objects/seed'):
            assert node.bridge.holds_lease, 'a write without a lease'

    def fault(self):
        self.last_fault_s = self.now()

    def pick(self, members, index):
        ordered = sorted(members, key=lambda entry: entry.record.member_id)
        return ordered[index % len(ordered)]

    def zone_size(self, zone):
        return sum(
            entry.record.availability_zone == zone
            for entry in self.fleet.running_balancers()
        )

    def pick_spare_balancer(self, index):
        """Return a balancer whose zone has another one."""
        spare = [
            entry
            for entry in self.fleet.running_balancers()
            if self.zone_size(entry.record.availability_zone) > 1
        ]
        return self.pick(spare, index) if spare else None

    @rule(duration_s=st.floats(0.05, 8))
    def let_time_pass(self, duration_s):
        self.fleet.advance(duration_s)

    @rule(zone=zones)
    def join_balancer(self, zone):
        if len(self.fleet.balancers) < 10:
            self.count += 1
            self.fleet.add_balancer(f'new{self.count}', zone)
            self.watch_writes()
            self.fault()

    @rule(index=seeds, silently=st.booleans())
    def kill_balancer(self, index, silently):
        balancer = self.pick_spare_balancer(index)
        if balancer is not None:
            self.fleet.kill(balancer, silently=silently)
            self.fault()

    @rule(index=seeds)
    def restart_balancer(self, index):
        dead = [
            entry
            for entry in self.fleet.balancers.values()
            if entry.clock.is_dead
        ]
        if dead:
            entry = self.pick(dead, index)
            self.fleet.add_balancer(
                entry.record.member_id, entry.record.availability_zone
            )
            self.watch_writes()
            self.fault()

    @rule(index=seeds)
    def pause_balancer(self, index):
        balancer = self.pick_spare_balancer(index)
        if balancer is not None:
            self.fleet.pause(balancer)
            self.fault()

    @rule(index=seeds, duration_s=st.floats(1, 40))
    def pause_lease_holder(self, index, duration_s):
        holders = [
            entry
            for entry in self.fleet.running_balancers()
            if entry.node.bridge.holds_lease
            and self.zone_size(entry.record.availability_zone) > 1
        ]
        if holders:
            holder = self.pick(holders, index)
            self.fleet.pause(holder)
            self.advance_checked(duration_s)
            self.fleet.resume(holder)
            self.fault()

    @rule(index=seeds)
    def pause_agent(self, index):
        if self.fleet.running_agents():
            self.fleet.pause(self.pick(self.fleet.running_agents(), index))
            self.fault()

    @rule()
    def resume_all(self):
        for entry in self.members():
            if entry.clock.is_paused and not entry.clock.is_dead:
                self.fleet.resume(entry)
                self.fault()

    @rule(index=seeds)
    def kill_agent(self, index):
        if self.fleet.running_agents():
            agent = self.pick(self.fleet.running_agents(), index)
            is_alone = self.is_calm()
            self.fleet.kill(agent, silently=True)
            self.fault()
            self.dead_targets[agent.record.member_id] = (
                self.now(),
                is_alone,
                agent.record.availability_zone,
            )

    @rule(index=seeds)
    def kill_agent_in_calm(self, index):
        self.fleet.advance(CALM_S + 1)
        self.kill_agent(index)
        self.fleet.advance(DEAD_S)

    @rule(zone=zones)
    def join_agent(self, zone):
        if len(self.fleet.agents) < 10:
            self.count += 1
            self.fleet.add_agent(f'agent{self.count}', zone)

    @rule(index=seeds)
    def drain_agent(self, index):
        if self.fleet.running_agents():
            agent = self.pick(self.fleet.running_agents(), index)
            agent.node.set_state(MemberState.draining)

    @rule()
    def partition(self):
        self.fleet.network.block(*ZONES)
        self.partitioned = True
        self.fault()

    @rule()
    def heal(self):
        if self.partitioned:
            self.fleet.network.unblock(*ZONES)
            self.partitioned = False
            self.fault()

    @rule(index=seeds, link_index=seeds)
    def silence_link(self, index, link_index):
        balancer = self.pick(self.fleet.running_balancers(), index)
        links = sorted(balancer.links.ends_by_link)
        if links:
            balancer.links.silence(links[link_index % len(links)])
            self.fault()

    @rule(is_down=st.booleans())
    def switch_store(self, is_down):
        self.fleet.store.faults.is_down = is_down

    @rule(
        delay_s=st.sampled_from((0, 0.5, 1.5, 3)),
        lost=st.sampled_from((0, 0.5, 1)),
    )
    def disturb_store(self, delay_s, lost):
        self.fleet.store.faults.delay_s = delay_s
        self.fleet.store.faults.lose_answers = lost

    @rule(
        first=st.booleans(),
        second=st.booleans(),
        index=seeds,
        drains=st.booleans(),
    )
    def apply_configuration(self, first, second, index, drains):
        """One operator or two at the same moment."""
        for operator, is_active in zip(
            self.operators, (first, second), strict=True
        ):
            if is_active:
                self.count += 1
                drained = ['a0'] if drains else []
                services = [
                    make_service(1, port=self.count, drained_targets=drained),
                    make_service(2),
                ]
                operator.apply(
                    services, [self.pick(self.fleet.running_balancers(), index)]
                )

    @precondition(lambda machine: machine.is_calm())
    @rule(index=seeds)
    def accepted_configuration_is_in_force_within_3_s(self, index):
        if not self.partitioned:
            self.apply_and_check(index)

    def apply_and_check(self, index):
        """Return whether a configuration was accepted and is in force."""
        count = len(self.accepted())
        services = [make_service(1, port=1 + index % 9999), make_service(2)]
        balancer = self.pick(self.fleet.running_balancers(), index)
        self.operators[0].apply(services, [balancer])
        started_s = self.now()
        while len(self.accepted()) == count:
            self.fleet.advance(0.05)
            if self.now() - started_s > GIVEN_UP_S:
                return False
        version = max(found.version for found in self.accepted())
        self.fleet.advance(IN_FORCE_S)
        for entry in self.fleet.running_balancers():
            assert entry.node.spread.holder.version >= version
        return True

    def accepted(self):
        return [found for entry in self.operators for found in entry.accepted]

    @rule(index=seeds, version_index=seeds)
    def hand_over_an_old_configuration(self, index, version_index):
        """A late tool, or a stale read of the store."""
        accepted = self.accepted()
        if accepted:
            old = accepted[version_index % len(accepted)]
            balancer = self.pick(self.fleet.running_balancers(), index)
            self.operators[0].hand_over(old, [balancer])
            balancer.node.spread.offer(old)

    def advance_checked(self, duration_s):
        """Let time pass; check the leases every half second."""
        end_s = self.now() + duration_s
        while self.now() < end_s:
            self.fleet.advance(0.5)
            self.at_most_one_lease_holder_writes()

    def is_calm(self):
        return self.now() - self.last_fault_s > CALM_S

    def members(self):
        return [*self.fleet.balancers.values(), *self.fleet.agents.values()]

    @invariant()
    def accepted_configuration_never_reverts(self):
        accepted = {found.version: found for found in self.accepted()}
        for entry in self.fleet.balancers.values():
            holder = entry.node.spread.holder
            versions = [found.version for found in entry.configurations]
            assert versions == sorted(set(versions))
            key = (entry.record.member_id, entry.record.incarnation)
            seen = self.highest_by_process.setdefault(key, 0)
            assert holder.version >= seen
            self.highest_by_process[key] = holder.version
            expected = accepted.get(holder.version, holder.current)
            assert holder.current == expected

    @invariant()
    def at_most_one_lease_holder_writes(self):
        holders = [
            entry.node.bridge.lease_name
            for entry in self.fleet.balancers.values()
            if entry.node.bridge.holds_lease and not entry.clock.is_dead
        ]
        assert len(holders) == len(set(holders))
        for zone in ZONES:
            tokens = [
                write.body['fencing_token']
                for write in self.fleet.store.writes
                if write.key == ('seed', zone)
            ]
            assert tokens == sorted(tokens)

    @invariant()
    def dead_target_disappears_within_5_s(self):
        overdue = [
            (target_id, zone)
            for target_id, (died_s, is_alone, zone) in (
                self.dead_targets.items()
            )
            if self.now() >= self.due_s(died_s, is_alone)
        ]
        for balancer in self.fleet.running_balancers():
            known = balancer.target_ids()
            for target_id, zone in overdue:
                is_near = balancer.record.availability_zone == zone
                if is_near or not self.partitioned:
                    assert target_id not in known, target_id

    def due_s(self, died_s, is_alone):
        """Return when a target must be gone that died with other faults."""
        if is_alone and self.last_fault_s == died_s:
            return died_s + DEAD_S
        return self.last_fault_s + CALM_S

    def teardown(self):
        """End all faults; membership must converge."""
        if not hasattr(self, 'fleet'):
            return
        self.resume_all()
        self.heal()
        self.fleet.store.faults.is_down = False
        self.disturb_store(0, 0)
        self.fleet.advance(CONVERGED_S)
        self.membership_converges_after_faults_end()
        assert self.apply_and_check(0), 'no configuration was accepted'

    def membership_converges_after_faults_end(self):
        running = {
            entry.record.member_id: entry.node.own.record
            for entry in (
                *self.fleet.running_balancers(),
                *self.fleet.running_agents(),
            )
        }
        for entry in self.fleet.running_balancers():
            live = {
                record.member_id: record
                for record in entry.node.table.records()
                if record.state not in {MemberState.dead, MemberState.left}
            }
            differing = [
                (name, live.get(name), running.get(name))
                for name in sorted(live.keys() | running.keys())
                if live.get(name) != running.get(name)
            ]
            assert not differing, differing


ControlMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=20,
    # Shrinking takes minutes; a failing history is printed unshrunk.
    phases=[Phase.generate],
)
TestControlMachine = ControlMachine.TestCase

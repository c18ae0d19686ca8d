from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import SizeClass
from greengagepath.routing.choice import (
    NoTargetReason,
    ProbeReply,
    ProbeState,
)
from greengagepath.routing.choosers import ServiceChoosers
from greengagepath.routing.targets import TargetState

from .builders import (
    SERVICE,
    build_chooser,
    build_shared,
    build_target,
    build_targets,
    count_choices,
)

SHORT = SizeClass.short


class TargetChooserTest(TestCase):
    def test_draining_and_suspect_targets_get_no_new_flow(self):
        # Guards against new flows at a target that is draining, by its
        # record or its probe reply, or is suspected to be down.
        chooser = build_chooser(
            (
                build_target(1, state=TargetState.DRAINING),
                build_target(2, state=TargetState.SUSPECT),
                build_target(3),
                build_target(4),
            )
        )
        chooser.record_probe(
            ProbeReply('target-4', 0, 0, 0, ProbeState.DRAINING)
        )
        counts = count_choices(chooser, SHORT, 200)
        self.assertEqual({'target-3': 200}, counts)

    def test_no_accepting_target_is_an_error(self):
        # Guards against an exception when the last target drains.
        chooser = build_chooser((build_target(1),))
        chooser.record_probe(
            ProbeReply('target-1', 0, 0, 0, ProbeState.DRAINING)
        )
        problem = chooser.choose(1, SHORT).unwrap_err()
        self.assertEqual(NoTargetReason.NONE_ALIVE, problem.reason)

    def test_targets_that_all_drained_are_chosen_again(self):
        # Guards against a service that stays without targets after an
        # undrain, because probes were paid for by chosen flows only.
        timers = VirtualTimerService()
        target = build_target(1)
        chooser = build_chooser((target,), timers)
        draining = ProbeReply('target-1', 0, 0, 0, ProbeState.DRAINING)
        while chooser.targets_to_probe():
            chooser.record_probe(draining)
            timers.advance(1)
        chooser.replace_targets((build_target(1, state=TargetState.DRAINING),))
        chooser.replace_targets((target,))
        for flow_id in range(4):
            chooser.choose(flow_id, SHORT)
            for probed in chooser.targets_to_probe():
                chooser.record_probe(ProbeReply(probed.target_id, 0, 0, 0))
            timers.advance(1)
        self.assertTrue(chooser.choose(9, SHORT).is_ok())

    def test_other_region_is_used_only_without_local_targets(self):
        # Guards against flows that leave the region while it has targets
        # of its own.
        far = build_target(1, region='sydney')
        near = build_target(2)
        chooser = build_chooser((far, near))
        self.assertEqual({'target-2': 50}, count_choices(chooser, SHORT, 50))
        chooser.replace_targets((far,))
        self.assertEqual({'target-1': 50}, count_choices(chooser, SHORT, 50))

    def test_loaded_target_is_avoided(self):
        # Guards against a choice that ignores the load in probe replies.
        chooser = build_chooser(build_targets(3))
        for number in range(3):
            queued = 50 if number == 1 else 0
            chooser.record_probe(
                ProbeReply(f'target-{number}', 2, queued, 10000)
            )
        counts = count_choices(chooser, SHORT, 40)
        self.assertNotIn('target-1', counts)

    def test_flows_sent_count_until_the_next_probe(self):
        # Guards against sending all flows to the target that reported
        # the lowest load until it is probed again.
        chooser = build_chooser(build_targets(4))
        chooser.record_probe(ProbeReply('target-0', 0, 0, 10000))
        counts = count_choices(chooser, SHORT, 200)
        self.assertLess(max(counts.values()), 80)

    def test_new_target_gets_its_share_as_it_answers(self):
        # Guards against a new target that gets its full share of flows
        # before it has answered, and against one that has to wait for a
        # timer although it answers well. The ramp by time gave it 32 of
        # the first 400 flows, and 40 of the next 400.
        timers = VirtualTimerService()
        targets = build_targets(3)
        chooser = build_chooser(targets, timers)
        chooser.replace_targets((*targets, build_target(9)))
        cold = count_choices(chooser, SHORT, 400).get('target-9', 0)
        self.assertEqual(4, cold)
        for _ in range(8):
            for number in (0, 1, 2, 9):
                reply = ProbeReply(f'target-{number}', 1, 0, 10000)
                chooser.record_probe(reply)
        warm = count_choices(chooser, SHORT, 400)['target-9']
        self.assertGreater(warm, 80)

    def test_probe_rate_follows_new_flows(self):
        # Guards against more than one probe for two new flows, apart
        # from the initial burst, and against too few probes.
        timers = VirtualTimerService()
        chooser = build_chooser(build_targets(7), timers)
        sent = 0
        for flow_id in range(1000):
            chooser.choose(flow_id, SHORT)
            sent += len(chooser.targets_to_probe())
            timers.advance(0.01)
        self.assertLessEqual(sent, 508)
        self.assertGreater(sent, 450)

    def test_own_zone_is_preferred_until_it_is_loaded(self):
        # Guards against traffic between zones while the own zone has
        # free targets, and against overloading the own zone.
        near = build_target(1)
        far = build_target(2, availability_zone='perth-b')
        chooser = build_chooser((near, far))
        first = chooser.choose(1, SHORT).unwrap().target
        self.assertEqual(near, first)
        counts = count_choices(chooser, SHORT, 100)
        self.assertGreater(counts['target-2'], 30)


class OutlierTest(TestCase):
    @given(
        count=st.integers(1, 10),
        bursts=st.lists(
            st.tuples(st.integers(0, 9), st.booleans()), max_size=40
        ),
    )
    def test_ejection_limit_holds_for_any_outcomes(self, count, bursts):
        # Guards against a sequence of outcomes that ejects more than a
        # third of the targets.
        chooser = build_chooser(build_targets(count))
        for number, succeeded in bursts:
            for _ in range(5):
                chooser.record_outcome(f'target-{number}', succeeded=succeeded)
            self.assertLessEqual(len(chooser.ejected), count // 3)
        self.assertTrue(chooser.choose(1, SHORT).is_ok())

    def test_at_most_a_third_is_ejected(self):
        # Guards against ejecting so many failing targets that the
        # remaining ones are overloaded.
        chooser = build_chooser(build_targets(7))
        for number in range(7):
            for _ in range(20):
                chooser.record_outcome(f'target-{number}', succeeded=False)
        self.assertEqual(2, len(chooser.ejected))
        counts = count_choices(chooser, SHORT, 300)
        self.assertEqual(frozenset(), chooser.ejected & counts.keys())

    def test_ejected_target_is_readmitted_by_probes(self):
        # Guards against a target that stays ejected after it recovered.
        timers = VirtualTimerService()
        chooser = build_chooser(build_targets(3), timers)
        for _ in range(5):
            chooser.record_outcome('target-0', succeeded=False)
        self.assertEqual({'target-0'}, chooser.ejected)
        for _ in range(6):
            timers.advance(0.5)
            for target in chooser.targets_to_probe():
                chooser.record_probe(ProbeReply(target.target_id, 0, 0, 1000))
        self.assertEqual(frozenset(), chooser.ejected)


class ServiceChoosersTest(TestCase):
    def test_only_changed_services_are_rebuilt(self):
        # Guards against rebuilding the tables of all services when the
        # targets of one change.
        choosers = ServiceChoosers(build_shared())
        by_service = {number: build_targets(3) for number in range(20)}
        self.assertEqual(20, choosers.update_targets(by_service))
        self.assertEqual(0, choosers.rebuild_slice())
        by_service[3] = build_targets(4)
        self.assertEqual(1, choosers.update_targets(by_service))

    def test_choice_does_not_wait_for_the_rebuild(self):
        # Guards against choosing from the old target set between a
        # change and its rebuild.
        choosers = ServiceChoosers(build_shared())
        choosers.update_targets({SERVICE: (build_target(1),)})
        self.assertTrue(choosers.choose(SERVICE, 1, SHORT).is_ok())
        choosers.update_targets({})
        problem = choosers.choose(SERVICE, 1, SHORT).unwrap_err()
        self.assertEqual(NoTargetReason.UNKNOWN_SERVICE, problem.reason)

import random

from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import SizeClass
from greengagepath.routing.choice import ProbeReply, ProbeState, TargetChooser
from greengagepath.routing.explanation import LeftOut, explain_choice
from greengagepath.routing.targets import TargetState

from .builders import build_shared, build_target, build_targets

QUESTIONS = 1000
FLOWS = 300


class ExplanationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService()
        self.shared = build_shared(self.timers)
        self.chooser = self.make_chooser(self.shared)

    def make_chooser(self, shared):
        chooser = TargetChooser(7, shared)
        targets = build_targets(5)
        chooser.replace_targets(targets)
        chooser.replace_targets((*targets, build_target(5, incarnation=2)))
        return chooser

    def run_flow(self, chooser, number):
        """Place a flow and answer the probes that are due."""
        chosen = chooser.choose(number * 7919, SizeClass.short).unwrap()
        replies = random.Random(number)
        for target in chooser.targets_to_probe():
            chooser.record_probe(
                ProbeReply(
                    target.target_id,
                    replies.randrange(3),
                    replies.randrange(4),
                    replies.randrange(1000, 90000),
                )
            )
        failed = chosen.target.target_id == 'target-3'
        chooser.record_outcome(chosen.target.target_id, succeeded=not failed)
        return chosen

    def test_explanation_is_the_next_choice(self):
        # Guards against an explanation by other rules than the choice's,
        # under changing load, an ejection and a cold start.
        for number in range(FLOWS):
            explained = explain_choice(
                self.chooser, self.shared, number * 7919, SizeClass.short
            )
            chosen = self.run_flow(self.chooser, number)
            self.assertEqual(chosen, explained.choice.unwrap())
            first = explained.assessments[0]
            self.assertEqual(
                (chosen.target, LeftOut.ELIGIBLE),
                (first.target, first.left_out),
            )
            self.timers.advance(0.02)

    def test_questions_change_no_later_choice(self):
        # Guards against a question that counts as a flow, draws from the
        # chooser's random numbers, or pays for probes.
        twin_shared = build_shared(self.timers)
        twin = self.make_chooser(twin_shared)
        for number in range(FLOWS):
            for question in range(QUESTIONS if number == 100 else 1):
                explain_choice(self.chooser, self.shared, question)
            self.assertEqual(
                self.run_flow(twin, number),
                self.run_flow(self.chooser, number),
            )
            self.timers.advance(0.02)

    def test_reasons(self):
        # Guards against a target that is left out for a reason which is
        # not shown, or for which another one is shown.
        chooser = TargetChooser(7, self.shared)
        chooser.replace_targets(
            (
                build_target(0),
                build_target(1, state=TargetState.DRAINING),
                build_target(2, state=TargetState.SUSPECT),
                build_target(3, region='sydney'),
                build_target(4),
                *(build_target(number) for number in range(10, 25)),
            )
        )
        draining = ProbeReply('target-4', 0, 0, 0, ProbeState.DRAINING)
        chooser.record_probe(draining)
        explained = explain_choice(chooser, self.shared, 1)
        reasons = {
            entry.target.target_id: str(entry.left_out)
            for entry in explained.assessments
        }
        self.assertEqual(20, len(reasons))
        self.assertEqual(8, sum(not reason for reason in reasons.values()))
        self.assertEqual(
            ['draining', 'suspect', 'other_region', 'draining'],
            [reasons[f'target-{number}'] for number in (1, 2, 3, 4)],
        )
        self.assertIn('not_a_candidate', reasons.values())

"""Limit of one target, answer by answer."""

from testtools import TestCase

from greengagepath.pace.target_pace import TargetPace


def make_pace(slots: int = 2) -> TargetPace:
    pace = TargetPace()
    pace.restart(slots, 0.0)
    return pace


def answer(
    pace: TargetPace,
    answers: int,
    duration_s: float = 0.03,
    load: int | None = None,
) -> int | None:
    """Record answers, by default at the limit; return the limit."""
    for _ in range(answers):
        at_load = (pace.limit(9.0) or 0) if load is None else load
        pace.record_answer(duration_s, 0.03, at_load, 9.0)
    return pace.limit(9.0)


class TargetPaceTest(TestCase):
    def test_limit_doubles_with_each_round_of_good_answers(self):
        # Guards against a target that gets its share only after a time.
        pace = make_pace()
        limits = [pace.limit(0.0), answer(pace, 4), answer(pace, 8)]
        self.assertEqual([4, 8, 16], limits)

    def test_limit_ends_when_the_load_is_at_most_half(self):
        # Guards against a limit that stays for a later peak.
        self.assertIsNone(answer(make_pace(), 4, load=2))

    def test_slow_round_lowers_the_limit_once_and_not_below_the_floor(self):
        # Guards against a limit that each slow answer of a round lowers,
        # also single long ones, and against a target without requests.
        pace = make_pace()
        answer(pace, 1, duration_s=3.0)
        answer(pace, 11)
        self.assertEqual(11, answer(pace, 16, duration_s=0.09))
        self.assertEqual(13, answer(pace, 11))
        self.assertEqual(4, answer(pace, 100, duration_s=0.09))

    def test_own_best_is_the_reference_without_peers(self):
        # Guards against a single target that is overloaded as it has no
        # other one to be compared with.
        pace = make_pace()
        for duration_s in (0.03, 0.1):
            for _ in range(pace.limit(0.0)):
                pace.record_answer(duration_s, 0.0, 8, 0.0)
        self.assertEqual(5, pace.limit(0.0))

    def test_rejection_limits_the_load_to_what_the_target_has_kept(self):
        # Guards against a limit that is above the queue when a burst is
        # rejected, and against one that rises with each good round.
        pace = make_pace()
        answer(pace, 4, load=2)
        for load in (13, 12, 11):
            pace.record_rejection(load, 1.0)
        self.assertEqual(11, pace.queue_limit)
        self.assertEqual(11, answer(pace, 7 * 11))
        self.assertEqual(12, answer(pace, 11))

    def test_rejection_at_a_low_load_tells_no_queue_length(self):
        # Guards against packets that are refused because a request had
        # waited too long at an almost empty target.
        pace = make_pace()
        pace.record_rejection(1, 1.0)
        self.assertEqual(4, pace.limit(1.0))
        self.assertIsNone(pace.queue_limit)

    def test_single_failure_does_not_limit_the_load(self):
        # Guards against a target that is held back for a request that
        # would fail at any target.
        pace = make_pace()
        answer(pace, 4, load=2)
        pace.record_failure(3, 1.0)
        self.assertIsNone(pace.limit(1.0))

    def test_failures_hold_their_places_for_a_second(self):
        # Guards against a target that fails all requests at once and is
        # never at its limit, and against one that gets nothing for good.
        pace = make_pace()
        for _ in range(4):
            pace.record_failure(1, 1.0)
        self.assertEqual(0, pace.limit(1.5))
        self.assertEqual(4, pace.limit(2.0))

    def test_limit_stays_while_a_share_of_the_requests_fails(self):
        # Guards against a limit that comes and goes several times a second
        # at a target that fails one request in twelve.
        pace = make_pace()
        answer(pace, 4, load=2)
        limited = []
        for _ in range(4):
            pace.record_failure(1, 1.0)
        for _ in range(40):
            answer(pace, 11, load=1)
            pace.record_failure(1, 1.0)
            limited.append(pace.is_limited)
        self.assertNotIn(False, limited)
        self.assertIsNone(answer(pace, 60, load=1))

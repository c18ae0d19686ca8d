"""Tests of the rate limit of cold targets, in replayed seconds."""

import random

from testtools import TestCase

from greengagepath.pace.cold_limit import ColdBounds, ColdLimit

BOUNDS = ColdBounds(1.5, 5)
RATE = 8.0
MOST = 17
# After the time in which an earlier process may have admitted flows.
READY_S = 2.0


def make_limit(rate: float = RATE) -> ColdLimit:
    limit = ColdLimit(BOUNDS, 0.0)
    limit.set_rate(rate)
    return limit


def replay(limit: ColdLimit, times_s: list[float], **options) -> list[float]:
    """Return when flows were admitted that arrived at `times_s`."""
    admitted_s = []
    for now_s in times_s:
        if limit.allows(now_s, **options):
            limit.record(now_s)
            admitted_s.append(now_s)
    return admitted_s


def count_in_any_second(times_s: list[float]) -> int:
    return max(
        (
            sum(start_s <= at_s < start_s + 1 for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


class ColdLimitTest(TestCase):
    def test_no_second_exceeds_the_rate(self):
        # Replays homes that all place at an empty target. Guards against a
        # limit by the clock's seconds, which admits twice the rate around
        # the end of a second.
        rng = random.Random(1)
        times_s = sorted(rng.uniform(READY_S, 8) for _ in range(600))
        admitted_s = replay(make_limit(), times_s)
        self.assertEqual(RATE, count_in_any_second(admitted_s))
        self.assertGreater(len(admitted_s), 5 * RATE)

    def test_last_resort_stays_within_the_tolerance(self):
        # Guards against a service whose targets are all cold, and which is
        # idle or given more than the deployment tolerates.
        times_s = [READY_S + at / 100 for at in range(600)]
        admitted_s = replay(make_limit(), times_s, is_last_resort=True)
        self.assertEqual(MOST, count_in_any_second(admitted_s))

    def test_started_agent_admits_nothing_for_a_second(self):
        # Guards against an agent that is killed while its target is cold:
        # what it admitted before is not known.
        limit = make_limit()
        self.assertFalse(limit.allows(0.5, is_last_resort=True))
        self.assertTrue(limit.allows(READY_S))

    def test_target_is_cold_until_it_says_otherwise(self):
        # Guards against a full load for a target whose first report, or
        # the one after its zone was restored, has not arrived.
        limit = make_limit()
        self.assertTrue(limit.is_limiting(READY_S))
        limit.record_remaining(0.5, READY_S)
        self.assertFalse(limit.is_limiting(READY_S + 0.6))
        limit.assume_cold()
        self.assertTrue(limit.is_limiting(READY_S + 0.7))

    def test_later_report_changes_the_remaining_time(self):
        # Guards against a report of another remaining time that is ignored.
        limit = make_limit()
        limit.record_remaining(0.1, READY_S)
        limit.record_remaining(3.0, READY_S + 0.05)
        self.assertTrue(limit.is_limiting(READY_S + 2))

    def test_service_without_a_rate_is_not_limited(self):
        # Guards against refusals where no rate is stated.
        limit = make_limit(rate=0.0)
        times_s = [at / 100 for at in range(100)]
        self.assertEqual(times_s, replay(limit, times_s))

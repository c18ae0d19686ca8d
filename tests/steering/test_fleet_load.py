"""Tests of placement under load, for targets of unlike speed and zones."""

import statistics

from testtools import TestCase

from greengagepath.routing import standing_load

from .fleet import FEED_REQUESTS, Fleet

REOPEN_S = 1.0
GROWTH = 1.6


class OpenFlowsTest(TestCase):
    def _reopen_feeds(self, *, counts_open_flows: bool) -> Fleet:
        """Open feeds for half of the capacity; then demand grows 1.6 times."""
        if not counts_open_flows:
            self.patch(standing_load, 'BUSY_GAIN', 0)
        fleet = Fleet(agents=9)
        for _ in range(fleet.count_feeds(0.5)):
            delay_s = fleet.random.random() * REOPEN_S
            fleet.timers.call_after(
                delay_s, lambda: fleet.start_load(FEED_REQUESTS)
            )
        fleet.timers.advance(REOPEN_S)
        fleet.reset_counts()
        fleet.feed_s /= GROWTH
        fleet.timers.advance(4)
        return fleet

    def test_feeds_that_reopen_are_spread_by_the_speed_of_targets(self):
        # Guards against fast targets that get most open flows because
        # they are idle first, and are overloaded while slow ones idle.
        fleet = self._reopen_feeds(counts_open_flows=True)
        before = self._reopen_feeds(counts_open_flows=False)
        failed = fleet.late + fleet.refused
        self.assertLess(failed * 2, before.late + before.refused)
        shares = fleet.list_busy_shares()
        self.assertGreater(min(shares), 0.5)
        spread = statistics.pstdev(shares)
        self.assertLess(
            spread * 2, statistics.pstdev(before.list_busy_shares())
        )

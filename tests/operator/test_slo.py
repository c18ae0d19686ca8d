from testtools import TestCase

from greengagepath.generated.messages import Objective
from greengagepath.reports.outcomes import (
    RequestOutcome,
    measure_outcomes,
    tally_outcomes,
)
from greengagepath.reports.scrapes import (
    Snapshot,
    parse_counts,
    tally_snapshots,
)
from greengagepath.reports.slo import (
    ALL_CUSTOMERS,
    Tally,
    collect_objectives,
    compute_burn,
    compute_series,
)

from .builders import build_services

NOW_S = 1_000_000.0
KEY = ('licence-core', 'status-check')
OBJECTIVE = Objective(
    operation='status-check', target_share=0.99, threshold_ms=500
)


def build_tally(age_s, good, total, customer='a'):
    return Tally(NOW_S - age_s, KEY[0], customer, KEY[1], good, total)


def build_outcome(time_s, latency_ms=10, outcome='answered', **fields):
    defaults = {
        'time': time_s,
        'service': KEY[0],
        'customer': 'a',
        'operation': KEY[1],
        'outcome': outcome,
        'latency_ms': latency_ms,
    }
    return RequestOutcome(**{**defaults, **fields})


class BurnTest(TestCase):
    def burn(self, *tallies):
        rows = compute_burn(tallies, {KEY: OBJECTIVE}, NOW_S)
        return {row.customer: row for row in rows}

    def test_rates_and_budget_match_values_computed_by_hand(self):
        # Guards against errors in the limits of windows or in the shares.
        row = self.burn(
            build_tally(60, 80, 100),
            build_tally(1200, 95, 100),
            build_tally(7200, 800, 800),
        )['a']
        # 20 bad of 100, 25 of 200, 25 of 200, 25 of 1000; 1% allowed.
        self.assertEqual(
            {300: 20.0, 1800: 12.5, 3600: 12.5, 21600: 2.5},
            {
                window_s: round(rate, 9)
                for window_s, rate in row.rates_by_window_s.items()
            },
        )
        self.assertAlmostEqual(1 - 2.5, row.budget_left)
        # The hour burns at 12.5 of 14.4, the six hours at 2.5 of 6.
        self.assertEqual((), row.alerts)

    def test_alert_needs_both_windows(self):
        # Guards against alerts that last long after the cause is gone,
        # because the long window still has the failures.
        burning = self.burn(build_tally(60, 80, 100))['a']
        self.assertEqual(('fast', 'slow'), burning.alerts)
        ended = self.burn(build_tally(400, 80, 100), build_tally(60, 10, 10))[
            'a'
        ]
        self.assertEqual(('slow',), ended.alerts)

    def test_customers_are_reported_separately_and_in_total(self):
        # Guards against failures of one customer that the total hides.
        rows = self.burn(
            build_tally(60, 90, 100), build_tally(60, 300, 300, 'b')
        )
        self.assertEqual((390, 400), self.counts(rows[ALL_CUSTOMERS]))
        self.assertEqual((90, 100), self.counts(rows['a']))
        self.assertAlmostEqual(2.5, rows[ALL_CUSTOMERS].rates_by_window_s[300])
        self.assertAlmostEqual(0, rows['b'].rates_by_window_s[300])

    def counts(self, row):
        return row.good, row.total

    def test_windows_without_requests_have_no_rate(self):
        # Guards against a window without requests shown as without failures.
        row = self.burn(build_tally(7200, 1, 1))['a']
        self.assertIsNone(row.rates_by_window_s[3600])

    def test_series_has_no_rate_for_bins_without_requests(self):
        # Guards against a plot that joins the points around an outage.
        found = compute_series(
            [build_tally(2, 0, 1), build_tally(0, 1, 1)], {KEY: OBJECTIVE}
        )
        self.assertEqual(1, len(found))
        series = found[0]
        self.assertEqual(3, len(series.rates))
        self.assertIsNone(series.rates[1])
        self.assertAlmostEqual(100, series.rates[0])


class OutcomesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.services = build_services()
        self.objectives = collect_objectives(self.services)

    def measure(self, outcomes):
        rows = measure_outcomes(outcomes, self.services)
        return {(row.service, row.customer): row for row in rows}

    def test_late_answers_are_bad_and_cancelled_requests_are_not_counted(self):
        # Guards against late answers that are counted as good.
        tallies = tally_outcomes(
            [
                build_outcome(NOW_S, 500),
                build_outcome(NOW_S, 501),
                build_outcome(NOW_S, 1, 'refused'),
                build_outcome(NOW_S, 1, 'cancelled'),
            ],
            self.objectives,
        )
        self.assertEqual(
            [(1, 1), (0, 1), (0, 1)],
            [(tally.good, tally.total) for tally in tallies],
        )

    def test_measures_match_values_computed_by_hand(self):
        # Guards against measures that average out the worst customer or
        # the busiest 10 s.
        outcomes = [
            build_outcome(100, 30, target='t1'),
            build_outcome(111, 30, target='t1'),
            build_outcome(112, 60, target='t2'),
            build_outcome(113, 40, 'broken', customer='b', target='t2'),
        ]
        rows = self.measure(outcomes)
        total = rows[KEY[0], ALL_CUSTOMERS]
        self.assertEqual(0.25, total.broken_flows)
        # 60 ms on t1, 100 ms on t2: mean 80, deviation 20.
        self.assertEqual(0.25, total.imbalance)
        self.assertEqual(1, total.customer_gap)
        # Three requests start in the busiest 10 s; two of them are good.
        self.assertAlmostEqual(2 / 3, total.crest_quality)
        self.assertEqual(1, rows[KEY[0], 'b'].broken_flows)
        self.assertEqual(0, rows[KEY[0], 'b'].crest_quality)
        self.assertEqual(0, rows[KEY[0], 'a'].customer_gap)

    def test_head_of_line_compares_short_requests_with_and_without_long_ones(
        self,
    ):
        # Guards against a short request that is put into the wrong group.
        service = self.services[1].name
        fields = {'service': service, 'operation': 'look-up'}
        long_work = build_outcome(
            20, 10_000, service=service, operation='compliance-bundle'
        )
        outcomes = [long_work]
        outcomes += [build_outcome(5 + n, 10, **fields) for n in range(3)]
        outcomes += [build_outcome(12 + n, 30, **fields) for n in range(3)]
        row = self.measure(outcomes)[service, ALL_CUSTOMERS]
        self.assertAlmostEqual(3, row.head_of_line)
        self.assertIsNone(self.measure([long_work])[service, 'a'].head_of_line)


class SnapshotsTest(TestCase):
    def text(self, answered, late, refused):
        labels = 'customer="a",operation="status-check",service="licence-core"'
        name = 'greengagepath_request_duration_seconds_bucket'
        requests = 'greengagepath_requests_total'
        return '\n'.join(
            [
                '# HELP ignored',
                f'{requests}{{{labels},outcome="answered"}} {answered + late}',
                f'{requests}{{{labels},outcome="refused"}} {refused}',
                f'{requests}{{{labels},outcome="cancelled"}} 50',
                f'{name}{{le="0.25",{labels}}} {answered}',
                f'{name}{{le="0.5",{labels}}} {answered}',
                f'{name}{{le="1.0",{labels}}} {answered + late}',
                f'{name}{{le="+Inf",{labels}}} {answered + late}',
            ]
        )

    def tally(self, *states):
        snapshots = [
            Snapshot(
                time=100.0 + position,
                source='a',
                counts=parse_counts(self.text(*state)),
            )
            for position, state in enumerate(states)
        ]
        tallies = tally_snapshots(snapshots, {KEY: OBJECTIVE})
        return [(entry.time_s, entry.good, entry.total) for entry in tallies]

    def test_tally_is_the_difference_between_snapshots(self):
        # Guards against a window that contains all requests since the start
        # of the process.
        self.assertEqual(
            [(0.0, 10, 12), (101.0, 5, 9)],
            self.tally((10, 1, 1), (15, 3, 3)),
        )

    def test_counts_start_from_zero_after_a_restart(self):
        # Guards against negative counts after the restart of a process.
        self.assertEqual(
            [(0.0, 10, 12), (101.0, 4, 4)], self.tally((10, 1, 1), (4, 0, 0))
        )

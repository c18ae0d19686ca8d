"""The rows of `make bench` in virtual time, with the same bounds."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
from testtools import TestCase

from greengagepath.bench.experiments import (
    BLOCKING_BOUND,
    BROKEN_FLOWS,
    COMPARISONS,
    CREST_QUALITY,
    SEED,
    Row,
)
from greengagepath.bench.plots import write_plots
from greengagepath.bench.runner import (
    BenchReport,
    WallClockFigure,
    run_comparison,
    write_report,
)
from greengagepath.bench.scenarios import SCENARIOS


# Guards against a change of routing or admission that misses a bound of
# the design page, and against a comparison in which the naive system
# gives the same figure, as if both had run the same code.
@pytest.mark.parametrize('scenario', range(len(SCENARIOS)))
@pytest.mark.parametrize('comparison', range(len(COMPARISONS)))
def test_rows_meet_their_bounds(scenario, comparison):
    rows = run_comparison(scenario, comparison, SEED)
    missed = [row for row in rows if not row.is_met]
    assert not missed
    assert rows[0].naive != rows[0].ours


class ReportTest(TestCase):
    def test_missed_bounds_are_found_on_both_sides(self):
        # Guards against a benchmark that passes whatever it measures: a
        # figure may miss its bound by being too high or too low.
        rows = [
            Row(BROKEN_FLOWS, 'jinhua', 0.2, 0.1, 1),
            Row(CREST_QUALITY, 'jinhua', 0.2, 0.1, 1),
            Row(CREST_QUALITY, 'cooperative', 0.2, 0.9, 1),
        ]
        slow = WallClockFigure('packets', 2.1, 2.0, 'ratio')
        report = BenchReport(rows, [slow])
        self.assertEqual(
            ['broken_flows jinhua', 'crest_quality jinhua', 'packets'],
            report.missed,
        )

    def test_report_and_plots_are_written(self):
        # Guards against a field missing in the rows of `bench.json`, which
        # readers rely on, and against empty plots.
        row = Row(BROKEN_FLOWS, 'jinhua', 0.2, 0.1, 1)
        with TemporaryDirectory() as name:
            path = write_report(BenchReport([row], []), Path(name))
            document = json.loads(path.read_text())
            plots = write_plots([row], Path(name))
            self.assertTrue(plots[0].stat().st_size)
        self.assertEqual(
            {
                'measure': 'broken_flows',
                'scenario': 'jinhua',
                'naive': 0.2,
                'ours': 0.1,
                'ratio': 2.0,
                'bound': 0.0,
                'unit': 'share',
                'seed': 1,
            },
            document['rows'][0],
        )

    def test_bounds_are_those_of_the_design_page(self):
        # Guards against a bound that was changed to fit a measured figure.
        self.assertEqual(0.0, BROKEN_FLOWS.bound)
        self.assertEqual(1.5, BLOCKING_BOUND)

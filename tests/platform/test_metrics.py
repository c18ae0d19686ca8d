"""Metrics of the steering daemons."""

from collections import Counter

from testtools import TestCase

from greengagepath.daemon.steering_metrics import SteeringMetrics
from greengagepath.steering.durations import DurationCounts


class SteeringMetricsTest(TestCase):
    def test_counts_and_durations_are_rendered(self):
        # Guards against a metric that is documented but never set.
        metrics = SteeringMetrics(
            Counter({'flows_opened': 3}),
            lambda: Counter({('read_routes', '200'): 2}),
            lambda: {'load': 4.0},
        )
        durations = DurationCounts()
        for duration_s in (0.001, 0.02, 9.0):
            durations.add(duration_s)
        metrics.durations_by_step['handshake'] = durations
        rendered = metrics.render().decode()
        for line in (
            'greengagepath_steering_events_total{event="flows_opened"} 3',
            'greengagepath_steering_state{state="load"} 4',
            'le="0.025",step="handshake"} 2',
            'le="+Inf",step="handshake"} 3',
        ):
            self.assertIn(line, rendered)

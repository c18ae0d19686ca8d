from testtools import TestCase

from greengagepath.foundation.metrics import DEFINITIONS, MetricKind, Metrics


class MetricsTest(TestCase):
    def test_callbacks_update_gauges_before_rendering(self):
        # Guards against gauges that are out of date at a scrape.
        metrics = Metrics()
        metrics.before_render(lambda: metrics.set_table_usage('links', 3, 500))
        text = metrics.render().decode()
        self.assertIn('greengagepath_table_entries{table="links"} 3', text)
        self.assertIn('greengagepath_table_capacity{table="links"} 500', text)

    def test_number_of_label_sets_is_limited(self):
        # Guards against unlimited memory if peers send ever new values.
        metrics = Metrics(max_label_sets=2)
        for reason in ('a', 'b', 'c', 'd'):
            metrics.add('datagrams_dropped_total', reason=reason)
        text = metrics.render().decode()
        self.assertIn('{reason="other"} 2', text)
        self.assertNotIn('reason="c"', text)

    def test_wrong_labels_raise(self):
        # Guards against time series whose labels no dashboard queries.
        metrics = Metrics()
        self.assertRaises(
            ValueError, metrics.add, 'datagrams_dropped_total', kind='x'
        )

    def test_names_end_with_their_kind_or_unit(self):
        # Guards against names that break the conventions of Prometheus.
        for definition in DEFINITIONS:
            is_counter = definition.kind is MetricKind.COUNTER
            self.assertEqual(is_counter, definition.name.endswith('_total'))
            if definition.kind is MetricKind.HISTOGRAM:
                self.assertTrue(definition.name.endswith('_seconds'))

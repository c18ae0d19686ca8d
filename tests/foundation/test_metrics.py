from testtools import TestCase

from greengagepath.foundation.metrics import DEFINITIONS, MetricKind, Metrics


class MetricsTest(TestCase):
    def test_fill_levels_are_copied_when_rendered(self):
        # Guards against gauges that show the last change, not the scrape.
        metrics = Metrics()
        metrics.before_render(lambda: metrics.set_table_usage('links', 3, 500))
        text = metrics.render().decode()
        self.assertIn('greengagepath_table_entries{table="links"} 3', text)
        self.assertIn('greengagepath_table_capacity{table="links"} 500', text)

    def test_labels_from_peers_are_bounded(self):
        # Guards against memory that grows with invented operations.
        metrics = Metrics(max_label_sets=2)
        for reason in ('a', 'b', 'c', 'd'):
            metrics.add('datagrams_dropped_total', reason=reason)
        text = metrics.render().decode()
        self.assertIn('{reason="other"} 2', text)
        self.assertNotIn('reason="c"', text)

    def test_wrong_labels_raise(self):
        # Guards against series that no dashboard selects.
        metrics = Metrics()
        self.assertRaises(
            ValueError, metrics.add, 'datagrams_dropped_total', kind='x'
        )

    def test_names_carry_their_unit(self):
        # Guards against names outside the conventions of Prometheus.
        for definition in DEFINITIONS:
            is_counter = definition.kind is MetricKind.COUNTER
            self.assertEqual(is_counter, definition.name.endswith('_total'))
            if definition.kind is MetricKind.HISTOGRAM:
                self.assertTrue(definition.name.endswith('_seconds'))

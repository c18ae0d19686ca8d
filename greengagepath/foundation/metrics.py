"""Metrics of a daemon, kept in a registry of aioprometheus.

All metrics are defined here, so that names, units and labels are
consistent. Label values may come from peers, so the label sets of a
metric are limited; those above the limit are counted as `other`.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.collectors import Collector
from aioprometheus.renderer import render

PREFIX = 'greengagepath_'
MAX_LABEL_SETS = 1000
OTHER = 'other'
# In seconds; finer around the thresholds of interactive requests.
DURATION_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)


@unique
class MetricKind(Enum):
    """Type of a metric in Prometheus."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@dataclass(slots=True, frozen=True)
class MetricDefinition:
    """Name without prefix, type, help text and labels of a metric."""

    name: str
    kind: MetricKind
    meaning: str
    labels: tuple[str, ...] = ()


def _counter(name: str, meaning: str, *labels: str) -> MetricDefinition:
    return MetricDefinition(name, MetricKind.COUNTER, meaning, labels)


def _gauge(name: str, meaning: str, *labels: str) -> MetricDefinition:
    return MetricDefinition(name, MetricKind.GAUGE, meaning, labels)


def _histogram(name: str, meaning: str, *labels: str) -> MetricDefinition:
    return MetricDefinition(name, MetricKind.HISTOGRAM, meaning, labels)


DEFINITIONS = (
    _counter('datagrams_received_total', 'Datagrams received', 'kind'),
    _counter('datagrams_forwarded_total', 'Datagrams sent on', 'kind'),
    _counter('datagrams_dropped_total', 'Datagrams dropped', 'reason'),
    _counter('flows_opened_total', 'Flows accepted', 'service'),
    _counter('flows_handed_off_total', 'OPEN handed off', 'service'),
    _counter(
        'requests_total',
        'Requests finished at an agent',
        'service',
        'customer',
        'operation',
        'outcome',
    ),
    _counter('requests_refused_total', 'Requests not run', 'service', 'reason'),
    _counter('retries_total', 'Retries sent', 'service', 'layer'),
    _counter(
        'retries_suppressed_total',
        'Retries that the budget did not allow',
        'service',
        'layer',
    ),
    _counter('targets_ejected_total', 'Soft ejections', 'service'),
    _counter('probes_total', 'Probes of targets', 'outcome'),
    _counter('object_api_calls_total', 'Object API calls', 'method', 'outcome'),
    _counter('steering_events_total', 'Decisions for plain flows', 'event'),
    _counter(
        'steering_durations_total',
        'Durations of plain flows up to a bound in seconds',
        'step',
        'le',
    ),
    _counter(
        'steering_duration_seconds_total', 'Sum of these durations', 'step'
    ),
    _gauge('steering_state', 'What a role for plain flows believes', 'state'),
    _counter('key_reloads_total', 'Reloads of keys', 'outcome'),
    _gauge('table_entries', 'Entries in a bounded table', 'table'),
    _gauge('table_capacity', 'Limit of a bounded table', 'table'),
    _gauge('configuration_version', 'Version of configuration in force'),
    _gauge('members', 'Members known', 'kind', 'state'),
    _gauge('targets', 'Targets known', 'service', 'state'),
    _gauge('ready', '1 if /readyz answers 200'),
    _gauge('draining', '1 while the process drains'),
    _gauge('lease_held', '1 if the bridge lease is held'),
    _gauge('slots_busy', 'Back-end slots in use', 'service'),
    _gauge('concurrency_limit', 'Requests allowed at once', 'service'),
    _histogram(
        'request_duration_seconds',
        'Time from admission to the whole answer',
        'service',
        'customer',
        'operation',
    ),
    _histogram(
        'queue_wait_seconds', 'Time in the queue', 'service', 'size_class'
    ),
    _histogram('event_loop_delay_seconds', 'Lateness of the event loop'),
)
DEFINITIONS_BY_NAME = {entry.name: entry for entry in DEFINITIONS}


class Metrics:
    """The metrics of one process.

    Names are those of `DEFINITIONS`. An unknown name raises KeyError,
    a wrong set of labels ValueError. Packet counters are kept as plain
    numbers by the objects that count them, which keeps the data path
    short; a callback registered with `before_render` copies them.
    """

    def __init__(self, max_label_sets: int = MAX_LABEL_SETS) -> None:
        self.registry = Registry()
        self._max_label_sets = max_label_sets
        self._collectors_by_name: dict[str, Collector] = {}
        self._label_sets_by_name: dict[str, set[tuple[str, ...]]] = {}
        self._callbacks: list[Callable[[], None]] = []

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add `amount` to a counter."""
        collector = self._find(name)
        collector.add(self._limit_labels(name, labels), amount)

    def set_counter(self, name: str, total: float, **labels: str) -> None:
        """Set a counter to a total that is counted elsewhere."""
        collector = self._find(name)
        collector.set(self._limit_labels(name, labels), total)

    def set_gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge to `level`."""
        collector = self._find(name)
        collector.set(self._limit_labels(name, labels), level)

    def set_table_usage(self, table: str, entries: int, capacity: int) -> None:
        """Set the gauges for the entries and capacity of a bounded table."""
        self.set_gauge('table_entries', entries, table=table)
        self.set_gauge('table_capacity', capacity, table=table)

    def observe(self, name: str, duration_s: float, **labels: str) -> None:
        """Add a duration in seconds to a histogram."""
        collector = self._find(name)
        collector.add(self._limit_labels(name, labels), duration_s)

    def before_render(self, callback: Callable[[], None]) -> None:
        """Call `callback` before each rendering, to update the metrics."""
        self._callbacks.append(callback)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        for callback in self._callbacks:
            callback()
        return render(self.registry, [])[0]

    def _find(self, name: str) -> Collector:
        collector = self._collectors_by_name.get(name)
        if collector is None:
            collector = _create(DEFINITIONS_BY_NAME[name], self.registry)
            self._collectors_by_name[name] = collector
        return collector

    def _limit_labels(
        self, name: str, labels: dict[str, str]
    ) -> dict[str, str]:
        expected = DEFINITIONS_BY_NAME[name].labels
        if labels.keys() != set(expected):
            raise ValueError(f'metric {name} requires the labels {expected}')
        label_sets = self._label_sets_by_name.setdefault(name, set())
        label_set = tuple(labels[label] for label in expected)
        if label_set not in label_sets:
            if len(label_sets) >= self._max_label_sets:
                return dict.fromkeys(expected, OTHER)
            label_sets.add(label_set)
        return labels


def _create(definition: MetricDefinition, registry: Registry) -> Collector:
    name = PREFIX + definition.name
    match definition.kind:
        case MetricKind.COUNTER:
            return Counter(name, definition.meaning, registry=registry)
        case MetricKind.GAUGE:
            return Gauge(name, definition.meaning, registry=registry)
        case MetricKind.HISTOGRAM:
            return Histogram(
                name,
                definition.meaning,
                buckets=list(DURATION_BUCKETS_S),
                registry=registry,
            )

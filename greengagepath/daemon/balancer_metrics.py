"""Metrics of a balancer, copied from its components when rendered."""

from collections import Counter

from ..datapath.probing import MAX_PENDING
from ..foundation.metrics import Metrics
from ..foundation.timers import TimerService
from ..generated.messages import MemberKind, MemberState
from ..protocol.packets import Kind
from ..routing.choosers import ServiceChoosers
from ..routing.targets import TargetState
from .control import BalancerControl
from .datapath import DataPath

# Period at which the delay of the event loop is sampled.
DELAY_SAMPLE_S = 0.1


class BalancerMetrics:
    """Reads the data path and the control plane of one balancer."""

    def __init__(
        self,
        path: DataPath,
        control: BalancerControl,
        choosers: ServiceChoosers,
        timers: TimerService,
    ) -> None:
        self.metrics = Metrics()
        self._path = path
        self._control = control
        self._choosers = choosers
        self._timers = timers
        self._target_counts: Counter[tuple[str, TargetState]] = Counter()
        self._sample_due_s = timers.now()
        self.metrics.before_render(self._copy)

    def start(self) -> None:
        """Start to sample the delay of the event loop."""
        self._schedule_sample()

    def set_target_counts(
        self, counts: Counter[tuple[str, TargetState]]
    ) -> None:
        """Set the numbers of targets by service and state.

        Pairs that are no longer counted are reported as 0.
        """
        gone = self._target_counts.keys() - counts.keys()
        self._target_counts = counts
        for service, state in gone:
            self._target_counts[(service, state)] = 0

    def _schedule_sample(self) -> None:
        self._sample_due_s = self._timers.now() + DELAY_SAMPLE_S
        self._timers.call_after(DELAY_SAMPLE_S, self._sample_delay)

    def _sample_delay(self) -> None:
        late_s = max(self._timers.now() - self._sample_due_s, 0.0)
        self.metrics.observe('event_loop_delay_seconds', late_s)
        self._schedule_sample()

    def _copy(self) -> None:
        self._copy_datagrams()
        self._copy_fills()
        self._copy_members()
        self._copy_control()
        configuration = self._control.configuration
        version = configuration.version if configuration else 0
        self.metrics.set_gauge('configuration_version', version)
        for (service, state), count in self._target_counts.items():
            self.metrics.set_gauge(
                'targets', count, service=service, state=str(state)
            )

    def _copy_datagrams(self) -> None:
        counters = self._path.router.counters
        metrics = self.metrics
        metrics.set_counter(
            'datagrams_received_total', self._path.received, kind='all'
        )
        for kind in Kind:
            forwarded = counters.forwarded[kind]
            if forwarded:
                metrics.set_counter(
                    'datagrams_forwarded_total',
                    forwarded,
                    kind=kind.name.lower(),
                )
        for reason, dropped in counters.dropped.items():
            metrics.set_counter(
                'datagrams_dropped_total', dropped, reason=str(reason)
            )
        metrics.set_counter(
            'datagrams_dropped_total',
            counters.send_failures,
            reason='send_error',
        )
        for outcome, probes in (
            ('sent', counters.probes_sent),
            ('answered', counters.probes_answered),
            ('lost', counters.probes_lost),
        ):
            metrics.set_counter('probes_total', probes, outcome=outcome)

    def _copy_fills(self) -> None:
        router = self._path.router
        cache = router.forwarder.cache
        fill = self.metrics.set_table_usage
        fill('verified_tokens', len(cache), cache.capacity)
        fill('pending_probes', len(router.probes), MAX_PENDING)
        fill(
            'target_sockets',
            len(self._path.sockets),
            self._path.sockets.limit,
        )

    def _copy_control(self) -> None:
        metrics = self.metrics
        for (method, outcome), calls in self._control.store_calls.items():
            metrics.set_counter(
                'object_api_calls_total', calls, method=method, outcome=outcome
            )
        for service, ejections in self._choosers.count_ejections().items():
            metrics.set_counter(
                'targets_ejected_total', ejections, service=str(service)
            )
        bridge = self._control.node.bridge
        metrics.set_gauge('lease_held', int(bridge.holds_lease))

    def _copy_members(self) -> None:
        counts = Counter(
            (record.kind, record.state) for record in self._control.records()
        )
        for kind in MemberKind:
            for state in MemberState:
                self.metrics.set_gauge(
                    'members',
                    counts[(kind, state)],
                    kind=str(kind),
                    state=str(state),
                )

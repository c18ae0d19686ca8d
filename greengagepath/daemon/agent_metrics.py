"""Metrics of an agent, copied from its components when rendered."""

from collections.abc import Callable

from ..agent.flows import AgentFlows
from ..agent.work import Answered, RunOutcome, Work
from ..foundation.metrics import Metrics
from ..generated.settings import NodeSettings
from .agent_socket import AgentSocket
from .backend import ConnectionPool
from .http_status import StatusServer


class AgentMetrics:
    """Reads the flows, the connection pool and the socket of one agent."""

    def __init__(
        self,
        flows: AgentFlows,
        pool: ConnectionPool,
        udp: AgentSocket,
    ) -> None:
        self.metrics = Metrics()
        self._udp = udp
        self._flows = flows
        self._pool = pool
        self.metrics.before_render(self._copy)

    def observe(self, work: Work, outcome: RunOutcome, now_s: float) -> None:
        """Record the queue wait and the duration of a finished request."""
        view = self._flows.view
        service = view.service.name
        self.metrics.observe(
            'queue_wait_seconds',
            work.started_s - work.queued.queued_s,
            service=service,
            size_class=str(work.queued.size_class),
        )
        if isinstance(outcome, Answered):
            self.metrics.observe(
                'request_duration_seconds',
                now_s - work.queued.queued_s,
                service=service,
                customer=view.customer_label(work.request.customer_id),
                operation=view.operation_label(work.request),
            )

    def serve(
        self, node: NodeSettings, list_unready_reasons: Callable[[], list[str]]
    ) -> StatusServer | None:
        """Serve metrics and health if the settings have a metrics port.

        Raises OSError if the port is taken.
        """
        if not node.metrics_port:
            return None
        status = StatusServer(
            (node.host, node.metrics_port), self.metrics, list_unready_reasons
        )
        status.start()
        return status

    def _copy(self) -> None:
        service = self._flows.view.service.name
        self._copy_counters(service)
        self._copy_fills()
        load = self._flows.gate.load()
        metrics = self.metrics
        metrics.set_gauge('slots_busy', load.in_flight, service=service)
        metrics.set_gauge('concurrency_limit', load.limit, service=service)
        metrics.set_gauge('draining', int(self._flows.is_draining))

    def _copy_counters(self, service: str) -> None:
        flows = self._flows
        metrics = self.metrics
        metrics.set_counter(
            'datagrams_received_total', self._udp.received, kind='envelope'
        )
        for reason, total in flows.drops.items():
            metrics.set_counter(
                'datagrams_dropped_total', total, reason=str(reason)
            )
        metrics.set_counter(
            'datagrams_dropped_total',
            self._udp.send_errors,
            reason='send_error',
        )
        self._copy_events(service)
        for refusal, refused in flows.reporter.refusals.items():
            metrics.set_counter(
                'requests_refused_total',
                refused,
                service=service,
                reason=str(refusal),
            )
        for labels, ended in flows.reporter.outcomes.items():
            metrics.set_counter(
                'requests_total',
                ended,
                service=service,
                customer=labels[0],
                operation=labels[1],
                outcome=labels[2],
            )

    def _copy_events(self, service: str) -> None:
        flows = self._flows
        for name, event in (
            ('flows_opened_total', 'opened'),
            ('flows_handed_off_total', 'handed_off'),
        ):
            opened = flows.events[event]
            self.metrics.set_counter(name, opened, service=service)
        for name, event in (
            ('retries_total', 'retries'),
            ('retries_suppressed_total', 'retries_suppressed'),
        ):
            retried = flows.scheduler.events[event]
            self.metrics.set_counter(
                name, retried, service=service, layer='agent'
            )

    def _copy_fills(self) -> None:
        flows = self._flows
        load = flows.gate.load()
        fill = self.metrics.set_table_usage
        records = flows.request_table.records
        reassembly = flows.reassembly
        fill('queue', load.queued, load.queue_length)
        fill(
            'active_flows', flows.flow_table.active, flows.flow_table.max_active
        )
        fill('flows', len(flows.flow_table), flows.flow_table.capacity)
        fill('request_records', len(records), records.max_records)
        fill(
            'answer_bytes',
            records.answer_bytes,
            flows.request_table.max_answer_bytes,
        )
        fill(
            'request_bytes',
            reassembly.reserved_bytes,
            reassembly.max_total_bytes,
        )
        fill(
            'replay_windows',
            len(flows.replay_windows),
            flows.replay_windows.max_senders,
        )
        fill('connections', len(self._pool), self._pool.max_connections)

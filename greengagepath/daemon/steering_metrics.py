"""Metrics of the steering daemons, copied when they are rendered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..steering.durations import DurationCounts
from .http_listener import NOT_FOUND, OK, HttpListener, HttpReply, HttpRequest

if TYPE_CHECKING:
    from ..foundation.metrics import Metrics

METRICS_PATH = '/metrics'
_METRICS_TEXT = 'text/plain; version=0.0.4; charset=utf-8'


class SteeringMetrics:
    """Serves the counters and gauges of a role as metrics.

    The registry is loaded at the first scrape: it takes 9 MB and 40 ms
    of processor time, which a role saves if it is never scraped.
    """

    def __init__(
        self,
        events: Counter[str],
        store_calls: Callable[[], Counter[tuple[str, str]]],
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        self.durations_by_step: dict[str, DurationCounts] = {}
        self._events = events
        self._store_calls = store_calls
        self._gauges = gauges
        self._metrics: Metrics | None = None

    def serve(self, host: str, port: int) -> None:
        """Serve on host and port; port 0 turns metrics off.

        Raises OSError if the port is taken.
        """
        if port:
            HttpListener((host, port), self._answer).start()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        if self._metrics is None:
            from ..foundation.metrics import Metrics

            self._metrics = Metrics()
        self._copy(self._metrics)
        return self._metrics.render()

    def _answer(self, request: HttpRequest) -> HttpReply:
        if request.path.partition('?')[0] != METRICS_PATH:
            return HttpReply(NOT_FOUND)
        return HttpReply(OK, self.render(), _METRICS_TEXT)

    def _copy(self, metrics: Metrics) -> None:
        for event, count in self._events.items():
            metrics.set_counter('steering_events_total', count, event=event)
        for (method, outcome), count in self._store_calls().items():
            metrics.set_counter(
                'object_api_calls_total', count, method=method, outcome=outcome
            )
        for state, level in self._gauges().items():
            metrics.set_gauge('steering_state', level, state=state)
        for step, durations in self.durations_by_step.items():
            _copy_durations(metrics, step, durations)


def _copy_durations(
    metrics: Metrics, step: str, durations: DurationCounts
) -> None:
    for bound, count in durations.list_cumulative():
        metrics.set_counter(
            'steering_durations_total', count, step=step, le=bound
        )
    metrics.set_counter(
        'steering_duration_seconds_total', durations.total_s, step=step
    )

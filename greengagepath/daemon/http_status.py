"""HTTP server of a daemon: `/metrics`, `/healthz` and `/readyz`."""

from collections.abc import Callable, Iterable
from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from ..foundation.metrics import Metrics

# Limit for scrapers and probes together; further connections wait.
MAX_CONNECTIONS = 32
_TEXT = 'text/plain; charset=utf-8'
_METRICS_TEXT = 'text/plain; version=0.0.4; charset=utf-8'
_StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class StatusServer:
    """Serves status from the event loop of the daemon.

    `list_unready_reasons` returns why the process is not ready, for
    example `['no configuration']`. The process is ready if the list is
    empty. With port 0 the kernel assigns a free port, see `port`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        metrics: Metrics,
        list_unready_reasons: Callable[[], list[str]],
    ) -> None:
        self._metrics = metrics
        self._list_unready_reasons = list_unready_reasons
        self._server = WSGIServer(
            address, self._answer, log=None, spawn=Pool(MAX_CONNECTIONS)
        )

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return self._server.server_port

    def start(self) -> None:
        """Bind and serve in greenlets; raises OSError if the port is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once; requests in progress are aborted."""
        self._server.stop(timeout=0)

    def _answer(
        self, environ: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        if environ['REQUEST_METHOD'] not in {'GET', 'HEAD'}:
            return _reply(start_response, '405 Method Not Allowed', b'')
        match environ['PATH_INFO']:
            case '/metrics':
                rendered = self._metrics.render()
                return _reply(start_response, '200 OK', rendered, _METRICS_TEXT)
            case '/healthz':
                return _reply(start_response, '200 OK', b'ok\n')
            case '/readyz':
                return self._answer_readiness(start_response)
        return _reply(start_response, '404 Not Found', b'not found\n')

    def _answer_readiness(
        self, start_response: _StartResponse
    ) -> Iterable[bytes]:
        reasons = self._list_unready_reasons()
        self._metrics.set_gauge('ready', 0 if reasons else 1)
        if not reasons:
            return _reply(start_response, '200 OK', b'ready\n')
        lines = ''.join(f'{reason}\n' for reason in reasons)
        status = '503 Service Unavailable'
        return _reply(start_response, status, lines.encode())


def _reply(
    start_response: _StartResponse,
    status: str,
    body: bytes,
    content_type: str = _TEXT,
) -> Iterable[bytes]:
    headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    start_response(status, headers)
    return [body]

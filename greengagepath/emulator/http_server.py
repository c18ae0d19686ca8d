"""HTTP server that the stand-ins share."""

import json
import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

from gevent.pywsgi import WSGIHandler, WSGIServer

LISTEN_BACKLOG = 2048
JSON_TYPE = 'application/json'


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """Status line, body and headers of an HTTP response."""

    status: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


STATUS_OK = '200 OK'
NO_CONTENT = '204 No Content'
BAD_REQUEST = '400 Bad Request'
NOT_FOUND = '404 Not Found'
PRECONDITION_FAILED = '412 Precondition Failed'
SERVICE_UNAVAILABLE = '503 Service Unavailable'
GATEWAY_TIMEOUT = '504 Gateway Timeout'


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """An HTTP request and its connection.

    Header names are in lower case; `query` has the first value of each
    parameter.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    connection: socket.socket

    def read_json(self) -> object:
        """Return the decoded body; raises ValueError if it is not JSON."""
        return json.loads(self.body or b'null')

    def abort(self) -> None:
        """Shut down the connection so that the client gets no response."""
        self.connection.shutdown(socket.SHUT_RDWR)


class _ConnectionHandler(WSGIHandler):
    """Adds the socket of the connection to the WSGI environment."""

    def get_environ(self) -> dict[str, object]:
        environ = super().get_environ()
        environ['greengagepath.connection'] = self.socket
        return environ


class Application:
    """WSGI application that passes each request to `handler`."""

    def __init__(self, handler: Callable[[HttpRequest], HttpResponse]) -> None:
        self._handler = handler

    def __call__(
        self,
        environ: dict[str, object],
        start_response: Callable[..., object],
    ) -> Iterable[bytes]:
        """Handle one request of the WSGI server."""
        response = self._handler(_read_request(environ))
        headers = [('Content-Length', str(len(response.body)))]
        start_response(response.status, [*headers, *response.headers])
        return [response.body]


def make_server(
    host: str, port: int, handler: Callable[[HttpRequest], HttpResponse]
) -> WSGIServer:
    """Return a server that passes each request to `handler`."""
    return WSGIServer(
        (host, port),
        Application(handler),
        backlog=LISTEN_BACKLOG,
        log=None,
        error_log=None,
        handler_class=_ConnectionHandler,
    )


def json_response(payload: object, status: str = STATUS_OK) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(
        status,
        json.dumps(payload).encode(),
        (('Content-Type', JSON_TYPE),),
    )


def _read_request(environ: dict[str, object]) -> HttpRequest:
    query = parse_qs(str(environ.get('QUERY_STRING', '')))
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): str(text)
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    return HttpRequest(
        method=str(environ['REQUEST_METHOD']),
        path=str(environ['PATH_INFO']),
        query={name: texts[0] for name, texts in query.items()},
        headers=headers,
        body=environ['wsgi.input'].read(),
        connection=environ['greengagepath.connection'],
    )

"""HTTP/1.1 server over gevent sockets; h11 parses and encodes."""

# Annotations must not load h11: it is loaded with the first request.
from __future__ import annotations

import socket as native
from collections.abc import Callable

import gevent
import h11
from gevent import socket
from gevent.event import Event

from ..foundation.greenlets import spawn_supervised

MAX_CONNECTIONS = 256
BACKLOG = 256
# Pause after a connection could not be accepted, for example because the
# process has no descriptor left.
ACCEPT_RETRY_S = 0.05
MAX_BODY_BYTES = 65536
RECEIVE_BYTES = 16384
IDLE_S = 60.0
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
NOT_ALLOWED = 405
TOO_LARGE = 413
UNAVAILABLE = 503


class HttpRequest:
    """Method, path with query, and body of a request."""

    __slots__ = ('body', 'method', 'path')

    def __init__(self, method: str, path: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.body = body


class HttpReply:
    """Status, body, content type and further headers of an answer."""

    __slots__ = ('body', 'content_type', 'headers', 'status')

    def __init__(
        self,
        status: int,
        body: bytes = b'',
        content_type: str = 'application/json',
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers: list[tuple[str, str]] = []


Handler = Callable[[HttpRequest], HttpReply]


class HttpListener:
    """Serves one address from the event loop of the daemon.

    `gevent.server` with its pool would add 4 ms to each start.
    """

    def __init__(self, address: tuple[str, int], handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._connections: set[gevent.Greenlet] = set()
        self._connection_ended = Event()

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Bind and serve; raises OSError if the address is taken."""
        self._socket = socket.socket(native.AF_INET, native.SOCK_STREAM)
        try:
            self._listen()
        except OSError:
            self._socket.close()
            raise
        self._loop = spawn_supervised('http.accept', self._accept)

    def stop(self) -> None:
        """Stop at once; requests in progress are aborted."""
        self._loop.kill()
        self._socket.close()
        gevent.killall(list(self._connections))

    def _listen(self) -> None:
        self._socket.setsockopt(native.SOL_SOCKET, native.SO_REUSEADDR, 1)
        self._socket.bind(self._address)
        self._socket.listen(BACKLOG)

    def _accept(self) -> None:
        while True:
            while len(self._connections) >= MAX_CONNECTIONS:
                self._connection_ended.clear()
                self._connection_ended.wait()
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            connection = gevent.spawn(self._serve, accepted)
            self._connections.add(connection)
            connection.link(self._forget)

    def _forget(self, connection: gevent.Greenlet) -> None:
        self._connections.discard(connection)
        self._connection_ended.set()

    def _serve(self, accepted: socket.socket) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while self._answer_next(accepted, protocol):
                protocol.start_next_cycle()
        except h11.RemoteProtocolError as error:
            _send_error(accepted, protocol, error.error_status_hint)
        except (OSError, h11.ProtocolError, gevent.Timeout):
            # The client has closed, broken off or timed out: no answer can
            # be sent.
            return
        finally:
            accepted.close()

    def _answer_next(
        self, accepted: socket.socket, protocol: h11.Connection
    ) -> bool:
        with gevent.Timeout(IDLE_S):
            request = _receive(accepted, protocol)
        if request is None:
            return False
        if len(request.body) > MAX_BODY_BYTES:
            reply = HttpReply(TOO_LARGE)
        else:
            reply = self._handler(request)
        _send(accepted, protocol, reply)
        return protocol.our_state is h11.DONE


def _receive(
    accepted: socket.socket, protocol: h11.Connection
) -> HttpRequest | None:
    """Return a request, or None at the end of the connection.

    A body above `MAX_BODY_BYTES` is not read to its end; the request is
    returned with the part read so far, which exceeds the limit.
    """
    request = HttpRequest('', '', b'')
    while len(request.body) <= MAX_BODY_BYTES:
        event = _next_event(accepted, protocol)
        match event:
            case h11.Request():
                request.method = event.method.decode('latin-1')
                request.path = event.target.decode('latin-1')
            case h11.Data():
                request.body += bytes(event.data)
            case h11.EndOfMessage():
                return request
            case _:
                return None
    return request


def _next_event(accepted: socket.socket, protocol: h11.Connection) -> object:
    event = protocol.next_event()
    while event is h11.NEED_DATA:
        protocol.receive_data(accepted.recv(RECEIVE_BYTES))
        event = protocol.next_event()
    return event


def _send(
    accepted: socket.socket, protocol: h11.Connection, reply: HttpReply
) -> None:
    headers = [('Content-Length', str(len(reply.body))), *reply.headers]
    if reply.body:
        headers.append(('Content-Type', reply.content_type))
    head = protocol.send(
        h11.Response(status_code=reply.status, headers=headers)
    )
    content = protocol.send(h11.Data(data=reply.body))
    end = protocol.send(h11.EndOfMessage())
    accepted.sendall(b''.join(part for part in (head, content, end) if part))


def _send_error(
    accepted: socket.socket, protocol: h11.Connection, status: int
) -> None:
    if protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    try:
        _send(accepted, protocol, HttpReply(status or BAD_REQUEST))
    except (OSError, h11.ProtocolError):
        # The client closed before the answer; the connection ends anyway.
        return

"""HTTP/1.1 client over one gevent socket; h11 parses and encodes."""

# Annotations must not load h11: it is loaded with the first call.
from __future__ import annotations

import socket as native
from collections.abc import Iterable

import gevent
import h11
from gevent import socket
from result import Err, Ok, Result

CONNECT_S = 1.0
MAX_ANSWER_BYTES = 2097152
RECEIVE_BYTES = 65536
# Keep-alive probes detect an unresponsive server within 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_GAP_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000


class HttpAnswer:
    """Status, body and headers of an answer.

    The names of `headers` are in lower case.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(
        self,
        status: int,
        body: bytes,
        headers: Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        self.status = status
        self.body = body
        self.headers = dict(headers)


class HttpConnection:
    """A connection to one server, opened on demand.

    Calls must not overlap. A failed call closes the connection, and the
    next call opens a new one.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._socket: socket.socket | None = None
        self._protocol: h11.Connection | None = None

    def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Result[HttpAnswer, str]:
        """Send a request and return the answer, or why there is none.

        The call ends within `timeout_s` seconds, connecting included. A
        request without an answer may still have taken effect.
        """
        try:
            with gevent.Timeout(timeout_s):
                return Ok(self._exchange(method, target, body))
        except gevent.Timeout:
            self.close()
            return Err('no answer in time')
        except (OSError, h11.ProtocolError) as error:
            self.close()
            return Err(f'{type(error).__name__}: {error}')

    def close(self) -> None:
        """Close the connection; a call in progress fails."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _exchange(self, method: str, target: str, body: bytes) -> HttpAnswer:
        if self._socket is None or self._protocol.our_state is not h11.IDLE:
            self.close()
            self._open()
        headers = [('Host', f'{self._address[0]}:{self._address[1]}')]
        if body:
            headers.append(('Content-Type', 'application/json'))
        headers.append(('Content-Length', str(len(body))))
        self._send(h11.Request(method=method, target=target, headers=headers))
        if body:
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())
        answer = self._receive()
        if self._protocol.our_state is h11.MUST_CLOSE or (
            self._protocol.their_state is not h11.DONE
        ):
            self.close()
        else:
            self._protocol.start_next_cycle()
        return answer

    def _open(self) -> None:
        # `create_connection` would load the resolver, with its thread pool,
        # though the address is a number.
        opened = socket.socket(native.AF_INET, native.SOCK_STREAM)
        try:
            opened.settimeout(CONNECT_S)
            opened.connect(self._address)
        except BaseException:
            # Also at a time-out of the whole call.
            opened.close()
            raise
        opened.settimeout(None)
        for level, option, number in (
            (native.SOL_SOCKET, native.SO_KEEPALIVE, 1),
            (native.IPPROTO_TCP, native.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (native.IPPROTO_TCP, native.TCP_KEEPINTVL, KEEPALIVE_GAP_S),
            (native.IPPROTO_TCP, native.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (native.IPPROTO_TCP, native.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (native.IPPROTO_TCP, native.TCP_NODELAY, 1),
        ):
            opened.setsockopt(level, option, number)
        self._socket = opened
        self._protocol = h11.Connection(h11.CLIENT)

    def _send(self, event: object) -> None:
        encoded = self._protocol.send(event)
        if encoded and self._socket is not None:
            self._socket.sendall(encoded)

    def _receive(self) -> HttpAnswer:
        status = 0
        headers: Iterable[tuple[bytes, bytes]] = ()
        body = b''
        while True:
            event = self._next_event()
            match event:
                case h11.Response():
                    status = event.status_code
                    headers = event.headers
                case h11.Data():
                    body += bytes(event.data)
                case h11.EndOfMessage():
                    return HttpAnswer(status, body, headers)
                case h11.ConnectionClosed():
                    raise ConnectionResetError('server closed the connection')
            if len(body) > MAX_ANSWER_BYTES:
                raise ConnectionAbortedError('answer is too long')

    def _next_event(self) -> object:
        event = self._protocol.next_event()
        while event is h11.NEED_DATA:
            if self._socket is None:
                raise ConnectionResetError('connection was closed')
            self._protocol.receive_data(self._socket.recv(RECEIVE_BYTES))
            event = self._protocol.next_event()
        return event

"""HTTP/1.1 client for the back end of an agent.

A request has not been run if no byte of it was sent, or if the answer
is a 503 with `X-Not-Run: 1`. In all other cases without a complete
answer the outcome is unknown.
"""

import logging
from collections import deque
from contextlib import suppress
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    InvalidURL,
)

from gevent import Timeout, socket

from ..admission.gate import MS_PER_S
from ..agent.work import Answered, NotRun, OutcomeUnknown, RunOutcome, Work
from ..foundation.addresses import Address
from ..foundation.logs import log_event
from ..foundation.timers import TimerService
from ..generated.messages import RefusalReason

CONNECT_TIMEOUT_S = 1.0
# A connection that was idle for longer may have broken unnoticed. It is
# probed with a health request before use.
PROBE_AFTER_S = 0.5
PROBE_TIMEOUT_S = 0.25
HEALTH_PATH = '/health'
# How long after its deadline an answer in transit is still accepted.
GRACE_S = 0.25
CHUNK_BYTES = 262144
UNAVAILABLE = 503
BAD_GATEWAY = 502
NOT_RUN_HEADER = 'X-Not-Run'
# Header fields that apply to one connection only (RFC 9110, section
# 7.6.1), and those that this client sets itself.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-customer',
        'x-deadline-ms',
        'x-request-id',
    )
)
# Linux only.
TCP_QUICKACK = getattr(socket, 'TCP_QUICKACK', None)
_logger = logging.getLogger(__name__)


class BackEndConnection(HTTPConnection):
    """A connection on gevent sockets that counts the bytes sent."""

    def __init__(self, address: Address) -> None:
        super().__init__(*address, timeout=CONNECT_TIMEOUT_S)
        self.sent_bytes = 0
        self.idle_since_s = 0.0
        self.is_aborted = False

    def connect(self) -> None:
        """Connect; raises OSError."""
        self.sock = socket.create_connection(
            (self.host, self.port), self.timeout
        )
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Send all bytes; raises OSError."""
        if self.sock is None:
            self.connect()
        view = memoryview(data)
        while view:
            sent = self.sock.send(view)
            self.sent_bytes += sent
            view = view[sent:]

    def acknowledge_quickly(self) -> None:
        """Send the next TCP acknowledgement without delay.

        A server that writes head and body of an answer separately, with
        Nagle's algorithm on, otherwise waits 40 ms between them.
        """
        if self.sock is not None and TCP_QUICKACK is not None:
            self.sock.setsockopt(socket.IPPROTO_TCP, TCP_QUICKACK, 1)

    def set_timeout(self, timeout_s: float) -> None:
        """Limit each wait on the socket to `timeout_s` seconds."""
        if self.sock is not None:
            self.sock.settimeout(timeout_s)

    def abort(self) -> None:
        """Shut the socket down, which ends all waits on it."""
        self.is_aborted = True
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def is_idle(self) -> bool:
        """Return whether the peer has neither closed nor sent bytes."""
        if self.sock is None:
            return False
        self.sock.settimeout(0)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """Connections to one back end; at most `max_connections` in use.

    The most recently used idle connection is reused first, so that the
    others stay unused until they are closed.
    """

    def __init__(
        self, address: Address, max_connections: int, timers: TimerService
    ) -> None:
        self._address = address
        self.max_connections = max_connections
        self._timers = timers
        self._idle: deque[BackEndConnection] = deque()
        self.in_use = 0

    def __len__(self) -> int:
        """Return the number of connections, idle ones included."""
        return self.in_use + len(self._idle)

    def acquire(self) -> BackEndConnection | None:
        """Return a usable connection, or None at the limit.

        Raises OSError if a new one cannot be opened.
        """
        if self.in_use >= self.max_connections:
            return None
        self.in_use += 1
        try:
            return self._find_idle() or self._open()
        except BaseException:
            self.in_use -= 1
            raise

    def release(self, connection: BackEndConnection) -> None:
        """Return a connection to the pool unless it is closed."""
        self.in_use -= 1
        if connection.sock is not None:
            connection.idle_since_s = self._timers.now()
            self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _open(self) -> BackEndConnection:
        connection = BackEndConnection(self._address)
        connection.connect()
        return connection

    def _find_idle(self) -> BackEndConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return None

    def _is_usable(self, connection: BackEndConnection) -> bool:
        if not connection.is_idle():
            return False
        idle_s = self._timers.now() - connection.idle_since_s
        return idle_s < PROBE_AFTER_S or _probe(connection)


class BackEnd:
    """Runs admitted requests; `run` blocks the greenlet that calls it.

    Answers with a body above `max_answer_bytes` are replaced by a 502.
    """

    def __init__(
        self, pool: ConnectionPool, timers: TimerService, max_answer_bytes: int
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self._pool = pool
        self._timers = timers
        self._connections_by_key: dict[bytes, BackEndConnection] = {}

    def run(self, work: Work, customer: str) -> RunOutcome:
        """Run one request and return its outcome; never raises OSError."""
        try:
            connection = self._pool.acquire()
        except OSError as error:
            return NotRun(f'no connection: {error}')
        if connection is None:
            return NotRun('all connections are in use')
        self._connections_by_key[work.key] = connection
        outcome = self._run_on(connection, work, customer)
        self._connections_by_key.pop(work.key)
        if connection.is_aborted and isinstance(outcome, Answered):
            # A body that ends with the connection may be incomplete.
            outcome = OutcomeUnknown('cancelled')
        self._pool.release(connection)
        return outcome

    def cancel(self, work: Work) -> None:
        """Shut down the connection of a running request, which ends `run`."""
        connection = self._connections_by_key.get(work.key)
        if connection is not None:
            connection.abort()

    def _run_on(
        self, connection: BackEndConnection, work: Work, customer: str
    ) -> RunOutcome:
        if work.is_cancelled:
            return NotRun('cancelled')
        connection.sent_bytes = 0
        left_s = max(work.deadline_s - self._timers.now(), 0.0)
        connection.set_timeout(left_s + GRACE_S)
        try:
            with Timeout(left_s + GRACE_S, TimeoutError('deadline')):
                return self._exchange(connection, work, customer, left_s)
        except (OSError, HTTPException, ValueError) as error:
            connection.close()
            return _failure_outcome(error, connection, work)

    def _exchange(
        self,
        connection: BackEndConnection,
        work: Work,
        customer: str,
        left_s: float,
    ) -> RunOutcome:
        request = work.request
        headers = {
            name: text
            for name, text in request.headers.items()
            if name.lower() not in HOP_BY_HOP
        }
        headers['X-Request-Id'] = request.request_id.hex()
        headers['X-Deadline-Ms'] = str(int(left_s * MS_PER_S))
        headers['X-Customer'] = customer
        connection.request(
            request.method, request.path, request.body or None, headers
        )
        connection.acknowledge_quickly()
        return self._read_answer(connection, connection.getresponse())

    def _read_answer(
        self, connection: BackEndConnection, response: HTTPResponse
    ) -> RunOutcome:
        body = bytearray()
        chunk = response.read(CHUNK_BYTES)
        while chunk and len(body) <= self.max_answer_bytes:
            body += chunk
            chunk = response.read(CHUNK_BYTES)
        if len(body) > self.max_answer_bytes:
            connection.close()
            return Answered(
                BAD_GATEWAY,
                {'Content-Type': 'text/plain'},
                b'the answer exceeds limits.max_answer_bytes of the service\n',
            )
        if response.length:
            connection.close()
            return OutcomeUnknown('the answer ended early')
        if (
            response.status == UNAVAILABLE
            and response.getheader(NOT_RUN_HEADER) == '1'
        ):
            return NotRun('shed by the back end', RefusalReason.queue_full)
        return Answered(
            response.status, _end_to_end_headers(response), bytes(body)
        )


def _end_to_end_headers(response: HTTPResponse) -> dict[str, str]:
    return {
        name: text
        for name, text in response.getheaders()
        if name.lower() not in HOP_BY_HOP
    }


def _failure_outcome(
    error: BaseException, connection: BackEndConnection, work: Work
) -> RunOutcome:
    cause = f'{type(error).__name__}: {error}'
    log_event(
        _logger,
        'backend.failed',
        level=logging.WARNING,
        repeats=True,
        request_id=work.request.request_id,
        sent_bytes=connection.sent_bytes,
        cause=cause,
    )
    if connection.sent_bytes:
        return OutcomeUnknown(cause)
    if isinstance(error, ValueError | InvalidURL):
        return NotRun(cause, RefusalReason.bad_request)
    return NotRun(cause)


def _probe(connection: BackEndConnection) -> bool:
    connection.set_timeout(PROBE_TIMEOUT_S)
    try:
        with Timeout(PROBE_TIMEOUT_S, TimeoutError('probe')):
            connection.request('GET', HEALTH_PATH)
            connection.getresponse().read()
    except (OSError, HTTPException):
        return False
    # Any status shows that the connection works; the health of the back
    # end does not matter here.
    return connection.sock is not None

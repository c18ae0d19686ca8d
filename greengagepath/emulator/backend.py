"""Stand-in for a target's back end.

`python -m greengagepath.emulator.backend --port N` serves HTTP/1.1. The
work and the size of an answer come from the query of each request
(`work_ms`, `bytes`). Slots, a bounded backlog, a relative speed, a cold
start and stragglers are simulated. `/load` lags behind the real load and
`/health` always reports healthy. The stand-in records each run of a
request; `GET /control/runs` lists them, so that a test need not rely on
the figures of the system under test.
"""

import random
import socket
import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated

import cappa
import gevent
import msgspec
from gevent import monkey
from gevent.lock import BoundedSemaphore

from .http_server import (
    GATEWAY_TIMEOUT,
    SERVICE_UNAVAILABLE,
    STATUS_OK,
    HttpRequest,
    HttpResponse,
    json_response,
    make_server,
)

MS_PER_S = 1000
CANCEL_CHECK_S = 0.02
LOAD_LAG_S = 2.0
COLD_START_S = 5.0
COLD_SLOWDOWN = 3.0
STRAGGLER_SLOWDOWN = 20.0
CHECKSUM_BYTES = 16
MAX_ANSWER_BYTES = 67_108_864
PATTERN_BYTES = 65_536
# Bodies of any size are cut from repetitions of it.
_PATTERN = random.Random(1).randbytes(PATTERN_BYTES)


class Run(msgspec.Struct):
    """One run of a request.

    `started_ms` is wall-clock time. `ended` is empty while the request
    runs, then `answered`, `cancelled` or `deadline`.
    """

    request_id: str
    service_id: str
    customer: str
    started_ms: float
    path: str
    ended: str = ''


@dataclass(slots=True)
class BackendOptions:
    """Serve a back end stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help='Port to listen on.')]
    service: Annotated[int, cappa.Arg(long=True, help='Service id.')]
    host: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1'
    slots: Annotated[int, cappa.Arg(long=True)] = 2
    backlog: Annotated[int, cappa.Arg(long=True)] = 4
    speed: Annotated[float, cappa.Arg(long=True)] = 1.0
    stragglers: Annotated[float, cappa.Arg(long=True)] = 0.0
    cold: Annotated[bool, cappa.Arg(long=True)] = False
    seed: Annotated[int, cappa.Arg(long=True)] = 0


@dataclass(slots=True)
class LoadSample:
    """Load that `/load` reports; renewed when older than LOAD_LAG_S."""

    sampled_s: float = 0.0
    running: int = 0
    waiting: int = 0


class Backend:
    """Runs requests in slots and records each run."""

    def __init__(self, options: BackendOptions) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._slots = BoundedSemaphore(options.slots)
        self._started_s = time.monotonic()
        self._load_sample = LoadSample()
        self._running = 0
        self._waiting = 0
        self.runs: list[Run] = []

    def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        match request.path:
            case '/health':
                # Wrong on purpose: the system must not rely on it.
                return json_response({'healthy': True})
            case '/load':
                return json_response(self._report_load())
            case '/control/runs':
                return json_response(msgspec.to_builtins(self.runs))
        return self._admit(request)

    def _report_load(self) -> dict[str, int]:
        now_s = time.monotonic()
        if now_s - self._load_sample.sampled_s > LOAD_LAG_S:
            self._load_sample = LoadSample(now_s, self._running, self._waiting)
        return {
            'running': self._load_sample.running,
            'waiting': self._load_sample.waiting,
        }

    def _admit(self, request: HttpRequest) -> HttpResponse:
        if self._waiting >= self._options.backlog:
            return HttpResponse(
                SERVICE_UNAVAILABLE, headers=(('X-Not-Run', '1'),)
            )
        self._waiting += 1
        self._slots.acquire()
        self._waiting -= 1
        self._running += 1
        response = self._run(request)
        self._running -= 1
        self._slots.release()
        return response

    def _run(self, request: HttpRequest) -> HttpResponse:
        run = Run(
            request_id=request.headers.get('x-request-id', ''),
            service_id=request.headers.get('x-service', ''),
            customer=request.headers.get('x-customer', ''),
            started_ms=time.time() * MS_PER_S,
            path=request.path,
        )
        self.runs.append(run)
        run.ended = self._simulate_work(request)
        if run.ended != 'answered':
            return HttpResponse(GATEWAY_TIMEOUT)
        body = make_body(run.request_id, int(request.query.get('bytes', '64')))
        return HttpResponse(STATUS_OK, body, self._answer_headers(run, body))

    def _answer_headers(
        self, run: Run, body: bytes
    ) -> tuple[tuple[str, str], ...]:
        return (
            ('X-Checksum', checksum(body)),
            ('X-Run-Of', run.request_id),
            ('X-Service', str(self._options.service)),
        )

    def _simulate_work(self, request: HttpRequest) -> str:
        """Sleep for the work of a request; return how the run ended."""
        left_s = int(request.query.get('work_ms', '5')) / MS_PER_S
        left_s *= self._slowdown()
        deadline_s = (
            int(request.headers.get('x-deadline-ms', '60000')) / MS_PER_S
        )
        while left_s > 0:
            step_s = min(left_s, CANCEL_CHECK_S)
            gevent.sleep(step_s)
            left_s -= step_s
            deadline_s -= step_s
            if _is_closed(request.connection):
                return 'cancelled'
            if deadline_s <= 0:
                return 'deadline'
        return 'answered'

    def _slowdown(self) -> float:
        slowdown = 1 / self._options.speed
        age_s = time.monotonic() - self._started_s
        if self._options.cold and age_s < COLD_START_S:
            slowdown *= COLD_SLOWDOWN
        if self._rng.random() < self._options.stragglers:
            slowdown *= STRAGGLER_SLOWDOWN
        return slowdown


def make_body(request_id: str, size: int) -> bytes:
    """Return a body of `size` bytes, at most MAX_ANSWER_BYTES.

    It starts with the request id, so that the bodies of two requests
    differ.
    """
    prefix = request_id.encode()
    bounded = min(size, MAX_ANSWER_BYTES)
    repeats = bounded // PATTERN_BYTES + 1
    return (prefix + _PATTERN * repeats)[:bounded]


def checksum(body: bytes) -> str:
    """Return the hexadecimal checksum of an answer's body."""
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest()


def _is_closed(connection: socket.socket) -> bool:
    timeout_s = connection.gettimeout()
    # Under gevent only a timeout of 0 makes recv return at once.
    connection.settimeout(0)
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(timeout_s)


def main() -> None:
    """Serve until the process is ended."""
    monkey.patch_all()
    options = cappa.parse(BackendOptions)
    backend = Backend(options)
    make_server(
        options.host, options.port, backend.handle_request
    ).serve_forever()


if __name__ == '__main__':
    main()

"""Agent process: sockets and signals around the decisions on flows."""

import logging
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent.event import Event
from msgspec import structs
from result import Err, Ok

from ..agent.flows import TICK_S, AgentFlows
from ..agent.work import Work
from ..configuration.drains import is_drained
from ..foundation.exit_codes import ExitCode
from ..foundation.logs import configure_logs, log_event
from ..foundation.timers import LoopTimerService
from ..foundation.tls import TlsContexts, load_tls
from ..generated.messages import MemberState, Service
from ..generated.settings import Settings, TargetSettings
from ..protocol.keys import KeyReloader, load_keys
from ..protocol.tags import KeyRing
from .agent_metrics import AgentMetrics
from .agent_records import (
    cap_slots,
    initial_service,
    make_identity,
    make_record,
    wait_for_next_second,
)
from .agent_socket import AgentSocket
from .backend import BackEnd, ConnectionPool
from .control import AgentControl
from .reloads import Reloader, Reloads
from .start_checks import refuse_settings

# How many parts of answers are sent before other greenlets run.
SEND_BATCH = 32
# After a signal an agent runs at least this long even if idle, so that
# balancers learn that it drains and callers get a refusal instead of no
# answer.
MIN_DRAIN_S = 3.0
# Period of the timer while nothing is in progress and only expired
# entries have to be removed. At 10 ms an idle agent used 4% of a core.
IDLE_TICK_S = 0.1
SENDER_BITS = 32
_logger = logging.getLogger(__name__)


class Agent:
    """One agent process; `run` returns when the agent has stopped.

    The constructor raises OSError if the data port is taken.
    """

    def __init__(
        self,
        settings: Settings,
        target: TargetSettings,
        keys: KeyRing,
        tls: TlsContexts | None,
    ) -> None:
        node = settings.node
        started_s = int(time.time())
        self._settings = settings
        self._target = target
        self._timers = LoopTimerService()
        self._service = initial_service(settings, target)
        self._flows = AgentFlows(
            make_identity(
                settings,
                target,
                started_s,
                sender=random.getrandbits(SENDER_BITS),
            ),
            keys,
            self._timers,
            self._service,
            random.Random(),
        )
        self._pool = ConnectionPool(
            (target.host, target.port), target.max_connections, self._timers
        )
        self._back_end = BackEnd(
            self._pool, self._timers, self._service.limits.max_answer_bytes
        )
        self._control = AgentControl(
            settings,
            keys,
            self._timers,
            make_record(settings, target, started_s),
            self._apply_service,
            tls,
        )
        self._socket = AgentSocket((node.host, node.data_port))
        self._metrics = AgentMetrics(self._flows, self._pool, self._socket)
        self._has_parts = Event()
        self._stopped = Event()
        self._signals = 0
        self._failed = False
        self._greenlets: list[gevent.Greenlet] = []

    def run(self) -> ExitCode:
        """Serve until a signal has stopped the agent; return the exit code.

        Raises OSError if the metrics port is taken.
        """
        wait_for_next_second()
        timers = self._timers.start()
        timers.link_exception(self._fail)
        self._greenlets = [
            timers,
            self._spawn(self._receive),
            self._spawn(self._send_answers),
        ]
        self._tick()
        status = self._metrics.serve(
            self._settings.node, self._list_unready_reasons
        )
        self._control.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._handle_signal)
        log_event(_logger, 'agent.started', service=self._target.service_id)
        self._stopped.wait()
        code = self._shut_down()
        if status is not None:
            status.stop()
        return code

    def reload_with(self, *reloaders: Reloader) -> None:
        """Reload changed keys and certificates while the agent runs."""
        Reloads(self._metrics.metrics, *reloaders).start(self._timers)

    def _list_unready_reasons(self) -> list[str]:
        reasons = []
        if not self._control.is_connected:
            reasons.append('no balancer has registered this target')
        if self._flows.is_draining:
            reasons.append('draining')
        return reasons

    def _spawn(
        self, function: Callable[..., None], *args: object
    ) -> gevent.Greenlet:
        greenlet = gevent.Greenlet(function, *args)
        greenlet.link_exception(self._fail)
        greenlet.start()
        return greenlet

    def _fail(self, greenlet: gevent.Greenlet) -> None:
        """Stop the process: an exception here is a broken invariant."""
        log_event(
            _logger,
            'agent.failed',
            level=logging.CRITICAL,
            cause=repr(greenlet.exception),
        )
        self._failed = True
        self._stopped.set()

    def _receive(self) -> None:
        while not self._stopped.is_set():
            for datagram, source in self._socket.receive():
                self._flows.receive(datagram, source)
            self._dispatch()

    def _tick(self) -> None:
        self._flows.tick()
        self._dispatch()
        period_s = IDLE_TICK_S if self._flows.is_idle else TICK_S
        self._timers.call_after(period_s, self._tick)

    def _dispatch(self) -> None:
        """Start due work, cancel work and send pending datagrams."""
        work = self._flows.scheduler.next_work()
        while work is not None:
            self._spawn(self._run_work, work)
            work = self._flows.scheduler.next_work()
        for cancelled in self._flows.scheduler.take_cancelled():
            self._back_end.cancel(cancelled)
        for outgoing in self._flows.take_outgoing():
            self._socket.send(outgoing)
        if len(self._flows.transfers):
            self._has_parts.set()

    def _run_work(self, work: Work) -> None:
        customer = self._flows.view.customer_header(work.request)
        outcome = self._back_end.run(work, customer)
        self._metrics.observe(work, outcome, self._timers.now())
        self._flows.scheduler.complete(work, outcome)
        self._dispatch()

    def _send_answers(self) -> None:
        while not self._stopped.is_set():
            self._has_parts.wait()
            self._has_parts.clear()
            sent = SEND_BATCH
            while sent == SEND_BATCH:
                parts = list(self._flows.answer_parts(SEND_BATCH))
                for part in parts:
                    self._socket.send(part)
                sent = len(parts)
                gevent.sleep(0)

    def _apply_service(self, service: Service) -> None:
        limits = cap_slots(service.limits, self._target)
        self._service = structs.replace(service, limits=limits)
        self._flows.replace_service(self._service)
        self._back_end.max_answer_bytes = limits.max_answer_bytes
        node = self._settings.node
        drains = is_drained(service, node.member_id, node.availability_zone)
        if drains and not self._flows.is_draining:
            self._start_draining('configuration')
        elif not drains and self._flows.is_draining and not self._signals:
            self._flows.stop_draining()
            self._control.set_state(MemberState.alive)
            log_event(_logger, 'agent.undrained')
        self._dispatch()

    def _start_draining(self, cause: str) -> None:
        log_event(_logger, 'agent.draining', cause=cause)
        self._control.set_state(MemberState.draining)
        self._flows.start_draining()

    def _handle_signal(self) -> None:
        self._signals += 1
        if self._signals > 1:
            self._stopped.set()
            return
        self._start_draining('signal')
        self._dispatch()
        self._spawn(self._wait_until_idle)

    def _wait_until_idle(self) -> None:
        now_s = self._timers.now()
        limit_s = min(
            self._service.limits.drain_s, self._settings.limits.shutdown_s
        )
        earliest_s = now_s + min(MIN_DRAIN_S, limit_s)
        while self._timers.now() < now_s + limit_s:
            if self._flows.is_idle and self._timers.now() >= earliest_s:
                break
            gevent.sleep(TICK_S)
        self._stopped.set()

    def _shut_down(self) -> ExitCode:
        left = len(self._flows.scheduler)
        answers = len(self._flows.transfers)
        self._control.stop()
        # Lets the links send the last messages.
        gevent.sleep(TICK_S)
        for greenlet in self._greenlets:
            greenlet.kill(block=False)
        self._timers.stop()
        self._pool.close()
        self._socket.close()
        log_event(
            _logger,
            'agent.stopped',
            level=logging.WARNING if left or answers else logging.INFO,
            requests_left=left,
            answers_left=answers,
        )
        if self._failed:
            return ExitCode.INVARIANT_VIOLATED
        return ExitCode.FAILURE if left or answers else ExitCode.OK


def run_agent(settings: Settings, path: str | Path | None = None) -> ExitCode:
    """Run an agent until a signal stops it; return its exit code.

    `path` is the settings file. If it is given, changed keys and
    certificates are reloaded without a restart.
    """
    configure_logs(settings.log, str(settings.role), settings.node.member_id)
    if settings.target is None:
        return refuse_settings(
            'agent', ['the role agent needs a table [target]']
        )
    keys = load_keys(settings)
    tls = load_tls(settings.tls) if settings.tls else Ok(None)
    if isinstance(keys, Err):
        return refuse_settings('agent', keys.err_value)
    if isinstance(tls, Err):
        return refuse_settings('agent', tls.err_value)
    try:
        agent = Agent(settings, settings.target, keys.ok_value, tls.ok_value)
    except OSError as error:
        return refuse_settings('agent', [f'node.data_port: {error}'])
    if path is not None:
        reloaders: list[Reloader] = [KeyReloader(path, settings, keys.ok_value)]
        if tls.ok_value is not None:
            reloaders.append(tls.ok_value)
        agent.reload_with(*reloaders)
    return agent.run()

"""Balancer process: data path and control plane."""

import logging
import random
import signal
from collections import Counter
from collections.abc import Mapping

import gevent
from gevent.event import Event

from ..datapath.packet_router import PacketRouter, RouterDependencies
from ..foundation.exit_codes import ExitCode
from ..foundation.logs import log_event
from ..foundation.timers import LoopTimerService
from ..foundation.tls import TlsContexts
from ..generated.messages import Configuration
from ..generated.settings import Settings
from ..protocol.tags import KeyRing
from ..routing.choice import ChooserServices, Place
from ..routing.choosers import ServiceChoosers
from ..routing.targets import TargetInfo
from .balancer_metrics import BalancerMetrics
from .control import BalancerControl
from .datapath import DataPath, open_data_socket
from .http_status import StatusServer
from .reloads import Reloader, Reloads
from .route_answers import RouteAnswers
from .target_sockets import TargetSockets, limit_target_sockets

# Pause between the slices in which tables of targets are rebuilt.
SLICE_PAUSE_S = 0.005
# The fabric polls /readyz a few times a second. Until it has seen that
# the balancer is not ready, it still sends datagrams to it.
MIN_DRAIN_S = 1.0
_logger = logging.getLogger(__name__)


class Balancer:
    """One balancer process.

    The constructor and `start` raise OSError if a port is taken.
    """

    def __init__(
        self, settings: Settings, keys: KeyRing, tls: TlsContexts | None
    ) -> None:
        self._settings = settings
        self._timers = LoopTimerService()
        source = random.SystemRandom()
        node = settings.node
        self._choosers = ServiceChoosers(
            ChooserServices(
                Place(node.region, node.availability_zone),
                self._timers,
                source,
            )
        )
        address = (node.host, node.data_port)
        data_socket = open_data_socket(address)
        sockets = TargetSockets(data_socket, limit_target_sockets())
        router = PacketRouter(
            RouterDependencies(
                keys=keys,
                choosers=self._choosers,
                timers=self._timers,
                random=source,
                connect=sockets.connect,
                send_probe=data_socket.sendto,
                own_address=address,
                verified_tokens=settings.limits.verified_tokens,
                probes_per_s=settings.limits.probes_per_s,
            )
        )
        self._path = DataPath(data_socket, sockets, router, self._timers)
        self._control = BalancerControl(
            settings,
            keys,
            self._timers,
            self._apply_targets,
            self._apply_configuration,
            tls,
            RouteAnswers(node, self._choosers, self._get_configuration).answer,
        )
        self._metrics = BalancerMetrics(
            self._path, self._control, self._choosers, self._timers
        )
        self._status: StatusServer | None = None
        self._is_rebuild_scheduled = False
        self._signals = 0
        self._failed = False
        self._stopped = Event()

    def start(self) -> None:
        """Open the status and control ports and start to serve."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._handle_signal)
        self._serve_status()
        self._timers.start().link_exception(self._fail)
        self._control.start()
        self._path.start().link_exception(self._fail)
        self._metrics.start()
        log_event(_logger, 'balancer.started')

    def wait(self) -> ExitCode:
        """Serve until a signal stops the balancer; return the exit code."""
        self._stopped.wait()
        code = self._shut_down()
        if self._status is not None:
            self._status.stop()
        return code

    def reload_with(self, *reloaders: Reloader) -> None:
        """Reload changed keys and certificates while the balancer runs."""
        Reloads(self._metrics.metrics, *reloaders).start(self._timers)

    def _serve_status(self) -> None:
        node = self._settings.node
        if not node.metrics_port:
            return
        self._status = StatusServer(
            (node.host, node.metrics_port),
            self._metrics.metrics,
            self._list_unready_reasons,
        )
        self._status.start()

    def _list_unready_reasons(self) -> list[str]:
        reasons = []
        if not self._control.is_ready:
            reasons.append('no configuration')
        if self._signals:
            reasons.append('draining')
        return reasons

    def _apply_targets(
        self, targets_by_service: Mapping[int, tuple[TargetInfo, ...]]
    ) -> None:
        self._choosers.update_targets(targets_by_service)
        self._path.set_probed_services(tuple(sorted(targets_by_service)))
        self._metrics.set_target_counts(
            Counter(
                (str(target.service), target.state)
                for targets in targets_by_service.values()
                for target in targets
            )
        )
        if not self._is_rebuild_scheduled:
            self._is_rebuild_scheduled = True
            self._timers.call_after(0.0, self._rebuild_slice)

    def _rebuild_slice(self) -> None:
        self._is_rebuild_scheduled = self._choosers.rebuild_slice() > 0
        if self._is_rebuild_scheduled:
            self._timers.call_after(SLICE_PAUSE_S, self._rebuild_slice)

    def _get_configuration(self) -> Configuration | None:
        return self._control.configuration

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._path.router.use_configuration(configuration)
        log_event(_logger, 'balancer.configured', version=configuration.version)

    def _fail(self, greenlet: gevent.Greenlet) -> None:
        """Stop the process: an exception here is a broken invariant."""
        log_event(
            _logger,
            'balancer.failed',
            level=logging.CRITICAL,
            cause=repr(greenlet.exception),
        )
        self._failed = True
        self._stopped.set()

    def _handle_signal(self) -> None:
        self._signals += 1
        if self._signals > 1:
            self._stopped.set()
            return
        log_event(_logger, 'balancer.draining')
        self._metrics.metrics.set_gauge('draining', 1)
        gevent.spawn(self._drain).link_exception(self._fail)

    def _drain(self) -> None:
        self._control.stop()
        limit_s = self._settings.limits.shutdown_s
        gevent.sleep(min(MIN_DRAIN_S, limit_s))
        self._path.drain(max(limit_s - MIN_DRAIN_S, 0.0))
        self._stopped.set()

    def _shut_down(self) -> ExitCode:
        if not self._signals:
            self._control.stop()
        pending = len(self._path.router.probes)
        left = self._path.stop()
        self._timers.stop()
        log_event(
            _logger,
            'balancer.stopped',
            level=logging.WARNING if left else logging.INFO,
            datagrams_left=left,
            probes_left=pending,
            forwarded=sum(self._path.router.counters.forwarded),
        )
        if self._failed:
            return ExitCode.INVARIANT_VIOLATED
        return ExitCode.FAILURE if left else ExitCode.OK

"""Receive loop of the data path of a balancer."""

import logging
import socket
from collections.abc import Callable
from itertools import cycle, islice

import gevent
from gevent.socket import wait_read

from ..datapath.packet_router import PacketRouter
from ..foundation.logs import log_event
from ..foundation.native_sockets import open_udp_socket
from ..foundation.timers import Timer, TimerService
from ..protocol.packets import MAX_PACKET_BYTES, Address
from .target_sockets import TargetSockets

# How many datagrams are read per wake-up. More would delay the control
# plane.
MAX_DRAINED = 64
# The kernel limits this to net.core.rmem_max.
RECEIVE_BUFFER_BYTES = 4194304
KEY_CHECK_S = 1.0
PROBE_CHECK_S = 0.25
SOCKET_CHECK_S = 60.0
# How many services are checked for due probes each time.
PROBED_SERVICES = 32
# A draining socket is regarded as empty after this time without a
# datagram.
QUIET_S = 0.5
DRAIN_POLL_S = 0.05
MAX_COUNTED_LEFT = 10000

_logger = logging.getLogger(__name__)


class DataPath:
    """Receives datagrams and passes them to the router.

    The router sends through `sockets`.
    """

    def __init__(
        self,
        data_socket: socket.socket,
        sockets: TargetSockets,
        router: PacketRouter,
        timers: TimerService,
    ) -> None:
        self.router = router
        self.sockets = sockets
        self.received = 0
        self._socket = data_socket
        self._timers = timers
        self._loop: gevent.Greenlet | None = None
        self._subscriptions: list[Timer] = []
        self._probing: Timer | None = None
        self._service_ids: tuple[int, ...] = ()
        self._probe_cycle = cycle(self._service_ids)

    def start(self) -> gevent.Greenlet:
        """Start the receive loop and the periodic checks; return the loop."""
        self._loop = gevent.spawn(self._run)
        self._subscriptions = [
            self._timers.subscribe(
                KEY_CHECK_S, self.router.forwarder.refresh_keys
            ),
            self._timers.subscribe(SOCKET_CHECK_S, self._reset_full_sockets),
        ]
        self._probing = self._timers.subscribe(
            PROBE_CHECK_S, self._check_probes
        )
        return self._loop

    def set_probed_services(self, service_ids: tuple[int, ...]) -> None:
        """Set the services whose targets are probed."""
        if service_ids != self._service_ids:
            self._service_ids = service_ids
            self._probe_cycle = cycle(service_ids)

    def drain(self, limit_s: float) -> bool:
        """Forward until no datagram arrives; False after `limit_s`.

        Probing stops, since the replies would keep the socket busy.
        """
        if self._probing is not None:
            self._probing.cancel()
        end_s = self._timers.now() + limit_s
        quiet_since_s = self._timers.now()
        seen = self.received
        while self._timers.now() - quiet_since_s < QUIET_S:
            if self._timers.now() >= end_s:
                return False
            gevent.sleep(DRAIN_POLL_S)
            if self.received != seen:
                seen = self.received
                quiet_since_s = self._timers.now()
        return True

    def stop(self) -> int:
        """Stop the loop; return how many datagrams were not read.

        Counting stops at about `MAX_COUNTED_LEFT` datagrams.
        """
        for subscription in (*self._subscriptions, self._probing):
            if subscription is not None:
                subscription.cancel()
        if self._loop is not None:
            self._loop.kill()
        left = self._count_left()
        self._socket.close()
        self.sockets.close()
        return left

    def _run(self) -> None:
        receive = self._socket.recv
        forwarder = self.router.forwarder
        while True:
            wait_read(self._socket.fileno())
            forwarder.refresh_replaced_keys()
            self.received += drain_socket(receive, forwarder.route)

    def _check_probes(self) -> None:
        self.router.check_probes()
        count = min(PROBED_SERVICES, len(self._service_ids))
        for service_id in islice(self._probe_cycle, count):
            self.router.probe(service_id)

    def _reset_full_sockets(self) -> None:
        # Frees the sockets of targets that have left; those of current
        # targets are opened again.
        if self.sockets.is_full:
            self.router.forwarder.clear_senders()
            self.sockets.close()

    def _count_left(self) -> int:
        left = 0
        while left < MAX_COUNTED_LEFT:
            count = drain_socket(self._socket.recv, len)
            left += count
            if count < MAX_DRAINED:
                break
        return left


def drain_socket(
    receive: Callable[[int], bytes], on_packet: Callable[[bytes], object]
) -> int:
    """Pass the datagrams in a non-blocking socket to `on_packet`.

    Returns how many were read, at most `MAX_DRAINED`.
    """
    for count in range(MAX_DRAINED):
        try:
            packet = receive(MAX_PACKET_BYTES + 1)
        except BlockingIOError:
            return count
        except OSError as error:
            # For example an ICMP error for a datagram sent earlier.
            log_event(
                _logger,
                'datapath.receive_failed',
                level=logging.WARNING,
                repeats=True,
                error=str(error),
            )
            return count
        on_packet(packet)
    return MAX_DRAINED


def open_data_socket(address: Address) -> socket.socket:
    """Return the bound socket; raises OSError if the port is taken."""
    data_socket = open_udp_socket(RECEIVE_BUFFER_BYTES)
    data_socket.bind(address)
    return data_socket

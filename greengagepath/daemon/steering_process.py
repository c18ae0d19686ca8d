"""What both roles for plain flows share."""

import logging
import signal
from collections import Counter
from typing import Protocol

import gevent
from gevent.event import Event
from result import Err

from ..foundation.logs import log_event
from ..foundation.timers import LoopTimerService
from ..steering.peer_messages import PeerMessage, decode_message
from ..steering.segments import Segment
from ..steering.settings import Address, SteeringSettings, pack_address
from ..steering.store import Member, MemberRole, SteeringStore
from .datagram_socket import DatagramSocket, OnEmpty
from .http_listener import HttpListener, HttpReply, HttpRequest
from .membership_listing import MembershipListing
from .peer_addresses import PeerAddresses
from .steering_metrics import SteeringMetrics

_logger = logging.getLogger(__name__)


class SteeringCodec(Protocol):
    """Packets of callers on the platform's wire."""

    readiness_path: str

    def decode_from_caller(self, raw: bytes) -> Segment | None:
        """Return a caller's packet, None if the bytes are none."""

    def encode_reset(self, flow: bytes) -> bytes:
        """Return a reset of a flow that has not opened."""

    def caller_address(self, flow: bytes) -> bytes:
        """Return the caller's packed address."""


class SteeringProcess:
    """Signals, peers, membership and metrics of one process.

    A role adds its decisions and the sockets towards callers or its
    target: it calls `_bind` once its decisions exist, since they count
    the events that the metrics show, and `_open` when it starts to run.
    """

    def __init__(
        self, settings: SteeringSettings, store: SteeringStore, role: MemberRole
    ) -> None:
        self._settings = settings
        self._store = store
        self._timers = LoopTimerService()
        self._stopping = Event()
        self._own = Member(settings.address, role)
        self._listing = MembershipListing(store, self._own, self._take_members)
        self._agents_at = PeerAddresses(settings.agent_port)
        self._balancers_at = PeerAddresses(settings.balancer_port)

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send to an agent."""
        self._peers.send(datagram, self._agents_at.find(address))

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send to a balancer."""
        self._peers.send(datagram, self._balancers_at.find(address))

    def _bind(self, port: int, counts: Counter[str], on_empty: OnEmpty) -> None:
        """Bind the socket towards other processes.

        `on_empty` is called when no more of their datagrams wait.
        """
        self._counts = counts
        self._peers = DatagramSocket(
            (self._settings.host, port), self._take_datagram, counts, on_empty
        )
        self._metrics = SteeringMetrics(
            counts, lambda: self._store.calls, self._read_gauges
        )

    def _open(self, *http_addresses: Address | None) -> None:
        """Take signals and begin to listen; None stands for no listener."""
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, _note_reload)
        self._timers.start()
        self._peers.start()
        for address in filter(None, http_addresses):
            HttpListener(address, self._answer).start()
        listening = self._settings.listening
        self._metrics.serve(self._settings.host, listening.metrics_port)

    def _take_datagram(self, datagram: bytes, host: str) -> None:
        decoded = decode_message(datagram)
        sender = pack_address(host)
        if isinstance(decoded, Err) or sender is None:
            self._counts['dropped_unreadable'] += 1
            return
        self._take_message(sender, decoded.ok_value)

    def _take_message(self, sender: bytes, message: PeerMessage) -> None:
        raise NotImplementedError

    def _take_members(
        self, balancers: list[bytes], agents: list[bytes]
    ) -> None:
        raise NotImplementedError

    def _answer(self, request: HttpRequest) -> HttpReply:
        raise NotImplementedError

    def _read_gauges(self) -> dict[str, float]:
        raise NotImplementedError


def ignore_empty() -> None:
    """Take no notice: the datagrams are worth reading however late."""


def _note_reload() -> None:
    """SIGHUP changes nothing: the platform fills the settings at a start."""
    log_event(_logger, 'settings.unchanged')

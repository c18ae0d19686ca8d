"""Base of the balancer and agent processes for plain flows."""

import logging
import signal
from collections import Counter
from typing import Protocol

import gevent
from gevent.event import Event
from result import Err

from ..foundation.greenlets import spawn_supervised
from ..foundation.logs import log_event
from ..foundation.start_steps import EVENT, StartSteps
from ..foundation.timers import LoopTimerService
from ..steering.messages.peer_messages import PeerMessage, decode_message
from ..steering.messages.segments import Segment
from ..steering.settings import Address, SteeringSettings, pack_address
from ..steering.store import Member, MemberList, MemberRole, SteeringStore
from .datagram_socket import DatagramSocket, OnEmpty
from .http_listener import HttpListener, HttpReply, HttpRequest
from .membership_listing import MembershipListing
from .peer_addresses import PeerAddresses
from .steering_metrics import SteeringMetrics

_logger = logging.getLogger(__name__)


class SteeringCodec(Protocol):
    """Decodes and encodes packets of callers on the platform's wire."""

    readiness_path: str

    def decode_from_caller(self, raw: bytes) -> Segment | None:
        """Decode a caller's packet; None if it is malformed."""

    def encode_reset(self, flow: bytes, sequence: int = 0) -> bytes:
        """Return a reset; `sequence` matters only for an open flow."""

    def caller_address(self, flow: bytes) -> bytes:
        """Return the packed IPv4 address of the caller of a flow."""


class SteeringProcess:
    """Signals, peers, membership and metrics of one process.

    A subclass adds the decisions of its role and the sockets towards
    callers or the target. It calls `_bind` after it has created the
    decisions, since they count the events that the metrics show, and
    `_open` when it starts to run.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        store: SteeringStore,
        role: MemberRole,
        steps: StartSteps | None = None,
    ) -> None:
        self._settings = settings
        self._steps = steps or StartSteps()
        self._store = store
        self._timers = LoopTimerService()
        self._stopping = Event()
        self._own = Member(settings.address, role)
        self._own.owner = f'{settings.member_id}/{settings.service}'
        self._listing = MembershipListing(
            store,
            self._own,
            self._add_members,
            is_first_start=settings.first_start,
            has_all=self._hears_only if role is MemberRole.BALANCER else None,
        )
        self._agent_addresses = PeerAddresses(settings.agent_port)
        self._balancer_addresses = PeerAddresses(settings.balancer_port)

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to the agent at a packed IPv4 address."""
        self._peers.send(datagram, self._agent_addresses.find(address))

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to the balancer at a packed IPv4 address."""
        self._peers.send(datagram, self._balancer_addresses.find(address))

    def _bind(self, port: int, counts: Counter[str], on_empty: OnEmpty) -> None:
        """Bind the socket towards other processes and set up metrics.

        `on_empty` is called each time that the socket has been read
        empty. Raises OSError if the port cannot be bound.
        """
        self._counts = counts
        self._peers = DatagramSocket(
            (self._settings.host, port), self._handle_datagram, counts, on_empty
        )
        self._metrics = SteeringMetrics(
            counts, lambda: self._store.calls, self._read_gauges
        )

    def _open(self, *http_addresses: Address | None) -> None:
        """Handle signals and start to listen.

        An HTTP listener is started for each address that is not None.
        Raises OSError if an address is taken.
        """
        gevent.signal_handler(signal.SIGTERM, self._stopping.set)
        gevent.signal_handler(signal.SIGINT, self._stopping.set)
        gevent.signal_handler(signal.SIGHUP, _log_unchanged_settings)
        spawn_supervised('timers', self._timers.run)
        self._steps.record('sockets')
        self._peers.start()
        for address in filter(None, http_addresses):
            HttpListener(address, self._answer).start()
        listening = self._settings.listening
        self._metrics.serve(self._settings.host, listening.metrics_port)

    def _log_start(self, last_step: str) -> None:
        """Log how long the steps of the start have taken."""
        self._steps.record(last_step)
        log_event(_logger, EVENT, **self._steps.describe())

    def _handle_datagram(self, datagram: bytes, host: str) -> None:
        decoded = decode_message(datagram)
        sender = pack_address(host)
        if isinstance(decoded, Err) or sender is None:
            self._counts['dropped_unreadable'] += 1
            return
        self._handle_peer_message(sender, decoded.ok_value)

    def _handle_peer_message(self, sender: bytes, message: PeerMessage) -> None:
        raise NotImplementedError

    def _hears_only(self, members: MemberList) -> bool:
        """Return whether a list has all members that a balancer hears."""
        raise NotImplementedError

    def _add_members(self, members: MemberList) -> None:
        raise NotImplementedError

    def _answer(self, request: HttpRequest) -> HttpReply:
        raise NotImplementedError

    def _read_gauges(self) -> dict[str, float]:
        raise NotImplementedError


def ignore_empty() -> None:
    """Do nothing: datagrams of this socket are useful even if late."""


def _log_unchanged_settings() -> None:
    """Log that SIGHUP reloads nothing.

    The platform provides the settings only at the start of a process.
    """
    log_event(_logger, 'settings.unchanged')

"""Control links: websockets that carry authenticated frames.

`WebsocketLinks` is for daemons and needs the monkey patches of gevent.
`exchange_message` is for operator tools and works with or without them.
"""

import itertools
import logging
from dataclasses import dataclass

import gevent
import msgspec
from result import Err, Result
from websockets.sync import client, server
from websockets.sync.connection import Connection

from ..foundation.addresses import Address
from ..foundation.logs import log_event
from ..foundation.tls import TlsContexts
from ..generated.settings import LimitSettings
from ..membership.ports import LinkEvents
from ..protocol.tags import KeyRing
from .link_session import (
    DRAIN_S,
    DRAIN_STEP_S,
    LINK_ERRORS,
    LinkSession,
    exchange_nonces,
)

# Covers a status reply with 20,000 records of 250 B.
MAX_FRAME_BYTES = 8 * 1024 * 1024
OPEN_TIMEOUT_S = 2.0
_logger = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class LinkOptions:
    """Options that all links of a process share."""

    keys: KeyRing
    limits: LimitSettings
    tls: TlsContexts | None = None


class WebsocketLinks:
    """Implements `LinkService` with two greenlets for each link."""

    def __init__(self, options: LinkOptions) -> None:
        self._options = options
        self._ids = itertools.count(1)
        self._sessions_by_link: dict[int, LinkSession] = {}
        self._server: server.Server | None = None
        self._events: LinkEvents | None = None

    def listen(self, address: Address) -> None:
        """Accept links; raises OSError if the port cannot be used."""
        tls = self._options.tls
        self._server = server.serve(
            self._accept,
            *address,
            ssl=None if tls is None else tls.server,
            compression=None,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=DRAIN_S,
            max_size=MAX_FRAME_BYTES,
        )
        gevent.spawn(self._server.serve_forever)

    def set_events(self, events: LinkEvents) -> None:
        """Set the receiver of link events and messages."""
        self._events = events

    def connect(self, address: Address) -> int:
        """Open a link in the background and return its id."""
        session = self._create(outgoing=True)
        gevent.spawn(self._run_outgoing, session, address)
        return session.link_id

    def send(self, link_id: int, message: msgspec.Struct) -> bool:
        """Queue a message; return False if it was not queued."""
        session = self._sessions_by_link.get(link_id)
        return session is not None and session.send(message)

    def close(self, link_id: int) -> None:
        """Send what is queued, for at most `DRAIN_S`, then close the link."""
        session = self._sessions_by_link.get(link_id)
        if session is not None:
            session.close()

    def stop(self) -> None:
        """Stop listening, close all links and wait until they have ended.

        Waits for at most twice `DRAIN_S`.
        """
        if self._server is not None:
            self._server.shutdown()
        for session in tuple(self._sessions_by_link.values()):
            session.close()
        left_s = 2 * DRAIN_S
        while self._sessions_by_link and left_s > 0:
            gevent.sleep(DRAIN_STEP_S)
            left_s -= DRAIN_STEP_S

    def opened(self, session: LinkSession) -> None:
        """Report that a link is open."""
        if self._events is not None:
            self._events.link_opened(session.link_id, outgoing=session.outgoing)

    def received(self, session: LinkSession, message: msgspec.Struct) -> None:
        """Report a message."""
        if self._events is not None:
            self._events.link_received(session.link_id, message)

    def closed(self, session: LinkSession) -> None:
        """Remove a link and report that it has closed."""
        self._sessions_by_link.pop(session.link_id, None)
        if self._events is not None:
            self._events.link_closed(session.link_id)

    def _create(self, *, outgoing: bool) -> LinkSession:
        session = LinkSession(
            next(self._ids),
            self._options.keys,
            self._options.limits.link_queue,
            self,
            outgoing=outgoing,
        )
        self._sessions_by_link[session.link_id] = session
        return session

    def _accept(self, connection: Connection) -> None:
        if len(self._sessions_by_link) < self._options.limits.links:
            self._create(outgoing=False).run(connection)
            return
        log_event(
            _logger,
            'link.refused',
            level=logging.WARNING,
            repeats=True,
            reason='too many links',
        )

    def _run_outgoing(self, session: LinkSession, address: Address) -> None:
        try:
            self._exchange(session, address)
        finally:
            # Also after an exception that is no error of the link, so that
            # the link does not count as open any more.
            session.finish()

    def _exchange(self, session: LinkSession, address: Address) -> None:
        try:
            with open_connection(address, self._options.tls) as connection:
                session.run(connection)
        except LINK_ERRORS as failure:
            log_event(
                _logger,
                'link.failed',
                level=logging.DEBUG,
                repeats=True,
                address=f'{address[0]}:{address[1]}',
                reason=str(failure),
            )


def exchange_message(
    address: Address,
    options: LinkOptions,
    message: msgspec.Struct,
    timeout_s: float,
) -> Result[msgspec.Struct, str]:
    """Send one message to a balancer and return its answer.

    The error is the reason: no connection, a refused frame or no answer
    within `timeout_s` seconds.
    """
    try:
        with open_connection(address, options.tls) as connection:
            opener, sealer = exchange_nonces(connection, options.keys)
            connection.send(sealer.seal(message))
            return opener.open(connection.recv(timeout_s, decode=False))
    except LINK_ERRORS as failure:
        return Err(str(failure) or type(failure).__name__)


def open_connection(
    address: Address, tls: TlsContexts | None
) -> client.ClientConnection:
    """Connect to a control port; raises one of `LINK_ERRORS`."""
    scheme = 'ws' if tls is None else 'wss'
    return client.connect(
        f'{scheme}://{address[0]}:{address[1]}',
        ssl=None if tls is None else tls.client,
        compression=None,
        ping_interval=None,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=DRAIN_S,
        max_size=MAX_FRAME_BYTES,
        proxy=None,
    )

"""One control link: a send queue, a writer and a reader."""

import logging
import os
from typing import Protocol

import gevent
import msgspec
from gevent.queue import Full, Queue
from websockets.exceptions import WebSocketException
from websockets.sync.connection import Connection

from ..foundation.logs import log_event
from ..protocol.tags import KeyRing
from .frames import NONCE_BYTES, FrameOpener, FrameSealer

# How long to wait for the nonce of the peer.
NONCE_TIMEOUT_S = 2.0
# How long queued messages may still be sent when a link is closed.
DRAIN_S = 0.5
DRAIN_STEP_S = 0.01
LINK_ERRORS = (WebSocketException, OSError, EOFError, TimeoutError)
_logger = logging.getLogger(__name__)


class SessionOwner(Protocol):
    """Receives the events of a link."""

    def opened(self, session: 'LinkSession') -> None:
        """Handle the end of the handshake: both sides may send."""

    def received(self, session: 'LinkSession', message: msgspec.Struct) -> None:
        """Handle a message whose tag is valid."""

    def closed(self, session: 'LinkSession') -> None:
        """Handle the end of the link; called once, after all messages."""


class LinkSession:
    """Carries messages over one connection until either side closes."""

    def __init__(
        self,
        link_id: int,
        keys: KeyRing,
        queue_length: int,
        owner: SessionOwner,
        *,
        outgoing: bool,
    ) -> None:
        self.link_id = link_id
        self.outgoing = outgoing
        self._keys = keys
        self._owner = owner
        self._queue = Queue(queue_length)
        self._connection: Connection | None = None
        self._writer: gevent.Greenlet | None = None
        self._is_closing = False
        self._is_finished = False

    def send(self, message: msgspec.Struct) -> bool:
        """Queue a message; return False if it was not queued."""
        if self._is_closing:
            return False
        try:
            self._queue.put_nowait(message)
        except Full:
            return False
        return True

    def close(self) -> None:
        """Send what is queued, then close; returns at once.

        Messages that are not sent within `DRAIN_S` are dropped.
        """
        if not self._is_closing:
            self._is_closing = True
            gevent.spawn(self._drain)

    def run(self, connection: Connection) -> None:
        """Exchange nonces, then pass on messages until the link ends."""
        self._connection = connection
        try:
            opener, sealer = exchange_nonces(connection, self._keys)
        except LINK_ERRORS:
            self.finish()
            return
        if not self._is_closing:
            self._writer = gevent.spawn(self._write, connection, sealer)
            self._owner.opened(self)
            self._read(connection, opener)
        self.finish()

    def finish(self) -> None:
        """End the link at once."""
        self._is_closing = True
        if self._is_finished:
            return
        self._is_finished = True
        if self._writer is not None:
            self._writer.kill(block=False)
        if self._connection is not None:
            gevent.spawn(self._connection.close)
        self._owner.closed(self)

    def _read(self, connection: Connection, opener: FrameOpener) -> None:
        while True:
            try:
                frame = connection.recv(decode=False)
            except LINK_ERRORS:
                return
            opened = opener.open(frame)
            if opened.is_err():
                self._log_refused_frame(opened.unwrap_err())
                return
            if self._is_closing:
                return
            self._owner.received(self, opened.unwrap())

    def _write(self, connection: Connection, sealer: FrameSealer) -> None:
        while True:
            message = self._queue.peek()
            try:
                connection.send(sealer.seal(message))
            except LINK_ERRORS:
                self.close()
                return
            self._queue.get()

    def _drain(self) -> None:
        left_s = DRAIN_S
        while not self._queue.empty() and left_s > 0:
            gevent.sleep(DRAIN_STEP_S)
            left_s -= DRAIN_STEP_S
        self.finish()

    def _log_refused_frame(self, reason: str) -> None:
        log_event(
            _logger,
            'link.frame_refused',
            level=logging.WARNING,
            repeats=True,
            link=self.link_id,
            reason=reason,
        )


def exchange_nonces(
    connection: Connection, keys: KeyRing
) -> tuple[FrameOpener, FrameSealer]:
    """Send a nonce and wait for that of the peer.

    Raises one of `LINK_ERRORS` if none arrives in time.
    """
    own_nonce = os.urandom(NONCE_BYTES)
    connection.send(own_nonce)
    peer_nonce = connection.recv(NONCE_TIMEOUT_S, decode=False)
    if len(peer_nonce) != NONCE_BYTES:
        raise OSError('the peer sent no nonce')
    return FrameOpener(keys, own_nonce), FrameSealer(keys, peer_nonce)

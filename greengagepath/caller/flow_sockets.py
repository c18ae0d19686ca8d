"""UDP socket of one flow at the caller."""

import socket
from collections import Counter

import gevent
from gevent.socket import wait_read

from ..foundation.native_sockets import open_udp_socket
from ..protocol.packets import (
    MAX_DATAGRAM_BYTES,
    Address,
    decode_service_datagram,
)
from .flows import Flow

# The kernel limits it to net.core.rmem_max.
RECEIVE_BUFFER_BYTES = 1048576
MAX_DATAGRAMS_PER_READ = 64


class FlowSocket:
    """A connected UDP socket; `events` counts its errors."""

    __slots__ = (
        '_address',
        '_events',
        '_linger_greenlet',
        '_socket',
        'is_closed',
    )

    def __init__(self, address: Address, events: Counter[str]) -> None:
        self._address = address
        self._events = events
        self._socket = _connect(address)
        self._linger_greenlet: gevent.Greenlet | None = None
        self.is_closed = False

    def move_to_new_port(self) -> None:
        """Replace the socket by one with a new local port."""
        self._socket.close()
        self._socket = _connect(self._address)

    def close(self) -> None:
        """Close the socket; stop acknowledging late parts first."""
        self.stop_lingering()
        self.is_closed = True
        self._socket.close()

    def send_all(self, datagrams: list[bytes]) -> None:
        """Send datagrams; count an error if one cannot be sent."""
        for datagram in datagrams:
            try:
                self._socket.send(datagram)
            except OSError:
                # A full buffer, or an ICMP error of an earlier datagram.
                self._events['send_errors'] += 1

    def wait(self, timeout_s: float) -> bool:
        """Wait for a datagram; return False after `timeout_s` seconds."""
        try:
            wait_read(
                self._socket.fileno(),
                timeout=max(timeout_s, 0.0),
                timeout_exc=TimeoutError(),
            )
        except TimeoutError:
            return False
        return True

    def receive_available(self) -> list[bytes]:
        """Return datagrams that have arrived, 64 at most."""
        received: list[bytes] = []
        while len(received) < MAX_DATAGRAMS_PER_READ:
            try:
                received.append(self._socket.recv(MAX_DATAGRAM_BYTES + 1))
            except BlockingIOError:
                break
            except OSError:
                # An ICMP error of an earlier datagram.
                self._events['receive_errors'] += 1
        return received

    def linger(self, flow: Flow, limit_s: float | None = None) -> None:
        """Acknowledge late parts in a greenlet.

        Close the socket after `limit_s` seconds, if given.
        """
        self._linger_greenlet = gevent.spawn(self._linger, flow, limit_s)

    def stop_lingering(self) -> None:
        """Stop the greenlet, so that the next call receives datagrams."""
        greenlet = self._linger_greenlet
        self._linger_greenlet = None
        if greenlet is not None:
            # Blocks until the greenlet has stopped its watcher: libev
            # aborts the process if a watched descriptor is closed.
            greenlet.kill()

    def _linger(self, flow: Flow, limit_s: float | None) -> None:
        if limit_s is None:
            while True:
                wait_read(self._socket.fileno())
                self._reply_to_late_parts(flow)
        with gevent.Timeout(limit_s, exception=False):
            while True:
                wait_read(self._socket.fileno())
                self._reply_to_late_parts(flow)
        self._linger_greenlet = None
        self.close()

    def _reply_to_late_parts(self, flow: Flow) -> None:
        for encoded in self.receive_available():
            datagram = decode_service_datagram(encoded).ok()
            reply = datagram and flow.reply_to_late_part(datagram)
            if reply:
                self.send_all([reply])


def _connect(address: Address) -> socket.socket:
    connected = open_udp_socket(RECEIVE_BUFFER_BYTES)
    connected.connect(address)
    return connected

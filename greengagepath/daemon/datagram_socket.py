"""UDP socket of a steering daemon, read by one greenlet."""

import socket
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.socket import wait_read

from ..foundation.greenlets import spawn_supervised
from ..foundation.native_sockets import open_udp_socket

MAX_DATAGRAM_BYTES = 2048
# How many datagrams are read per wake-up. More would delay timers.
MAX_DRAINED = 64
RECEIVE_BUFFER_BYTES = 1048576

OnDatagram = Callable[[bytes, str], None]
OnEmpty = Callable[[], None]


class DatagramSocket:
    """Passes datagrams to a callback and sends without blocking.

    `on_datagram` is called with each datagram and the host of its
    sender, `on_empty` each time that the socket has been read empty.

    A datagram that the kernel does not accept at once is dropped and
    counted as `datagrams_unsent`. The protocols above retransmit what
    has to arrive. The constructor raises OSError if the address cannot
    be bound.
    """

    def __init__(
        self,
        address: tuple[str, int],
        on_datagram: OnDatagram,
        counts: Counter[str],
        on_empty: OnEmpty,
    ) -> None:
        self._on_datagram = on_datagram
        self._counts = counts
        self._on_empty = on_empty
        self._socket = open_udp_socket(RECEIVE_BUFFER_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._loop: gevent.Greenlet | None = None

    @property
    def port(self) -> int:
        """Return the port that the socket is bound to."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Start the greenlet that receives."""
        self._loop = spawn_supervised('datagrams.receive', self._run)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, or drop and count it."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            self._counts['datagrams_unsent'] += 1

    def stop(self) -> None:
        """Stop the greenlet and close the socket."""
        if self._loop is not None:
            self._loop.kill()
        self._socket.close()

    def _run(self) -> None:
        descriptor = self._socket.fileno()
        while True:
            wait_read(descriptor)
            self._drain()

    def _drain(self) -> None:
        receive = self._socket.recvfrom
        for _ in range(MAX_DRAINED):
            try:
                datagram, sender = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._on_empty()
                return
            except OSError:
                # An ICMP error: an earlier datagram was sent to a closed
                # port.
                self._counts['datagrams_undelivered'] += 1
                continue
            self._on_datagram(datagram, sender[0])

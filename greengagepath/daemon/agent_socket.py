"""UDP socket of an agent."""

import socket
from collections.abc import Iterator

from gevent.socket import wait_read

from ..agent.replies import Outgoing
from ..foundation.addresses import Address

# Requested from the kernel, which limits it to net.core.rmem_max.
SOCKET_BUFFER_BYTES = 4194304
RECEIVE_BYTES = 65535
# How many datagrams are read before other greenlets run.
RECEIVE_BATCH = 64


class AgentSocket:
    """A bound socket that never blocks the event loop.

    Raises OSError if the address cannot be bound. `received` and
    `send_errors` count datagrams.
    """

    def __init__(self, address: Address) -> None:
        self.received = 0
        self.send_errors = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
        self._socket.setblocking(False)
        self._socket.bind(address)

    def receive(self) -> Iterator[tuple[bytes, Address]]:
        """Wait for datagrams; yield a batch of them with their sources."""
        wait_read(self._socket.fileno())
        for _ in range(RECEIVE_BATCH):
            try:
                datagram = self._socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                # The socket is empty, or an ICMP error has arrived for an
                # earlier datagram.
                return
            self.received += 1
            yield datagram

    def send(self, outgoing: Outgoing) -> None:
        """Send a datagram; one that cannot be sent is counted and dropped."""
        try:
            self._socket.sendto(outgoing.payload, outgoing.address)
        except OSError:
            self.send_errors += 1

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

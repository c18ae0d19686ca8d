"""Socket addresses of other processes, by packed IPv4 address."""

import socket

MAX_CACHED = 10000


class PeerAddresses:
    """Unpacks and caches addresses of processes with one common port.

    All processes of a role listen on the same port. The cache is cleared
    when it holds `MAX_CACHED` addresses.
    """

    __slots__ = ('_by_packed', '_port')

    def __init__(self, port: int) -> None:
        self._port = port
        self._by_packed: dict[bytes, tuple[str, int]] = {}

    def find(self, packed: bytes) -> tuple[str, int]:
        """Return host and port of a packed IPv4 address."""
        found = self._by_packed.get(packed)
        if found is None:
            if len(self._by_packed) >= MAX_CACHED:
                self._by_packed.clear()
            found = (socket.inet_ntoa(packed), self._port)
            self._by_packed[packed] = found
        return found

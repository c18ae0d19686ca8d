"""Socket addresses of other processes by packed IPv4 address."""

import socket

MAX_KNOWN = 10000


class PeerAddresses:
    """All processes of one role listen on the same port."""

    __slots__ = ('_by_packed', '_port')

    def __init__(self, port: int) -> None:
        self._port = port
        self._by_packed: dict[bytes, tuple[str, int]] = {}

    def find(self, packed: bytes) -> tuple[str, int]:
        """Return host and port."""
        found = self._by_packed.get(packed)
        if found is None:
            if len(self._by_packed) >= MAX_KNOWN:
                self._by_packed.clear()
            found = (socket.inet_ntoa(packed), self._port)
            self._by_packed[packed] = found
        return found

"""Copies of the configuration that processes request from each other.

The store is asked first. While it is down or rejects a VM, a process that
has just started or has an outdated version gets the configuration from a
peer. Agents keep a copy too, so that it survives a restart of all
balancers.
"""

import struct
from collections.abc import Iterator

from .peer_messages import PeerKind, PeerMessage

PART_BYTES = 1200
MAX_PARTS = 1000
_PART = struct.Struct('!HH')


class RouteCopy:
    """Encoded routes of one version; version 0 means no copy."""

    __slots__ = ('encoded', 'version')

    def __init__(self, version: int = 0, encoded: bytes = b'') -> None:
        self.version = version
        self.encoded = encoded

    def make_parts(self, service: bytes) -> Iterator[PeerMessage]:
        """Yield the messages that carry the copy."""
        count = -(-len(self.encoded) // PART_BYTES) or 1
        for index in range(count):
            start = index * PART_BYTES
            part = self.encoded[start : start + PART_BYTES]
            yield PeerMessage(
                PeerKind.PART,
                service,
                version=self.version,
                body=_PART.pack(index, count) + part,
            )


class RouteAssembly:
    """Assembles the parts of the highest version received."""

    __slots__ = ('_count', '_part_by_index', '_version')

    def __init__(self) -> None:
        self._version = 0
        self._count = 0
        self._part_by_index: dict[int, bytes] = {}

    def add(self, message: PeerMessage) -> RouteCopy | None:
        """Add a part; return the copy once it is complete.

        Parts of older versions and malformed parts are ignored.
        """
        if len(message.body) < _PART.size:
            return None
        index, count = _PART.unpack_from(message.body)
        if index >= count or count > MAX_PARTS:
            return None
        if message.version < self._version:
            return None
        if (message.version, count) != (self._version, self._count):
            self._version = message.version
            self._count = count
            self._part_by_index = {}
        self._part_by_index[index] = message.body[_PART.size :]
        if len(self._part_by_index) < count:
            return None
        parts = [self._part_by_index[at] for at in range(count)]
        self._part_by_index = {}
        return RouteCopy(self._version, b''.join(parts))

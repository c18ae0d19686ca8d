"""Agents that a balancer knows, for one that has just started."""

import struct
from collections.abc import Iterator

from .peer_messages import ADDRESS_BYTES, MAX_ROSTER

MAX_PARTS = 100
# Index of the part, number of parts.
_HEAD = struct.Struct('!BB')


class AgentListPart:
    """One part of the list of all agents that a balancer knows."""

    __slots__ = ('addresses', 'count', 'index')

    def __init__(self, index: int, count: int, addresses: list[bytes]) -> None:
        self.index = index
        self.count = count
        self.addresses = addresses

    def encode(self) -> bytes:
        """Return the body of an AGENTS."""
        return _HEAD.pack(self.index, self.count) + b''.join(self.addresses)


def split_agents(addresses: list[bytes]) -> Iterator[AgentListPart]:
    """Yield the parts of a list; one without addresses if it is empty."""
    listed = addresses[: MAX_PARTS * MAX_ROSTER]
    count = -(-len(listed) // MAX_ROSTER) or 1
    for index in range(count):
        start = index * MAX_ROSTER
        yield AgentListPart(index, count, listed[start : start + MAX_ROSTER])


def decode_agents(body: bytes) -> AgentListPart | None:
    """Return the part in the body of an AGENTS, None if it is malformed."""
    listed = body[_HEAD.size :]
    if len(body) < _HEAD.size or len(listed) % ADDRESS_BYTES:
        return None
    index, count = _HEAD.unpack_from(body)
    if not index < count <= MAX_PARTS:
        return None
    addresses = [
        listed[start : start + ADDRESS_BYTES]
        for start in range(0, len(listed), ADDRESS_BYTES)
    ]
    return AgentListPart(index, count, addresses)

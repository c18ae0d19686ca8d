"""Flow tokens, which name the owner of a flow in each of its datagrams.

Any balancer routes an established flow from its token alone. As with
the routable connection ids of QUIC load balancing, the caller sends
back a field that contains the owner.
"""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

from .packets import NO_TOKEN, TOKEN_BYTES, Address
from .tags import KeyRing

Send = Callable[[bytes], object]

_CLAIMS = struct.Struct('!4sHIIBB')
_FLOW = struct.Struct('!IQ')
CLAIMS_BYTES = _CLAIMS.size


@dataclass(slots=True, frozen=True)
class TokenClaims:
    """Content of a token: the agent that owns the flow.

    `issued_s` is in seconds of the agent's own clock, which other
    processes cannot compare with theirs.
    """

    address: Address
    incarnation: int
    issued_s: int


def issue_token(
    keys: KeyRing, service_id: int, flow_id: int, claims: TokenClaims
) -> bytes:
    """Return the 32 B token that binds the flow to its owner."""
    packed = _CLAIMS.pack(
        socket.inet_aton(claims.address[0]),
        claims.address[1],
        claims.incarnation,
        claims.issued_s,
        keys.signing_key_id,
        0,
    )
    return packed + keys.sign(_FLOW.pack(service_id, flow_id), packed)


def verify_token(
    keys: KeyRing, service_id: int, flow_id: int, token: bytes
) -> TokenClaims | None:
    """Return the claims of a token, None if it is not valid."""
    if len(token) != TOKEN_BYTES or token == NO_TOKEN:
        return None
    packed = token[:CLAIMS_BYTES]
    host, port, incarnation, issued_s, key_id, _ = _CLAIMS.unpack(packed)
    flow = _FLOW.pack(service_id, flow_id)
    if not keys.verify(key_id, token[CLAIMS_BYTES:], flow, packed):
        return None
    return TokenClaims(
        address=(socket.inet_ntoa(host), port),
        incarnation=incarnation,
        issued_s=issued_s,
    )


class VerifiedTokenCache:
    """Cache of at most `capacity` verified tokens and their targets.

    The key is the slice `FLOW_KEY_START` to `FLOW_KEY_END` of a service
    datagram: service id, flow id and the whole token, so that a hit
    proves as much as a verification. Its value is the function that
    sends to the target. A new entry evicts the oldest one; the token of
    an evicted flow is verified again.
    """

    __slots__ = ('_oldest', '_order', '_senders_by_key', 'capacity', 'find')

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._senders_by_key: dict[bytes, Send] = {}
        # Keys by age, used as a ring buffer once the cache is full. The
        # order of the dict is not used, because finding its first entry
        # slows down with the number of entries deleted before it.
        self._order: list[bytes] = []
        self._oldest = 0
        self.find: Callable[[bytes], Send | None] = self._senders_by_key.get

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._senders_by_key)

    def add(self, key: bytes, send: Send) -> None:
        """Add the target of a verified token, unless it is cached.

        Callers pass the same function for the same target.
        """
        if key in self._senders_by_key or not self.capacity:
            return
        if len(self._order) < self.capacity:
            self._order.append(key)
        else:
            del self._senders_by_key[self._order[self._oldest]]
            self._order[self._oldest] = key
            self._oldest = (self._oldest + 1) % self.capacity
        self._senders_by_key[key] = send

    def clear(self) -> None:
        """Remove all entries, for example after a change of keys."""
        self._senders_by_key.clear()
        self._order.clear()
        self._oldest = 0

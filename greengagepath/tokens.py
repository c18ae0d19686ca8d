"""Flow tokens: the owner of a flow, carried by each of its datagrams.

Any balancer routes an established flow from its token alone. Listing
the owner in a field that the caller returns follows the idea of
routable connection ids in QUIC load balancing.
"""

import socket
import struct
from dataclasses import dataclass

from .packets import NO_TOKEN, TOKEN_BYTES, Address
from .tags import KeyRing

_CLAIMS = struct.Struct('!4sHIIBB')
_FLOW = struct.Struct('!IQ')
CLAIMS_BYTES = _CLAIMS.size


@dataclass(slots=True, frozen=True)
class TokenClaims:
    """What a token says.

    `incarnation` is the agent's, `issued_s` is in seconds of the
    agent's own clock and means nothing to other processes.
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
    """Return the claims, or None for a token that is not valid."""
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

"""Opening of a flow, without I/O: OPEN until ACCEPT or REFUSE."""

from collections import deque

from ..generated.messages import Refusal
from ..protocol.codec import decode_body
from ..protocol.packets import (
    NO_TOKEN,
    TOKEN_BYTES,
    Kind,
    ServiceDatagram,
    SizeCode,
)
from .call_types import CallDrop, CallSetup, ServiceAddress
from .flows import Flow

# Replies must not be longer than OPEN: ACCEPT carries a token of 32 B in
# its body, REFUSE a `Refusal` of at most 80 B.
OPEN_BODY_BYTES = 80
_OPEN_BODY = bytes(OPEN_BODY_BYTES)
# The first id is sent twice, in case a datagram was lost. Each later
# OPEN has a new id, so that it hashes to other candidates.
_SENDS_OF_FIRST_ID = 2
MAX_FLOW_IDS = 8
FLOW_ID_BITS = 64
_JITTER = 0.2


class Opening:
    """Sends OPEN until a target accepts or refuses; sets `outcome`.

    OPEN carries no request, so that a second or late ACCEPT causes no
    work. The target whose ACCEPT arrives first owns the flow.
    """

    __slots__ = (
        '_due_s',
        '_flow_ids',
        '_sends',
        '_service',
        '_setup',
        '_size_code',
        '_timeout_s',
        'outcome',
    )

    def __init__(
        self,
        service: ServiceAddress,
        size_code: SizeCode,
        setup: CallSetup,
        now_s: float,
    ) -> None:
        self._service = service
        self._size_code = size_code
        self._setup = setup
        self._flow_ids: deque[int] = deque(maxlen=MAX_FLOW_IDS)
        self._flow_ids.append(setup.random.getrandbits(FLOW_ID_BITS))
        self._sends = 0
        self._timeout_s = setup.limits.open_timeout_s
        self._due_s = now_s
        self.outcome: Flow | Refusal | None = None

    def due_s(self) -> float:
        """Return when the next OPEN is to be sent."""
        return self._due_s

    def datagrams(self, now_s: float) -> list[bytes]:
        """Return the datagrams to send now."""
        if now_s < self._due_s:
            return []
        if self._sends >= _SENDS_OF_FIRST_ID:
            self._flow_ids.append(self._setup.random.getrandbits(FLOW_ID_BITS))
        self._sends += 1
        jitter = self._setup.random.uniform(1 - _JITTER, 1 + _JITTER)
        self._due_s = now_s + self._timeout_s * jitter
        self._timeout_s = min(
            self._timeout_s * 2, self._setup.limits.open_timeout_max_s
        )
        return [self._open_datagram()]

    def receive(self, datagram: ServiceDatagram, now_s: float) -> None:
        """Process a datagram from the network."""
        known = datagram.flow_id in self._flow_ids
        if not known or datagram.service_id != self._service.service_id:
            self._setup.drops[CallDrop.WRONG_FLOW] += 1
            return
        match datagram.kind:
            case Kind.ACCEPT:
                self._accept(datagram, now_s)
            case Kind.REFUSE:
                self._refuse(datagram)
            case _:
                self._setup.drops[CallDrop.UNEXPECTED_KIND] += 1

    def _open_datagram(self) -> bytes:
        return ServiceDatagram(
            kind=Kind.OPEN,
            service_id=self._service.service_id,
            flow_id=self._flow_ids[-1],
            size_code=self._size_code,
            body=_OPEN_BODY,
        ).encode()

    def _accept(self, datagram: ServiceDatagram, now_s: float) -> None:
        token = datagram.body
        if len(token) != TOKEN_BYTES or token == NO_TOKEN:
            self._setup.drops[CallDrop.MALFORMED] += 1
            return
        self.outcome = Flow(self._service, datagram.flow_id, token, now_s)

    def _refuse(self, datagram: ServiceDatagram) -> None:
        refusal = decode_body(datagram.body, Refusal)
        if refusal.is_err():
            self._setup.drops[CallDrop.MALFORMED] += 1
            return
        self.outcome = refusal.unwrap()

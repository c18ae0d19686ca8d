"""State of a flow at the caller, without I/O."""

from collections import OrderedDict

from ..protocol.acks import encode_final_ack
from ..protocol.packets import Kind, ServiceDatagram, SizeCode
from .call_types import ServiceAddress

# Latest requests of a flow whose late answer parts are acknowledged.
MAX_FINISHED_REQUESTS = 32


class Flow:
    """An accepted flow: its token and its request numbers.

    `last_received_s` is when the last datagram of the flow arrived, in
    seconds of the caller's clock. No request may be started on the flow
    unless `is_usable` is true.
    """

    __slots__ = (
        '_next_number',
        '_part_counts_by_number',
        'flow_id',
        'is_usable',
        'last_received_s',
        'service',
        'token',
    )

    def __init__(
        self,
        service: ServiceAddress,
        flow_id: int,
        token: bytes,
        now_s: float,
    ) -> None:
        self.service = service
        self.flow_id = flow_id
        self.token = token
        self.last_received_s = now_s
        self.is_usable = True
        self._next_number = 1
        self._part_counts_by_number: OrderedDict[int, int] = OrderedDict()

    def next_request_number(self) -> int:
        """Return the number of the next request."""
        number = self._next_number
        self._next_number += 1
        return number

    def matches(self, datagram: ServiceDatagram) -> bool:
        """Return whether the datagram belongs to this flow."""
        return (
            datagram.flow_id == self.flow_id
            and datagram.service_id == self.service.service_id
            and datagram.token == self.token
        )

    def datagram(
        self,
        kind: Kind,
        number: int,
        body: bytes = b'',
        size_code: SizeCode = SizeCode.UNKNOWN,
    ) -> bytes:
        """Return an encoded datagram of a kind that has no parts."""
        return ServiceDatagram(
            kind=kind,
            service_id=self.service.service_id,
            flow_id=self.flow_id,
            token=self.token,
            request_number=number,
            size_code=size_code,
            body=body,
        ).encode()

    def record_answer(self, number: int, part_count: int) -> None:
        """Record a complete answer, so that late parts are acknowledged."""
        self._part_counts_by_number[number] = part_count
        while len(self._part_counts_by_number) > MAX_FINISHED_REQUESTS:
            self._part_counts_by_number.popitem(last=False)

    def reply_to_late_part(self, datagram: ServiceDatagram) -> bytes | None:
        """Return the ACK for a part of a complete answer, or None.

        Without it, a target that missed the last ACK would resend the
        answer until the transfer times out.
        """
        part_count = self._part_counts_by_number.get(datagram.request_number)
        if part_count is None or datagram.kind is not Kind.ANSWER:
            return None
        if not self.matches(datagram):
            return None
        return self.datagram(
            Kind.ANSWER_ACK,
            datagram.request_number,
            encode_final_ack(part_count),
        )

"""Transfers of answers from an agent to its callers."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from ..foundation.timers import TimerService
from ..protocol.acks import Ack
from ..protocol.packets import Kind, ServiceDatagram
from ..protocol.transfer import PartSender
from .replies import Route
from .request_records import Attempt, RequestRecord


@dataclass(slots=True)
class AnswerTransfer:
    """An answer of which the caller has not acknowledged all parts.

    `is_ready` tells whether the transfer waits in the queue of ready
    transfers.
    """

    record: RequestRecord
    sender: PartSender
    service_id: int
    route: Route
    is_ready: bool = False

    @property
    def attempt(self) -> Attempt:
        """The attempt that this answer belongs to."""
        return self.record.attempt

    def datagram(self, part: int) -> ServiceDatagram:
        """Return the datagram with the part of this index."""
        return ServiceDatagram(
            kind=Kind.ANSWER,
            service_id=self.service_id,
            flow_id=self.attempt.flow_id,
            token=self.route.token,
            request_number=self.attempt.request_number,
            part=part,
            part_count=self.sender.part_count,
            body=self.sender.body(part),
        )


class AnswerTransfers:
    """Sends the parts of all answers in round-robin order.

    Parts have the same size, so round-robin order shares the sending
    rate evenly and a long answer does not delay a short one.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._transfers_by_attempt: dict[Attempt, AnswerTransfer] = {}
        self._ready: deque[AnswerTransfer] = deque()

    def __len__(self) -> int:
        """Return the number of unfinished transfers."""
        return len(self._transfers_by_attempt)

    def start(self, transfer: AnswerTransfer) -> None:
        """Start a transfer, unless the attempt already has one."""
        if transfer.attempt not in self._transfers_by_attempt:
            self._transfers_by_attempt[transfer.attempt] = transfer
            self._make_ready(transfer)

    def find(self, attempt: Attempt) -> AnswerTransfer | None:
        """Return the unfinished transfer of an attempt, or None."""
        return self._transfers_by_attempt.get(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Stop the transfer of an attempt, if there is one."""
        self._transfers_by_attempt.pop(attempt, None)

    def acknowledge(self, attempt: Attempt, ack: Ack) -> AnswerTransfer | None:
        """Process an ACK; return the transfer if it is now complete."""
        transfer = self._transfers_by_attempt.get(attempt)
        if transfer is None:
            return None
        transfer.sender.acknowledge(ack, self._timers.now())
        if transfer.sender.is_complete:
            self.stop(attempt)
            return transfer
        self._make_ready(transfer)
        return None

    def next_parts(
        self, max_count: int
    ) -> Iterator[tuple[AnswerTransfer, ServiceDatagram]]:
        """Yield at most `max_count` parts that may be sent now."""
        now_s = self._timers.now()
        while self._ready and max_count > 0:
            transfer = self._ready.popleft()
            transfer.is_ready = False
            if self.find(transfer.attempt) is not transfer:
                continue
            part = transfer.sender.next_part(now_s)
            if part is not None:
                max_count -= 1
                self._make_ready(transfer)
                yield transfer, transfer.datagram(part)

    def check_due(self) -> list[AnswerTransfer]:
        """Queue timed-out parts again; return transfers that failed."""
        now_s = self._timers.now()
        failed = []
        for transfer in tuple(self._transfers_by_attempt.values()):
            if transfer.sender.has_failed(now_s):
                self.stop(transfer.attempt)
                failed.append(transfer)
            elif transfer.sender.check_timeout(now_s):
                self._make_ready(transfer)
        return failed

    def _make_ready(self, transfer: AnswerTransfer) -> None:
        if not transfer.is_ready:
            transfer.is_ready = True
            self._ready.append(transfer)

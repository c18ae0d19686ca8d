"""Answers that an agent is sending to callers."""

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
    """One answer on its way."""

    record: RequestRecord
    sender: PartSender
    service_id: int
    route: Route
    is_ready: bool = False

    @property
    def attempt(self) -> Attempt:
        """The attempt that is answered."""
        return self.record.attempt

    def datagram(self, part: int) -> ServiceDatagram:
        """Return one part of the answer."""
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
    """Sends parts of all answers in turn, one part each.

    Parts are of equal size, so that taking turns shares the sending
    rate evenly and a long answer does not hold up a short one.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._transfers_by_attempt: dict[Attempt, AnswerTransfer] = {}
        self._ready: deque[AnswerTransfer] = deque()

    def __len__(self) -> int:
        """Return the number of answers on their way."""
        return len(self._transfers_by_attempt)

    def start(self, transfer: AnswerTransfer) -> None:
        """Send an answer, unless it is already being sent."""
        if transfer.attempt not in self._transfers_by_attempt:
            self._transfers_by_attempt[transfer.attempt] = transfer
            self._make_ready(transfer)

    def find(self, attempt: Attempt) -> AnswerTransfer | None:
        """Return the transfer of an attempt."""
        return self._transfers_by_attempt.get(attempt)

    def stop(self, attempt: Attempt) -> None:
        """Send nothing more of an answer."""
        self._transfers_by_attempt.pop(attempt, None)

    def acknowledge(self, attempt: Attempt, ack: Ack) -> AnswerTransfer | None:
        """Take an ACK; return the transfer if that completed it."""
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
        """Return at most `max_count` parts to send now."""
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
        """Retransmit what timed out; return transfers that failed."""
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

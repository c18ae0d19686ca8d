"""Bounded store of the states of requests at an agent."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, unique
from typing import NamedTuple

from ..generated.messages import Refusal
from .flow_table import FlowTable


class Attempt(NamedTuple):
    """A request sent in one flow, identified by its number there."""

    flow_id: int
    request_number: int


@unique
class RequestState(Enum):
    """State of an attempt at the agent."""

    IN_PROGRESS = 'in_progress'
    # The answer is kept until the caller has acknowledged it or its space
    # is needed.
    ANSWERED = 'answered'
    DELIVERED = 'delivered'
    # Never handed to the back end, or not run by it.
    REFUSED = 'refused'
    # Sent to the back end; there is no answer, or it is no longer kept.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class RequestRecord:
    """State of one attempt.

    A settled record may be evicted to make room for a new one.
    """

    attempt: Attempt
    request_id: bytes
    state: RequestState = RequestState.IN_PROGRESS
    answer: bytes | None = None
    refusal: Refusal | None = None
    is_settled: bool = False


class RecordStore:
    """At most `max_records` records, by attempt and by request id.

    A full store evicts settled records, in the order in which they were
    settled. `answer_bytes` is the size of all kept answers.
    """

    def __init__(self, flows: FlowTable, max_records: int) -> None:
        self.max_records = max_records
        self.answer_bytes = 0
        self._flows = flows
        self._records_by_attempt: dict[Attempt, RequestRecord] = {}
        self._records_by_id: dict[bytes, RequestRecord] = {}
        self._settled: OrderedDict[Attempt, RequestRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records_by_attempt)

    def find(self, attempt: Attempt) -> RequestRecord | None:
        """Return the record of an attempt, or None."""
        return self._records_by_attempt.get(attempt)

    def find_by_id(self, request_id: bytes) -> RequestRecord | None:
        """Return the record of the latest attempt of a request, or None."""
        return self._records_by_id.get(request_id)

    def add(self, record: RequestRecord) -> bool:
        """Store a new record; return False if there is no room."""
        if len(self) >= self.max_records:
            if not self._settled:
                return False
            self._remove(next(iter(self._settled.values())))
        self._records_by_attempt[record.attempt] = record
        if record.request_id:
            self._records_by_id[record.request_id] = record
        self._count_open(record, 1)
        return True

    def settle(self, record: RequestRecord) -> None:
        """Allow the eviction of the record."""
        if not record.is_settled:
            record.is_settled = True
            self._settled[record.attempt] = record
            self._count_open(record, -1)

    def reopen(self, record: RequestRecord) -> None:
        """Prevent the eviction of the record again."""
        if record.is_settled:
            record.is_settled = False
            self._settled.pop(record.attempt)
            self._count_open(record, 1)

    def keep_answer(self, record: RequestRecord, payload: bytes) -> None:
        """Store the answer in its record."""
        record.answer = payload
        self.answer_bytes += len(payload)

    def drop_answer(self, record: RequestRecord) -> None:
        """Free the answer, if there is one; the outcome is then UNKNOWN."""
        if record.answer is not None:
            self.answer_bytes -= len(record.answer)
            record.answer = None
            record.state = RequestState.UNKNOWN

    def drop_settled_answers(self, max_bytes: int) -> None:
        """Free answers of settled records down to `max_bytes` in total."""
        for record in self._settled.values():
            if self.answer_bytes <= max_bytes:
                return
            self.drop_answer(record)

    def expire(self) -> None:
        """Remove settled records of flows that have no entry any more."""
        for attempt, record in tuple(self._settled.items()):
            if self._flows.find(attempt.flow_id) is None:
                self._remove(record)

    def _count_open(self, record: RequestRecord, change: int) -> None:
        entry = self._flows.find(record.attempt.flow_id)
        if entry is not None:
            entry.open_requests += change

    def _remove(self, record: RequestRecord) -> None:
        self.drop_answer(record)
        self._settled.pop(record.attempt)
        self._records_by_attempt.pop(record.attempt)
        if self._records_by_id.get(record.request_id) is record:
            self._records_by_id.pop(record.request_id)

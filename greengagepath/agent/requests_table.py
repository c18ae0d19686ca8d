"""Decides for each attempt of a request whether it may run.

The window of a flow tracks which attempts were begun even after their
records have been evicted. Such an attempt never runs again; its outcome
is reported as unknown.
"""

from enum import Enum, unique

from ..generated.messages import Refusal
from .flow_table import FlowTable
from .request_records import (
    Attempt,
    RecordStore,
    RequestRecord,
    RequestState,
)


@unique
class BeginOutcome(Enum):
    """Whether an attempt may run."""

    NEW = 'new'
    # It was begun before and has a record with its state.
    KNOWN = 'known'
    # It may have run, and there is no record of its outcome.
    UNKNOWN = 'unknown'
    # The table has no room for a record, so it must not run.
    FULL = 'full'


class RequestTable:
    """Allows one run for each attempt and each non-idempotent request.

    `max_answer_bytes` limits the kept answers: those that callers no
    longer fetch are dropped first, and while `has_answer_room` returns
    False the owner must not start another request.
    """

    def __init__(
        self, flows: FlowTable, max_records: int, max_answer_bytes: int
    ) -> None:
        self.records = RecordStore(flows, max_records)
        self.max_answer_bytes = max_answer_bytes
        self._flows = flows

    def find(self, attempt: Attempt) -> RequestRecord | None:
        """Return the record of an attempt, or None."""
        return self.records.find(attempt)

    def classify(self, attempt: Attempt) -> BeginOutcome:
        """Return whether an attempt is NEW, KNOWN or UNKNOWN.

        Attempts of the same request in other flows are not considered.
        """
        if self.records.find(attempt) is not None:
            return BeginOutcome.KNOWN
        entry = self._flows.find(attempt.flow_id)
        if entry is None or entry.window.may_have_begun(attempt.request_number):
            return BeginOutcome.UNKNOWN
        return BeginOutcome.NEW

    def begin(
        self, attempt: Attempt, request_id: bytes, *, idempotent: bool = False
    ) -> BeginOutcome:
        """Record an attempt; it may run only if the result is NEW.

        Raises LookupError if the flow is not in the flow table.
        A request that was refused or is idempotent may run again in a
        new attempt. Otherwise, if an earlier attempt may have run, the
        outcome of this one is unknown, because the answer belongs to
        the flow of the earlier attempt.
        """
        known = self.classify(attempt)
        if known is not BeginOutcome.NEW:
            return known
        self._mark_begun(attempt)
        earlier = self.records.find_by_id(request_id)
        may_have_run = (
            earlier is not None and earlier.state is not RequestState.REFUSED
        )
        if may_have_run and not idempotent:
            return BeginOutcome.UNKNOWN
        if self.records.add(RequestRecord(attempt, request_id)):
            return BeginOutcome.NEW
        return BeginOutcome.FULL

    def answer(self, record: RequestRecord, payload: bytes) -> None:
        """Record the answer to an attempt."""
        record.state = RequestState.ANSWERED
        self.records.keep_answer(record, payload)
        self.records.drop_settled_answers(self.max_answer_bytes)

    def refuse(self, record: RequestRecord, refusal: Refusal) -> None:
        """Record that the attempt was not run."""
        record.state = RequestState.REFUSED
        record.refusal = refusal
        self.records.settle(record)

    def refuse_undecoded(self, attempt: Attempt, refusal: Refusal) -> None:
        """Record the refusal of an attempt without a decoded request.

        Raises LookupError if the flow is not in the flow table.
        """
        self._mark_begun(attempt)
        record = RequestRecord(attempt, request_id=b'')
        if self.records.add(record):
            self.refuse(record, refusal)

    def mark_unknown(self, record: RequestRecord) -> None:
        """Record that the outcome is unknown."""
        record.state = RequestState.UNKNOWN
        self.records.settle(record)

    def acknowledge(self, record: RequestRecord) -> None:
        """Free an answer that the caller has received or cancelled."""
        self.records.drop_answer(record)
        record.state = RequestState.DELIVERED
        self.records.settle(record)

    def has_answer_room(self) -> bool:
        """Return whether the kept answers are below their limit."""
        return self.records.answer_bytes < self.max_answer_bytes

    def _mark_begun(self, attempt: Attempt) -> None:
        entry = self._flows.find(attempt.flow_id)
        if entry is None:
            raise LookupError(
                f'flow {attempt.flow_id:016x} is not in the flow table'
            )
        entry.window.accept(attempt.request_number)

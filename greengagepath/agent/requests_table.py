"""Decides for each attempt of a request whether it may run.

The window of a flow knows which attempts were begun even after their
records have gone; such an attempt never runs again, and its outcome is
reported as unknown.
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
    """What to do with an attempt."""

    NEW = 'new'
    # A record says what became of it.
    KNOWN = 'known'
    # It may have run, and no record says how it ended.
    UNKNOWN = 'unknown'
    # The table has no room; it is not run.
    FULL = 'full'


class RequestTable:
    """At most one run for each attempt and each non-idempotent request.

    Kept answers are bounded by `max_answer_bytes`: answers that callers
    no longer fetch are dropped first, and while `has_answer_room` is
    False the owner starts no further request.
    """

    def __init__(
        self, flows: FlowTable, max_records: int, max_answer_bytes: int
    ) -> None:
        self.records = RecordStore(flows, max_records)
        self.max_answer_bytes = max_answer_bytes
        self._flows = flows

    def find(self, attempt: Attempt) -> RequestRecord | None:
        """Return the record of an attempt."""
        return self.records.find(attempt)

    def classify(self, attempt: Attempt) -> BeginOutcome:
        """Return NEW, KNOWN or UNKNOWN as far as the attempt tells."""
        if self.records.find(attempt) is not None:
            return BeginOutcome.KNOWN
        entry = self._flows.find(attempt.flow_id)
        if entry is None or entry.window.may_have_begun(attempt.request_number):
            return BeginOutcome.UNKNOWN
        return BeginOutcome.NEW

    def begin(
        self, attempt: Attempt, request_id: bytes, *, idempotent: bool = False
    ) -> BeginOutcome:
        """Record an attempt; only NEW may be run.

        The flow must be in the flow table, else LookupError is raised.
        A request that was refused, or is idempotent, may be run by a
        new attempt. Otherwise, if an earlier attempt has run or runs,
        the outcome of this one is unknown, because the answer belongs
        to the flow that asked first.
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
        """Keep the answer of an attempt."""
        record.state = RequestState.ANSWERED
        self.records.keep_answer(record, payload)
        self.records.drop_settled_answers(self.max_answer_bytes)

    def refuse(self, record: RequestRecord, refusal: Refusal) -> None:
        """Record that the attempt was not run."""
        record.state = RequestState.REFUSED
        record.refusal = refusal
        self.records.settle(record)

    def refuse_incomplete(self, attempt: Attempt, refusal: Refusal) -> None:
        """Refuse an attempt whose request has not arrived as a whole.

        The flow must be in the flow table, else LookupError is raised.
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
        """Free an answer that has arrived at the caller as a whole."""
        self.records.drop_answer(record)
        record.state = RequestState.DELIVERED
        self.records.settle(record)

    def has_answer_room(self) -> bool:
        """Return whether another answer may be produced."""
        return self.records.answer_bytes < self.max_answer_bytes

    def _mark_begun(self, attempt: Attempt) -> None:
        entry = self._flows.find(attempt.flow_id)
        if entry is None:
            raise LookupError(f'flow {attempt.flow_id:016x} has no entry')
        entry.window.accept(attempt.request_number)

"""Derives a configuration from the answers to the questionnaire."""

import math
import zlib
from collections.abc import Iterable

from ..generated.messages import (
    Customer,
    Limits,
    Objective,
    Operation,
    Service,
    SizeClass,
)
from ..generated.questionnaire import (
    Answers,
    CustomerAnswers,
    OperationAnswers,
    ServiceAnswers,
)

# Work of a second or more, or with an answer of 1 MB or more, would
# noticeably delay short work that waits behind it.
LONG_WORK_MS = 1000
LONG_ANSWER_KB = 1024
BYTES_PER_KB = 1024
MS_PER_S = 1000
PERCENT = 100
# Hides rounding errors of binary fractions in the generated file.
SHARE_DIGITS = 9
# Sizes in the answers are estimates, so limits are twice as large.
SIZE_MARGIN = 2
MIN_MESSAGE_BYTES = 65536
MAX_REQUEST_BYTES = 16777216
MAX_ANSWER_BYTES = 268435456
MAX_QUEUE_LENGTH = 1024
# A target may receive a few times its even share while others restart.
RECORD_MARGIN = 4
MIN_REQUEST_RECORDS = 1000
MAX_REQUEST_RECORDS = 10000000
MIN_DRAIN_S = 5


def derive_services(answers: Answers) -> list[Service]:
    """Return the services derived from answers that passed the checks."""
    customers = [_derive_customer(entry) for entry in answers.customers]
    return [_derive_service(entry, customers) for entry in answers.services]


def _derive_customer(answered: CustomerAnswers) -> Customer:
    return Customer(
        name=answered.name,
        customer_id=_derive_id(answered.name),
        share=answered.share,
    )


def _derive_service(
    answered: ServiceAnswers, customers: list[Customer]
) -> Service:
    return Service(
        name=answered.name,
        service_id=_derive_id(answered.name),
        host=answered.host,
        port=answered.port,
        operations=[_derive_operation(entry) for entry in answered.operations],
        customers=customers,
        objectives=[_derive_objective(entry) for entry in answered.operations],
        limits=_derive_limits(answered),
    )


def _derive_id(name: str) -> int:
    # Derived from the name, because a position would change when another
    # entry is added before it, and flows would reach another service.
    return zlib.crc32(name.encode()) or 1


def _derive_operation(answered: OperationAnswers) -> Operation:
    size_class = SizeClass.long if is_long(answered) else SizeClass.short
    return Operation(
        name=answered.name,
        method=str(answered.method),
        path_prefix=answered.path_prefix,
        idempotent=answered.idempotent,
        size_class=size_class,
        deadline_ms=answered.deadline_ms,
    )


def _derive_objective(answered: OperationAnswers) -> Objective:
    return Objective(
        operation=answered.name,
        target_share=round(answered.objective_percent / PERCENT, SHARE_DIGITS),
        threshold_ms=answered.objective_ms or answered.deadline_ms,
    )


def _derive_limits(answered: ServiceAnswers) -> Limits:
    operations = answered.operations
    return Limits(
        slots=answered.slots_per_target,
        queue_length=_derive_queue_length(answered),
        max_flows=answered.connections_per_target,
        max_request_bytes=_derive_bytes(
            (entry.request_kb for entry in operations), MAX_REQUEST_BYTES
        ),
        max_answer_bytes=_derive_bytes(
            (entry.answer_kb for entry in operations), MAX_ANSWER_BYTES
        ),
        request_records=_derive_records(answered),
        drain_s=max(_find_longest_deadline_s(operations), MIN_DRAIN_S),
    )


def is_long(operation: OperationAnswers) -> bool:
    """Return whether the operation would noticeably delay short work."""
    return (
        operation.typical_ms >= LONG_WORK_MS
        or operation.answer_kb >= LONG_ANSWER_KB
    )


def _derive_queue_length(answered: ServiceAnswers) -> int:
    rounds = max(
        entry.deadline_ms / entry.typical_ms for entry in answered.operations
    )
    length = math.ceil(rounds * answered.slots_per_target)
    return min(length, MAX_QUEUE_LENGTH)


def _derive_bytes(sizes_kb: Iterable[int], limit_bytes: int) -> int:
    largest_bytes = max(sizes_kb) * BYTES_PER_KB * SIZE_MARGIN
    return min(max(largest_bytes, MIN_MESSAGE_BYTES), limit_bytes)


def _derive_records(answered: ServiceAnswers) -> int:
    per_s = sum(entry.usual_per_s for entry in answered.operations)
    kept_s = _find_longest_deadline_s(answered.operations) * 2
    records = math.ceil(per_s / answered.targets * kept_s * RECORD_MARGIN)
    return min(max(records, MIN_REQUEST_RECORDS), MAX_REQUEST_RECORDS)


def _find_longest_deadline_s(operations: Iterable[OperationAnswers]) -> float:
    return max(entry.deadline_ms for entry in operations) / MS_PER_S

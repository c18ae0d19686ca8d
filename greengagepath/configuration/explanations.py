"""Notes that explain how each derived value was computed."""

from collections.abc import Iterator

from ..generated.questionnaire import (
    Answers,
    OperationAnswers,
    ServiceAnswers,
)
from .derivation import (
    LONG_ANSWER_KB,
    LONG_WORK_MS,
    MIN_DRAIN_S,
    MIN_REQUEST_RECORDS,
    RECORD_MARGIN,
    SIZE_MARGIN,
    is_long,
)

_LIMIT_NOTES = (
    (
        'queue_length',
        (
            'requests that the slots can finish by their deadline:'
            ' slots_per_target times the largest deadline_ms / typical_ms'
        ),
    ),
    ('max_flows', 'answer connections_per_target'),
    (
        'max_request_bytes',
        f'{SIZE_MARGIN} times the largest request_kb, at least 64 KB',
    ),
    (
        'max_answer_bytes',
        f'{SIZE_MARGIN} times the largest answer_kb, at least 64 KB',
    ),
    (
        'request_records',
        (
            'usual_per_s of one target over twice the longest deadline,'
            f' times {RECORD_MARGIN}, at least {MIN_REQUEST_RECORDS}'
        ),
    ),
    ('retry_share', 'default: a tenth of the requests may be retried'),
    ('drain_s', f'the longest deadline, at least {MIN_DRAIN_S} s'),
)


def explain_derived_values(answers: Answers) -> dict[str, str]:
    """Return a note for each derived value, by key path."""
    notes: dict[str, str] = {}
    for position, answered in enumerate(answers.services):
        notes.update(_explain_service(answered, f'services[{position}]'))
    return notes


def _explain_service(
    answered: ServiceAnswers, key: str
) -> Iterator[tuple[str, str]]:
    yield f'{key}.service_id', f'checksum of the name {answered.name}'
    for name, note in _LIMIT_NOTES:
        yield f'{key}.limits.{name}', note
    for position, operation in enumerate(answered.operations):
        yield from _explain_operation(operation, key, position)


def _explain_operation(
    answered: OperationAnswers, key: str, position: int
) -> Iterator[tuple[str, str]]:
    bounds = f'{LONG_WORK_MS} ms or {LONG_ANSWER_KB} KB'
    reason = f'{answered.typical_ms} ms and {answered.answer_kb} KB'
    verdict = 'reaches' if is_long(answered) else 'is below'
    yield (
        f'{key}.operations[{position}].size_class',
        f'{reason} {verdict} {bounds}',
    )
    if not answered.objective_ms:
        yield (
            f'{key}.objectives[{position}].threshold_ms',
            'the deadline, because objective_ms is not set',
        )

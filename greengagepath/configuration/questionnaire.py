"""Reads the answers to the questionnaire and checks them."""

import math
from collections.abc import Iterator
from pathlib import Path

from result import Result

from ..foundation.settings import is_ipv4
from ..foundation.type_checks import Finding
from ..foundation.validation import SettingProblem, check_document, read_toml
from ..generated.questionnaire import (
    Answers,
    OperationAnswers,
    ServiceAnswers,
)
from .checks import MIN_SLOTS_FOR_LONG_WORK, check_path_prefix, find_duplicates
from .derivation import MS_PER_S, is_long

SAFE_METHODS = ('GET', 'HEAD')


def load_answers(path: Path) -> Result[Answers, list[SettingProblem]]:
    """Return the answers, or all problems with the keys of the questions."""
    return read_toml(path).and_then(
        lambda document: check_document(
            document, Answers, find_contradictory_answers
        )
    )


def find_contradictory_answers(answers: Answers) -> Iterator[Finding]:
    """Yield answers that contradict each other, by key path."""
    yield from find_duplicates(
        'customers', 'name', [entry.name for entry in answers.customers]
    )
    yield from find_duplicates(
        'services', 'name', [entry.name for entry in answers.services]
    )
    addresses = [f'{entry.host}:{entry.port}' for entry in answers.services]
    yield from find_duplicates('services', 'port', addresses)
    for position, service in enumerate(answers.services):
        yield from _check_service(service, f'services[{position}]')


def _check_service(service: ServiceAnswers, key: str) -> Iterator[Finding]:
    if not is_ipv4(service.host):
        yield f'{key}.host', service.host, 'an IPv4 address'
    names = [entry.name for entry in service.operations]
    yield from find_duplicates(f'{key}.operations', 'name', names)
    routes = [
        f'{entry.method} {entry.path_prefix}' for entry in service.operations
    ]
    yield from find_duplicates(f'{key}.operations', 'path_prefix', routes)
    for position, operation in enumerate(service.operations):
        yield from _check_operation(operation, f'{key}.operations[{position}]')
    yield from _check_capacity(service, key)


def _check_operation(
    operation: OperationAnswers, key: str
) -> Iterator[Finding]:
    yield from check_path_prefix(operation.path_prefix, key)
    if operation.method in SAFE_METHODS and not operation.idempotent:
        allowed = f'true, because {operation.method} must not change anything'
        yield f'{key}.idempotent', operation.idempotent, allowed
    if operation.deadline_ms < operation.typical_ms:
        allowed = f'at least typical_ms = {operation.typical_ms}'
        yield f'{key}.deadline_ms', operation.deadline_ms, allowed
    if operation.objective_ms > operation.deadline_ms:
        allowed = f'at most deadline_ms = {operation.deadline_ms}'
        yield f'{key}.objective_ms', operation.objective_ms, allowed
    if 0 < operation.objective_ms < operation.typical_ms:
        allowed = f'at least typical_ms = {operation.typical_ms}'
        yield f'{key}.objective_ms', operation.objective_ms, allowed


def _check_capacity(service: ServiceAnswers, key: str) -> Iterator[Finding]:
    has_long = any(is_long(entry) for entry in service.operations)
    if has_long and service.slots_per_target < MIN_SLOTS_FOR_LONG_WORK:
        allowed = f'at least {MIN_SLOTS_FOR_LONG_WORK} with long operations'
        yield f'{key}.slots_per_target', service.slots_per_target, allowed
    busy_slots = sum(
        entry.usual_per_s * entry.typical_ms / MS_PER_S
        for entry in service.operations
    )
    needed = math.ceil(busy_slots / service.slots_per_target)
    if needed > service.targets:
        allowed = f'at least {needed} for the usual_per_s of its operations'
        yield f'{key}.targets', service.targets, allowed

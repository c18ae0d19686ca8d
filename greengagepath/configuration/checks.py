"""Checks of a configuration beyond the types of its fields."""

from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

from ..foundation.settings import is_ipv4
from ..foundation.type_checks import Finding
from ..generated.messages import Objective, Operation, Service, SizeClass

# Largest object that the platform's object API accepts.
MAX_OBJECT_BYTES = 1_000_000
# One slot is kept free of long work, so long work needs a second one.
MIN_SLOTS_FOR_LONG_WORK = 2


def find_contradictions(services: list[Service]) -> Iterator[Finding]:
    """Yield every contradiction as key path, value and allowed values."""
    yield from find_duplicates(
        'services', 'name', [entry.name for entry in services]
    )
    yield from find_duplicates(
        'services', 'service_id', [entry.service_id for entry in services]
    )
    yield from _find_duplicate_addresses(services)
    for position, service in enumerate(services):
        yield from _check_service(service, f'services[{position}]')
    size_bytes = len(msgspec.json.encode(services))
    if size_bytes > MAX_OBJECT_BYTES:
        yield 'services', f'{size_bytes} B', f'at most {MAX_OBJECT_BYTES} B'


def find_duplicates(
    table: str, field: str, found: Iterable[str | int]
) -> Iterator[Finding]:
    """Yield each value that repeats one of an earlier entry."""
    counts: Counter[str | int] = Counter()
    for position, entry in enumerate(found):
        counts[entry] += 1
        if counts[entry] > 1:
            key = f'{table}[{position}].{field}'
            yield key, entry, f'a {field} that no other entry has'


def _find_duplicate_addresses(services: list[Service]) -> Iterator[Finding]:
    addresses = [f'{entry.host}:{entry.port}' for entry in services]
    for key, found, _ in find_duplicates('services', 'port', addresses):
        yield key, found, 'a host and port that no other service has'


def _check_service(service: Service, key: str) -> Iterator[Finding]:
    if not is_ipv4(service.host):
        yield f'{key}.host', service.host, 'an IPv4 address'
    names = [entry.name for entry in service.operations]
    yield from find_duplicates(f'{key}.operations', 'name', names)
    yield from _check_customers(service, f'{key}.customers')
    yield from _check_operations(service, f'{key}.operations')
    yield from _check_objectives(service, f'{key}.objectives')
    if service.drained_targets:
        allowed = 'no entry here; use `greengagepath drain` and `undrain`'
        yield f'{key}.drained_targets', service.drained_targets, allowed


def _check_customers(service: Service, key: str) -> Iterator[Finding]:
    names = [entry.name for entry in service.customers]
    numbers = [entry.customer_id for entry in service.customers]
    yield from find_duplicates(key, 'name', names)
    yield from find_duplicates(key, 'customer_id', numbers)


def _check_operations(service: Service, key: str) -> Iterator[Finding]:
    for position, operation in enumerate(service.operations):
        entry_key = f'{key}[{position}]'
        yield from check_path_prefix(operation.path_prefix, entry_key)
        if _lacks_slots(operation, service):
            allowed = f'not long with limits.slots = {service.limits.slots}'
            yield f'{entry_key}.size_class', 'long', allowed


def check_path_prefix(path_prefix: str, key: str) -> Iterator[Finding]:
    """Yield a finding if no request path can start with the prefix."""
    if not path_prefix.startswith('/'):
        yield f'{key}.path_prefix', path_prefix, 'a path that starts with /'


def _lacks_slots(operation: Operation, service: Service) -> bool:
    return (
        operation.size_class == SizeClass.long
        and service.limits.slots < MIN_SLOTS_FOR_LONG_WORK
    )


def _check_objectives(service: Service, key: str) -> Iterator[Finding]:
    operations_by_name = {entry.name: entry for entry in service.operations}
    for position, objective in enumerate(service.objectives):
        operation = operations_by_name.get(objective.operation)
        entry_key = f'{key}[{position}]'
        if operation is None:
            allowed = f'one of {", ".join(operations_by_name)}'
            yield f'{entry_key}.operation', objective.operation, allowed
        else:
            yield from _check_threshold(objective, operation, entry_key)


def _check_threshold(
    objective: Objective, operation: Operation, key: str
) -> Iterator[Finding]:
    if objective.threshold_ms > operation.deadline_ms:
        allowed = f'at most the deadline of {operation.deadline_ms} ms'
        yield f'{key}.threshold_ms', objective.threshold_ms, allowed

"""Differences between two configurations, field by field."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from ..generated.messages import Service

ABSENT = '(absent)'
# Fields that name an entry of a list, in the order of preference.
_NAMING_FIELDS = ('name', 'operation')


@dataclass(slots=True, frozen=True)
class FieldChange:
    """One field that differs; `ABSENT` stands for a missing value."""

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        return f'{self.path}: {self.before} -> {self.after}'


def diff_services(
    before: Iterable[Service], after: Iterable[Service]
) -> list[FieldChange]:
    """Return the changed fields, ordered by path.

    Entries of lists are matched by name, so a change of order alone is
    not a difference.
    """
    old = _flatten_services(before)
    new = _flatten_services(after)
    return [
        FieldChange(path, old.get(path, ABSENT), new.get(path, ABSENT))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flatten_services(services: Iterable[Service]) -> dict[str, str]:
    flat: dict[str, str] = {}
    for service in services:
        fields = msgspec.to_builtins(service)
        flat.update(_flatten(fields, f'services.{service.name}'))
    return flat


def _flatten(found: Any, path: str) -> Iterator[tuple[str, str]]:
    match found:
        case dict():
            for name, entry in found.items():
                yield from _flatten(entry, f'{path}.{name}')
        case [dict(), *_]:
            for entry in found:
                yield from _flatten(entry, f'{path}.{_name_entry(entry)}')
        case list():
            if found:
                yield path, ', '.join(sorted(found))
        case _:
            yield path, str(found)


def _name_entry(entry: dict[str, Any]) -> str:
    return next(entry[field] for field in _NAMING_FIELDS if field in entry)

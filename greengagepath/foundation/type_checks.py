"""Checks decoded TOML against the types of a generated class."""

from collections.abc import Iterator
from typing import Any

from msgspec import inspect

from .type_words import describe_type, without_none

MISSING = object()
# Key path, value in the file and description of the allowed values.
Finding = tuple[str, object, str]
Findings = Iterator[Finding]


def join_key(prefix: str, name: str) -> str:
    """Return the path of the key `name` in the table `prefix`."""
    return f'{prefix}.{name}' if prefix else name


def check_value(found: object, schema: inspect.Type, key: str) -> Findings:
    """Yield key path, value and allowed values of each problem."""
    match schema:
        case inspect.Metadata():
            yield from check_value(found, schema.type, key)
        case inspect.UnionType():
            yield from check_value(found, without_none(schema), key)
        case inspect.StructType() if isinstance(found, dict):
            yield from _check_struct(found, schema, key)
        case inspect.ListType() if isinstance(found, list):
            yield from _check_list(found, schema, key)
        case _:
            if not _is_allowed(found, schema):
                yield key, found, describe_type(schema)


def _check_struct(
    found: dict[str, Any], schema: inspect.StructType, key: str
) -> Findings:
    names = [field.encode_name for field in schema.fields]
    for name in found.keys() - set(names):
        allowed = f'one of the keys {", ".join(names)}'
        yield join_key(key, name), found[name], allowed
    for field in schema.fields:
        field_key = join_key(key, field.encode_name)
        entry = found.get(field.encode_name, MISSING)
        if entry is not MISSING:
            yield from check_value(entry, field.type, field_key)
        elif field.required:
            yield field_key, MISSING, describe_type(field.type)


def _check_list(
    found: list[Any], schema: inspect.ListType, key: str
) -> Findings:
    if not _has_length(found, schema):
        yield key, found, describe_type(schema)
    for position, entry in enumerate(found):
        yield from check_value(entry, schema.item_type, f'{key}[{position}]')


def _is_allowed(found: object, schema: inspect.Type) -> bool:
    match schema:
        case inspect.BoolType():
            return isinstance(found, bool)
        case inspect.IntType():
            return _is_number(found, int) and _in_range(found, schema)
        case inspect.FloatType():
            return _is_number(found, int, float) and _in_range(found, schema)
        case inspect.StrType():
            return isinstance(found, str) and _has_length(found, schema)
        case inspect.EnumType():
            return found in [entry.value for entry in schema.cls]
        case inspect.DictType():
            return isinstance(found, dict)
    return False


def _is_number(found: object, *kinds: type) -> bool:
    return isinstance(found, kinds) and not isinstance(found, bool)


def _in_range(found: Any, schema: Any) -> bool:
    return (
        (schema.ge is None or found >= schema.ge)
        and (schema.gt is None or found > schema.gt)
        and (schema.le is None or found <= schema.le)
        and (schema.lt is None or found < schema.lt)
    )


def _has_length(found: Any, schema: Any) -> bool:
    return len(found) >= (schema.min_length or 0) and (
        schema.max_length is None or len(found) <= schema.max_length
    )

"""Descriptions of the allowed values of a type, for error messages."""

from typing import Any

from msgspec import inspect


def without_none(schema: inspect.UnionType) -> inspect.Type:
    """Return the type of an optional field, without None."""
    return next(
        kind for kind in schema.types if not isinstance(kind, inspect.NoneType)
    )


def describe_type(schema: inspect.Type) -> str:
    """Return a description such as `integer at least 1`."""
    if isinstance(schema, inspect.Metadata):
        return describe_type(schema.type)
    if isinstance(schema, inspect.UnionType):
        return describe_type(without_none(schema))
    return _describe_leaf(schema).strip()


def _describe_leaf(schema: inspect.Type) -> str:
    match schema:
        case inspect.BoolType():
            return 'true or false'
        case inspect.IntType():
            return f'integer {_describe_range(schema)}'
        case inspect.FloatType():
            return f'number {_describe_range(schema)}'
        case inspect.StrType():
            return f'text {_describe_length(schema, "characters")}'
        case inspect.EnumType():
            choices = ', '.join(str(entry.value) for entry in schema.cls)
            return f'one of {choices}'
        case inspect.ListType():
            return f'list {_describe_length(schema, "entries")}'
    return 'a table'


def _describe_range(schema: Any) -> str:
    bounds = (
        ('at least', schema.ge),
        ('above', schema.gt),
        ('at most', schema.le),
        ('below', schema.lt),
    )
    words = [f'{word} {bound:g}' for word, bound in bounds if bound is not None]
    return ' and '.join(words)


def _describe_length(schema: Any, unit: str) -> str:
    if schema.min_length is None and schema.max_length is None:
        return ''
    if schema.max_length is None:
        return f'of at least {schema.min_length} {unit}'
    return f'of {schema.min_length or 0} to {schema.max_length} {unit}'

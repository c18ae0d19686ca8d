"""Terminal questionnaire, generated from the schema of the answers."""

from typing import Any

import questionary
from msgspec import NODEFAULT, convert, inspect

from ..foundation.type_checks import check_value
from ..foundation.type_words import describe_type
from ..generated.questionnaire import Answers

_QUESTIONS_BY_FIELD = {
    'deployment': 'Name of the deployment',
    'customers': 'customer, whose traffic gets a fair share',
    'services': 'service, behind one address',
    'operations': 'operation of the service',
}


class Cancelled(Exception):  # noqa: N818
    """The operator pressed Ctrl-C during the questionnaire."""


def ask_questions() -> Answers:
    """Ask all questions and return the answers.

    Raises `Cancelled` on Ctrl-C.
    """
    answers = _ask_struct(inspect.type_info(Answers), '')
    return convert(answers, Answers)


def parse_answer(text: str, schema: inspect.Type) -> object:
    """Return a text answer as the number that the schema asks for.

    Other types and malformed numbers are returned as text.
    """
    base_type = schema.type if isinstance(schema, inspect.Metadata) else schema
    try:
        if isinstance(base_type, inspect.IntType):
            return int(text)
        if isinstance(base_type, inspect.FloatType):
            return float(text)
    except ValueError:
        return text
    return text


def validate_answer(text: str, schema: inspect.Type) -> bool | str:
    """Return True if the text is valid, else a message for the operator."""
    found = parse_answer(text, schema)
    if any(check_value(found, schema, 'answer')):
        return f'allowed: {describe_type(schema)}'
    return True


def _ask_struct(schema: inspect.Type, prefix: str) -> dict[str, Any]:
    answers: dict[str, Any] = {}
    # Lists come last, so that the fields of a service are asked before
    # its operations.
    for field in sorted(schema.fields, key=_is_list):
        ask = _ask_list if _is_list(field) else _ask_field
        answers[field.encode_name] = ask(field, f'{prefix}{field.encode_name}')
    return answers


def _is_list(field: inspect.Field) -> bool:
    return isinstance(_strip_metadata(field.type), inspect.ListType)


def _ask_list(field: inspect.Field, key: str) -> list[dict[str, Any]]:
    entries: list[dict[str, Any]] = []
    item_schema = _strip_metadata(_strip_metadata(field.type).item_type)
    subject = _QUESTIONS_BY_FIELD.get(field.encode_name, field.encode_name)
    while not entries or _ask(questionary.confirm(f'Another {subject}?')):
        questionary.print(f'{len(entries) + 1}. {subject}')
        entries.append(_ask_struct(item_schema, f'{key}[{len(entries)}].'))
    return entries


def _ask_field(field: inspect.Field, key: str) -> object:
    schema = field.type
    base_type = _strip_metadata(schema)
    has_default = field.default is not NODEFAULT
    default = field.default if has_default else None
    message = f'{key}: {_describe(schema, field.encode_name)}'
    if isinstance(base_type, inspect.BoolType):
        return _ask(questionary.confirm(message, default=bool(default)))
    if isinstance(base_type, inspect.EnumType):
        choices = [str(entry.value) for entry in base_type.cls]
        return _ask(questionary.select(message, choices=choices))
    text = _ask(
        questionary.text(
            message,
            default='' if default is None else str(default),
            validate=lambda entered: validate_answer(entered, schema),
        )
    )
    return parse_answer(text, schema)


def _ask(question: questionary.Question) -> Any:
    answer = question.ask()
    if answer is None:
        raise Cancelled
    return answer


def _strip_metadata(schema: inspect.Type) -> Any:
    return schema.type if isinstance(schema, inspect.Metadata) else schema


def _describe(schema: inspect.Type, name: str) -> str:
    extra: dict[str, Any] = {}
    if isinstance(schema, inspect.Metadata):
        extra = schema.extra_json_schema or {}
    fallback = _QUESTIONS_BY_FIELD.get(name, name.replace('_', ' '))
    return str(extra.get('description', fallback))

"""Checks of TOML input against generated classes.

All problems of a file are reported at once, each with file, line, key,
value and allowed values; msgspec alone stops at the first problem.
"""

import re
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from .type_checks import MISSING, Finding, check_value, join_key

Kind = TypeVar('Kind', bound=msgspec.Struct)

MAX_SHOWN_CHARACTERS = 80
_HEADER = re.compile(r'^\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$')
_ASSIGNMENT = re.compile(r'^\s*([\w.-]+|"[^"]*"|\'[^\']*\')\s*=')
_SYNTAX_LINE = re.compile(r'at line (\d+)')


@dataclass(slots=True, frozen=True)
class SettingProblem:
    """An invalid or missing value in a file.

    `path` is the file and `shown` the value as text. `line` counts from
    1 and is 0 if no line is known. `allowed` describes the valid values.
    """

    path: str
    line: int
    key: str
    shown: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        return (
            f'{self.path}:{self.line}: {self.key} = {self.shown}:'
            f' allowed: {self.allowed}'
        )


@dataclass(slots=True, frozen=True)
class TomlDocument:
    """A parsed file and the line number of each of its keys."""

    path: str
    raw: dict[str, Any]
    lines_by_key: dict[str, int]

    def create_problem(
        self, key: str, found: object, allowed: str
    ) -> SettingProblem:
        """Return a problem at the line of the key or of its table."""
        return SettingProblem(
            path=self.path,
            line=find_line(self.lines_by_key, key),
            key=key,
            shown=_format_value(found),
            allowed=allowed,
        )


def read_toml(path: Path) -> Result[TomlDocument, list[SettingProblem]]:
    """Parse a file; an error names the unreadable file or the syntax."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as read_error:
        problem = SettingProblem(
            str(path), 0, 'file', str(read_error), 'a readable TOML file'
        )
        return Err([problem])
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as syntax_error:
        return Err([_syntax_problem(path, text, str(syntax_error))])
    return Ok(TomlDocument(str(path), raw, locate_keys(text)))


def convert_document(
    document: TomlDocument, kind: type[Kind]
) -> Result[Kind, list[SettingProblem]]:
    """Return the content as `kind`, or all problems of the file."""
    problems = [
        document.create_problem(key, found, allowed)
        for key, found, allowed in check_value(
            document.raw, msgspec.inspect.type_info(kind), ''
        )
    ]
    if problems:
        return Err(problems)
    try:
        return Ok(msgspec.convert(document.raw, kind))
    except msgspec.ValidationError as error:
        return Err(
            [document.create_problem('file', error, 'the documented types')]
        )


def check_document(
    document: TomlDocument,
    kind: type[Kind],
    find_contradictions: Callable[[Kind], Iterable[Finding]],
) -> Result[Kind, list[SettingProblem]]:
    """Convert the content, then check it for contradictory values."""
    converted = convert_document(document, kind)
    if isinstance(converted, Err):
        return converted
    findings = list(find_contradictions(converted.ok_value))
    if findings:
        return Err([document.create_problem(*entry) for entry in findings])
    return converted


def locate_keys(text: str) -> dict[str, int]:
    """Return the line of each table and assignment, by key path.

    Keys inside inline tables have no entry; `find_line` returns the line
    of their table.
    """
    lines_by_key: dict[str, int] = {}
    counts_by_key: dict[str, int] = {}
    prefix = ''
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        if header:
            is_array = header.group(1) == '[['
            prefix = _header_key(header.group(2), is_array, counts_by_key)
            lines_by_key.setdefault(prefix, number)
            continue
        assignment = _ASSIGNMENT.match(line)
        if assignment:
            name = assignment.group(1).strip('"\'')
            lines_by_key.setdefault(join_key(prefix, name), number)
    return lines_by_key


def find_line(lines_by_key: dict[str, int], key: str) -> int:
    """Return the line of the key or of the innermost table around it.

    The result is 0 if there is no such table.
    """
    while key:
        line = lines_by_key.get(key)
        if line is not None:
            return line
        key = re.sub(r'(?:\[\d+\]|\.?[^.\[\]]+)$', '', key)
    return 0


def _syntax_problem(path: Path, text: str, message: str) -> SettingProblem:
    position = _SYNTAX_LINE.search(message)
    line = int(position.group(1)) if position else text.count('\n') + 1
    return SettingProblem(str(path), line, 'syntax', message, 'valid TOML')


def _header_key(
    header: str, is_array: bool, counts_by_key: dict[str, int]
) -> str:
    key = ''
    parts = [part.strip(' "\'') for part in header.split('.')]
    for position, part in enumerate(parts, start=1):
        key = join_key(key, part)
        if is_array and position == len(parts):
            counts_by_key[key] = counts_by_key.get(key, 0) + 1
        count = counts_by_key.get(key)
        if count is not None:
            key = f'{key}[{count - 1}]'
    return key


def _format_value(found: object) -> str:
    if found is MISSING:
        return '(missing)'
    shown = repr(found)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        return f'{shown[:MAX_SHOWN_CHARACTERS]}…'
    return shown

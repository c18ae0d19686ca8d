"""Decoding of JSON in which another writer may have left odd values.

A list with one value that Python cannot decode is still decoded, so that
the entry with that value can be skipped and the others are used.
"""

import json
import re
from typing import Any

from result import Err, Ok, Result

# Values nested deeper become null. Python's decoder fails at about 1,000.
MAX_DEPTH = 100
# Python refuses to convert integers of more than 4,300 digits.
MAX_DIGITS = 400
_STRINGS_AND_BRACKETS = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL
)


def decode_json(encoded: bytes) -> Result[Any, str]:
    """Return the decoded value, or why the text is not JSON.

    If strict decoding fails, values nested deeper than `MAX_DEPTH` become
    None, integers of more than `MAX_DIGITS` digits infinite and bytes that
    are not UTF-8 the replacement character.
    """
    try:
        return Ok(json.loads(encoded))
    except (ValueError, RecursionError):
        return _decode_odd(encoded.decode('utf-8-sig', 'replace'))


def _decode_odd(text: str) -> Result[Any, str]:
    try:
        return Ok(json.loads(_cut_deep_values(text), parse_int=_parse_integer))
    except (ValueError, RecursionError) as error:
        return Err(f'not JSON: {type(error).__name__}')


def _parse_integer(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _cut_deep_values(text: str) -> str:
    """Return the text with null in place of each value that is too deep."""
    kept: list[str] = []
    kept_until = 0
    depth = 0
    for found in _STRINGS_AND_BRACKETS.finditer(text):
        match found.group():
            case '[' | '{':
                depth += 1
                if depth == MAX_DEPTH + 1:
                    kept += (text[kept_until : found.start()], 'null')
            case ']' | '}':
                if depth == MAX_DEPTH + 1:
                    kept_until = found.end()
                depth -= 1
    return ''.join((*kept, text[kept_until:]))

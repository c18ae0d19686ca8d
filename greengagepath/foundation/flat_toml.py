"""Decoding of TOML that has only names with plain values.

The settings that the platform writes are such a file. Loading `tomllib`,
which compiles its patterns, takes 3 ms of processor time at each start;
it is loaded for all other files.
"""

import json
from typing import Any

# First characters of values that JSON has and TOML has not, or reads
# otherwise. The empty one stands for a missing value.
_OTHER_STARTS = frozenset(('', ' ', 'n', '[', '{'))


def decode_toml(encoded: bytes) -> dict[str, Any]:
    """Return the values of a TOML document by their names.

    Raises ValueError if the document is not TOML or not UTF-8.
    """
    text = encoded.decode()
    flat = _decode_flat(text)
    if flat is not None:
        return flat
    import tomllib

    return tomllib.loads(text)


def _decode_flat(text: str) -> dict[str, Any] | None:
    """Return the values, or None if a line needs the whole of TOML."""
    found: dict[str, Any] = {}
    for line in text.split('\n'):
        if not line or (line[0] == '#' and line.isprintable()):
            continue
        name, _, written = line.partition(' = ')
        if name in found or not _is_plain(name, written):
            return None
        try:
            found[name] = json.loads(written, parse_constant=_refuse)
        except (ValueError, RecursionError):
            return None
    return found


def _is_plain(name: str, written: str) -> bool:
    """Return whether JSON and TOML give the value the same meaning.

    Both share strings without escapes and control characters, numbers,
    `true` and `false`. JSON has `null`, lists and objects besides.
    """
    if not (name.isascii() and name.isidentifier()):
        return False
    if written[:1] in _OTHER_STARTS:
        return False
    return written.isprintable() and '\\' not in written


def _refuse(constant: str) -> None:
    raise ValueError(f'{constant} is written otherwise in TOML')

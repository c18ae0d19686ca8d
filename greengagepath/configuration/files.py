"""Configuration files of operators, in TOML.

`base` is the digest of the configuration that the file was made from.
`apply` compares it with the stored configuration to detect a change
that another operator has made in the meantime. The digest leaves out
drained targets: `drain` and `undrain` change them, and `apply` keeps
them.
"""

import re
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec
import tomli_w
from result import Result

from ..foundation.type_checks import Finding
from ..foundation.validation import (
    SettingProblem,
    check_document,
    locate_keys,
    read_toml,
)
from ..generated.messages import Service
from .checks import find_contradictions

DIGEST_BYTES = 8
MAX_SERVICES = 10000
NO_BASE = ''
_BASE_LINE = re.compile('^base = .*$', re.MULTILINE)


class ConfigurationFile(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a file.

    `base` is empty if the file was not made from a stored version.
    """

    base: str = NO_BASE
    services: Annotated[
        list[Service], msgspec.Meta(min_length=1, max_length=MAX_SERVICES)
    ]


def load_configuration(
    path: Path,
) -> Result[ConfigurationFile, list[SettingProblem]]:
    """Return the checked content of a file, or all its problems."""
    return read_toml(path).and_then(
        lambda document: check_document(
            document, ConfigurationFile, _find_contradictions
        )
    )


def compute_digest(services: Iterable[Service]) -> str:
    """Return 16 hexadecimal digits; drained targets are left out."""
    ordered = sorted(
        (
            msgspec.structs.replace(entry, drained_targets=[])
            for entry in services
        ),
        key=lambda entry: entry.service_id,
    )
    encoded = msgspec.json.encode(ordered, order='sorted')
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def format_configuration(
    services: Iterable[Service],
    base: str = NO_BASE,
    notes_by_key: Mapping[str, str] | None = None,
) -> str:
    """Return TOML; a note becomes a comment above its key.

    Drained targets are left out, see the module docstring.
    """
    tables = [_to_table(service) for service in services]
    text = tomli_w.dumps({'base': base, 'services': tables})
    return _insert_notes(text, notes_by_key or {})


def update_base(path: Path, base: str) -> None:
    """Replace the base in a file; its comments and order stay.

    Raises OSError if the file cannot be read or written.
    """
    text = path.read_text(encoding='utf-8')
    line = f'base = "{base}"'
    if _BASE_LINE.search(text):
        updated = _BASE_LINE.sub(line, text, count=1)
    else:
        updated = f'{line}\n{text}'
    path.write_text(updated, encoding='utf-8')


def _find_contradictions(content: ConfigurationFile) -> Iterable[Finding]:
    return find_contradictions(content.services)


def _to_table(service: Service) -> dict[str, object]:
    table = msgspec.to_builtins(service)
    table.pop('drained_targets')
    return table


def _insert_notes(text: str, notes_by_key: Mapping[str, str]) -> str:
    lines = text.splitlines()
    lines_by_key = locate_keys(text)
    notes_by_line = {
        lines_by_key[key]: note
        for key, note in notes_by_key.items()
        if key in lines_by_key
    }
    for number in sorted(notes_by_line, reverse=True):
        lines.insert(number - 1, f'# {notes_by_line[number]}')
    return '\n'.join([*lines, ''])

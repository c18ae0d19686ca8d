"""Loads tag keys from the files that the settings name.

Rotation without a restart: add the new key as the last entry on every
process, reload; move it to the front, reload; remove the old entry,
reload. A reload that fails leaves the keys in force unchanged.
"""

import logging
import re
import time
from collections.abc import Iterator
from pathlib import Path

from result import Err, Ok, Result

from ..foundation.logs import log_event
from ..foundation.settings import load_settings, parse_end
from ..foundation.validation import SettingProblem
from ..generated.settings import KeySettings, Settings
from .tags import Key, KeyRing

_SECRET = re.compile('[0-9a-fA-F]{64}')
_SECRET_FORMAT = 'a file with 64 hexadecimal digits'
# Modification time in nanoseconds and size in bytes.
_Stamp = tuple[int, int]
_logger = logging.getLogger(__name__)


def load_keys(settings: Settings) -> Result[KeyRing, list[SettingProblem]]:
    """Return the key ring, or all problems of the key files."""
    return read_keys(settings).map(lambda keys: KeyRing(keys, time.time))


def read_keys(
    settings: Settings,
) -> Result[list[Key], list[SettingProblem]]:
    """Return the keys in the order of the settings.

    An expired signing key is a problem, because no process would
    accept what it signs; an expired further key is skipped.
    """
    problems: list[SettingProblem] = []
    keys: list[Key] = []
    for position, entry in enumerate(settings.keys):
        match _read_key(entry, f'keys[{position}]'):
            case Ok(key):
                keys.append(key)
            case Err(problem):
                problems.append(problem)
    if not problems:
        problems.extend(_check_signing_key(settings.keys[0], keys[0]))
    return Err(problems) if problems else Ok(keys)


class KeyReloader:
    """Reloads a key ring on a signal or when a file has changed.

    `settings_path` is read again on each reload, so that keys can be
    added and removed; other settings need a restart.
    """

    def __init__(
        self, settings_path: str | Path, settings: Settings, ring: KeyRing
    ) -> None:
        self._settings_path = Path(settings_path)
        self._ring = ring
        self._stamps = self._read_stamps(settings)

    def reload(self) -> bool:
        """Read the keys again; return whether the new ones are in force."""
        loaded = load_settings(self._settings_path).and_then(_with_keys)
        match loaded:
            case Err(problems):
                for problem in problems:
                    log_event(
                        _logger,
                        'keys.refused',
                        level=logging.ERROR,
                        problem=str(problem),
                    )
                return False
            case Ok((settings, keys)):
                self._ring.replace_keys(keys)
                self._stamps = self._read_stamps(settings)
                log_event(
                    _logger,
                    'keys.reloaded',
                    signing_key_id=self._ring.signing_key_id,
                    key_ids=[key.key_id for key in keys],
                )
                return True

    def has_changed(self) -> bool:
        """Return whether a file has a new modification time or size.

        Call it about once a second; it costs one `stat` for each file.
        Each change is reported once, so that an invalid file is read
        again only after its next change.
        """
        stamps = {path: _read_stamp(path) for path in self._stamps}
        if stamps == self._stamps:
            return False
        self._stamps = stamps
        return True

    def _read_stamps(self, settings: Settings) -> dict[Path, _Stamp]:
        paths = [Path(entry.secret_file) for entry in settings.keys]
        paths.append(self._settings_path)
        return {path: _read_stamp(path) for path in paths}


def _with_keys(
    settings: Settings,
) -> Result[tuple[Settings, list[Key]], list[SettingProblem]]:
    return read_keys(settings).map(lambda keys: (settings, keys))


def _read_stamp(path: Path) -> _Stamp:
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def _read_key(entry: KeySettings, name: str) -> Result[Key, SettingProblem]:
    key = f'{name}.secret_file'
    try:
        text = Path(entry.secret_file).read_text(encoding='ascii').strip()
    except (OSError, UnicodeDecodeError) as read_error:
        return Err(_make_problem(entry, key, str(read_error)))
    if not _SECRET.fullmatch(text):
        # The content is a secret even if it is malformed.
        return Err(
            _make_problem(entry, key, f'(hidden, {len(text)} characters)')
        )
    end_s = parse_end(entry.not_after)
    no_end = end_s is None or end_s == float('inf')
    return Ok(Key(entry.key_id, bytes.fromhex(text), None if no_end else end_s))


def _check_signing_key(
    entry: KeySettings, key: Key
) -> Iterator[SettingProblem]:
    if key.not_after_s is not None and key.not_after_s <= time.time():
        yield SettingProblem(
            path=entry.secret_file,
            line=0,
            key='keys[0].not_after',
            shown=entry.not_after,
            allowed='a time in the future, because this key signs',
        )


def _make_problem(entry: KeySettings, key: str, found: str) -> SettingProblem:
    return SettingProblem(entry.secret_file, 0, key, found, _SECRET_FORMAT)

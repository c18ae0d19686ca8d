"""The record of a run: what was sent, answered and run."""

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._opened = path.open('w')
        self._start_s = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        at_s = time.monotonic() - self._start_s
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._opened.write(f'{at_s:8.3f} {event} {words}\n')
        self._opened.flush()

    def close(self) -> None:
        """Close the file."""
        self._opened.close()

"""Record of what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._start_s

    def write(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""
        pairs = ' '.join(f'{name}={found}' for name, found in fields.items())
        self._file.write(f'{self.now():9.3f} {event} {pairs}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

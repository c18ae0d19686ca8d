"""Bounded map that drops idle entries."""

from typing import Generic, TypeVar

Key = TypeVar('Key')
Entry = TypeVar('Entry')


class RecentMap(Generic[Key, Entry]):
    """Keeps entries used within the last one to two rotations.

    An entry is used when it is put or found. `limit` bounds each of the
    two generations; a full one is rotated early, which drops the
    entries that were not used since the last rotation.
    """

    __slots__ = ('_current', '_limit', '_previous')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._current: dict[Key, Entry] = {}
        self._previous: dict[Key, Entry] = {}

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def get(self, key: Key) -> Entry | None:
        """Return the value and keep it for another rotation."""
        found = self._current.get(key)
        if found is None:
            found = self._previous.pop(key, None)
            if found is not None:
                self.put(key, found)
        return found

    def put(self, key: Key, entry: Entry) -> None:
        """Store the value."""
        if len(self._current) >= self._limit:
            self.rotate()
        self._current[key] = entry

    def discard(self, key: Key) -> None:
        """Remove the value, if there is one."""
        self._current.pop(key, None)
        self._previous.pop(key, None)

    def rotate(self) -> None:
        """Drop the entries not used since the last rotation."""
        self._previous = self._current
        self._current = {}

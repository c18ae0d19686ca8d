"""In-memory store of versioned objects behind the platform stand-in."""

import json
from dataclasses import dataclass, field

from gevent.event import Event
from result import Err, Ok, Result

MAX_BODY_BYTES = 1_000_000

ObjectKey = tuple[str, str]


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object and its version; versions of a store only increase."""

    version: int
    body: object

    def encode(self) -> bytes:
        """Return the JSON form of the object API."""
        return json.dumps(
            {
                'version': self.version,
                'body': self.body,
            }
        ).encode()


@dataclass(slots=True)
class CallCounters:
    """Calls by kind; a pending watch counts as one call."""

    reads: int = 0
    writes: int = 0
    lists: int = 0
    watches: int = 0
    conflicts: int = 0


@dataclass(slots=True)
class ObjectStore:
    """Objects by kind and name, with watches."""

    objects_by_key: dict[ObjectKey, StoredObject] = field(default_factory=dict)
    counters: CallCounters = field(default_factory=CallCounters)
    _version: int = 0
    _changed: Event = field(default_factory=Event)

    def read(self, key: ObjectKey) -> StoredObject | None:
        """Return the object, or None."""
        self.counters.reads += 1
        return self.objects_by_key.get(key)

    def list_kind(self, kind: str, prefix: str) -> dict[str, StoredObject]:
        """Return the objects of a kind whose names have the prefix."""
        self.counters.lists += 1
        return {
            name: stored
            for (stored_kind, name), stored in self.objects_by_key.items()
            if stored_kind == kind and name.startswith(prefix)
        }

    def write(
        self, key: ObjectKey, expected_version: int, body: object
    ) -> Result[StoredObject, StoredObject]:
        """Store the body if the stored version is `expected_version`.

        Version 0 stands for an object that does not exist yet. The error
        holds the object that is stored instead.
        """
        self.counters.writes += 1
        current = self.objects_by_key.get(key, StoredObject(0, None))
        if current.version != expected_version:
            self.counters.conflicts += 1
            return Err(current)
        self._version += 1
        stored = StoredObject(self._version, body)
        self.objects_by_key[key] = stored
        self._changed.set()
        self._changed.clear()
        return Ok(stored)

    def watch(
        self, key: ObjectKey, after_version: int, wait_s: float
    ) -> StoredObject | None:
        """Return the object once its version is above `after_version`.

        Waits up to `wait_s` seconds; returns None on timeout.
        """
        self.counters.watches += 1
        stored = self.objects_by_key.get(key)
        if stored is None or stored.version <= after_version:
            self._wait_for_version(key, after_version, wait_s)
            stored = self.objects_by_key.get(key)
        if stored is None or stored.version <= after_version:
            return None
        return stored

    def _wait_for_version(
        self, key: ObjectKey, after_version: int, wait_s: float
    ) -> None:
        left_s = wait_s
        step_s = 0.05
        while left_s > 0:
            stored = self.objects_by_key.get(key)
            if stored is not None and stored.version > after_version:
                return
            self._changed.wait(min(step_s, left_s))
            left_s -= step_s

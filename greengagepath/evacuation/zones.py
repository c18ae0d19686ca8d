"""Availability zones that operators have evacuated.

An evacuated zone gets no new flows; open flows end by themselves. The
list is read from the store by balancers and passed on to agents, so
that processes hear of it in any order, several times or late.
"""

from ..foundation.store_version import StoreVersion

_NO_ZONES: frozenset[bytes] = frozenset()


class EvacuatedZones:
    """Digests of the evacuated zones, as of a version of the store."""

    __slots__ = ('digests', 'version')

    def __init__(self) -> None:
        self.digests = _NO_ZONES
        self.version = StoreVersion()

    def replace(self, digests: frozenset[bytes], version: StoreVersion) -> bool:
        """Apply a list of the store; return whether it was newer.

        A list of an earlier version is ignored: it was delayed.
        """
        if not version.is_newer(self.version):
            return False
        self.version = version
        self.digests = digests
        return True


class ZoneState:
    """Whether one availability zone is evacuated, by the lists received.

    A store that has come back from a copy may lack an evacuation until the
    operator has written it again. A zone that the first list of a new era
    does not name therefore stays evacuated for `hold_s` seconds, unless a
    list of that era has named it before.
    """

    __slots__ = ('_digest', '_held_until_s', '_hold_s', 'zones')

    def __init__(self, digest: bytes, hold_s: float) -> None:
        self.zones = EvacuatedZones()
        self._digest = digest
        self._hold_s = hold_s
        self._held_until_s = 0.0

    def replace(
        self, digests: frozenset[bytes], version: StoreVersion, now_s: float
    ) -> None:
        """Apply a list at a monotonic time in seconds."""
        was_evacuated = self.is_evacuated(now_s)
        is_new_era = version.era > self.zones.version.era
        if not self.zones.replace(digests, version):
            return
        if self._digest in digests:
            self._held_until_s = 0.0
        elif is_new_era and was_evacuated:
            self._held_until_s = now_s + self._hold_s

    def is_evacuated(self, now_s: float) -> bool:
        """Return whether the zone gets no new flows."""
        return self._digest in self.zones.digests or now_s < self._held_until_s

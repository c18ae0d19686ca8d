"""Availability zones that operators have evacuated.

An evacuated zone gets no new flows; open flows end by themselves. The
list is read from the store by balancers and passed on to agents, so
that processes hear of it in any order, several times or late.
"""

_NO_ZONES: frozenset[bytes] = frozenset()


class EvacuatedZones:
    """Digests of the evacuated zones, as of a revision of the store.

    `revision` is 0 until the first list was received.
    """

    __slots__ = ('digests', 'revision')

    def __init__(self) -> None:
        self.digests = _NO_ZONES
        self.revision = 0

    def replace(self, digests: frozenset[bytes], revision: int) -> bool:
        """Apply a list of the store; return whether the zones changed.

        A list of an earlier revision is ignored: it was delayed.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        is_changed = digests != self.digests
        self.digests = digests
        return is_changed

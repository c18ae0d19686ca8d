"""Version of what was read from the platform's store.

The store may come back from an earlier copy of itself. Its revisions then
go back and are given out again, and its era rises by one. A revision
therefore orders what was read in one era only.
"""


class StoreVersion:
    """Era and revision of the store at a read.

    A store that tells no era is in era 0 for good. A `revision` of 0 means
    that nothing was read yet.
    """

    __slots__ = ('era', 'revision')

    def __init__(self, era: int = 0, revision: int = 0) -> None:
        self.era = era
        self.revision = revision

    def __repr__(self) -> str:
        return f'StoreVersion({self.era}, {self.revision})'

    @property
    def is_read(self) -> bool:
        """Return whether anything was read."""
        return self.revision > 0

    def is_newer(self, other: 'StoreVersion') -> bool:
        """Return whether this was read from a later state of the store."""
        return (self.era, self.revision) > (other.era, other.revision)

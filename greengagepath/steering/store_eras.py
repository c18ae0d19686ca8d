"""Eras of the store, as its answers to this process tell them.

In each answer the store names its era, which rises by one when the store
comes back from an earlier copy. What this process has read or written in
an earlier era may be gone then, and has to be checked again.
"""

import logging
from collections.abc import Callable

from ..foundation.logs import log_event

# Eras of 1 to this have numbers of their own in one byte.
_MAX_NARROW_ERA = 0xFF
# A peer is behind rather than so many eras ahead.
_MAX_ERAS_AHEAD = 127

_logger = logging.getLogger(__name__)


def narrow_era(era: int) -> int:
    """Return the number of 1 to 255 that tells eras in a row apart.

    0 if the era is unknown.
    """
    return (era - 1) % _MAX_NARROW_ERA + 1 if era else 0


def is_later_era(narrowed: int, era: int) -> bool:
    """Return whether a narrowed era of a peer is after an era.

    False if one of them is unknown.
    """
    if not narrowed or not era:
        return False
    ahead = (narrowed - narrow_era(era)) % _MAX_NARROW_ERA
    return 0 < ahead <= _MAX_ERAS_AHEAD


class StoreEras:
    """Latest era of the store, 0 while no answer has named one."""

    __slots__ = ('_callbacks', 'latest')

    def __init__(self) -> None:
        self.latest = 0
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change from one era to a later one."""
        self._callbacks.append(callback)

    def record(self, era: int) -> bool:
        """Record the era of an answer; False if it is before the latest.

        An answer without an era, as 0, says nothing of it.
        """
        if not era or era == self.latest:
            return True
        if era < self.latest:
            return False
        earlier = self.latest
        self.latest = era
        if earlier:
            log_event(
                _logger,
                'store.era_changed',
                level=logging.WARNING,
                era=era,
                was=earlier,
            )
            for callback in self._callbacks:
                callback()
        return True

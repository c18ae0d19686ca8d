"""Packets that waited while the process itself did not run.

Load pattern: a VM freezes for seconds and wakes with thousands of
opening packets in its socket. Their callers have given up or tried
again elsewhere; passed on, they would look like a crest to the targets.
"""

from ..foundation.timers import TimerService

# Callers send copies of an opening packet after 200 and 600 ms.
STALE_AFTER_S = 0.6


class Backlog:
    """Whether packets in the socket are from before a pause."""

    __slots__ = ('_is_stale', '_timers')

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._is_stale = False
        timers.subscribe_pauses(self._handle_pause)

    def mark_socket_empty(self) -> None:
        """Note that the socket holds nothing more."""
        self._timers.check_pause()
        self._is_stale = False

    def is_stale(self) -> bool:
        """Return whether a packet has waited through a pause."""
        # After a pause the socket may be read before any timer runs.
        self._timers.check_pause()
        return self._is_stale

    def _handle_pause(self, pause_s: float) -> None:
        if pause_s > STALE_AFTER_S:
            self._is_stale = True

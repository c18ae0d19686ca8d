"""Packets that waited while the process itself did not run.

Load pattern: a VM freezes for seconds and wakes with thousands of
opening packets in its socket. Their callers have given up or tried
again elsewhere; passed on, they would look like a crest to the targets.
"""

from ..timers import TimerService

# Timers run at least four times a second.
PAUSE_S = 0.6


class Backlog:
    """Whether packets in the socket are from before a pause."""

    __slots__ = ('_is_stale', '_running_s', '_timers')

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._is_stale = False
        self._running_s = timers.now()

    def note_running(self) -> None:
        """Note that the process runs; a long gap since then is a pause."""
        now_s = self._timers.now()
        if now_s - self._running_s > PAUSE_S:
            self._is_stale = True
        self._running_s = now_s

    def note_empty(self) -> None:
        """Note that the socket holds nothing more."""
        self.note_running()
        self._is_stale = False

    def is_stale(self) -> bool:
        """Return whether a packet has waited through a pause."""
        self.note_running()
        return self._is_stale

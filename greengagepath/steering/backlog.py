"""Detection of packets that wait in the socket.

Load pattern: a VM freezes for seconds and resumes with thousands of
opening packets in its socket. Their callers have timed out or retried
elsewhere; forwarding the packets would overload the targets. While packets
wait, the silence of another process proves nothing.
"""

from ..foundation.timers import TimerService

# Callers send copies of an opening packet after 200 and 600 ms.
STALE_AFTER_S = 0.6


class Backlog:
    """Tracks whether packets in the socket may predate a pause.

    Packets that arrived before `last_empty_s`, in monotonic seconds, have
    been read.
    """

    __slots__ = ('_is_stale', '_timers', 'last_empty_s')

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._is_stale = False
        self.last_empty_s = timers.now()
        timers.subscribe_pauses(self._handle_pause)

    def mark_socket_empty(self) -> None:
        """Record that the socket has been read until it was empty."""
        self._timers.check_pause()
        self._is_stale = False
        self.last_empty_s = self._timers.now()

    def is_stale(self) -> bool:
        """Return whether packets read now may have waited during a pause."""
        # After a pause the socket may be read before any timer runs.
        self._timers.check_pause()
        return self._is_stale

    def _handle_pause(self, pause_s: float) -> None:
        if pause_s > STALE_AFTER_S:
            self._is_stale = True

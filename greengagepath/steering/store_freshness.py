"""Age of what a balancer knows of the configuration in the store.

A watch reports changes at once, but a lost answer looks like a store in
which nothing changes. A balancer therefore knows that it has the latest
configuration only as of a read that was answered, its own or a peer's.
"""

import struct

from ..foundation.timers import TimerService

_AGE = struct.Struct('!H')
_MS_PER_S = 1000
MAX_AGE_S = 86400.0
# Age in ms of a balancer that has not read the configuration yet.
UNKNOWN_AGE_MS = 0xFFFF


class StoreFreshness:
    """Age of the last answered read, here or at a peer.

    Ages are in seconds of a clock that counts pauses of the process, and
    `MAX_AGE_S` before the first read. Peers are told of own reads only: an age
    that is passed on would grow younger by the delay of each message.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._own_read_s: float | None = None
        self._read_s: float | None = None

    @property
    def age_s(self) -> float:
        """Return the age of the last answered read."""
        if self._read_s is None:
            return MAX_AGE_S
        return min(self._timers.now() - self._read_s, MAX_AGE_S)

    def record_read(self, started_s: float) -> None:
        """Record the answer to an own read that started at `started_s`."""
        self._own_read_s = started_s
        self._record(started_s)

    @property
    def own_age_ms(self) -> int:
        """Return the age of the last own read, `UNKNOWN_AGE_MS` at most."""
        if self._own_read_s is None:
            return UNKNOWN_AGE_MS
        age_ms = (self._timers.now() - self._own_read_s) * _MS_PER_S
        return min(round(age_ms), UNKNOWN_AGE_MS)

    def encode_own(self) -> bytes:
        """Return the age of the last own read, for a PRESENCE."""
        return _AGE.pack(self.own_age_ms)

    def record_peer(self, body: bytes) -> None:
        """Record the age in a PRESENCE; earlier builds send none."""
        if len(body) != _AGE.size:
            return
        self.record_peer_read(_AGE.unpack(body)[0])

    def record_peer_read(self, age_ms: int) -> None:
        """Record that a peer read the store `age_ms` ago."""
        if age_ms != UNKNOWN_AGE_MS:
            self._record(self._timers.now() - age_ms / _MS_PER_S)

    def _record(self, read_s: float) -> None:
        if self._read_s is None or read_s > self._read_s:
            self._read_s = read_s

"""Processes in virtual time that can be paused and killed."""

import time
from collections.abc import Callable

from ..foundation.timers import Timer, TimerService, VirtualTimerService

Callback = Callable[[], None]


class ProcessClock(TimerService):
    """The timers of one process.

    While the process is paused, due callbacks wait; on resume each runs
    once, as in a real event loop. When the process is dead, none runs.
    """

    def __init__(self, timers: VirtualTimerService) -> None:
        super().__init__()
        self._timers = timers
        self._deferred_callbacks: dict[Callback, None] = {}
        self.is_paused = False
        self.is_dead = False
        # Real seconds spent in the callbacks of the process.
        self.busy_s = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the process is neither paused nor dead."""
        return not (self.is_paused or self.is_dead)

    def now(self) -> float:
        """Return the virtual time in s; pauses count."""
        return self._timers.now()

    def call_after(self, delay_s: float, callback: Callback) -> Timer:
        """Call once after `delay_s` seconds."""
        return self._timers.call_after(delay_s, self._guard(callback))

    def subscribe(self, period_s: float, callback: Callback) -> Timer:
        """Call every `period_s` seconds."""
        return self._timers.subscribe(period_s, self._guard(callback))

    def run(self, callback: Callback) -> None:
        """Run now, on resume if paused, or not at all if dead."""
        if self.is_running:
            started_s = time.perf_counter()
            callback()
            self.busy_s += time.perf_counter() - started_s
        elif not self.is_dead:
            self._deferred_callbacks[callback] = None

    def resume(self) -> None:
        """Run what became due during the pause."""
        self.is_paused = False
        deferred = tuple(self._deferred_callbacks)
        self._deferred_callbacks.clear()
        for callback in deferred:
            self.run(callback)

    def _guard(self, callback: Callback) -> Callback:
        return lambda: self.run(callback)

"""Timer service with a real and a virtual clock.

Modules that make decisions are given a `TimerService` and never read a
clock themselves, so that tests and benchmarks run them in virtual time.
"""

import heapq
import itertools
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

Callback = Callable[[], None]
PauseCallback = Callable[[float], None]

# A timer that is late by more than this many seconds shows that the
# process did not run: its VM was suspended or got no processor time.
MIN_PAUSE_S = 0.15


class Timer:
    """A scheduled callback, which runs once or periodically.

    Times are monotonic seconds of the `TimerService`.
    """

    __slots__ = ('callback', 'cancelled', 'due_s', 'period_s')

    def __init__(
        self,
        callback: Callback,
        due_s: float,
        period_s: float | None = None,
    ) -> None:
        self.callback = callback
        self.due_s = due_s
        self.period_s = period_s
        self.cancelled = False

    def cancel(self) -> None:
        """Prevent all further calls of the callback."""
        self.cancelled = True


class TimerService:
    """Schedules callbacks; subclasses provide the clock.

    Callbacks run one after the other, in the order of their due time.
    Those due at the same time run in the order of subscription.
    """

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._pause_callbacks: list[PauseCallback] = []
        self._last_pause_end_s = 0.0

    def now(self) -> float:
        """Return monotonic seconds, including time spent suspended."""
        raise NotImplementedError

    def call_after(self, delay_s: float, callback: Callback) -> Timer:
        """Call once after `delay_s` seconds; negative delays are zero."""
        return self._push(Timer(callback, self.now() + max(delay_s, 0.0)))

    def subscribe(self, period_s: float, callback: Callback) -> Timer:
        """Call every `period_s` seconds, starting after one period.

        Raises ValueError if the period is not positive.
        """
        if period_s <= 0:
            raise ValueError(f'period must be positive, got {period_s}')
        return self._push(Timer(callback, self.now() + period_s, period_s))

    def subscribe_pauses(self, callback: PauseCallback) -> None:
        """Call with the length in seconds of each pause of the process.

        A pause is reported once, before the first late timer runs.
        Packets that arrived during the pause may still be unread.
        """
        self._pause_callbacks.append(callback)

    def check_pause(self) -> None:
        """Report a pause that has just ended, before any timer has run."""
        due_s = self.next_due()
        if due_s is not None:
            self._report_pause(due_s)

    def next_due(self) -> float | None:
        """Return the time in seconds of the next callback, or None."""
        while self._queue and self._queue[0][2].cancelled:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def run_due(self) -> int:
        """Run all callbacks that are due and return their number."""
        count = 0
        due_s = self.next_due()
        while due_s is not None and due_s <= self.now():
            self._run_next()
            count += 1
            due_s = self.next_due()
        return count

    def _push(self, timer: Timer) -> Timer:
        heapq.heappush(self._queue, (timer.due_s, next(self._order), timer))
        return timer

    def _report_pause(self, due_s: float) -> None:
        now_s = self.now()
        pause_s = now_s - max(due_s, self._last_pause_end_s)
        if pause_s <= MIN_PAUSE_S:
            return
        self._last_pause_end_s = now_s
        for callback in self._pause_callbacks:
            callback(pause_s)

    def _run_next(self) -> None:
        timer = heapq.heappop(self._queue)[2]
        self._report_pause(timer.due_s)
        if timer.period_s is not None:
            # If the loop is late, it skips missed periods instead of running
            # all of them.
            timer.due_s = max(timer.due_s, self.now() - timer.period_s)
            timer.due_s += timer.period_s
            self._push(timer)
        timer.callback()


class VirtualTimerService(TimerService):
    """Timer service whose clock is moved by its caller."""

    def __init__(self, start_s: float = 0.0) -> None:
        super().__init__()
        self._now_s = start_s

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Move the clock and run each callback at its due time."""
        end_s = self._now_s + duration_s
        due_s = self.next_due()
        while due_s is not None and due_s <= end_s:
            self._now_s = max(self._now_s, due_s)
            self._run_next()
            due_s = self.next_due()
        self._now_s = end_s

    def pause(self, duration_s: float) -> None:
        """Move the clock without running callbacks, as in a suspended VM."""
        self._now_s += duration_s


class LoopTimerService(TimerService):
    """Timer service that runs callbacks in one greenlet."""

    def __init__(self) -> None:
        super().__init__()
        self._changed = Event()
        self._stopped = False

    def now(self) -> float:
        """Return seconds of CLOCK_BOOTTIME, which includes suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self) -> gevent.Greenlet:
        """Start the greenlet that runs the callbacks."""
        return gevent.spawn(self.run)

    def stop(self) -> None:
        """End the greenlet after the running callback."""
        self._stopped = True
        self._changed.set()

    def _push(self, timer: Timer) -> Timer:
        super()._push(timer)
        self._changed.set()
        return timer

    def run(self) -> None:
        """Run the callbacks until `stop` is called."""
        while not self._stopped:
            self._changed.clear()
            self.run_due()
            due_s = self.next_due()
            timeout_s = None if due_s is None else max(due_s - self.now(), 0)
            self._changed.wait(timeout_s)

"""Reloads of keys and certificates while a daemon runs."""

import signal
from collections.abc import Callable
from typing import Protocol

import gevent

from ..foundation.metrics import Metrics
from ..foundation.timers import TimerService

CHECK_S = 1.0


class Reloader(Protocol):
    """Files that can be read again, such as `KeyReloader`."""

    def reload(self) -> bool:
        """Read the files; return whether they are now in force."""

    def has_changed(self) -> bool:
        """Return whether a file has changed since the last call."""


class Reloads:
    """Reloads changed files once a second, and all of them on SIGHUP.

    Without a handler SIGHUP would end the process, which is also what
    a terminal sends when it closes.
    """

    def __init__(self, metrics: Metrics, *reloaders: Reloader) -> None:
        self._metrics = metrics
        self._reloaders = reloaders
        self._cancels: list[Callable[[], None]] = []

    def start(self, timers: TimerService) -> None:
        """Subscribe to the timer and handle SIGHUP."""
        timer = timers.subscribe(CHECK_S, self.reload_changed)
        handler = gevent.signal_handler(signal.SIGHUP, self.reload_all)
        self._cancels = [timer.cancel, handler.cancel]

    def stop(self) -> None:
        """Leave files and SIGHUP alone again."""
        for cancel in self._cancels:
            cancel()

    def reload_changed(self) -> None:
        """Reload what has changed."""
        for reloader in self._reloaders:
            if reloader.has_changed():
                self._count(reloader.reload)

    def reload_all(self) -> None:
        """Reload everything."""
        for reloader in self._reloaders:
            self._count(reloader.reload)

    def _count(self, reload: Callable[[], bool]) -> None:
        outcome = 'reloaded' if reload() else 'refused'
        self._metrics.add('key_reloads_total', outcome=outcome)

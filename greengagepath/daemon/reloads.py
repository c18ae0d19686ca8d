"""Reloads keys and certificates while a daemon runs."""

import signal
from collections.abc import Callable
from typing import Protocol

import gevent

from ..foundation.metrics import Metrics
from ..foundation.timers import TimerService

CHECK_S = 1.0


class Reloader(Protocol):
    """Settings read from files that can be reloaded, see `KeyReloader`."""

    def reload(self) -> bool:
        """Read the files; return whether their contents are in force."""

    def has_changed(self) -> bool:
        """Return whether a file has changed since the last call."""


class Reloads:
    """Reloads changed files once a second, and all of them on SIGHUP.

    Without a handler SIGHUP would end the process. A closing terminal
    sends this signal too.
    """

    def __init__(self, metrics: Metrics, *reloaders: Reloader) -> None:
        self._metrics = metrics
        self._reloaders = reloaders
        self._cancels: list[Callable[[], None]] = []

    def start(self, timers: TimerService) -> None:
        """Start the periodic check and handle SIGHUP."""
        timer = timers.subscribe(CHECK_S, self.reload_changed)
        handler = gevent.signal_handler(signal.SIGHUP, self.reload_all)
        self._cancels = [timer.cancel, handler.cancel]

    def stop(self) -> None:
        """Stop the periodic check and the handling of SIGHUP."""
        for cancel in self._cancels:
            cancel()

    def reload_changed(self) -> None:
        """Reload the files that have changed."""
        for reloader in self._reloaders:
            if reloader.has_changed():
                self._reload_and_count(reloader.reload)

    def reload_all(self) -> None:
        """Reload all files."""
        for reloader in self._reloaders:
            self._reload_and_count(reloader.reload)

    def _reload_and_count(self, reload: Callable[[], bool]) -> None:
        outcome = 'reloaded' if reload() else 'refused'
        self._metrics.add('key_reloads_total', outcome=outcome)

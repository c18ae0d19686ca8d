"""Watch on the configuration object, kept by each bridge."""

from collections.abc import Callable

import msgspec

from ..foundation.object_api import ObjectKind, ObjectOutcome, StoredObject
from ..generated.messages import Configuration
from .ports import NodePorts

CONFIGURATION_NAME = 'current'
# Pause after a failed watch, so that an outage does not cause a storm of
# requests.
WATCH_PAUSE_S = 2.0


class ConfigurationWatch:
    """Keeps one watch on the configuration object.

    `on_configuration` is called with each valid configuration.
    """

    def __init__(
        self,
        ports: NodePorts,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._ports = ports
        self._on_configuration = on_configuration
        self._object_version = 0
        self._is_pending = False
        self._is_stopped = False
        self._next_watch_s = 0.0

    def step(self) -> None:
        """Start the next watch if it is due and none is pending."""
        is_due = self._ports.timers.now() >= self._next_watch_s
        if is_due and not self._is_pending and not self._is_stopped:
            self._is_pending = True
            self._ports.store.watch(
                ObjectKind.CONFIGURATION,
                CONFIGURATION_NAME,
                self._object_version,
                self._finish,
            )

    def stop(self) -> None:
        """Stop watching and ignore the result of a pending watch."""
        self._is_stopped = True

    def _finish(self, outcome: ObjectOutcome) -> None:
        self._is_pending = False
        now_s = self._ports.timers.now()
        if outcome.is_err():
            jitter = self._ports.random.uniform(0.5, 1)
            self._next_watch_s = now_s + WATCH_PAUSE_S * jitter
            return
        stored = outcome.unwrap()
        if stored.version == 0:
            # Nothing new, or no object yet. The API answers the second
            # case at once, so a pause is needed.
            self._next_watch_s = now_s + WATCH_PAUSE_S / 2
            return
        self._object_version = max(self._object_version, stored.version)
        configuration = configuration_of(stored)
        if configuration is not None and not self._is_stopped:
            self._on_configuration(configuration)
        self.step()


def configuration_of(stored: StoredObject) -> Configuration | None:
    """Return the configuration in an object, or None if it is invalid."""
    try:
        return msgspec.convert(stored.body, Configuration)
    except msgspec.ValidationError:
        return None

"""The configuration that is in force in a process."""

from collections import OrderedDict
from dataclasses import dataclass

from result import Err, Ok, Result

from ..generated.messages import Configuration, ConfigurationDelta
from .delta import apply_delta, compute_delta

# Versions that are kept as bases of deltas. At 2,700 changes a day, 16
# versions span about eight minutes; a process that is further behind
# gets all services.
KEPT_VERSIONS = 16


@dataclass(slots=True, frozen=True)
class Applied:
    """The offered configuration is now in force."""

    configuration: Configuration
    previous_version: int


@dataclass(slots=True, frozen=True)
class Stale:
    """The offered version is not higher than the one in force.

    `conflicts` is set if the same version arrived with other content,
    which conditional updates of the object API rule out.
    """

    offered_version: int
    held_version: int
    conflicts: bool = False


@dataclass(slots=True, frozen=True)
class MissingBase:
    """The base version of the delta is not in force.

    The missing changes are those since `held_version`.
    """

    base_version: int
    held_version: int


class ConfigurationHolder:
    """Holds the version in force; accepts only higher ones.

    The source of a version (object API, peer) makes no difference.
    """

    def __init__(self) -> None:
        self._kept_by_version: OrderedDict[int, Configuration] = OrderedDict()
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return 0 if self._current is None else self._current.version

    def offer(self, configuration: Configuration) -> Result[Applied, Stale]:
        """Put the configuration in force if its version is higher."""
        previous_version = self.version
        if configuration.version <= previous_version:
            return Err(self._describe_stale(configuration))
        self._current = configuration
        self._kept_by_version[configuration.version] = configuration
        while len(self._kept_by_version) > KEPT_VERSIONS:
            self._kept_by_version.popitem(last=False)
        return Ok(Applied(configuration, previous_version))

    def offer_delta(
        self, delta: ConfigurationDelta
    ) -> Result[Applied, Stale | MissingBase]:
        """Apply a delta if it leads to a higher version."""
        if delta.version <= self.version:
            return Err(Stale(delta.version, self.version))
        changed = apply_delta(self._current, delta)
        if changed.is_err():
            return Err(MissingBase(delta.base_version, self.version))
        return self.offer(changed.unwrap())

    def delta_since(self, held_version: int) -> ConfigurationDelta | None:
        """Return the changes since `held_version`, None without any."""
        if self._current is None or held_version >= self.version:
            return None
        base = self._kept_by_version.get(held_version)
        return compute_delta(base, self._current)

    def _describe_stale(self, configuration: Configuration) -> Stale:
        conflicts = (
            self._current is not None
            and configuration.version == self._current.version
            and configuration.operation_id != self._current.operation_id
        )
        return Stale(configuration.version, self.version, conflicts)

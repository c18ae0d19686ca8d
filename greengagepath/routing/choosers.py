"""The choosers of all services at a balancer, rebuilt in time slices."""

from collections import deque
from collections.abc import Mapping

from result import Err, Ok, Result

from ..generated.messages import SizeClass
from .choice import (
    Choice,
    ChooserServices,
    NoTarget,
    NoTargetReason,
    ProbeReply,
    TargetChooser,
)
from .explanation import Explanation, explain_choice
from .targets import TargetInfo

# Tables that are rebuilt between two readings of the clock.
_SERVICES_PER_CLOCK_READ = 4
# Far below 50 ms, the longest time that the event loop may be blocked.
SLICE_S = 0.005


class ServiceChoosers:
    """One `TargetChooser` for each service that has targets.

    `update_targets` only queues the services that changed.
    `rebuild_slice` rebuilds their candidate tables for a few
    milliseconds at a time. `get_chooser` and `choose` rebuild the table
    of their service immediately if it is still queued.
    """

    def __init__(self, shared: ChooserServices) -> None:
        self._shared = shared
        self._choosers_by_service: dict[int, TargetChooser] = {}
        self._targets_by_service: dict[int, tuple[TargetInfo, ...]] = {}
        self._rebuild_queue: deque[int] = deque()
        self._services_to_rebuild: set[int] = set()

    def count_ejections(self) -> dict[int, int]:
        """Return the number of ejections so far by service id."""
        return {
            service: chooser.ejections_total
            for service, chooser in self._choosers_by_service.items()
        }

    def update_targets(
        self, targets_by_service: Mapping[int, tuple[TargetInfo, ...]]
    ) -> int:
        """Replace all targets; return the number of changed services."""
        known = self._targets_by_service
        changed = [
            service
            for service, targets in targets_by_service.items()
            if known.get(service) != targets
        ]
        changed.extend(known.keys() - targets_by_service.keys())
        self._targets_by_service = dict(targets_by_service)
        for service in changed:
            if service not in self._services_to_rebuild:
                self._services_to_rebuild.add(service)
                self._rebuild_queue.append(service)
        return len(changed)

    def rebuild_slice(self, slice_s: float = SLICE_S) -> int:
        """Rebuild queued tables for about `slice_s` seconds.

        Returns the number of tables still queued.
        """
        timers = self._shared.timers
        end_s = timers.now() + slice_s
        while self._rebuild_queue and timers.now() <= end_s:
            for _ in range(
                min(_SERVICES_PER_CLOCK_READ, len(self._rebuild_queue))
            ):
                self._rebuild(self._rebuild_queue.popleft())
        return len(self._rebuild_queue)

    def get_chooser(self, service: int) -> TargetChooser | None:
        """Return the up-to-date chooser, None if there are no targets."""
        if service in self._services_to_rebuild:
            self._rebuild(service)
        return self._choosers_by_service.get(service)

    def choose(
        self, service: int, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the target for a new flow of the service.

        The error is `NoTarget` if the service is unknown or none of its
        targets is alive and accepting.
        """
        chooser = self.get_chooser(service)
        if chooser is None:
            return Err(NoTarget(service, NoTargetReason.UNKNOWN_SERVICE))
        return chooser.choose(flow_id, size_class)

    def explain(
        self, service: int, flow_id: int
    ) -> Result[Explanation, NoTarget]:
        """Return the choice for a flow and its reasons, without making it.

        The error is `NoTarget` if the service has no targets.
        """
        chooser = self.get_chooser(service)
        if chooser is None:
            return Err(NoTarget(service, NoTargetReason.UNKNOWN_SERVICE))
        return Ok(explain_choice(chooser, self._shared, flow_id))

    def record_probe(self, service: int, reply: ProbeReply) -> None:
        """Pass a probe reply to the chooser of the service, if any."""
        chooser = self._choosers_by_service.get(service)
        if chooser is not None:
            chooser.record_probe(reply)

    def _rebuild(self, service: int) -> None:
        if service not in self._services_to_rebuild:
            return
        self._services_to_rebuild.discard(service)
        targets = self._targets_by_service.get(service)
        if targets is None:
            self._choosers_by_service.pop(service, None)
            return
        chooser = self._choosers_by_service.get(service)
        if chooser is None:
            chooser = TargetChooser(service, self._shared)
            self._choosers_by_service[service] = chooser
        chooser.replace_targets(targets)

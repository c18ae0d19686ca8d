"""The choosers of all services at a balancer, updated in small steps."""

from collections import deque
from collections.abc import Mapping

from result import Err, Result

from ..generated.messages import SizeClass
from .choice import (
    Choice,
    ChooserServices,
    NoTarget,
    NoTargetReason,
    ProbeReply,
    TargetChooser,
)
from .targets import TargetInfo

# How often a slice of tables reads the clock.
_SERVICES_PER_CHECK = 4
# Far below the 50 ms that the event loop may stall.
SLICE_S = 0.005


class ServiceChoosers:
    """Keeps one chooser for each service that has targets.

    `update_targets` only notes which services changed; `rebuild_slice`
    makes their tables for a few milliseconds at a time, and `choose`
    makes the table of its own service at once if it is still due.
    """

    def __init__(self, shared: ChooserServices) -> None:
        self._shared = shared
        self._choosers_by_service: dict[int, TargetChooser] = {}
        self._targets_by_service: dict[int, tuple[TargetInfo, ...]] = {}
        self._changed: deque[int] = deque()
        self._changed_services: set[int] = set()

    def count_ejections(self) -> dict[int, int]:
        """Return the soft ejections so far by service id."""
        return {
            service: chooser.ejections_total
            for service, chooser in self._choosers_by_service.items()
        }

    def update_targets(
        self, targets_by_service: Mapping[int, tuple[TargetInfo, ...]]
    ) -> int:
        """Take the present targets; return how many services changed."""
        known = self._targets_by_service
        changed = [
            service
            for service, targets in targets_by_service.items()
            if known.get(service) != targets
        ]
        changed.extend(known.keys() - targets_by_service.keys())
        self._targets_by_service = dict(targets_by_service)
        for service in changed:
            if service not in self._changed_services:
                self._changed_services.add(service)
                self._changed.append(service)
        return len(changed)

    def rebuild_slice(self, slice_s: float = SLICE_S) -> int:
        """Make due tables for about `slice_s`; return how many are left."""
        timers = self._shared.timers
        end_s = timers.now() + slice_s
        while self._changed and timers.now() <= end_s:
            for _ in range(min(_SERVICES_PER_CHECK, len(self._changed))):
                self._rebuild(self._changed.popleft())
        return len(self._changed)

    def get_chooser(self, service: int) -> TargetChooser | None:
        """Return the chooser with its table up to date, if any."""
        if service in self._changed_services:
            self._rebuild(service)
        return self._choosers_by_service.get(service)

    def choose(
        self, service: int, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the target for a new flow of the service."""
        chooser = self.get_chooser(service)
        if chooser is None:
            return Err(NoTarget(service, NoTargetReason.UNKNOWN_SERVICE))
        return chooser.choose(flow_id, size_class)

    def record_probe(self, service: int, reply: ProbeReply) -> None:
        """Take the load that a target of the service reports."""
        chooser = self._choosers_by_service.get(service)
        if chooser is not None:
            chooser.record_probe(reply)

    def _rebuild(self, service: int) -> None:
        if service not in self._changed_services:
            return
        self._changed_services.discard(service)
        targets = self._targets_by_service.get(service)
        if targets is None:
            self._choosers_by_service.pop(service, None)
            return
        chooser = self._choosers_by_service.get(service)
        if chooser is None:
            chooser = TargetChooser(service, self._shared)
            self._choosers_by_service[service] = chooser
        chooser.replace_targets(targets)

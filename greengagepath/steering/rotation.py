"""When a balancer that is told to stop may go out of rotation.

Load pattern: balancers of an availability zone are restarted one after
the other, closer together than a restart takes. The fabric uses all
balancers of a zone, also those that do not run, while some but fewer
than half of them are ready; so a balancer stays ready until earlier
ones are back.
"""

from enum import IntEnum, unique

from ..foundation.timers import TimerService

# Balancers announce themselves every second.
SILENT_S = 2.4
# The fabric sees a balancer that is ready again at its next probe.
SETTLE_S = 0.7
# A balancer silent for this long has been removed.
FORGET_S = 20.0


@unique
class BalancerStage(IntEnum):
    """What a balancer says of itself; sent as `hops` of a PRESENCE."""

    READY = 0
    LEAVING = 1
    STARTING = 2


class ZoneMate:
    """Another balancer of the same availability zone."""

    __slots__ = ('heard_s', 'leaving_since_s', 'ready_since_s')

    def __init__(self, now_s: float) -> None:
        self.heard_s = now_s
        self.leaving_since_s: float | None = None
        self.ready_since_s: float | None = None


class Rotation:
    """Balancers of one availability zone, as one of them hears them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._mate_by_address: dict[bytes, ZoneMate] = {}
        self._asked_s: float | None = None

    def note(self, address: bytes, stage: BalancerStage) -> None:
        """Take what another balancer of the zone says."""
        now_s = self._timers.now()
        mate = self._mate_by_address.get(address)
        if mate is None:
            mate = ZoneMate(now_s)
            self._mate_by_address[address] = mate
            # Balancers that are met in service have been ready before.
            if stage is BalancerStage.READY and self._asked_s is None:
                mate.ready_since_s = now_s - SETTLE_S
        if now_s - mate.heard_s > SILENT_S:
            mate.ready_since_s = None
        mate.heard_s = now_s
        match stage:
            case BalancerStage.READY:
                mate.leaving_since_s = None
                if mate.ready_since_s is None:
                    mate.ready_since_s = now_s
            case BalancerStage.LEAVING:
                if mate.leaving_since_s is None:
                    mate.leaving_since_s = now_s
            case BalancerStage.STARTING:
                mate.ready_since_s = None
                mate.leaving_since_s = None

    def request_leave(self) -> None:
        """Start to wait; balancers that ask later wait for this one."""
        if self._asked_s is None:
            self._asked_s = self._timers.now()

    def may_leave(self) -> bool:
        """Return whether the fabric would use only ready balancers."""
        now_s = self._timers.now()
        self._forget(now_s)
        mates = list(self._mate_by_address.values())
        ready = sum(self._is_ready(mate, now_s) for mate in mates)
        return ready == 0 or ready * 2 >= len(mates) + 1

    def _is_ready(self, mate: ZoneMate, now_s: float) -> bool:
        if now_s - mate.heard_s > SILENT_S or mate.ready_since_s is None:
            return False
        if now_s - mate.ready_since_s < SETTLE_S:
            return False
        if mate.leaving_since_s is None:
            return True
        return self._asked_s is not None and (
            mate.leaving_since_s >= self._asked_s
        )

    def _forget(self, now_s: float) -> None:
        for address, mate in tuple(self._mate_by_address.items()):
            if now_s - mate.heard_s > FORGET_S:
                del self._mate_by_address[address]

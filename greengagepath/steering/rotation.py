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
SILENCE_LIMIT_S = 2.4
# The fabric sees a balancer that is ready again at its next probe.
PROBE_DELAY_S = 0.7
# A balancer silent for this long has been removed.
REMOVE_AFTER_S = 20.0


@unique
class BalancerStage(IntEnum):
    """What a balancer says of itself; sent as `hops` of a PRESENCE."""

    READY = 0
    LEAVING = 1
    STARTING = 2


class ZonePeer:
    """Another balancer of the same availability zone."""

    __slots__ = ('last_seen_s', 'leaving_since_s', 'ready_since_s')

    def __init__(self, now_s: float) -> None:
        self.last_seen_s = now_s
        self.leaving_since_s: float | None = None
        self.ready_since_s: float | None = None


class Rotation:
    """Balancers of one availability zone, as one of them hears them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._peer_by_address: dict[bytes, ZonePeer] = {}
        self._leave_requested_s: float | None = None

    def update(self, address: bytes, stage: BalancerStage) -> None:
        """Take what another balancer of the zone says."""
        now_s = self._timers.now()
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = ZonePeer(now_s)
            self._peer_by_address[address] = peer
            # Balancers that are met in service have been ready before.
            if stage is BalancerStage.READY and self._leave_requested_s is None:
                peer.ready_since_s = now_s - PROBE_DELAY_S
        if now_s - peer.last_seen_s > SILENCE_LIMIT_S:
            peer.ready_since_s = None
        peer.last_seen_s = now_s
        match stage:
            case BalancerStage.READY:
                peer.leaving_since_s = None
                if peer.ready_since_s is None:
                    peer.ready_since_s = now_s
            case BalancerStage.LEAVING:
                if peer.leaving_since_s is None:
                    peer.leaving_since_s = now_s
            case BalancerStage.STARTING:
                peer.ready_since_s = None
                peer.leaving_since_s = None

    def request_leave(self) -> None:
        """Start to wait; balancers that ask later wait for this one."""
        if self._leave_requested_s is None:
            self._leave_requested_s = self._timers.now()

    def may_leave(self) -> bool:
        """Return whether the fabric would use only ready balancers."""
        now_s = self._timers.now()
        self._remove_silent(now_s)
        peers = list(self._peer_by_address.values())
        ready = sum(self._is_ready(peer, now_s) for peer in peers)
        return ready == 0 or ready * 2 >= len(peers) + 1

    def _is_ready(self, peer: ZonePeer, now_s: float) -> bool:
        if (
            now_s - peer.last_seen_s > SILENCE_LIMIT_S
            or peer.ready_since_s is None
        ):
            return False
        if now_s - peer.ready_since_s < PROBE_DELAY_S:
            return False
        if peer.leaving_since_s is None:
            return True
        return self._leave_requested_s is not None and (
            peer.leaving_since_s >= self._leave_requested_s
        )

    def _remove_silent(self, now_s: float) -> None:
        for address, peer in tuple(self._peer_by_address.items()):
            if now_s - peer.last_seen_s > REMOVE_AFTER_S:
                del self._peer_by_address[address]

"""Decides when a stopping balancer may leave the rotation.

Load pattern: the balancers of an availability zone are restarted one
after the other, at intervals shorter than a restart takes. While some
but fewer than half of a zone's balancers are ready, the fabric sends to
all of them, including those that are not running. A balancer therefore
stays ready until those that left before it are back.
"""

import math
from enum import IntEnum, unique

from ...foundation.timers import TimerService

# Balancers send a PRESENCE every second; this allows two lost ones.
PRESENCE_SILENCE_S = 2.4
# The fabric notices a ready balancer only at its next probe.
PROBE_DELAY_S = 0.7
# A balancer that was silent for this long is assumed to be removed.
REMOVE_AFTER_S = 20.0
# The fabric sends to a balancer until two readiness probes in a row have
# failed, one every 500 ms; the rest is for the delay of a probe.
FAILED_PROBES_S = 1.2
# Packets in transit arrive within this time after that.
TRANSIT_S = 0.7
# The process stops this long before it would be killed.
STOP_RESERVE_S = 0.6
# Share of the time until it is killed in which a leaving balancer has left
# the rotation. In rolling restarts that overlap, the others may not come
# back before; callers must not depend on a process that is about to end.
LEAVE_SHARE = 2 / 3


@unique
class BalancerStage(IntEnum):
    """Stage of a balancer's life cycle; sent as `hops` of a PRESENCE."""

    READY = 0
    LEAVING = 1
    STARTING = 2


def find_leave_wait_s(termination_s: float) -> float:
    """Return how long a leaving balancer may wait for others, in seconds.

    `termination_s` is the time from the request to stop until it is killed.
    0 if that is too short for a wait. To leave takes `FAILED_PROBES_S` and
    `TRANSIT_S`.
    """
    out_s = min(
        termination_s * LEAVE_SHARE,
        termination_s - TRANSIT_S - STOP_RESERVE_S,
    )
    return max(out_s - FAILED_PROBES_S, 0.0)


class ZonePeer:
    """Another balancer of the same availability zone.

    All times are monotonic seconds.
    """

    __slots__ = ('last_seen_s', 'leaving_since_s', 'ready_since_s')

    def __init__(self, now_s: float) -> None:
        self.last_seen_s = now_s
        self.leaving_since_s: float | None = None
        self.ready_since_s: float | None = None


class Rotation:
    """Stages of the other balancers of an availability zone."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._peer_by_address: dict[bytes, ZonePeer] = {}
        self._leave_requested_s: float | None = None
        self._leave_limit_s = math.inf

    def update(self, address: bytes, stage: BalancerStage) -> None:
        """Record the stage that another balancer of the zone announced."""
        now_s = self._timers.now()
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = ZonePeer(now_s)
            self._peer_by_address[address] = peer
            # A balancer that is ready at the first contact was ready
            # before, so the fabric has noticed it already.
            if stage is BalancerStage.READY and self._leave_requested_s is None:
                peer.ready_since_s = now_s - PROBE_DELAY_S
        if now_s - peer.last_seen_s > PRESENCE_SILENCE_S:
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

    def request_leave(self, longest_wait_s: float = math.inf) -> None:
        """Ask to leave; balancers that ask later wait for this one.

        `longest_wait_s` seconds later this one no longer waits for others.
        """
        if self._leave_requested_s is None:
            now_s = self._timers.now()
            self._leave_requested_s = now_s
            self._leave_limit_s = now_s + longest_wait_s

    def may_leave(self) -> bool:
        """Return whether the fabric would still send to ready ones only.

        True too if no other balancer is ready: the fabric then uses the
        nearest zones. Also True once the longest wait has passed.
        """
        now_s = self._timers.now()
        if now_s >= self._leave_limit_s:
            return True
        self._remove_silent(now_s)
        ready = self.count_ready()
        return ready == 0 or ready * 2 >= self.count_peers() + 1

    def count_peers(self) -> int:
        """Return the number of known other balancers of the zone."""
        return len(self._peer_by_address)

    def count_ready(self) -> int:
        """Return how many of them the fabric sends to."""
        now_s = self._timers.now()
        peers = self._peer_by_address.values()
        return sum(self._is_ready(peer, now_s) for peer in peers)

    def count_silent(self) -> int:
        """Return how many of them have sent nothing for too long."""
        seen_after_s = self._timers.now() - PRESENCE_SILENCE_S
        peers = self._peer_by_address.values()
        return sum(peer.last_seen_s < seen_after_s for peer in peers)

    def _is_ready(self, peer: ZonePeer, now_s: float) -> bool:
        if (
            now_s - peer.last_seen_s > PRESENCE_SILENCE_S
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

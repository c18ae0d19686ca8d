"""Placement of the openings that wait."""

from collections.abc import Callable

from ...waiting.opening_queue import MAX_WAITING
from ..agent.agent_context import AgentContext
from ..agent.distant_agents import choose_distant
from ..messages.peer_messages import PeerMessage
from ..messages.segments import Segment
from .opening_refusals import OpeningRefusals
from .opening_waits import OpeningWaits, QueuedOpening, choose_running
from .placement import Estimate, PeerLoad, choose_peer, is_own_better

# Returns the estimate of the own target, None if it accepts no flow.
EstimateOwn = Callable[[], Estimate | None]
Accept = Callable[[PeerMessage, Segment, Estimate], None]
PlaceAtPeer = Callable[[PeerLoad, PeerMessage, Segment], None]


class OpeningDispatch:
    """Places openings that wait as soon as a target has room.

    The callables are those by which openings that arrive are placed.
    """

    def __init__(
        self,
        context: AgentContext,
        waits: OpeningWaits,
        refusals: OpeningRefusals,
        *,
        estimate_own: EstimateOwn,
        accept: Accept,
        place_at_peer: PlaceAtPeer,
    ) -> None:
        self._context = context
        self._waits = waits
        self._refusals = refusals
        self._estimate_own = estimate_own
        self._accept = accept
        self._place_at_peer = place_at_peer

    def check(self) -> None:
        """Refuse what cannot be served in time, and place what can be."""
        if self._waits:
            self._waits.check()
            self.serve()

    def serve(self, most: int = MAX_WAITING) -> None:
        """Place at most `most` of the openings that wait.

        Each target of another agent gets one only: its other homes have
        received the same report, and place their openings as well.
        """
        used: set[bytes] = set()
        for _ in range(min(most, len(self._waits))):
            now_s = self._context.timers.now()
            own = self._estimate_own()
            chosen = self._choose_unused(used)
            entry = self._waits.pop_best(own, chosen, now_s)
            if entry is None:
                return
            if not self._waits.fits_peer(entry, chosen, now_s):
                chosen = None
            if self._waits.fits_own(entry, own, now_s) and is_own_better(
                own, chosen, entry.message.hops
            ):
                self._accept(entry.message, entry.segment, own)
            else:
                used.add(chosen[1].address)
                self._move(chosen[1], entry)

    def serve_after_report(self, sender: bytes) -> None:
        """Place one opening if the target of a report has a free slot."""
        if not self._waits:
            return
        load = self._context.peers.load_by_address.get(sender)
        now_s = self._context.timers.now()
        if load is not None and load.has_free_slot(now_s):
            self.serve(most=1)

    def release(self) -> None:
        """Send all openings that wait to other agents, or refuse them."""
        peers = self._context.peers
        now_s = self._context.timers.now()
        for entry in self._waits.take_all():
            chosen = choose_running(peers.loads, now_s)
            if chosen is None:
                chosen = choose_distant(peers, entry.flow, entry.message.hops)
            if chosen is None:
                self._refusals.refuse(entry.segment, entry.message, 'leaving')
            else:
                self._move(chosen, entry)

    def _move(self, chosen: PeerLoad, entry: QueuedOpening) -> None:
        """Send an opening that has waited to another agent."""
        self._place_at_peer(chosen, entry.message, entry.segment)
        self._waits.announce_move(entry, chosen.address)

    def _choose_unused(
        self, used: set[bytes]
    ) -> tuple[Estimate, PeerLoad] | None:
        loads = self._context.peers.loads
        unused = [load for load in loads if load.address not in used]
        return choose_peer(unused, self._context.timers.now())

"""Conclusions that no target holds a flow, for as long as they hold."""

import logging
import math

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..messages.segments import describe_flow
from ..recent_map import RecentMap

MAX_LOST = 20000

_logger = logging.getLogger(__name__)


class Loss:
    """Conclusion that no target holds a flow.

    `sequence` is the last sequence number that the caller acknowledged,
    `denied_by` says on whose word the conclusion was drawn, and `decided_s`
    when, in monotonic seconds; infinity if nothing can withdraw it.
    """

    __slots__ = ('decided_s', 'denied_by', 'sequence')

    def __init__(
        self, sequence: int, denied_by: str, decided_s: float = math.inf
    ) -> None:
        self.sequence = sequence
        self.denied_by = denied_by
        self.decided_s = decided_s

    def age_s(self, now_s: float) -> float:
        """Return the age in seconds, 0 if nothing can withdraw the loss."""
        return round(max(now_s - self.decided_s, 0.0), 3)


class Losses:
    """Losses of one kind by flow.

    One that was decided before the news of an agent that nobody waited for
    is withdrawn when it is looked up.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._by_flow: RecentMap[bytes, Loss] = RecentMap(MAX_LOST)

    def put(self, flow: bytes, loss: Loss) -> None:
        """Store the loss of a flow."""
        self._by_flow.put(flow, loss)

    def find(self, flow: bytes) -> Loss | None:
        """Return the loss of a flow, None if there is none that holds."""
        loss = self._by_flow.get(flow)
        evidence = self._context.peers.evidence
        if loss is None or evidence.holds(loss.decided_s):
            return loss
        self._by_flow.discard(flow)
        self._context.counts['losses_withdrawn'] += 1
        log_event(
            _logger,
            'flow.loss_withdrawn',
            repeats=True,
            flow=describe_flow(flow),
            denied_by=loss.denied_by,
            age_s=loss.age_s(self._context.timers.now()),
            reason=evidence.reason,
        )
        return None

    def discard(self, flow: bytes) -> None:
        """Remove the loss of a flow, if there is one."""
        self._by_flow.discard(flow)

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._by_flow.rotate()

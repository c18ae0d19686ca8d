"""Resets of lost flows, at the pace at which targets can serve retries.

Load pattern: all flows of a service are lost within a second. Were they
reset together, the targets would refuse most of the requests that come
back. While resets wait, a VM that was cut off may be back, so each loss is
looked up again before its reset is sent.
"""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..messages.segments import describe_flow
from ..targets.service_times import DEFAULT_S
from .losses import Losses

# Resets per request that the own target can serve in the same time; callers
# of other flows need the rest.
RESET_SHARE = 0.5
# Resets that are sent without a pause.
MAX_BURST = 2.0

_logger = logging.getLogger(__name__)


class PacedResets:
    """Resets that are due, by flow."""

    def __init__(self, context: AgentContext, losses: Losses) -> None:
        self._context = context
        self._losses = losses
        # Sequence numbers of the resets that are still to be sent.
        self._sequence_by_flow: dict[bytes, int] = {}
        self._allowed = MAX_BURST
        self._refilled_s = context.timers.now()

    def add(self, flow: bytes, sequence: int) -> None:
        """Reset a lost flow as soon as the pace allows it."""
        self._sequence_by_flow[flow] = sequence
        self.send_due()

    def discard(self, flow: bytes) -> None:
        """Do not reset a flow."""
        self._sequence_by_flow.pop(flow, None)

    def send_due(self) -> None:
        """Send the resets that the pace allows, the youngest flows first.

        Requests that have waited for longer are late already. After a
        pause of this process, messages that are still unread may withdraw
        losses.
        """
        self._refill()
        if self._context.backlog.is_stale():
            return
        while self._sequence_by_flow and self._allowed >= 1:
            flow, sequence = self._sequence_by_flow.popitem()
            self._send(flow, sequence)

    def _send(self, flow: bytes, sequence: int) -> None:
        loss = self._losses.find(flow)
        if loss is None:
            return
        self._allowed -= 1
        self._context.counts['resets_of_lost'] += 1
        log_event(
            _logger,
            'flow.reset',
            repeats=True,
            flow=describe_flow(flow),
            denied_by=loss.denied_by,
            age_s=loss.age_s(self._context.timers.now()),
            due=len(self._sequence_by_flow),
        )
        self._context.outbox.reset_open(flow, sequence)

    def _refill(self) -> None:
        now_s = self._context.timers.now()
        request_s = self._context.estimate_service_s() or DEFAULT_S
        per_s = self._context.gate.slots / request_s * RESET_SHARE
        added = (now_s - self._refilled_s) * per_s
        self._allowed = min(self._allowed + added, MAX_BURST)
        self._refilled_s = now_s

"""Resets that a target sends, and which of them callers receive."""

import logging

from ...foundation.logs import log_event
from ..agent.agent_context import AgentContext
from ..flows.held_flow import HeldFlow
from ..flows.owner_search import OwnerSearch
from ..messages.segments import Segment, describe_flow
from ..openings.agent_openings import AgentOpenings

_logger = logging.getLogger(__name__)


class TargetResets:
    """Passes on a reset only if the flow is open at this target.

    A target may answer a packet of a flow that it does not hold with a
    reset instead of sending the packet back. The flow may be open at
    another target, and such a reset would end it there.
    """

    def __init__(
        self,
        context: AgentContext,
        openings: AgentOpenings,
        search: OwnerSearch,
    ) -> None:
        self._context = context
        self._openings = openings
        self._search = search

    def withhold(self, segment: Segment, held: HeldFlow | None) -> bool:
        """Return whether the reset must not reach the caller.

        If so, a tried packet or an unanswered opening packet is sent to
        other agents. An answered flow is kept: if the caller acknowledges
        the answer, the target rejects that packet, too.
        """
        is_withheld = held is None or not held.is_confirmed
        self._log(segment, held, is_withheld=is_withheld)
        if is_withheld:
            self._send_elsewhere(segment.flow, held)
        return is_withheld

    def _send_elsewhere(self, flow: bytes, held: HeldFlow | None) -> None:
        if held is None:
            self._search.handle_rejected(flow)
        elif held.opening is not None:
            self._openings.handle_returned(held.opening, held)

    def _log(
        self, segment: Segment, held: HeldFlow | None, *, is_withheld: bool
    ) -> None:
        name = 'resets_withheld' if is_withheld else 'resets_passed'
        self._context.counts[name] += 1
        log_event(
            _logger,
            'flow.reset_by_target',
            repeats=True,
            flow=describe_flow(segment.flow),
            is_held=held is not None,
            is_withheld=is_withheld,
            flow_phase=held.phase.value if held else None,
            target_id=self._context.gate.target_id,
            phase=self._context.gate.phase.value,
        )

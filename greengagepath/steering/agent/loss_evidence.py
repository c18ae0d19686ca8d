"""Validity of conclusions that no target holds a flow.

Such a conclusion is drawn without the word of agents that seem not to run.
If one of them runs after all, because its VM was cut off, was suspended or
has been unknown, its target may hold the flow. All conclusions that are
older than this news are void, and packets of these flows are searched again.
"""

import logging
import math

from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ..settings import format_address

_logger = logging.getLogger(__name__)


class LossEvidence:
    """Time of the last news that voids conclusions about lost flows.

    `voided_s` is in monotonic seconds, minus infinity before any news.
    `reason` says what the news was, for logs.
    """

    __slots__ = ('_timers', 'reason', 'voided_s')

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.reason = ''
        self.voided_s = -math.inf

    def void(self, reason: str, age_s: float = 0.0) -> None:
        """Void all conclusions that are older than `age_s` seconds."""
        news_s = self._timers.now() - age_s
        if news_s > self.voided_s:
            self.voided_s = news_s
            self.reason = reason

    def record_first_report(self, address: bytes) -> None:
        """Void all conclusions: an agent runs that was not known to."""
        self.void(f'first report of {format_address(address)}')

    def record_target(self, address: bytes) -> None:
        """Void all conclusions: a target runs that was taken for gone."""
        self.void(f'target of {format_address(address)} runs again')

    def record_return(self, address: bytes, silent_s: float) -> None:
        """Void all conclusions: an agent runs that seemed not to run."""
        returned = format_address(address)
        self.void(f'return of {returned}')
        log_event(
            _logger,
            'agent.returned',
            repeats=True,
            agent=returned,
            silent_s=round(silent_s, 2),
        )

    def holds(self, decided_s: float) -> bool:
        """Return whether a conclusion of a monotonic time still holds."""
        return decided_s > self.voided_s

"""Agents that report again after a balancer took them for gone.

While an agent counts as gone, its service denies flows without its word.
Denials of the service that are older than the return of the agent are void,
and the homes that were told of lost flows have to search them again.
"""

import logging
import math

from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ..ages import drop_older
from ..messages.peer_messages import MAX_OBJECTIVE_MS
from ..settings import format_address

# Until this time after its start a balancer may not have received the
# reports of all agents.
WARM_UP_S = 1.5
# A home keeps a loss for up to this long after the last packet of its flow.
LOSS_RETENTION_S = 60.0
_MS_PER_S = 1000

_logger = logging.getLogger(__name__)


class AgentReturns:
    """Last return of an agent of each service, and who is to hear of it.

    Those are the homes that this balancer has told of lost flows. Times are
    monotonic seconds.
    """

    __slots__ = (
        '_is_new',
        '_last_s',
        '_last_s_by_service',
        '_loss_s_by_home',
        '_started_s',
        '_timers',
    )

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._started_s = timers.now()
        self._last_s_by_service: dict[bytes, float] = {}
        self._last_s = -math.inf
        self._is_new = False
        # When each home was told last.
        self._loss_s_by_home: dict[bytes, float] = {}

    def record(self, address: bytes, service: bytes, silent_s: float) -> None:
        """Record a report of an agent that was silent for too long."""
        self._last_s = self._timers.now()
        self._last_s_by_service[service] = self._last_s
        self._is_new = True
        log_event(
            _logger,
            'agent.returned',
            repeats=True,
            agent=format_address(address),
            silent_s=round(silent_s, 2),
        )

    def record_unknown(self, address: bytes, service: bytes) -> None:
        """Record the first report of an agent, a return if it comes late."""
        since_start_s = self._timers.now() - self._started_s
        if since_start_s > WARM_UP_S:
            self.record(address, service, since_start_s)

    def is_void(self, service: bytes, denied_s: float) -> bool:
        """Return whether an agent of the service returned after a denial."""
        return denied_s <= self._last_s_by_service.get(service, -math.inf)

    def record_loss(self, home: bytes) -> None:
        """Record that a home is told of a lost flow."""
        self._loss_s_by_home[home] = self._timers.now()

    def take_homes(self) -> list[bytes]:
        """Return the homes to tell of returns since the last call."""
        if not self._is_new:
            return []
        self._is_new = False
        before_s = self._timers.now() - LOSS_RETENTION_S
        drop_older(self._loss_s_by_home, before_s)
        return list(self._loss_s_by_home)

    @property
    def age_ms(self) -> int:
        """Return the ms since the last return, 0 if there was none lately."""
        age_s = self._timers.now() - self._last_s
        if age_s * _MS_PER_S > MAX_OBJECTIVE_MS:
            return 0
        return max(round(age_s * _MS_PER_S), 1)

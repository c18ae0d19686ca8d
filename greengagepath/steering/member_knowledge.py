"""Whether a process knows all agents that may hold a flow.

A process that has just started knows those that the store's list and its
peers have named to it. The list may lack a running agent: a late call has
removed its entry, or the store has come back from an earlier copy. On the
word of the agents that it knows, such a process would take flows of the
others for lost.
"""

import logging
from enum import Enum, unique

from ..foundation.logs import log_event
from ..foundation.timers import TimerService

# How long a process waits for a peer that knows all agents. Without one it
# goes by the list: all processes may have been started together. A peer
# answers within a round trip and the time that its packets wait.
PEER_WAIT_S = 0.25
# The same for a list that nobody vouches for in the era of the store. The
# running processes register again within this time after a drill.
UNVOUCHED_WAIT_S = 5.0

_logger = logging.getLogger(__name__)


@unique
class Grounds(Enum):
    """Why all agents should be known."""

    # Nothing yet.
    NONE = 'none'
    # A list that is vouched for; no peer has told more.
    LIST = 'list'
    # No other word was to be had in time.
    TIMEOUT = 'timeout'
    # A peer that knows all agents has named them.
    PEER = 'peer'


class MemberKnowledge:
    """Grounds on which a process takes its knowledge for complete.

    Without the store's list there are none.
    """

    __slots__ = ('_has_peer', '_is_logged', '_listed_s', '_timers', '_vouched')

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        # When the list was read first, in monotonic seconds.
        self._listed_s: float | None = None
        self._vouched = False
        self._has_peer = False
        self._is_logged = False

    def record_list(self, *, is_vouched: bool) -> None:
        """Record that the list was read, and whether it is vouched for."""
        if self._listed_s is None:
            self._listed_s = self._timers.now()
            log_event(_logger, 'members.listed', is_vouched=is_vouched)
        self._vouched = self._vouched or is_vouched

    def record_peer(self) -> None:
        """Record that a peer which knows all agents has named them."""
        self._has_peer = True

    @property
    def grounds(self) -> Grounds:
        """Return why all agents should be known by now."""
        if self._listed_s is None:
            return Grounds.NONE
        if self._has_peer:
            return Grounds.PEER
        listed_for_s = self._timers.now() - self._listed_s
        if self._vouched and listed_for_s >= PEER_WAIT_S:
            return Grounds.LIST
        if listed_for_s >= UNVOUCHED_WAIT_S:
            return Grounds.TIMEOUT
        return Grounds.NONE

    @property
    def is_settled(self) -> bool:
        """Return whether all agents should be known by now."""
        grounds = self.grounds
        if grounds is Grounds.NONE:
            return False
        if not self._is_logged:
            self._is_logged = True
            log_event(
                _logger,
                'members.settled',
                grounds=grounds.value,
                is_vouched=self._vouched,
            )
        return True

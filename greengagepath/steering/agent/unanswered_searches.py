"""Searches that other agents have not answered."""

from ...foundation.timers import TimerService


class UnansweredSearches:
    """Time of the oldest unanswered search for each agent.

    An agent without a running target answers each search, at least with a
    report once its target has had time to reject the packet. Any message of
    an agent shows that it runs.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._asked_s_by_agent: dict[bytes, float] = {}

    def record_asked(self, address: bytes) -> None:
        """Record that an agent was sent a search, which it has to answer."""
        self._asked_s_by_agent.setdefault(address, self._timers.now())

    def discard(self, address: bytes) -> None:
        """Forget an agent that has sent a message or is no contact any more."""
        self._asked_s_by_agent.pop(address, None)

    def silent_s(self, address: bytes, read_s: float) -> float:
        """Return for how many seconds an agent has left a search unanswered.

        0 or less if there is none. `read_s` is when the own socket was last
        read empty, in monotonic seconds; messages that arrived later may not
        have been handled yet.
        """
        return read_s - self._asked_s_by_agent.get(address, read_s)

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of agents."""
        for address in self._asked_s_by_agent:
            self._asked_s_by_agent[address] += pause_s

"""Proof that no target of any service holds an open flow.

A route may have several services, and a change of its services leaves the
open flows where they are. The home of one service therefore cannot tell
that a flow is lost: a balancer, which knows the agents of all services,
collects what the homes have found.
"""

from ...foundation.timers import TimerService
from ..messages.segments import Segment
from ..recent_map import RecentMap
from .agent_returns import AgentReturns
from .known_agents import KnownAgents

MAX_DENIED = 20000
# Denials that are further apart are not combined: the caller may have
# closed the flow and used its ports again.
DENIAL_TIMEOUT_S = 2.0
# The same for packets whose acknowledged sequence numbers are further apart.
MAX_SEQUENCE_STEP = 76800


class DeniedFlow:
    """Services that have denied one flow, and those that were asked.

    `home` is the agent that has denied the flow first, and `service` the
    service for which it did.
    """

    __slots__ = (
        'acknowledged',
        'asked',
        'denied_by',
        'home',
        'service',
        'started_s',
    )

    def __init__(
        self,
        acknowledged: int,
        home: bytes,
        service: bytes,
        started_s: float,
    ) -> None:
        self.acknowledged = acknowledged
        self.home = home
        self.service = service
        self.started_s = started_s
        # When each service has denied the flow, in monotonic seconds.
        self.denied_by: dict[bytes, float] = {}
        self.asked: set[bytes] = set()

    def is_same_flow(self, segment: Segment, now_s: float) -> bool:
        """Return whether another packet belongs to the denied flow."""
        step = abs(segment.acknowledged - self.acknowledged)
        age_s = now_s - self.started_s
        return step <= MAX_SEQUENCE_STEP and age_s <= DENIAL_TIMEOUT_S

    def drop_void(self, returns: AgentReturns) -> None:
        """Drop denials of services of which an agent has returned since."""
        for service, denied_s in tuple(self.denied_by.items()):
            if returns.is_void(service, denied_s):
                del self.denied_by[service]
                self.asked.discard(service)


class FlowDenials:
    """Collects the denials of services until all have denied a flow."""

    def __init__(self, timers: TimerService, agents: KnownAgents) -> None:
        self._timers = timers
        self._agents = agents
        self._denied_by_flow: RecentMap[bytes, DeniedFlow] = RecentMap(
            MAX_DENIED
        )

    def record(
        self, home: bytes, service: bytes, segment: Segment, asked: set[bytes]
    ) -> DeniedFlow:
        """Record that no target of the service holds a packet's flow.

        `asked` are the services that got the packet with the denying one.
        """
        now_s = self._timers.now()
        denied = self._denied_by_flow.get(segment.flow)
        if denied is None or not denied.is_same_flow(segment, now_s):
            denied = DeniedFlow(segment.acknowledged, home, service, now_s)
            self._denied_by_flow.put(segment.flow, denied)
        denied.drop_void(self._agents.returns)
        if service in denied.denied_by:
            # The packet was repeated. Services that have not denied the flow
            # are asked again: the agent that was asked may have been killed.
            denied.asked = set(denied.denied_by)
        denied.denied_by[service] = now_s
        denied.asked.add(service)
        denied.asked |= asked
        return denied

    def take_unasked(self, denied: DeniedFlow) -> set[bytes]:
        """Return the services that are to be asked now."""
        unasked = self._agents.present_services - denied.asked
        denied.asked |= unasked
        return unasked

    def is_lost(self, denied: DeniedFlow) -> bool:
        """Return whether the flow is certainly held by no target.

        Never while an agent may exist whose service is not known.
        """
        if not self._agents.is_complete:
            return False
        return self._agents.present_services <= denied.denied_by.keys()

    def discard(self, flow: bytes) -> None:
        """Forget the denials of a flow: a target holds it, or it is reset."""
        self._denied_by_flow.discard(flow)

    def rotate(self) -> None:
        """Drop entries of idle flows."""
        self._denied_by_flow.rotate()

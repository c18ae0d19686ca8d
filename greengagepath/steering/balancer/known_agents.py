"""Agents known to a balancer, by address and by service."""

import logging

import xxhash

from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ..gone_agents import (
    GONE_AFTER_S,
    IDENTIFY_S,
    IDLE_GONE_AFTER_S,
)
from ..homes import HomeTable
from ..member_knowledge import MemberKnowledge
from ..messages.peer_messages import NO_SERVICE, LoadReport, ReportedState
from ..settings import format_address
from ..target_states import IDLE_STATES, is_heard_again
from .agent_returns import AgentReturns

# Agents report every 250 ms; three lost reports in a row mean that an
# agent is not running or cannot be reached. With many balancers an agent
# reports less often and says so; the limit is then this many intervals.
AGENT_SILENCE_S = 0.9
SILENCE_INTERVALS = 3.6
_MS_PER_S = 1000
REMOVE_AFTER_S = 60.0
CHECK_S = 0.25

_logger = logging.getLogger(__name__)


class KnownAgent:
    """Last reported service and state of an agent.

    `service` is `NO_SERVICE` and `state` ABSENT until the first report;
    `last_seen_s` is in monotonic seconds; an agent is silent
    `silence_limit_s` seconds later. `started_ms` is the start of its target
    in ms since the epoch, 0 if unknown.
    """

    __slots__ = (
        'address',
        'last_seen_s',
        'service',
        'silence_limit_s',
        'started_ms',
        'state',
    )

    def __init__(self, address: bytes, last_seen_s: float) -> None:
        self.address = address
        self.service = NO_SERVICE
        self.state = ReportedState.ABSENT
        self.last_seen_s = last_seen_s
        self.silence_limit_s = AGENT_SILENCE_S
        self.started_ms = 0

    def is_silent(self, now_s: float) -> bool:
        """Return whether the agent has not reported for too long."""
        return now_s - self.last_seen_s > self.silence_limit_s

    @property
    def gone_after_s(self) -> float:
        """Return how long after its last report the agent counts as gone."""
        if self.service == NO_SERVICE:
            return IDENTIFY_S
        is_idle = self.state in IDLE_STATES
        return IDLE_GONE_AFTER_S if is_idle else GONE_AFTER_S

    def may_hold_flows_of(self, service: bytes) -> bool:
        """Return whether the target may hold flows of the service."""
        is_present = self.state is not ReportedState.ABSENT
        return is_present and self.service == service


class ServiceAgents:
    """Agents of one service: all, and those with a recent report."""

    __slots__ = ('known', 'live')

    def __init__(self, known: list[bytes], live: list[bytes]) -> None:
        self.known = HomeTable(known)
        self.live = HomeTable(live)

    def find_home(self, flow: bytes) -> bytes | None:
        """Return the home of an open flow, None if there is no agent.

        Silent agents are considered only if no other agent is left.
        """
        homes = self.live if self.live.addresses else self.known
        return homes.find_home(flow)


class KnownAgents:
    """Table of agents by address and, for routing, by service.

    `pauses` counts the pauses of this process. `has_room` tells whether the
    table has room for all agents that were named. `knowledge` tells on which
    grounds they are all that there are. `present_services` are
    the services of all agents that are not gone, also of those without a
    running target: their agents have to deny a flow, too. `returns` are the
    reports of agents that were taken for gone.
    """

    def __init__(self, timers: TimerService) -> None:
        self.by_address: dict[bytes, KnownAgent] = {}
        self.by_service: dict[bytes, ServiceAgents] = {}
        self.pauses = 0
        self.has_room = True
        self.knowledge = MemberKnowledge(timers)
        self.present_services: set[bytes] = set()
        self.returns = AgentReturns(timers)
        self._has_unidentified = False
        self._timers = timers
        timers.subscribe(CHECK_S, self._check)
        timers.subscribe_pauses(self._exclude_pause)

    @property
    def is_complete(self) -> bool:
        """Return whether the services of all agents should be known.

        False until there are grounds to know them all, and while one that
        was named has not reported its service.
        """
        has_all = self.has_room and self.knowledge.is_settled
        return has_all and not self._has_unidentified

    @property
    def present_addresses(self) -> list[bytes]:
        """Return the addresses of the agents that are not gone."""
        return [agent.address for agent in self._present_agents()]

    def find_searcher(self, service: bytes, flow: bytes) -> bytes | None:
        """Return the agent that searches a flow of another service.

        Any agent of the service can do so. One with a running target is
        preferred: a VM without one may be taken away at any time. Without
        such an agent it is the home, None without agents.
        """
        now_s = self._timers.now()
        running = [
            agent.address
            for agent in self.by_address.values()
            if agent.service == service
            and agent.state not in IDLE_STATES
            and not agent.is_silent(now_s)
        ]
        if running:
            return running[xxhash.xxh3_64_intdigest(flow) % len(running)]
        return self.find_home(service, flow)

    def find_home(self, service: bytes, flow: bytes) -> bytes | None:
        """Return the home of an open flow at a service, None without agents.

        An agent without a running target is the home only if there is no
        other agent.
        """
        service_agents = self.by_service.get(service)
        if service_agents is not None:
            return service_agents.find_home(flow)
        idle = [
            agent.address
            for agent in self._present_agents()
            if agent.service == service
        ]
        return HomeTable(idle).find_home(flow)

    def add(self, address: bytes) -> KnownAgent:
        """Add an agent that has not sent a report yet."""
        agent = KnownAgent(address, self._timers.now())
        self.by_address[address] = agent
        self._has_unidentified = True
        return agent

    def record_report(
        self, address: bytes, service: bytes, report: LoadReport
    ) -> bool:
        """Record the load report of an agent; True if it was not present."""
        self._record_return(address, service, report)
        agent = self.by_address.get(address) or self.add(address)
        agent.started_ms = report.started_ms
        now_s = self._timers.now()
        was_silent = agent.is_silent(now_s)
        agent.last_seen_s = now_s
        agent.silence_limit_s = max(
            AGENT_SILENCE_S,
            report.interval_ms / _MS_PER_S * SILENCE_INTERVALS,
        )
        is_same = agent.service == service and agent.state is report.state
        if is_same and not was_silent:
            return False
        was_absent = agent.state is ReportedState.ABSENT
        if _is_notable_change(agent, report) or was_silent:
            log_event(
                _logger,
                'agent.changed',
                agent=format_address(address),
                state=report.state.name,
                was=agent.state.name,
                was_silent=was_silent,
            )
        agent.service = service
        agent.state = report.state
        self._index_by_service()
        return was_absent

    def _record_return(
        self, address: bytes, service: bytes, report: LoadReport
    ) -> None:
        """Record the report of an agent that nobody waited for."""
        agent = self.by_address.get(address)
        if agent is None:
            self.returns.record_unknown(address, service)
            return
        silent_s = self._timers.now() - agent.last_seen_s
        is_gone = silent_s >= agent.gone_after_s
        is_moved = agent.service not in {NO_SERVICE, service}
        is_heard = is_heard_again(agent.state, agent.started_ms, report)
        if is_gone or is_moved or is_heard:
            self.returns.record(address, service, silent_s)

    def _present_agents(self) -> list[KnownAgent]:
        now_s = self._timers.now()
        return [
            agent
            for agent in self.by_address.values()
            if now_s - agent.last_seen_s < agent.gone_after_s
        ]

    def _exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of agents."""
        self.pauses += 1
        for agent in self.by_address.values():
            agent.last_seen_s += pause_s

    def _check(self) -> None:
        now_s = self._timers.now()
        for address, agent in tuple(self.by_address.items()):
            if now_s - agent.last_seen_s > REMOVE_AFTER_S:
                del self.by_address[address]
        self._index_by_service()

    def _index_by_service(self) -> None:
        now_s = self._timers.now()
        known: dict[bytes, list[bytes]] = {}
        live: dict[bytes, list[bytes]] = {}
        for agent in self.by_address.values():
            if agent.state is ReportedState.ABSENT:
                continue
            known.setdefault(agent.service, []).append(agent.address)
            if not agent.is_silent(now_s):
                live.setdefault(agent.service, []).append(agent.address)
        self.by_service = {
            service: ServiceAgents(addresses, live.get(service, []))
            for service, addresses in known.items()
        }
        services = {present.service for present in self._present_agents()}
        self._has_unidentified = NO_SERVICE in services
        self.present_services = services - {NO_SERVICE}


def _is_notable_change(agent: KnownAgent, report: LoadReport) -> bool:
    """Return whether a change of state is logged.

    Changes between READY, UNHEARD and FULL are not.
    """
    unlogged = {
        ReportedState.READY,
        ReportedState.UNHEARD,
        ReportedState.FULL,
    }
    return agent.state not in unlogged or report.state not in unlogged

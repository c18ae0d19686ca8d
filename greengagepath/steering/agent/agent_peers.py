"""Balancers and agents to which an agent reports its load."""

from ...foundation.timers import TimerService
from ..ages import drop_older
from ..gone_agents import (
    GONE_AFTER_S,
    IDENTIFY_S,
    IDLE_GONE_AFTER_S,
)
from ..homes import HomeTable
from ..member_knowledge import MemberKnowledge
from ..messages.peer_messages import LoadReport, ReportedState, Roster
from ..neighbours import choose_neighbours
from ..openings.placement import (
    PeerLoad,
)
from ..target_states import IDLE_STATES, is_heard_again
from .loss_evidence import LossEvidence
from .unanswered_searches import UnansweredSearches

# Contacts without a message for this long are removed, also those that the
# store or a roster has named.
REMOVE_AFTER_S = 60.0
MAX_CONTACTS = 1000
# An agent that has reported no running target and leaves a search unanswered
# for this many seconds is assumed not to run: its VM was taken away after it
# had started. The time counts from the first unanswered search for any flow.
# An agent with many packets in its socket answers late.
IDLE_ANSWER_S = 0.75
# The same for an agent that misses its regular reports, too. They come from a
# timer, which unread packets do not delay. An agent that runs answers a
# search within a round trip and the time of a trial.
REGULAR_ANSWER_S = 0.1


class AgentPeers:
    """Contacts of one agent and the reported loads of other targets.

    `homes` ranks this agent and all other agents of the service that
    have reported a target that is not absent. `agent_seen_s` is when each
    other agent has reported last, in monotonic seconds, and `evidence` tells
    which conclusions about lost flows still hold. `knowledge` tells on which
    grounds the known agents are all of the service.
    """

    def __init__(
        self, own_address: bytes, own_zone: int, timers: TimerService
    ) -> None:
        self.own_address = own_address
        # Agents of the service that get each change of the load.
        self.neighbours: list[bytes] = []
        self._own_zone = own_zone
        self.homes = HomeTable([own_address])
        self.load_by_address: dict[bytes, PeerLoad] = {}
        self._timers = timers
        self._balancer_seen_s: dict[bytes, float] = {}
        self.agent_seen_s: dict[bytes, float] = {}
        self.searches = UnansweredSearches(timers)
        self.evidence = LossEvidence(timers)
        # Listed agents whose service is not known, by when they were listed.
        self._unidentified_s: dict[bytes, float] = {}
        self.knowledge = MemberKnowledge(timers)

    @property
    def balancers(self) -> list[bytes]:
        """Return the addresses of the balancers."""
        return list(self._balancer_seen_s)

    @property
    def agents(self) -> list[bytes]:
        """Return the addresses of the other agents of the service."""
        return list(self.agent_seen_s)

    @property
    def loads(self) -> list[PeerLoad]:
        """Return the reported loads of the other targets."""
        return list(self.load_by_address.values())

    @property
    def is_complete(self) -> bool:
        """Return whether all agents of the service should be known.

        False until a balancer is known and there are grounds to know all
        agents, and while a listed agent has not reported its service.
        """
        if not self._balancer_seen_s or not self.knowledge.is_settled:
            return False
        drop_older(self._unidentified_s, self._timers.now() - IDENTIFY_S)
        return not self._unidentified_s

    def record_listed(
        self, addresses: list[bytes], *, is_vouched: bool = True
    ) -> list[bytes]:
        """Record the agents in the store's list; return the unknown ones.

        `is_vouched` tells whether a member vouches for the list.
        """
        self.knowledge.record_list(is_vouched=is_vouched)
        now_s = self._timers.now()
        unknown = [
            address
            for address in addresses
            if address not in self.agent_seen_s and address != self.own_address
        ]
        for address in unknown[:MAX_CONTACTS]:
            self._unidentified_s.setdefault(address, now_s)
        return unknown

    def record_balancer(self, address: bytes) -> bool:
        """Record contact with a balancer; True if it is new."""
        return self._record(self._balancer_seen_s, address)

    def add_roster(self, roster: Roster) -> list[bytes]:
        """Add the contacts of a roster; return those that are new."""
        added = []
        for seen_s, addresses in (
            (self._balancer_seen_s, roster.balancers),
            (self.agent_seen_s, roster.agents),
        ):
            for address in addresses:
                is_unknown = address not in seen_s
                if is_unknown and self._record(seen_s, address):
                    added.append(address)
        return added

    def record_message(self, address: bytes, read_s: float) -> None:
        """Record that a process has sent a message of any kind.

        `read_s` is when the own socket was last read empty, in monotonic
        seconds. An agent that was assumed not to run was not waited for
        when flows were denied.
        """
        seen_s = self.agent_seen_s.get(address)
        if seen_s is not None:
            silent_s = self._timers.now() - seen_s
            is_gone = silent_s >= _gone_after_s(
                self.load_by_address.get(address)
            )
            if is_gone or self.is_not_running(address, read_s):
                self.agent_seen_s[address] = self._timers.now()
                self.evidence.record_return(address, silent_s)
        self.searches.discard(address)

    @property
    def present_agents(self) -> list[bytes]:
        """Return the other agents that are not silent for too long."""
        now_s = self._timers.now()
        return [
            address
            for address, seen_s in self.agent_seen_s.items()
            if now_s - seen_s < _gone_after_s(self.load_by_address.get(address))
        ]

    def is_not_running(self, address: bytes, read_s: float) -> bool:
        """Return whether an agent without a target is assumed not to run.

        Its last report named no running target, and it does not answer
        searches. `read_s` is when the own socket was last read empty, in
        monotonic seconds.
        """
        load = self.load_by_address.get(address)
        if load is None or not _is_idle(load):
            return False
        misses_reports = load.misses_reports(read_s)
        limit_s = REGULAR_ANSWER_S if misses_reports else IDLE_ANSWER_S
        return self.searches.silent_s(address, read_s) >= limit_s

    @property
    def distant_agents(self) -> list[bytes]:
        """Return the other agents that are no neighbours."""
        neighbours = set(self.neighbours)
        return [
            address
            for address in self.agent_seen_s
            if address not in neighbours
        ]

    def record_report(
        self, address: bytes, report: LoadReport, *, is_rare: bool = False
    ) -> bool:
        """Record the load of another target; True if its agent is new.

        No flows are placed by a report that is repeated rarely.
        """
        if address == self.own_address:
            return False
        self._unidentified_s.pop(address, None)
        is_new = self._record(self.agent_seen_s, address)
        load = self.load_by_address.get(address)
        if load is None:
            load = PeerLoad(address)
            self.load_by_address[address] = load
            self.evidence.record_first_report(address)
        earlier = load.report
        if is_heard_again(earlier.state, earlier.started_ms, report):
            self.evidence.record_target(address)
        load.update(report, self._timers.now(), is_rare=is_rare)
        is_absent = report.state is ReportedState.ABSENT
        was_absent = earlier.state is ReportedState.ABSENT
        if was_absent != is_absent or earlier.zone != report.zone:
            self._rebuild_homes()
        return is_new

    def remove_agent(self, address: bytes) -> None:
        """Remove an agent that now serves another service."""
        self._unidentified_s.pop(address, None)
        self.agent_seen_s.pop(address, None)
        self.searches.discard(address)
        if self.load_by_address.pop(address, None):
            self._rebuild_homes()

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of peers."""
        for load in self.load_by_address.values():
            load.last_seen_s += pause_s
        for address in self.agent_seen_s:
            self.agent_seen_s[address] += pause_s
        self.searches.exclude_pause(pause_s)

    def remove_silent(self) -> None:
        """Remove contacts without a message for `REMOVE_AFTER_S`."""
        before_s = self._timers.now() - REMOVE_AFTER_S
        drop_older(self._balancer_seen_s, before_s)
        for address in drop_older(self.agent_seen_s, before_s):
            self.searches.discard(address)
            if self.load_by_address.pop(address, None):
                self._rebuild_homes()

    def _record(self, seen_s: dict[bytes, float], address: bytes) -> bool:
        if address == self.own_address:
            return False
        is_new = address not in seen_s
        if is_new and len(seen_s) >= MAX_CONTACTS:
            return False
        seen_s[address] = self._timers.now()
        return is_new

    def _rebuild_homes(self) -> None:
        present = [
            load.address
            for load in self.load_by_address.values()
            if load.report.state is not ReportedState.ABSENT
        ]
        self.homes = HomeTable([*present, self.own_address])
        self.neighbours = choose_neighbours(
            self.own_address,
            self._own_zone,
            {
                address: self.load_by_address[address].report.zone
                for address in present
            },
        )


def _gone_after_s(load: PeerLoad | None) -> float:
    return IDLE_GONE_AFTER_S if _is_idle(load) else GONE_AFTER_S


def _is_idle(load: PeerLoad | None) -> bool:
    """Return whether the last report named no running target."""
    return load is not None and load.report.state in IDLE_STATES

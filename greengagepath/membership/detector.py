"""Failure detection by silence on control links."""

from collections.abc import Iterable

from ..foundation.timers import TimerService
from ..generated.messages import MemberKind, MemberRecord
from ..generated.settings import LimitSettings
from .overlay import rank_by_hash
from .peers import PeerTable
from .records import is_gone
from .table import MemberTable

# A longer gap between two checks means that this process was paused, so
# the silence of the others in the meantime says nothing about them.
MAX_CHECK_GAP_S = 1.0
# Each suspicion that a member refutes doubles the timeout for the next one,
# up to this factor, because its link to this process is broken and not the
# member.
MAX_TIMEOUT_FACTOR = 16


class FailureDetector:
    """Suspects watched members from which nothing has been received.

    A balancer watches its overlay peers and the agents that list it as
    a home. An agent whose homes have all gone is watched by the balancer
    that ranks first for it.
    """

    def __init__(
        self,
        own: MemberRecord,
        table: MemberTable,
        peers: PeerTable,
        timers: TimerService,
        limits: LimitSettings,
    ) -> None:
        self._member_id = own.member_id
        self._zone = own.availability_zone
        self._table = table
        self._peers = peers
        self._timers = timers
        self._limits = limits
        self._last_heard_s_by_id: dict[str, float] = {}
        self._timeout_factor_by_id: dict[str, int] = {}
        self._last_check_s = timers.now()
        self._seen_version = -1
        self._watched_agent_ids: frozenset[str] = frozenset()

    def check(
        self, overlay_ids: Iterable[str], zone_balancer_ids: Iterable[str]
    ) -> list[MemberRecord]:
        """Mark silent members as suspect and return their changed records.

        `overlay_ids` are the overlay peers to watch, `zone_balancer_ids`
        all balancers of the zone.
        """
        now_s = self._timers.now()
        if now_s - self._last_check_s > MAX_CHECK_GAP_S:
            self._restart_timeouts(now_s)
        self._last_check_s = now_s
        if self._seen_version != self._table.version:
            self._seen_version = self._table.version
            zone_ids = frozenset(zone_balancer_ids)
            self._watched_agent_ids = self._watched_agents(zone_ids)
        watched = self._watched_agent_ids.union(overlay_ids)
        self._track(watched, now_s)
        return self._suspect_silent(watched, now_s)

    def may_declare_dead(self, record: MemberRecord) -> bool:
        """Return whether this balancer may declare the member dead.

        Only balancers of the member's zone and its homes may. From
        elsewhere a partition cannot be told from a failure.
        """
        return (
            record.availability_zone == self._zone
            or self._member_id in record.homes
        )

    def _restart_timeouts(self, now_s: float) -> None:
        for peer in self._peers:
            peer.last_heard_s = now_s
        for member_id in self._last_heard_s_by_id:
            self._last_heard_s_by_id[member_id] = now_s

    def _watched_agents(
        self, zone_balancer_ids: frozenset[str]
    ) -> frozenset[str]:
        return frozenset(
            record.member_id
            for record in self._table.records()
            if record.kind is MemberKind.agent
            and not is_gone(record)
            and self._is_home(record, zone_balancer_ids)
        )

    def _is_home(
        self, record: MemberRecord, zone_balancer_ids: frozenset[str]
    ) -> bool:
        if self._member_id in record.homes:
            return True
        if record.availability_zone != self._zone:
            return False
        if any(self._is_present(home) for home in record.homes):
            return False
        ranked = rank_by_hash(record.member_id, zone_balancer_ids)
        return ranked[:1] == [self._member_id]

    def _is_present(self, member_id: str) -> bool:
        held = self._table.get(member_id)
        return held is not None and not is_gone(held)

    def _track(self, watched: frozenset[str], now_s: float) -> None:
        for member_id in self._last_heard_s_by_id.keys() - watched:
            self._last_heard_s_by_id.pop(member_id)
            self._timeout_factor_by_id.pop(member_id, None)
        for member_id in watched:
            peer = self._peers.by_member(member_id)
            if peer is not None:
                self._last_heard_s_by_id[member_id] = peer.last_heard_s
            self._last_heard_s_by_id.setdefault(member_id, now_s)

    def _suspect_silent(
        self, watched: frozenset[str], now_s: float
    ) -> list[MemberRecord]:
        suspected = []
        for member_id in watched:
            factor = self._timeout_factor_by_id.get(member_id, 1)
            silent_s = now_s - self._last_heard_s_by_id[member_id]
            if silent_s < self._limits.suspect_after_s * factor:
                self._reset_timeout_factor(member_id, silent_s)
                continue
            record = self._table.suspect(member_id)
            if record is not None:
                suspected.append(record)
                self._timeout_factor_by_id[member_id] = min(
                    factor * 2, MAX_TIMEOUT_FACTOR
                )
                self._last_heard_s_by_id[member_id] = now_s
        return suspected

    def _reset_timeout_factor(self, member_id: str, silent_s: float) -> None:
        if silent_s < self._limits.heartbeat_s:
            has_link = self._peers.by_member(member_id) is not None
            if has_link:
                self._timeout_factor_by_id.pop(member_id, None)

"""State that the parts of an agent share."""

import logging
from collections import Counter
from typing import Protocol

from ...evacuation.zones import ZoneState
from ...foundation.logs import log_event
from ...foundation.timers import TimerService
from ...pace.cold_limit import ColdBounds, ColdLimit
from ..backlog import Backlog
from ..flows.held_flows import HeldFlows
from ..messages.peer_messages import (
    NO_ADDRESS,
    PeerKind,
    PeerMessage,
    ReportedState,
)
from ..messages.route_copies import RouteCopy
from ..neighbours import UNKNOWN_ZONE
from ..openings.placement import (
    average_service_s,
)
from ..target_states import ACCEPTING_STATES
from ..targets.service_times import DEFAULT_S
from ..targets.target_gate import TargetGate
from .agent_peers import AgentPeers

_logger = logging.getLogger(__name__)


class AgentOutbox(Protocol):
    """Sends the datagrams of an agent."""

    def to_target(self, raw: bytes) -> None:
        """Send a caller's packet to the target."""

    def to_caller(self, flow: bytes, raw: bytes) -> None:
        """Send a target's packet to the caller of the flow."""

    def reset(self, flow: bytes) -> None:
        """Send a reset to the caller of a flow that has not opened."""

    def reset_open(self, flow: bytes, sequence: int) -> None:
        """Send a reset to the caller of an open flow.

        The caller accepts it if `sequence` is near the last sequence
        number that it has acknowledged.
        """

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to another agent."""

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to a balancer."""


class AgentIdentity:
    """Address, service, zone and time limits of an agent.

    `zone` is the number of the availability zone in reports, and
    `zone_digest` its digest in lists of evacuated zones. `cold_bounds` is
    None if the rate of a cold target is not limited.
    `heartbeat_s` is the interval of the target's heartbeats and `idle_s`
    how long an idle flow is kept, both in seconds. `is_first_start` is
    True only if no flow can have been opened before this process started.
    `evacuate_s` is the time in seconds in which an evacuation has to be in
    force, 0 if the deployment has none; set after construction.
    """

    __slots__ = (
        'address',
        'cold_bounds',
        'evacuate_s',
        'heartbeat_s',
        'idle_s',
        'is_first_start',
        'service',
        'zone',
        'zone_digest',
    )

    def __init__(
        self,
        address: bytes,
        service: bytes,
        *,
        heartbeat_s: float,
        idle_s: float,
        is_first_start: bool,
        zone: int = UNKNOWN_ZONE,
        zone_digest: bytes = b'',
        cold_bounds: ColdBounds | None = None,
    ) -> None:
        self.address = address
        self.zone = zone
        self.zone_digest = zone_digest
        self.evacuate_s = 0.0
        self.cold_bounds = cold_bounds
        self.service = service
        self.heartbeat_s = heartbeat_s
        self.idle_s = idle_s
        self.is_first_start = is_first_start


class AgentContext:
    """State, counters and outbox of one agent.

    `latest_version` is the highest configuration version seen in any
    message. `routes` is a copy of the configuration for balancers that
    start while the store does not answer. `cold_limit` is None if the
    deployment does not limit the rate of cold targets.
    """

    __slots__ = (
        'backlog',
        'cold_limit',
        'counts',
        'gate',
        'held_flows',
        'identity',
        'is_leaving',
        'latest_version',
        'outbox',
        'peers',
        'routes',
        'timers',
        'zone',
    )

    def __init__(
        self,
        identity: AgentIdentity,
        timers: TimerService,
        outbox: AgentOutbox,
    ) -> None:
        self.backlog = Backlog(timers)
        self.counts: Counter[str] = Counter()
        self.gate = TargetGate(timers, identity.heartbeat_s)
        self.held_flows = HeldFlows()
        self.identity = identity
        self.is_leaving = False
        self.latest_version = 0
        self.outbox = outbox
        self.peers = AgentPeers(identity.address, identity.zone, timers)
        self.routes = RouteCopy()
        self.timers = timers
        self.zone = ZoneState(identity.zone_digest, identity.evacuate_s)
        self.cold_limit: ColdLimit | None = None
        if identity.cold_bounds is not None:
            self.cold_limit = ColdLimit(identity.cold_bounds, timers.now())

    @property
    def is_evacuated(self) -> bool:
        """Return whether the zone of this agent is evacuated."""
        return self.zone.is_evacuated(self.timers.now())

    def allows_cold(self, *, is_last_resort: bool = False) -> bool:
        """Return whether the rate limit of a cold target allows a flow."""
        return self.cold_limit is None or self.cold_limit.allows(
            self.timers.now(), is_last_resort=is_last_resort
        )

    def target_state(self) -> ReportedState:
        """Return the state of the target that reports carry.

        DRAINING also if this agent leaves or its zone is evacuated, FULL
        if the target is full, at its limit or at its rate while cold.
        """
        state = self.gate.reported_state()
        if state not in ACCEPTING_STATES:
            return state
        if self.is_leaving or self.is_evacuated:
            return ReportedState.DRAINING
        flows = self.held_flows
        is_full = flows.is_full() or flows.is_at_limit(self.timers.now())
        if is_full or not self.allows_cold():
            return ReportedState.FULL
        return state

    def estimate_service_s(self) -> float:
        """Return the estimated duration of a request in s, 0 if unknown."""
        return self.held_flows.service_time.estimate_s(
            self.timers.now(), average_service_s(self.peers.loads)
        )

    def estimate_standing_share(self) -> float:
        """Return the share of the slots that open flows will keep busy."""
        average_s = average_service_s(self.peers.loads)
        service_s = self.estimate_service_s() or average_s or DEFAULT_S
        return self.held_flows.standing_load.estimate_share(
            service_s, self.gate.slots, self.timers.now()
        )

    def make_message(
        self, kind: PeerKind, *, body: bytes, balancer: bytes = NO_ADDRESS
    ) -> PeerMessage:
        """Return a message about this agent's service."""
        return PeerMessage(
            kind,
            self.identity.service,
            balancer=balancer,
            version=self.latest_version,
            body=body,
        )

    def drop(self, reason: str, detail: str) -> None:
        """Count and log a datagram that is dropped."""
        self.counts[f'dropped_{reason}'] += 1
        log_event(
            _logger,
            'datagram.dropped',
            level=logging.WARNING,
            repeats=True,
            reason=reason,
            detail=detail,
        )

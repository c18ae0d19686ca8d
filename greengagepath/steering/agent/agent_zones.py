"""Evacuation of an agent's zone, and the rate of its cold target."""

import logging
import math

from result import Err

from ...evacuation.notices import ZoneNotice, decode_notice
from ...foundation.logs import log_event
from ...foundation.store_version import StoreVersion
from ..messages.peer_messages import PeerMessage
from ..settings import format_address
from ..targets.incarnations import Heartbeat
from ..targets.target_gate import HeartbeatOutcome
from .agent_context import AgentContext
from .agent_reports import AgentReports

# Lists without an era come from balancers of an earlier build. They count
# again when no balancer has named an era for this long.
ERA_SILENCE_S = 10.0

_logger = logging.getLogger(__name__)


class AgentZones:
    """Applies the lists of evacuated zones that balancers send.

    While its zone is evacuated, the agent reports that its target drains
    and goes on as a home of flows.
    """

    def __init__(self, context: AgentContext, reports: AgentReports) -> None:
        self._context = context
        self._reports = reports
        self._was_evacuated = False
        # When a list with an era was received last, in monotonic seconds.
        self._era_heard_s = -math.inf

    def handle_notice(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a list of evacuated zones."""
        context = self._context
        decoded = decode_notice(message.body)
        if isinstance(decoded, Err):
            context.drop('unreadable_zones', decoded.err_value)
            return
        notice = decoded.ok_value
        if (
            context.cold_limit is not None
            and message.service == context.identity.service
        ):
            context.cold_limit.set_rate(notice.cold_per_s)
        version = self._find_version(notice)
        context.zone.replace(notice.digests, version, context.timers.now())
        self.check(format_address(sender))

    def check(self, source: str = 'end of hold') -> None:
        """Report a change of the zone's state; `source` tells why."""
        is_evacuated = self._context.is_evacuated
        if is_evacuated is not self._was_evacuated:
            self._was_evacuated = is_evacuated
            self._handle_change(source)

    def handle_heartbeat(
        self, heartbeat: Heartbeat, outcome: HeartbeatOutcome
    ) -> None:
        """Record for how long the target stays cold."""
        cold_limit = self._context.cold_limit
        if cold_limit is None or outcome is HeartbeatOutcome.STALE:
            return
        cold_limit.record_remaining(
            heartbeat.cold_remaining_s, self._context.timers.now()
        )

    def _find_version(self, notice: ZoneNotice) -> StoreVersion:
        """Return the version of a list, in the latest era if it may be."""
        now_s = self._context.timers.now()
        version = notice.version
        if version.era:
            self._era_heard_s = now_s
        elif now_s - self._era_heard_s > ERA_SILENCE_S:
            latest_era = self._context.zone.zones.version.era
            return StoreVersion(latest_era, version.revision)
        return version

    def _handle_change(self, source: str) -> None:
        context = self._context
        if context.cold_limit is not None and not context.is_evacuated:
            # The last heartbeat is older than the end of the evacuation.
            context.cold_limit.assume_cold()
        log_event(
            _logger,
            'zone.evacuated' if context.is_evacuated else 'zone.restored',
            era=context.zone.zones.version.era,
            revision=context.zone.zones.version.revision,
            source=source,
            flows=len(context.held_flows.by_flow),
        )
        self._reports.send_all()

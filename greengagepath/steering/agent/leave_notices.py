"""Notices of an agent that leaves to the next homes of its flows."""

from ..homes import HomeTable
from ..messages.peer_messages import PeerKind
from .agent_context import AgentContext
from .agent_reports import AgentReports

# Flows of which an agent sends a notice at one check: 33 kB/s, and 2,000
# flows within the grace time.
NOTICES_PER_CHECK = 10


class LeaveNotices:
    """Notifies other agents of the flows that the target holds.

    While an agent restarts, packets of its flows reach their next homes.
    A home that has restarted before does not know the owner, and would
    give the packets to its own and then to all other targets.
    """

    def __init__(self, context: AgentContext, reports: AgentReports) -> None:
        self._context = context
        self._reports = reports
        self._flows: list[bytes] = []
        self._homes = HomeTable([])

    def start(self) -> None:
        """Start to send a notice for each open flow."""
        own_address = self._context.identity.address
        self._homes = HomeTable(
            address
            for address in self._context.peers.homes.addresses
            if address != own_address
        )
        self._flows = [
            flow
            for flow, held in self._context.held_flows.by_flow.items()
            if held.is_confirmed and not held.is_over
        ]

    def send_due(self) -> None:
        """Send the next notices, if any are left."""
        due = self._flows[-NOTICES_PER_CHECK:]
        del self._flows[-NOTICES_PER_CHECK:]
        for flow in due:
            home = self._homes.find_home(flow)
            if home is not None:
                self._context.counts['leave_notices'] += 1
                self._reports.send_notice(PeerKind.HELD, flow, home)

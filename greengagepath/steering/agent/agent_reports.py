"""Messages about processes that an agent exchanges with its peers."""

from result import Err

from ..messages.peer_messages import (
    ASK_REPORT,
    NO_ADDRESS,
    RARE_REPORT,
    WHOLE_ROSTER,
    LoadReport,
    PeerKind,
    PeerMessage,
    ReportedState,
    decode_report,
    decode_roster,
)
from ..paced_rounds import PacedRounds
from ..settings import format_address
from .agent_context import AgentContext

# Shortest and longest time between reports to agents of the service.
MIN_REPORT_INTERVAL_S = 0.01
MAX_REPORT_INTERVAL_S = 0.1
# Longest time between reports to one balancer, unless there are so many
# balancers that the next limit applies.
BALANCER_REPORT_INTERVAL_S = 0.25
MAX_BALANCER_REPORTS_PER_S = 100
# Longest time between reports to an agent that is no neighbour.
DISTANT_REPORT_INTERVAL_S = 2.0
_MS_PER_S = 1000
_THOUSANDTHS = 1000


class AgentReports:
    """Sends load reports and handles messages that update contacts."""

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._agents_reported_s = context.timers.now()
        self._balancer_rounds = PacedRounds(self._agents_reported_s)
        self._distant_rounds = PacedRounds(self._agents_reported_s)
        self._last_reported: tuple[int, ReportedState] | None = None

    def send_all(self) -> None:
        """Report load and state to all contacts now."""
        self._report_to_neighbours()
        self.send_rare_report(self._context.peers.distant_agents)
        self._report_to_balancers(self._context.peers.balancers)

    def send_change(self) -> None:
        """Report to the neighbours unless the last report is too recent."""
        now_s = self._context.timers.now()
        if now_s - self._agents_reported_s >= MIN_REPORT_INTERVAL_S:
            self._report_to_neighbours()

    def send_due(self) -> None:
        """Send the reports that are due.

        Neighbours get one after a change of load or state, too.
        """
        now_s = self._context.timers.now()
        load = (self._context.held_flows.load, self._context.target_state())
        idle_s = now_s - self._agents_reported_s
        if idle_s >= MAX_REPORT_INTERVAL_S or load != self._last_reported:
            self._report_to_neighbours()
        peers = self._context.peers
        interval_s = self._balancer_interval_s()
        self._report_to_balancers(
            self._balancer_rounds.take(peers.balancers, interval_s, now_s)
        )
        self.send_rare_report(
            self._distant_rounds.take(
                peers.distant_agents, DISTANT_REPORT_INTERVAL_S, now_s
            )
        )

    def report_to(self, addresses: list[bytes], *, asks: bool = False) -> None:
        """Report to the given contacts only, usually new ones.

        With `asks`, agents answer with a report, also those of other
        services.
        """
        balancers = self._context.peers.balancers
        encoded = self._make_report(ASK_REPORT if asks else 0)
        for address in addresses:
            if address in balancers:
                self._context.outbox.to_balancer(address, encoded)
            else:
                self._context.outbox.to_agent(address, encoded)

    def send_rare_report(self, agents: list[bytes]) -> None:
        """Send a report by which the receivers place no flows."""
        if agents:
            encoded = self._make_report(RARE_REPORT)
        for address in agents:
            self._context.outbox.to_agent(address, encoded)

    def handle_report(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a load report of another agent."""
        decoded = decode_report(message.body)
        if isinstance(decoded, Err):
            self._context.drop('unreadable_report', decoded.err_value)
        else:
            peers = self._context.peers
            is_new = False
            decoded.ok_value.standing_share = (
                message.objective_ms / _THOUSANDTHS
            )
            if message.service == self._context.identity.service:
                is_new = peers.record_report(
                    sender,
                    decoded.ok_value,
                    is_rare=message.hops == RARE_REPORT,
                )
            else:
                peers.remove_agent(sender)
            if is_new or message.hops == ASK_REPORT:
                self._context.outbox.to_agent(sender, self._make_report())

    def handle_presence(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a PRESENCE of a balancer and the contacts in it."""
        decoded = decode_roster(message.body)
        if isinstance(decoded, Err):
            self._context.drop('unreadable_roster', decoded.err_value)
            return
        peers = self._context.peers
        if message.objective_ms:
            peers.evidence.void(
                f'return seen by {format_address(sender)}',
                message.objective_ms / _MS_PER_S,
            )
        if peers.record_balancer(sender):
            self._context.outbox.to_balancer(sender, self._make_report())
        if message.service == self._context.identity.service:
            self.report_to(peers.add_roster(decoded.ok_value))
            if message.hops == WHOLE_ROSTER:
                peers.knowledge.record_peer()

    def send_held_to_balancer(self, flow: bytes, balancer: bytes) -> None:
        """Notify a balancer that the target holds the flow."""
        if balancer and balancer != NO_ADDRESS:
            encoded = self._context.make_message(
                PeerKind.HELD, body=flow
            ).encode()
            self._context.outbox.to_balancer(balancer, encoded)

    def send_notice(self, kind: PeerKind, flow: bytes, address: bytes) -> None:
        """Notify another agent, with HELD or NOT_HELD, about a flow."""
        encoded = self._context.make_message(kind, body=flow).encode()
        self._context.outbox.to_agent(address, encoded)

    def send_packet(
        self,
        address: bytes,
        kind: PeerKind,
        balancer: bytes,
        raw: bytes,
        *,
        hops: int = 0,
    ) -> None:
        """Send a caller's packet of an open flow to another agent."""
        message = self._context.make_message(kind, balancer=balancer, body=raw)
        message.hops = hops
        self._context.outbox.to_agent(address, message.encode())

    def _make_report(self, hops: int = 0) -> bytes:
        context = self._context
        report = LoadReport(
            context.target_state(),
            started_ms=context.gate.started_ms,
            slots=context.gate.slots,
            load=context.held_flows.load,
            service_s=context.estimate_service_s(),
            zone=context.identity.zone,
            interval_ms=round(self._balancer_interval_s() * _MS_PER_S),
        )
        message = self._context.make_message(
            PeerKind.REPORT, body=report.encode()
        )
        message.hops = hops
        message.objective_ms = round(
            context.estimate_standing_share() * _THOUSANDTHS
        )
        return message.encode()

    def _balancer_interval_s(self) -> float:
        balancers = len(self._context.peers.balancers)
        return max(
            BALANCER_REPORT_INTERVAL_S, balancers / MAX_BALANCER_REPORTS_PER_S
        )

    def _report_to_neighbours(self) -> None:
        self._agents_reported_s = self._context.timers.now()
        encoded = self._make_report()
        self._last_reported = (
            self._context.held_flows.load,
            self._context.target_state(),
        )
        for address in self._context.peers.neighbours:
            self._context.outbox.to_agent(address, encoded)

    def _report_to_balancers(self, balancers: list[bytes]) -> None:
        if balancers:
            encoded = self._make_report()
        for address in balancers:
            self._context.outbox.to_balancer(address, encoded)

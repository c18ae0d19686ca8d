"""Copy of the configuration that an agent keeps for balancers."""

from ..messages.peer_messages import PeerKind, PeerMessage
from ..messages.route_copies import RouteAssembly
from .agent_context import AgentContext


class AgentRoutes:
    """Fetches copies from balancers and hands them to those that ask.

    Balancers that start while the store does not answer get the
    configuration from agents.
    """

    def __init__(self, context: AgentContext) -> None:
        self._context = context
        self._assembly = RouteAssembly()
        self._pulls = 0

    def pull_routes(self) -> None:
        """Ask a balancer for the configuration if a newer version exists."""
        context = self._context
        balancers = context.peers.balancers
        if context.latest_version <= context.routes.version or not balancers:
            return
        self._pulls += 1
        asked = balancers[self._pulls % len(balancers)]
        pull = self._context.make_message(PeerKind.PULL, body=b'')
        context.outbox.to_balancer(asked, pull.encode())

    def handle_part(self, message: PeerMessage) -> None:
        """Handle a part of a configuration copy."""
        copy = self._assembly.add(message)
        if copy is not None and copy.version > self._context.routes.version:
            self._context.routes = copy

    def send_routes(self, sender: bytes) -> None:
        """Send the copy of the configuration, if any, to a balancer."""
        if not self._context.routes.version:
            return
        service = self._context.identity.service
        for part in self._context.routes.make_parts(service):
            self._context.outbox.to_balancer(sender, part.encode())

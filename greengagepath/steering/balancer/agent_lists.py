"""How a balancer that has just started learns of all agents.

It asks a few other balancers at a time until one that knows all agents has
named them. The agents of the store's list are known already; a peer also
names those that no list names.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from ..messages.agent_lists import decode_agents, split_agents
from ..messages.peer_messages import (
    ASK_REPORT,
    NO_SERVICE,
    PeerKind,
    PeerMessage,
)
from .known_agents import KnownAgent, KnownAgents

# Interval of the questions.
ASK_S = 0.1
# Balancers that are asked at a time; entries of the list may be of VMs that
# are gone.
MAX_ASKED = 4
# Agents, and balancers, that are taken from lists; bounds the memory that
# entries of another writer can take.
MAX_LISTED = 5000


class BalancerLink(Protocol):
    """Sends datagrams to other balancers."""

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        """Send a datagram to another balancer."""


class AgentLists:
    """Asks for lists of agents, and answers when this balancer knows all.

    `balancers` are the addresses of those that may be asked, and `on_added`
    is called for each agent that was not known.
    """

    def __init__(
        self,
        address: bytes,
        link: BalancerLink,
        agents: KnownAgents,
        balancers: Iterable[bytes],
        on_added: Callable[[KnownAgent], None],
    ) -> None:
        self._address = address
        self._link = link
        self._agents = agents
        self._balancers = balancers
        self._on_added = on_added
        self._asked = 0
        # Indices of the parts that each balancer has sent.
        self._parts_by_sender: dict[bytes, set[int]] = {}

    def record_listed(
        self, addresses: list[bytes], *, is_vouched: bool = True
    ) -> None:
        """Add the agents of the store's list, and ask for those it lacks.

        `is_vouched` tells whether a member vouches for the list.
        """
        self._agents.knowledge.record_list(is_vouched=is_vouched)
        self.ask()
        self._add(addresses)

    def ask(self) -> None:
        """Ask the next balancers, unless all agents should be known."""
        if self._agents.knowledge.is_settled:
            self._parts_by_sender.clear()
            return
        candidates = list(self._balancers)
        for _ in range(min(MAX_ASKED, len(candidates))):
            asked = candidates[self._asked % len(candidates)]
            self._asked += 1
            self._link.to_balancer(asked, self._encode(b'', hops=ASK_REPORT))

    def handle_message(self, sender: bytes, message: PeerMessage) -> None:
        """Handle a question or an answer of another balancer."""
        if message.hops == ASK_REPORT:
            self._answer(sender)
            return
        part = decode_agents(message.body)
        if part is None:
            return
        self._add(part.addresses)
        parts = self._parts_by_sender.setdefault(sender, set())
        parts.add(part.index)
        if len(parts) >= part.count:
            self._agents.knowledge.record_peer()

    def _add(self, addresses: list[bytes]) -> None:
        by_address = self._agents.by_address
        added = [address for address in addresses if address not in by_address]
        room = max(MAX_LISTED - len(by_address), 0)
        if len(added) > room:
            self._agents.has_room = False
        for address in added[:room]:
            self._on_added(self._agents.add(address))

    def _answer(self, sender: bytes) -> None:
        if not self._agents.knowledge.is_settled:
            return
        for part in split_agents(self._agents.present_addresses):
            self._link.to_balancer(sender, self._encode(part.encode()))

    def _encode(self, body: bytes, hops: int = 0) -> bytes:
        message = PeerMessage(
            PeerKind.AGENTS,
            NO_SERVICE,
            hops=hops,
            balancer=self._address,
            body=body,
        )
        return message.encode()

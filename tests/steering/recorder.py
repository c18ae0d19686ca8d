"""Outbox that records what a part sends."""

from greengagepath.steering.peer_messages import (
    PeerKind,
    PeerMessage,
    decode_message,
)


class RecordingOutbox:
    """Keeps datagrams by destination."""

    def __init__(self) -> None:
        self.at_target: list[bytes] = []
        self.at_caller: list[tuple[bytes, bytes]] = []
        self.resets: list[bytes] = []
        self.at_agents: list[tuple[bytes, PeerMessage]] = []
        self.at_balancers: list[tuple[bytes, PeerMessage]] = []

    def to_target(self, raw: bytes) -> None:
        self.at_target.append(raw)

    def to_caller(self, flow: bytes, raw: bytes) -> None:
        self.at_caller.append((flow, raw))

    def reset(self, flow: bytes) -> None:
        self.resets.append(flow)

    def to_agent(self, address: bytes, datagram: bytes) -> None:
        self.at_agents.append((address, decode_message(datagram).unwrap()))

    def to_balancer(self, address: bytes, datagram: bytes) -> None:
        self.at_balancers.append((address, decode_message(datagram).unwrap()))

    def placed_at(self) -> list[bytes]:
        """Return the agents that were sent an opening packet."""
        kinds = {PeerKind.PLACE, PeerKind.OPEN}
        return [
            address
            for address, message in self.at_agents
            if message.kind in kinds
        ]

    def held_told(self) -> list[tuple[bytes, bytes]]:
        """Return balancer and flow of each HELD."""
        return [
            (address, message.body)
            for address, message in self.at_balancers
            if message.kind is PeerKind.HELD
        ]

"""The link between two regions, which can be cut.

All nodes send to the addresses of each other and to one port a role. The
nodes of the second region get other internal ports than those of the first,
so that this stand-in can receive at the addresses of one region what is
meant for the other, and send it on. A node sees the address of the sender.
"""

import asyncio

from .http import Address
from .nodes import Node

# Balancers listen at the first internal port, agents at the next one.
OFFSETS = {'balancer': 0, 'agent': 1}


class Face(asyncio.DatagramProtocol):
    """The port at which the nodes of one region reach a node of the other.

    `own` is where that node listens.
    """

    def __init__(self, link: 'RegionLink', own: Address) -> None:
        self.own = own
        self._link = link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Send a datagram on, from the face of its sender."""
        self._link.forward(data, addr, self)


class RegionLink:
    """Passes datagrams between the nodes of two regions."""

    def __init__(self) -> None:
        self.is_cut = False
        self.passed = 0
        self.dropped = 0
        self._face_by_own: dict[Address, Face] = {}

    async def add(self, own: Address, seen: Address) -> None:
        """Add a node that listens at `own` and is reached at `seen`."""
        loop = asyncio.get_running_loop()
        _, face = await loop.create_datagram_endpoint(
            lambda: Face(self, own), local_addr=seen
        )
        self._face_by_own[own] = face

    async def join(
        self, first: list[Node], second: list[Node], ports: tuple[int, int]
    ) -> None:
        """Add all nodes of two regions.

        `ports` are the first internal ports of each region.
        """
        for nodes, own, seen in ((first, *ports), (second, *reversed(ports))):
            for node in nodes:
                offset = OFFSETS[node.role]
                await self.add(
                    (node.host, own + offset), (node.host, seen + offset)
                )

    def forward(self, datagram: bytes, sender: Address, face: Face) -> None:
        """Send a datagram on unless the link is cut."""
        sending = self._face_by_own.get((sender[0], sender[1]))
        if self.is_cut or sending is None:
            self.dropped += 1
            return
        self.passed += 1
        sending.transport.sendto(datagram, face.own)

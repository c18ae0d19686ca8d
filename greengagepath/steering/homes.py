"""Selection of the home agent of a flow by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


class HomeTable:
    """Agents of one service, ranked for each flow.

    Two tables with the same addresses, in any order, rank them
    identically, so balancers and agents agree without a message.
    """

    __slots__ = ('_seeds', 'addresses')

    def __init__(self, addresses: Iterable[bytes]) -> None:
        self.addresses = tuple(sorted(addresses))
        self._seeds = tuple(
            (xxhash.xxh3_64_intdigest(address), address)
            for address in self.addresses
        )

    def rank(self, flow: bytes) -> list[bytes]:
        """Return the addresses of all agents, the home first."""
        digest = xxhash.xxh3_64_intdigest
        ranked = [
            (digest(flow, seed), address) for seed, address in self._seeds
        ]
        ranked.sort()
        return [address for _, address in ranked]

    def find_home(self, flow: bytes) -> bytes | None:
        """Return the address of the home, None if there is no agent."""
        digest = xxhash.xxh3_64_intdigest
        if not self._seeds:
            return None
        return min(
            (digest(flow, seed), address) for seed, address in self._seeds
        )[1]

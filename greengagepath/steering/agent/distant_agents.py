"""Choice among the agents that are no neighbours."""

import xxhash

from ..openings.placement import PeerLoad
from ..target_states import ACCEPTING_STATES
from .agent_peers import AgentPeers


def choose_distant(
    peers: AgentPeers, flow: bytes, hops: int
) -> PeerLoad | None:
    """Return an agent beyond the neighbours that may accept a flow.

    Its load is not known; it places the flow by those of its own
    neighbours. The choice depends on the flow and the hops so far.
    """
    neighbours = set(peers.neighbours)
    candidates = [
        load
        for address, load in peers.load_by_address.items()
        if address not in neighbours and load.report.state in ACCEPTING_STATES
    ]
    if not candidates:
        return None
    choice = xxhash.xxh3_64_intdigest(flow, hops) % len(candidates)
    return candidates[choice]

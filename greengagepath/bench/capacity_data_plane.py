"""Measured cost of the data plane, for docs/CAPACITY.md."""

import tracemalloc
from dataclasses import dataclass

from ..agent.flow_table import FlowTable
from ..foundation.timers import VirtualTimerService
from .capacity_points import DESIGN_AGENTS, DESIGN_BALANCERS
from .wall_clock import PacketCost, measure_cache, measure_packets

DESIGN_FLOWS = 15_000_000
DESIGN_FLOWS_PER_S = 46_000
# OPEN, one REQUEST part, and ACKs of a short answer.
PACKETS_PER_FLOW = 4
BODY_BYTES = 300
FLOW_ENTRIES = 20000
# Makes flow ids as large as random ones: a larger int takes more memory.
FLOW_ID_SHIFT = 40
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
PERCENT = 100


@dataclass(slots=True, frozen=True)
class DataPlaneCost:
    """Cost of one datagram, one cached token and one flow at an agent."""

    packet: PacketCost
    token_bytes: float
    token_entries: int
    flow_bytes: float


def measure_data_plane() -> DataPlaneCost:
    """Measure over 127.0.0.1 and in memory; takes a few seconds."""
    cache = measure_cache()
    return DataPlaneCost(
        packet=measure_packets(BODY_BYTES),
        token_bytes=cache.bytes_per_entry,
        token_entries=cache.entries,
        flow_bytes=measure_flow_bytes(),
    )


def measure_flow_bytes() -> float:
    """Return the memory of one entry of an agent's flow table in B."""
    tracemalloc.start()
    table = FlowTable(VirtualTimerService(), max_active=FLOW_ENTRIES)
    for flow_id in range(FLOW_ENTRIES):
        caller = ('192.0.2.1', flow_id)
        table.touch(flow_id << FLOW_ID_SHIFT, issued_s=1, caller=caller)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / len(table)


def render_data_plane(cost: DataPlaneCost) -> list[str]:
    """Return the rows of the table in docs/CAPACITY.md."""
    packet = cost.packet
    balancer_flows = DESIGN_FLOWS / DESIGN_BALANCERS
    agent_flows = DESIGN_FLOWS / DESIGN_AGENTS
    packets_per_s = DESIGN_FLOWS_PER_S * PACKETS_PER_FLOW / DESIGN_BALANCERS
    core_share = packets_per_s * packet.uncached_us / US_PER_S
    per_core = US_PER_S / packet.uncached_us
    cache_mb = cost.token_bytes * cost.token_entries / BYTES_PER_MB
    agent_mb = cost.flow_bytes * agent_flows / BYTES_PER_MB
    return [
        '| role | quantity | formula | value at the size to design for |',
        '| --- | --- | --- | --- |',
        _row(
            'balancer',
            'new flows per second',
            f'{DESIGN_FLOWS_PER_S:,} / {DESIGN_BALANCERS}',
            f'{DESIGN_FLOWS_PER_S / DESIGN_BALANCERS:.0f}',
        ),
        _row(
            'balancer',
            'one datagram of 300 B, token checked each time',
            f'measured; {packet.ours_us:.1f} us with the token cached, '
            f'{packet.bare_us:.1f} us for the bare loop',
            f'{packet.uncached_us:.1f} us, {per_core:,.0f} per second',
        ),
        _row(
            'balancer',
            'core for new flows of one short request',
            f'{packets_per_s:.0f} datagrams per second * cost',
            f'{core_share * PERCENT:.2f}% of a core',
        ),
        _row(
            'balancer',
            'memory of verified tokens',
            f'{cost.token_entries:,} entries * {cost.token_bytes:.0f} B',
            f'{cache_mb:.0f} MB, not more with more flows',
        ),
        _row(
            'balancer',
            'state needed for an open flow',
            f'none; {balancer_flows:,.0f} flows fall to each',
            '0 B: the owner is in the token',
        ),
        _row(
            'agent',
            'open flows',
            f'{DESIGN_FLOWS:,} / {DESIGN_AGENTS:,}',
            f'{agent_flows:,.0f}; `max_flows` (2,000) must be raised',
        ),
        _row(
            'agent',
            'memory of open flows',
            f'{agent_flows:,.0f} * {cost.flow_bytes:.0f} B, measured',
            f'{agent_mb:.1f} MB; idle entries may take up to 16 times that',
        ),
    ]


def _row(*cells: str) -> str:
    return f'| {" | ".join(cells)} |'

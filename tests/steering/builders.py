"""Builders of packets, messages and routes for the steering tests."""

import struct

from greengagepath.pace.cold_limit import ColdBounds
from greengagepath.steering.agent.agent_context import AgentIdentity
from greengagepath.steering.messages.peer_messages import (
    LoadReport,
    PeerKind,
    PeerMessage,
    ReportedState,
    digest_service,
)
from greengagepath.steering.messages.segments import Segment
from greengagepath.steering.routes import Route, RouteTable, ServiceShare
from greengagepath.steering.targets.incarnations import Heartbeat

SERVICE = digest_service('orders')
OTHER_SERVICE = digest_service('proofs')
ROUTE_ADDRESS = bytes((198, 18, 0, 1))
ROUTE_PORT = 443
ORDER_PORT = 444
TARGET_SEQUENCE = 7000
# Time in which an evacuation has to be in force.
EVACUATE_S = 5.0
FIRST_ACKNOWLEDGED = TARGET_SEQUENCE + 1


def make_address(number: int, network: int = 1) -> bytes:
    """Return the address of a process."""
    return bytes((10, network, 0, number))


def make_flow(
    number: int = 1, port: int = ROUTE_PORT, caller: int = 7
) -> bytes:
    """Return the packed ports and addresses that identify a flow."""
    source = bytes((100, 64, 0, caller))
    return struct.pack('!HH4s4s', 40000 + number, port, ROUTE_ADDRESS, source)


def make_opening(flow: bytes, copy: int = 0) -> Segment:
    """Return the first packet of a flow, or one of its copies."""
    raw = b'open%b%d' % (flow, copy)
    opening = Segment(raw, flow, acknowledged=copy, sequence=1)
    opening.is_opening = True
    return opening


def make_data(
    flow: bytes,
    acknowledged: int = FIRST_ACKNOWLEDGED,
    data_bytes: int = 100,
    part: int = 0,
) -> Segment:
    """Return a caller's packet with a request on an open flow.

    `part` numbers the packets of a request that needs several of them.
    """
    packet = Segment(
        b'data%b%d.%d' % (flow, acknowledged, part),
        flow,
        acknowledged=acknowledged,
        data_bytes=data_bytes,
        sequence=2 + part * data_bytes,
    )
    packet.has_acknowledgement = True
    return packet


def make_answer(flow: bytes, sequence: int = TARGET_SEQUENCE) -> Segment:
    """Return the target's answer to an opening packet."""
    raw = b'answer%b%d' % (flow, sequence)
    answer = Segment(raw, flow, sequence=sequence, acknowledged=2)
    answer.is_opening_answer = True
    answer.has_acknowledgement = True
    return answer


def make_response(flow: bytes, data_bytes: int = 600) -> Segment:
    """Return a packet with response data of the target."""
    response = Segment(
        b'response%b' % flow,
        flow,
        data_bytes=data_bytes,
        sequence=FIRST_ACKNOWLEDGED,
    )
    response.has_acknowledgement = True
    return response


def make_final(flow: bytes, acknowledged: int) -> Segment:
    """Return the packet by which a caller closes its end of a flow."""
    final = Segment(
        b'final%b%d' % (flow, acknowledged),
        flow,
        acknowledged=acknowledged,
        sequence=102,
    )
    final.has_acknowledgement = True
    final.is_final = True
    return final


def make_target_final(flow: bytes, sequence: int) -> Segment:
    """Return the packet by which a target closes its end of a flow."""
    final = Segment(
        b'target final%b%d' % (flow, sequence), flow, sequence=sequence
    )
    final.has_acknowledgement = True
    final.is_final = True
    return final


def make_acknowledgement(flow: bytes) -> Segment:
    """Return a target's acknowledgement of a caller's packet."""
    answer = Segment(b'ack%b' % flow, flow, sequence=FIRST_ACKNOWLEDGED)
    answer.has_acknowledgement = True
    return answer


def make_target_reset(segment: Segment) -> Segment:
    """Return a target's reset in answer to a caller's packet."""
    reset = Segment(
        b'reset%b' % segment.flow,
        segment.flow,
        sequence=segment.acknowledged,
        acknowledged=segment.sequence,
    )
    reset.is_reset = True
    reset.has_acknowledgement = True
    return reset


def make_returned(segment: Segment) -> Segment:
    """Return a caller's packet as the target sends it back."""
    returned = Segment(
        segment.raw,
        segment.flow,
        sequence=segment.sequence,
        acknowledged=segment.acknowledged,
        data_bytes=segment.data_bytes,
    )
    returned.is_opening = segment.is_opening
    returned.has_acknowledgement = segment.has_acknowledgement
    returned.is_returned = True
    return returned


def make_identity(
    number: int = 1,
    *,
    is_first_start: bool = True,
    service: bytes = SERVICE,
    zone: int = 0,
    zone_digest: bytes = b'',
    cold_bounds: ColdBounds | None = None,
) -> AgentIdentity:
    """Return the identity of an agent."""
    identity = AgentIdentity(
        make_address(number),
        service,
        heartbeat_s=1.2,
        idle_s=60.0,
        is_first_start=is_first_start,
        zone=zone,
        zone_digest=zone_digest,
        cold_bounds=cold_bounds,
    )
    identity.evacuate_s = EVACUATE_S
    return identity


def make_heartbeat(
    sequence: int = 1,
    *,
    target_id: str = 'i-1',
    started_ms: int = 1000,
    is_draining: bool = False,
    slots: int = 2,
    cold_remaining_s: float = 0,
) -> Heartbeat:
    """Return a heartbeat of a target."""
    return Heartbeat(
        target_id,
        started_ms=started_ms,
        sequence=sequence,
        slots=slots,
        is_draining=is_draining,
        cold_remaining_s=cold_remaining_s,
    )


def make_message(
    kind: PeerKind,
    *,
    service: bytes = SERVICE,
    balancer: bytes = b'',
    hops: int = 0,
    version: int = 0,
    priority: int = 0,
    objective_ms: int = 0,
    body: bytes = b'',
) -> PeerMessage:
    """Return a message of another process."""
    return PeerMessage(
        kind,
        service,
        hops=hops,
        balancer=balancer or make_address(9, network=9),
        version=version,
        priority=priority,
        objective_ms=objective_ms,
        body=body,
    )


def make_report_message(
    load: int = 0,
    *,
    service_s: float = 0.03,
    state: ReportedState = ReportedState.READY,
    service: bytes = SERVICE,
    slots: int = 2,
    version: int = 0,
) -> PeerMessage:
    """Return a load report of an agent."""
    report = LoadReport(
        state, started_ms=1, slots=slots, load=load, service_s=service_s
    )
    return make_message(
        PeerKind.REPORT, service=service, body=report.encode(), version=version
    )


def make_table(
    version: int = 1,
    services: tuple[bytes, ...] = (SERVICE,),
    weights: tuple[float, ...] = (1.0, 1.0),
    objective_s: float = 0,
) -> RouteTable:
    """Return routes on two ports; each service has a weight."""
    shares = tuple(map(ServiceShare, services, weights))
    route = Route('r', shares, objective_s=objective_s)
    destinations = (
        struct.pack('!H4s', port, ROUTE_ADDRESS)
        for port in (ROUTE_PORT, ORDER_PORT)
    )
    return RouteTable(version, dict.fromkeys(destinations, route))

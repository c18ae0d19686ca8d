"""Builders of packets, messages and routes for tests of steering."""

from greengagepath.steering.agent_steering import AgentIdentity
from greengagepath.steering.peer_messages import (
    LoadReport,
    PeerKind,
    PeerMessage,
    ReportedState,
    digest_service,
)
from greengagepath.steering.routes import Route, RouteTable, ServiceShare
from greengagepath.steering.segments import Segment
from greengagepath.steering.target_gate import Heartbeat

SERVICE = digest_service('orders')
OTHER_SERVICE = digest_service('proofs')
ROUTE_ADDRESS = bytes((198, 18, 0, 1))
ROUTE_PORT = 443
TARGET_SEQUENCE = 7000


def make_address(number: int, network: int = 1) -> bytes:
    """Return the address of a process."""
    return bytes((10, network, 0, number))


def make_flow(
    number: int = 1, port: int = ROUTE_PORT, caller: int = 7
) -> bytes:
    """Return the key of a caller's flow."""
    return (
        (40000 + number).to_bytes(2, 'big')
        + port.to_bytes(2, 'big')
        + ROUTE_ADDRESS
        + bytes((100, 64, 0, caller))
    )


def make_opening(flow: bytes, copy: int = 0) -> Segment:
    """Return the first packet of a flow, or one of its copies."""
    return Segment(
        b'open' + flow, flow, acknowledged=copy, is_opening=True, sequence=1
    )


def make_data(
    flow: bytes, acknowledged: int = TARGET_SEQUENCE + 1, data_bytes: int = 100
) -> Segment:
    """Return a caller's packet of an open flow."""
    return Segment(
        b'data' + flow,
        flow,
        acknowledged=acknowledged,
        has_acknowledgement=True,
        data_bytes=data_bytes,
        sequence=2,
    )


def make_answer(flow: bytes, sequence: int = TARGET_SEQUENCE) -> Segment:
    """Return the target's answer to an opening packet."""
    return Segment(
        b'answer' + flow,
        flow,
        opens_answer=True,
        has_acknowledgement=True,
        sequence=sequence,
        acknowledged=2,
    )


def make_response(flow: bytes, data_bytes: int = 600) -> Segment:
    """Return data of the target."""
    return Segment(
        b'response' + flow,
        flow,
        has_acknowledgement=True,
        data_bytes=data_bytes,
        sequence=TARGET_SEQUENCE + 1,
    )


def make_returned(segment: Segment) -> Segment:
    """Return a caller's packet as the target gives it back."""
    return Segment(
        segment.raw,
        segment.flow,
        sequence=segment.sequence,
        acknowledged=segment.acknowledged,
        data_bytes=segment.data_bytes,
        is_opening=segment.is_opening,
        has_acknowledgement=segment.has_acknowledgement,
        is_returned=True,
    )


def make_identity(
    number: int = 1, *, is_first_start: bool = True, service: bytes = SERVICE
) -> AgentIdentity:
    """Return the identity of an agent."""
    return AgentIdentity(
        make_address(number),
        service,
        heartbeat_s=1.2,
        idle_s=60.0,
        is_first_start=is_first_start,
    )


def make_heartbeat(
    sequence: int = 1,
    *,
    target_id: str = 'i-1',
    started_ms: int = 1000,
    is_draining: bool = False,
    slots: int = 2,
) -> Heartbeat:
    """Return a heartbeat of a target."""
    return Heartbeat(
        target_id,
        started_ms=started_ms,
        sequence=sequence,
        slots=slots,
        is_draining=is_draining,
    )


def make_message(
    kind: PeerKind,
    *,
    service: bytes = SERVICE,
    balancer: bytes = b'',
    hops: int = 0,
    version: int = 0,
    body: bytes = b'',
) -> PeerMessage:
    """Return a message of a peer."""
    return PeerMessage(
        kind,
        service,
        hops=hops,
        balancer=balancer or make_address(9, network=9),
        version=version,
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
    """Return the report of an agent."""
    report = LoadReport(
        state, started_ms=1, slots=slots, load=load, service_s=service_s
    )
    return make_message(
        PeerKind.REPORT, service=service, body=report.encode(), version=version
    )


def make_table(
    version: int = 1, services: tuple[bytes, ...] = (SERVICE,)
) -> RouteTable:
    """Return a configuration with one route."""
    destination = ROUTE_PORT.to_bytes(2, 'big') + ROUTE_ADDRESS
    shares = tuple(ServiceShare(service, 1.0) for service in services)
    return RouteTable(version, {destination: Route('r', shares)})

"""Datagrams between balancers and agents.

All start with the same header: kind, hops, priority of the route, zone of
the caller, latency objective of the route in ms, digest of the service,
address of a balancer and the highest configuration version that the sender
has seen.
"""

import struct
from enum import IntEnum, unique

import xxhash
from result import Err, Ok, Result

HEADER = struct.Struct('!BBBBH8s4sQ')
NO_SERVICE = bytes(8)
NO_ADDRESS = bytes(4)
MAX_VERSION = 0xFFFFFFFFFFFFFFFF
MAX_PRIORITY = 0xFF
MAX_OBJECTIVE_MS = 0xFFFF
MAX_COUNT = 0xFFFF
ADDRESS_BYTES = 4
# Value of `hops` in a search that only agents which know the flow answer;
# others neither try the packet at their targets nor deny the flow.
KNOWN_ONLY = 1
# Value of `hops` in a report whose receiver is to answer: an agent with its
# own report, a balancer with a roster and the evacuated zones. In an AGENTS
# it asks for the receiver's list.
ASK_REPORT = 1
# Value of `hops` in a report that is repeated too rarely to place flows by.
RARE_REPORT = 2
# Value of `hops` in a PRESENCE whose roster has all agents of the service, of
# a balancer that knows them all.
WHOLE_ROSTER = 1
# Addresses in one roster; keeps the datagram below 1,300 B.
MAX_ROSTER = 300
_REPORT = struct.Struct('!QHHHHfB')
_COUNT = struct.Struct('!H')


@unique
class PeerKind(IntEnum):
    """Kind of a datagram between processes."""

    # An opening packet, from a balancer to the home of its flow.
    OPEN = 1
    # An opening packet, to the agent that another agent has chosen.
    PLACE = 2
    # A packet of an open flow, from a balancer.
    FORWARD = 3
    # A packet of an open flow, from its home to the owner.
    RELAY = 4
    # A packet of an open flow, to every agent of the service.
    SEARCH = 5
    # The sender's target holds the flow in the body.
    HELD = 6
    # Load and state of the sender's target.
    REPORT = 7
    # The sender is a balancer; the body is a roster for an agent, and the
    # age of the sender's last read of the store for a balancer.
    PRESENCE = 8
    # Request for the receiver's copy of the configuration.
    PULL = 9
    # One part of a configuration copy.
    PART = 10
    # The sender's target does not hold the flow in the body.
    NOT_HELD = 11
    # No target of the sender's service holds the flow of the packet in the
    # body; from the home of the flow to the balancer that sent the packet.
    DENIED = 12
    # No target of any service holds the flow in the body; from a balancer
    # to the home that has denied it first.
    LOST = 13
    # Evacuated zones, from a balancer; for an agent also the rate that cold
    # targets of its service bear.
    ZONES = 14
    # All agents that the sender knows, from a balancer that knows them all
    # to one that has just started; earlier builds drop it.
    AGENTS = 15


class PeerMessage:
    """A datagram between two processes of the system.

    `priority` (0 is highest) and `objective_ms` (0 if there is no latency
    objective) come from the route of an opening packet. In a ZONES between
    balancers, `objective_ms` is the age of the sender's last read of the
    list, 65,535 if it has read none. In a PRESENCE for an agent it is the
    time in ms since an agent of any service has reported that the balancer
    took for gone, 0 if none has or it is longer ago; earlier builds send 0.
    In a REPORT,
    `objective_ms` is the standing load in thousandths of the slots; earlier
    builds send 0. In a PRESENCE for an agent, `priority` is the era of the
    store that the sender knows, see `narrow_era`; earlier builds send 0.
    `caller_zone` is the zone of the balancer that an opening
    packet came through, see `narrow_zone`; it is 0 if the zone is unknown,
    in messages of earlier builds and in all other kinds.
    """

    __slots__ = (
        'balancer',
        'body',
        'caller_zone',
        'hops',
        'kind',
        'objective_ms',
        'priority',
        'service',
        'version',
    )

    def __init__(
        self,
        kind: PeerKind,
        service: bytes,
        *,
        hops: int = 0,
        balancer: bytes = NO_ADDRESS,
        version: int = 0,
        priority: int = 0,
        objective_ms: int = 0,
        body: bytes = b'',
    ) -> None:
        self.kind = kind
        self.service = service
        self.hops = hops
        self.balancer = balancer
        self.version = version
        self.priority = priority
        self.objective_ms = objective_ms
        self.caller_zone = 0
        self.body = body

    def encode(self) -> bytes:
        """Return the datagram; too large values are set to the maximum."""
        head = HEADER.pack(
            self.kind,
            self.hops,
            min(self.priority, MAX_PRIORITY),
            self.caller_zone,
            min(self.objective_ms, MAX_OBJECTIVE_MS),
            self.service,
            self.balancer,
            self.version,
        )
        return head + self.body


@unique
class ReportedState(IntEnum):
    """State of a target in a report."""

    READY = 1
    # Serves its flows and accepts no new ones.
    DRAINING = 2
    # Has left or does not answer.
    ABSENT = 3
    # Serves, but its queue is full.
    FULL = 4
    # Has sent no heartbeat since its agent started.
    UNHEARD = 5


class LoadReport:
    """Load and state of a target, as reported by its agent.

    `started_ms` is the target's start in ms since the epoch, 0 if
    unknown; `load` counts requests in progress and opened flows whose
    request is still expected; `service_s` is the estimated duration of
    a request in seconds, 0 if unknown. `zone` identifies the availability
    zone and `interval_ms` is the longest time between reports to a
    balancer; agents of earlier builds report 0 for both. `standing_share`
    is the share of the slots that requests on open flows are expected to
    keep busy; it is sent in the header of the REPORT, not in the body.
    """

    __slots__ = (
        'interval_ms',
        'load',
        'service_s',
        'slots',
        'standing_share',
        'started_ms',
        'state',
        'zone',
    )

    def __init__(
        self,
        state: ReportedState,
        *,
        started_ms: int = 0,
        slots: int = 1,
        load: int = 0,
        service_s: float = 0,
        zone: int = 0,
        interval_ms: int = 0,
        standing_share: float = 0,
    ) -> None:
        self.state = state
        self.zone = zone
        self.interval_ms = interval_ms
        self.standing_share = standing_share
        self.started_ms = started_ms
        self.slots = slots
        self.load = load
        self.service_s = service_s

    def encode(self) -> bytes:
        """Return the body of a REPORT."""
        return _REPORT.pack(
            self.started_ms,
            self.zone,
            min(self.interval_ms, MAX_COUNT),
            min(self.slots, MAX_COUNT),
            min(self.load, MAX_COUNT),
            self.service_s,
            self.state,
        )


class Roster:
    """Addresses of balancers, and of the agents of one service."""

    __slots__ = ('agents', 'balancers')

    def __init__(self, balancers: list[bytes], agents: list[bytes]) -> None:
        self.balancers = balancers
        self.agents = agents

    def encode(self) -> bytes:
        """Return the body of a PRESENCE with at most `MAX_ROSTER` addresses."""
        balancers = self.balancers[: MAX_ROSTER // 2]
        agents = self.agents[: MAX_ROSTER - len(balancers)]
        return _COUNT.pack(len(balancers)) + b''.join(balancers + agents)


def digest_service(name: str) -> bytes:
    """Return the 8-byte digest that identifies a service in datagrams."""
    # Importing hashlib would load OpenSSL, 3.5 MB in each process.
    return xxhash.xxh3_64_digest(name.encode())


def decode_message(datagram: bytes) -> Result[PeerMessage, str]:
    """Return the message, or why the datagram is invalid."""
    if len(datagram) < HEADER.size:
        return Err('datagram is shorter than a header')
    fields = HEADER.unpack_from(datagram)
    if fields[0] not in _KINDS:
        return Err(f'kind {fields[0]} is unknown')
    kind, hops, priority, *named = fields
    objective_ms, service, balancer, version = named[1:]
    message = PeerMessage(
        _KINDS[kind],
        service,
        hops=hops,
        balancer=balancer,
        version=version,
        priority=priority,
        objective_ms=objective_ms,
        body=datagram[HEADER.size :],
    )
    message.caller_zone = named[0]
    return Ok(message)


def decode_report(body: bytes) -> Result[LoadReport, str]:
    """Return the report in the body of a REPORT, or why it is invalid."""
    if len(body) != _REPORT.size:
        return Err(f'report has {len(body)} B, expected {_REPORT.size} B')
    started_ms, zone, interval_ms, *numbers = _REPORT.unpack(body)
    slots, load, service_s, state = numbers
    if state not in _STATES or not 0 <= service_s < _MAX_SERVICE_S:
        return Err('report has values out of range')
    report = LoadReport(
        _STATES[state],
        started_ms=started_ms,
        slots=max(slots, 1),
        load=load,
        service_s=service_s,
        zone=zone,
        interval_ms=interval_ms,
    )
    return Ok(report)


def decode_roster(body: bytes) -> Result[Roster, str]:
    """Return the roster in the body of a PRESENCE, or why it is invalid."""
    if len(body) < _COUNT.size:
        return Err('roster has no count of balancers')
    count = _COUNT.unpack_from(body)[0]
    listed = body[_COUNT.size :]
    if len(listed) % ADDRESS_BYTES or count * ADDRESS_BYTES > len(listed):
        return Err('roster is truncated')
    addresses = [
        listed[start : start + ADDRESS_BYTES]
        for start in range(0, len(listed), ADDRESS_BYTES)
    ]
    return Ok(Roster(addresses[:count], addresses[count:]))


_KINDS = {int(kind): kind for kind in PeerKind}
_STATES = {int(state): state for state in ReportedState}
_MAX_SERVICE_S = 3600.0

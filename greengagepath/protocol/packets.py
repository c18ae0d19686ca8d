"""Fixed binary headers of the datagrams; all numbers are big-endian.

Three headers exist: that of the service datagram between a caller and
the system, the fabric header, which carries the addresses that a real
fabric leaves unchanged, and the envelope between processes of the
system.
"""

import socket
import struct
from dataclasses import dataclass
from enum import IntEnum, StrEnum, unique

from result import Err, Ok, Result

from ..foundation.addresses import Address

SERVICE_MAGIC = 0x47
FABRIC_MAGIC = 0xFA
ENVELOPE_MAGIC = 0xE7
PROTOCOL_VERSION = 1

TOKEN_BYTES = 32
NO_TOKEN = bytes(TOKEN_BYTES)
MAX_BODY_BYTES = 1200
SIZE_CLASS_MASK = 0b11

_SERVICE_HEADER = struct.Struct('!BBBBIQ32sIII')
_FABRIC_HEADER = struct.Struct('!BBH4sH4sH')
_ADDRESS = struct.Struct('!4sH')

SERVICE_HEADER_BYTES = _SERVICE_HEADER.size
FABRIC_HEADER_BYTES = _FABRIC_HEADER.size
MAX_DATAGRAM_BYTES = SERVICE_HEADER_BYTES + MAX_BODY_BYTES
# A service datagram after a fabric header.
MIN_PACKET_BYTES = FABRIC_HEADER_BYTES + SERVICE_HEADER_BYTES
MAX_PACKET_BYTES = FABRIC_HEADER_BYTES + MAX_DATAGRAM_BYTES
# Service id, flow id and token: what identifies an established flow.
FLOW_KEY_START = 4
FLOW_KEY_END = 48


@unique
class Kind(IntEnum):
    """Kind of a service datagram."""

    OPEN = 1
    ACCEPT = 2
    REQUEST = 3
    REQUEST_ACK = 4
    ANSWER = 5
    ANSWER_ACK = 6
    REFUSE = 7
    CANCEL = 8
    PING = 9
    PONG = 10
    UNKNOWN_OUTCOME = 11
    PROBE = 20
    PROBE_REPLY = 21


@unique
class SizeCode(IntEnum):
    """Size class of a request, in the flags of its datagrams."""

    UNKNOWN = 0
    SHORT = 1
    LONG = 2


@unique
class DropReason(StrEnum):
    """Why a datagram was dropped; also a label of the drop counter."""

    TRUNCATED = 'truncated'
    OVERSIZED = 'oversized'
    UNKNOWN_VERSION = 'unknown_version'
    UNKNOWN_KIND = 'unknown_kind'
    UNKNOWN_SERVICE = 'unknown_service'
    BAD_TAG = 'bad_tag'
    BAD_TOKEN = 'bad_token'
    REPLAYED = 'replayed'
    NO_TARGET = 'no_target'
    TOO_MANY_HOPS = 'too_many_hops'
    MALFORMED_BODY = 'malformed_body'


@dataclass(slots=True, frozen=True)
class ServiceDatagram:
    """A datagram between a caller and the system.

    `part` counts from 0 and is less than `part_count`, except in kinds
    that carry no parts, where both are 0.
    """

    kind: Kind
    service_id: int
    flow_id: int
    token: bytes = NO_TOKEN
    request_number: int = 0
    part: int = 0
    part_count: int = 0
    size_code: SizeCode = SizeCode.UNKNOWN
    body: bytes = b''

    def encode(self) -> bytes:
        """Return the header followed by the body."""
        header = _SERVICE_HEADER.pack(
            SERVICE_MAGIC,
            PROTOCOL_VERSION,
            self.kind,
            self.size_code,
            self.service_id,
            self.flow_id,
            self.token,
            self.request_number,
            self.part,
            self.part_count,
        )
        return header + self.body


@dataclass(slots=True, frozen=True)
class FabricHeader:
    """Source and destination that the fabric leaves unchanged."""

    source: Address
    destination: Address

    def encode(self) -> bytes:
        """Return the header; a datagram follows it."""
        return _FABRIC_HEADER.pack(
            FABRIC_MAGIC,
            PROTOCOL_VERSION,
            0,
            socket.inet_aton(self.source[0]),
            self.source[1],
            socket.inet_aton(self.destination[0]),
            self.destination[1],
        )


def decode_service_datagram(
    datagram: bytes,
) -> Result[ServiceDatagram, DropReason]:
    """Check and decode a service datagram; never raises on bad input."""
    problem = check_service_header(datagram)
    if problem is not None:
        return Err(problem)
    fields = _SERVICE_HEADER.unpack_from(datagram)
    try:
        kind = Kind(fields[2])
    except ValueError:
        return Err(DropReason.UNKNOWN_KIND)
    return Ok(
        ServiceDatagram(
            kind=kind,
            service_id=fields[4],
            flow_id=fields[5],
            token=fields[6],
            request_number=fields[7],
            part=fields[8],
            part_count=fields[9],
            size_code=_decode_size_code(fields[3]),
            body=bytes(datagram[SERVICE_HEADER_BYTES:]),
        )
    )


def check_service_header(datagram: bytes) -> DropReason | None:
    """Return why the datagram must be dropped, or None."""
    if len(datagram) < SERVICE_HEADER_BYTES:
        return DropReason.TRUNCATED
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return DropReason.OVERSIZED
    if datagram[0] != SERVICE_MAGIC or datagram[1] != PROTOCOL_VERSION:
        return DropReason.UNKNOWN_VERSION
    return None


def decode_fabric_header(
    datagram: bytes,
) -> Result[FabricHeader, DropReason]:
    """Decode the fabric header at the start of a datagram."""
    if len(datagram) < FABRIC_HEADER_BYTES:
        return Err(DropReason.TRUNCATED)
    fields = _FABRIC_HEADER.unpack_from(datagram)
    if fields[0] != FABRIC_MAGIC or fields[1] != PROTOCOL_VERSION:
        return Err(DropReason.UNKNOWN_VERSION)
    return Ok(
        FabricHeader(
            source=(socket.inet_ntoa(fields[3]), fields[4]),
            destination=(socket.inet_ntoa(fields[5]), fields[6]),
        )
    )


def encode_address(address: Address) -> bytes:
    """Return 6 B: IPv4 address and port."""
    return _ADDRESS.pack(socket.inet_aton(address[0]), address[1])


def decode_address(packed: bytes) -> Address:
    """Return the address that `encode_address` encoded in 6 B."""
    host, port = _ADDRESS.unpack(packed)
    return socket.inet_ntoa(host), port


def _decode_size_code(flags: int) -> SizeCode:
    code = flags & SIZE_CLASS_MASK
    return SizeCode(code) if code <= SizeCode.LONG else SizeCode.UNKNOWN

"""Codec of the packets that callers and targets send."""

import struct

from ..steering.messages.segments import Segment

MAX_DATA_BYTES = 1200

# Length, echo, checksum, sequence, acknowledgement, source port, destination
# port, destination, source, flags.
_HEADER = struct.Struct('>HIIIIHH4s4sB')
# The fields that identify a flow, in the order of the header.
_FLOW = struct.Struct('>2s2s4s4s')
_FLOW_OFFSET = 18
# What precedes the flow; all but the sequence number is 0.
_RESET_HEAD = struct.Struct('>10xI4x')
_FLOW_END = _FLOW_OFFSET + _FLOW.size
_FLAGS_OFFSET = 30
_SYN = 16
_ACK = 64
_FIN = 4
_RST = 2
_BOUNCED = 8
# Status lines of answers to requests that have not run.
_REFUSALS = (b'HTTP/1.1 503', b'HTTP/1.1 421')
# Status lines of answers to requests that have failed, unless refused.
_FAILURE = b'HTTP/1.1 5'


def decode_from_caller(raw: bytes) -> Segment | None:
    """Return a packet of a caller, also one that a target returned.

    None if the bytes are not a valid packet.
    """
    segment = _decode(raw, raw[_FLOW_OFFSET:_FLOW_END])
    if segment is not None and segment.is_returned:
        # Without the flag the packet can be sent to another target.
        cleared = bytes((raw[_FLAGS_OFFSET] & ~_BOUNCED,))
        segment.raw = raw[:_FLAGS_OFFSET] + cleared + raw[_FLOW_END + 1 :]
    return segment


def decode_from_target(raw: bytes) -> Segment | None:
    """Return a packet that a target sent or returned, None if invalid."""
    if len(raw) < _HEADER.size or raw[_FLAGS_OFFSET] & _BOUNCED:
        return decode_from_caller(raw)
    # A flow is identified by the addresses in the caller's direction,
    # so source and destination are swapped.
    source_port, port, destination, source = _FLOW.unpack_from(
        raw, _FLOW_OFFSET
    )
    segment = _decode(raw, port + source_port + source + destination)
    if segment is not None:
        segment.is_refusal = raw.startswith(_REFUSALS, _HEADER.size)
        is_error = raw.startswith(_FAILURE, _HEADER.size)
        segment.is_failure = is_error and not segment.is_refusal
    return segment


def encode_reset(flow: bytes, sequence: int = 0) -> bytes:
    """Return a reset to the caller of a flow.

    On an open flow, `sequence` has to be near the last sequence number
    that the caller has acknowledged.
    """
    source_port, port, destination, source = _FLOW.unpack(flow)
    reversed_flow = port + source_port + source + destination
    head = _RESET_HEAD.pack(sequence)
    return b''.join((head, reversed_flow, bytes((_RST,))))


def caller_address(flow: bytes) -> bytes:
    """Return the caller's packed IPv4 address."""
    return _FLOW.unpack(flow)[3]


def _decode(raw: bytes, flow: bytes) -> Segment | None:
    if len(raw) < _HEADER.size:
        return None
    fields = _HEADER.unpack_from(raw)
    length = fields[0]
    flags = fields[-1]
    if length != len(raw) - _HEADER.size or length > MAX_DATA_BYTES:
        return None
    has_ack = bool(flags & _ACK)
    has_syn = bool(flags & _SYN)
    segment = Segment(
        raw, flow, sequence=fields[3], acknowledged=fields[4], data_bytes=length
    )
    segment.is_opening = has_syn and not has_ack
    segment.is_opening_answer = has_syn and has_ack
    segment.has_acknowledgement = has_ack
    segment.is_final = bool(flags & _FIN)
    segment.is_reset = bool(flags & _RST)
    segment.is_returned = bool(flags & _BOUNCED)
    return segment

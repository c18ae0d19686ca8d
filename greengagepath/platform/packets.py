"""Packets of callers and targets on the platform's wire."""

import struct

from ..steering.segments import Segment

MAX_DATA_BYTES = 1200

# len, echo, sum, seq, ack, sport, dport, dst, src, flags.
_HEAD = struct.Struct('>HIIIIHH4s4sB')
_SYN = 16
_ACK = 64
_FIN = 4
_RST = 2
_BOUNCED = 8
# Status lines of answers that say that the request has not run.
_REFUSALS = (b'HTTP/1.1 503', b'HTTP/1.1 421')
_FLAGS = slice(30, 31)
_ENDPOINTS = slice(18, 30)


def decode_from_caller(raw: bytes) -> Segment | None:
    """Return a packet of a caller, also one that a target gave back.

    None if the bytes are no packet.
    """
    segment = _decode(raw, raw[_ENDPOINTS])
    if segment is not None and segment.is_returned:
        # The packet is valid again for another target.
        cleared = bytes((raw[30] & ~_BOUNCED,))
        segment.raw = raw[: _FLAGS.start] + cleared + raw[_FLAGS.stop :]
    return segment


def decode_from_target(raw: bytes) -> Segment | None:
    """Return what a target sent or gave back, None if it is no packet."""
    if len(raw) < _HEAD.size or raw[30] & _BOUNCED:
        return decode_from_caller(raw)
    # Destination and source change places in the caller's direction.
    flow = raw[20:22] + raw[18:20] + raw[26:30] + raw[22:26]
    segment = _decode(raw, flow)
    if segment is not None:
        segment.is_refusal = raw.startswith(_REFUSALS, _HEAD.size)
    return segment


def encode_reset(flow: bytes) -> bytes:
    """Return a reset of a flow that has not opened, for its caller."""
    return _HEAD.pack(
        0,
        0,
        0,
        0,
        0,
        int.from_bytes(flow[2:4], 'big'),
        int.from_bytes(flow[0:2], 'big'),
        flow[8:12],
        flow[4:8],
        _RST,
    )


def caller_address(flow: bytes) -> bytes:
    """Return the caller's packed IPv4 address."""
    return flow[8:12]


def _decode(raw: bytes, flow: bytes) -> Segment | None:
    if len(raw) < _HEAD.size:
        return None
    length, _, _, seq, ack, _, _, _, _, flags = _HEAD.unpack_from(raw)
    if length != len(raw) - _HEAD.size or length > MAX_DATA_BYTES:
        return None
    has_ack = bool(flags & _ACK)
    has_syn = bool(flags & _SYN)
    return Segment(
        raw,
        flow,
        sequence=seq,
        acknowledged=ack,
        data_bytes=length,
        is_opening=has_syn and not has_ack,
        opens_answer=has_syn and has_ack,
        has_acknowledgement=has_ack,
        is_final=bool(flags & _FIN),
        is_reset=bool(flags & _RST),
        is_returned=bool(flags & _BOUNCED),
    )

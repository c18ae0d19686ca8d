"""Body of REQUEST_ACK and ANSWER_ACK datagrams.

Layout: cumulative u32, end u32, then missing ranges of two u32 each.
All parts below `cumulative` have arrived; of the parts from there to
`end`, all but those in a missing range have arrived. Later parts are
not covered.
"""

import struct
from dataclasses import dataclass

from result import Err, Ok, Result

from .packets import MAX_BODY_BYTES, DropReason

_BOUNDS = struct.Struct('!II')
BOUNDS_BYTES = _BOUNDS.size
MAX_MISSING_RANGES = MAX_BODY_BYTES // BOUNDS_BYTES - 1

PartRange = tuple[int, int]


@dataclass(slots=True, frozen=True)
class Ack:
    """Parts that have arrived; ranges are half-open, sorted, disjoint."""

    cumulative: int
    end: int
    missing: tuple[PartRange, ...] = ()


def encode_ack(ack: Ack) -> bytes:
    """Return the body, at most 1,200 B.

    Raises ValueError with more than `MAX_MISSING_RANGES` ranges.
    """
    if len(ack.missing) > MAX_MISSING_RANGES:
        raise ValueError(f'an ACK holds at most {MAX_MISSING_RANGES} ranges')
    bounds = [_BOUNDS.pack(ack.cumulative, ack.end)]
    bounds += [_BOUNDS.pack(*missing) for missing in ack.missing]
    return b''.join(bounds)


def encode_final_ack(part_count: int) -> bytes:
    """Return the body of an ACK of all parts."""
    return _BOUNDS.pack(part_count, part_count)


def decode_ack(body: bytes) -> Result[Ack, DropReason]:
    """Decode and check an ACK body; never raises on malformed input."""
    size = len(body)
    if size < BOUNDS_BYTES or size > MAX_BODY_BYTES or size % BOUNDS_BYTES:
        return Err(DropReason.MALFORMED_BODY)
    bounds, *missing = _BOUNDS.iter_unpack(body)
    cumulative, end = bounds
    low = cumulative
    for start, stop in missing:
        if start < low or stop <= start:
            return Err(DropReason.MALFORMED_BODY)
        low = stop
    if end < low:
        return Err(DropReason.MALFORMED_BODY)
    return Ok(Ack(cumulative, end, tuple(missing)))

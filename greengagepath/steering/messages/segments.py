"""Packet of a plain flow, independent of the wire format."""

import struct

# Source port, destination port, destination and source address of a
# caller's packet.
_FLOW = struct.Struct('!HH4s4s')


class Segment:
    """One packet of a flow between a caller and a target.

    `flow` identifies the flow by the caller's addresses and ports, in
    both directions. `sequence` and `acknowledged` are unsigned 32-bit
    numbers; `acknowledged` of an opening packet is its copy number.
    `is_opening_answer` marks a target's answer to an opening packet,
    `is_returned` a caller's packet that the target sent back, and
    `is_refusal` a response that says that the request was not run.
    `is_failure` marks a response that says that the request has failed at
    the target.
    """

    __slots__ = (
        'acknowledged',
        'data_bytes',
        'flow',
        'has_acknowledgement',
        'is_failure',
        'is_final',
        'is_opening',
        'is_opening_answer',
        'is_refusal',
        'is_reset',
        'is_returned',
        'raw',
        'sequence',
    )

    def __init__(
        self,
        raw: bytes,
        flow: bytes,
        *,
        sequence: int = 0,
        acknowledged: int = 0,
        data_bytes: int = 0,
    ) -> None:
        self.raw = raw
        self.flow = flow
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.data_bytes = data_bytes
        self.is_opening = False
        self.is_opening_answer = False
        self.has_acknowledgement = False
        self.is_final = False
        self.is_reset = False
        self.is_returned = False
        self.is_refusal = False
        self.is_failure = False

    @property
    def copy_number(self) -> int:
        """Return how often the opening packet was sent before this copy."""
        return self.acknowledged if self.is_opening else 0


def describe_flow(flow: bytes) -> str:
    """Return the flow as `source:port>destination:port` for logs."""
    source_port, port, destination, source = _FLOW.unpack(flow)
    caller = '.'.join(map(str, source))
    route = '.'.join(map(str, destination))
    return f'{caller}:{source_port}>{route}:{port}'

"""Packet of a plain flow, as the decisions see it."""

# Source port, destination port, destination and source address of a
# caller's packet, as they stand in its header.
FLOW_KEY_BYTES = 12


class Segment:
    """One packet of a flow between a caller and a target.

    `flow` identifies the flow by the caller's addresses and ports, in
    both directions. `sequence` and `acknowledged` are unsigned 32-bit
    numbers; `copy` counts the earlier copies of an opening packet.
    `is_returned` marks a caller's packet that the target gave back,
    `is_refusal` the answer of a target that has not run a request.
    """

    __slots__ = (
        'acknowledged',
        'copy',
        'data_bytes',
        'flow',
        'has_acknowledgement',
        'is_final',
        'is_opening',
        'is_refusal',
        'is_reset',
        'is_returned',
        'opens_answer',
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
        is_opening: bool = False,
        opens_answer: bool = False,
        has_acknowledgement: bool = False,
        is_final: bool = False,
        is_reset: bool = False,
        is_returned: bool = False,
        is_refusal: bool = False,
    ) -> None:
        self.raw = raw
        self.flow = flow
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.copy = acknowledged if is_opening else 0
        self.data_bytes = data_bytes
        self.is_opening = is_opening
        self.opens_answer = opens_answer
        self.has_acknowledgement = has_acknowledgement
        self.is_final = is_final
        self.is_reset = is_reset
        self.is_returned = is_returned
        self.is_refusal = is_refusal


def describe_flow(flow: bytes) -> str:
    """Return `source:port>destination:port` for logs."""
    caller = '.'.join(str(octet) for octet in flow[8:12])
    route = '.'.join(str(octet) for octet in flow[4:8])
    caller_port = int.from_bytes(flow[0:2], 'big')
    route_port = int.from_bytes(flow[2:4], 'big')
    return f'{caller}:{caller_port}>{route}:{route_port}'

"""The platform's wire format behind the interface of the daemons."""

from ..platform import heartbeats, packets


class PlatformWire:
    """Codec of the platform's packets and heartbeats."""

    acknowledgement = heartbeats.ACKNOWLEDGEMENT
    readiness_path = '/ready'

    def __init__(self) -> None:
        self.caller_address = packets.caller_address
        self.decode_from_caller = packets.decode_from_caller
        self.decode_from_target = packets.decode_from_target
        self.decode_heartbeat = heartbeats.decode_heartbeat
        self.decode_target_id = heartbeats.decode_target_id
        self.encode_reset = packets.encode_reset

"""The platform's wire as the daemons use it."""

from ..platform import heartbeats, packets


class PlatformWire:
    """Packets and heartbeats of the platform."""

    acknowledgement = heartbeats.ACKNOWLEDGEMENT
    readiness_path = '/ready'

    def __init__(self) -> None:
        self.caller_address = packets.caller_address
        self.decode_from_caller = packets.decode_from_caller
        self.decode_from_target = packets.decode_from_target
        self.decode_heartbeat = heartbeats.decode_heartbeat
        self.decode_target_id = heartbeats.decode_target_id
        self.encode_reset = packets.encode_reset

"""The platform's wire as the daemons use it."""

from . import heartbeats, packets


class PlatformWire:
    """Packets and heartbeats of the platform."""

    decode_from_caller = staticmethod(packets.decode_from_caller)
    decode_from_target = staticmethod(packets.decode_from_target)
    encode_reset = staticmethod(packets.encode_reset)
    caller_address = staticmethod(packets.caller_address)
    decode_target_id = staticmethod(heartbeats.decode_target_id)
    decode_heartbeat = staticmethod(heartbeats.decode_heartbeat)
    acknowledgement = heartbeats.ACKNOWLEDGEMENT

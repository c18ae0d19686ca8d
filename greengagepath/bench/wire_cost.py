"""Processor time of carrying one message over a control link."""

import threading
import time
from dataclasses import dataclass

from websockets.sync import client, server
from websockets.sync.connection import Connection

from ..daemon.frames import NONCE_BYTES, FrameOpener, FrameSealer
from ..generated.messages import Heartbeat, MemberRecord, Records
from ..protocol.tags import KEY_BYTES, Key, KeyRing

ROUNDS = 3000
# Each end sends and receives one message in a round trip.
OPERATIONS_PER_ROUND_TRIP = 4
HOST = '127.0.0.1'
NONCE = bytes(NONCE_BYTES)


@dataclass(slots=True, frozen=True)
class WireCost:
    """Seconds of processor time at one end of a link.

    `frame_s` is the mean of sealing and opening a heartbeat,
    `record_s` what one member record adds to it, `socket_s` the
    websocket library and the kernel for one message.
    """

    frame_s: float
    record_s: float
    socket_s: float

    @property
    def message_s(self) -> float:
        """Cost of one message with one record."""
        return self.frame_s + self.record_s + self.socket_s


def measure_wire_cost(record: MemberRecord) -> WireCost:
    """Measure the cost on this machine, over 127.0.0.1."""
    heartbeat_s = _measure_frames(Heartbeat(sequence=1))
    one_record_s = _measure_frames(Records(records=[record]))
    return WireCost(
        frame_s=heartbeat_s,
        record_s=max(one_record_s - heartbeat_s, 0),
        socket_s=_measure_sockets(),
    )


def _measure_frames(message: Heartbeat | Records) -> float:
    keys = KeyRing([Key(1, bytes(KEY_BYTES))], time.time)
    sealer = FrameSealer(keys, NONCE)
    opener = FrameOpener(keys, NONCE)
    started_s = time.process_time()
    for _ in range(ROUNDS):
        opener.open(sealer.seal(message)).unwrap()
    return (time.process_time() - started_s) / ROUNDS / 2


def _measure_sockets() -> float:
    with server.serve(
        _echo, HOST, 0, compression=None, ping_interval=None
    ) as listener:
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        port = listener.socket.getsockname()[1]
        used_s = _exchange(port)
        listener.shutdown()
    return used_s / ROUNDS / OPERATIONS_PER_ROUND_TRIP


def _exchange(port: int) -> float:
    with client.connect(
        f'ws://{HOST}:{port}',
        compression=None,
        ping_interval=None,
        proxy=None,
    ) as connection:
        started_s = time.process_time()
        for _ in range(ROUNDS):
            connection.send(NONCE)
            connection.recv()
        return time.process_time() - started_s


def _echo(connection: Connection) -> None:
    for message in connection:
        connection.send(message)

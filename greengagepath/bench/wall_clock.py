"""Wall-clock cost of a balancer's data path, on 127.0.0.1.

Each measurement is compared with a bare receive-and-send loop of the
same run. Rounds of both alternate, so that a temporary slowdown of the
machine affects both; the median of the rounds is reported.
"""

import statistics
import time
import tracemalloc
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from random import Random

from result import Err, Result

from ..daemon.datapath import MAX_DRAINED, drain_socket, open_data_socket
from ..daemon.target_sockets import TargetSockets
from ..datapath.packet_router import PacketRouter, RouterDependencies
from ..foundation.native_sockets import open_udp_socket
from ..foundation.timers import VirtualTimerService
from ..generated.messages import SizeClass
from ..protocol.envelopes import TAGGED_BYTES
from ..protocol.packets import (
    FABRIC_HEADER_BYTES,
    FLOW_KEY_END,
    FLOW_KEY_START,
    Address,
    FabricHeader,
    Kind,
    ServiceDatagram,
)
from ..protocol.tags import KEY_BYTES, Key, KeyRing
from ..protocol.tokens import (
    TokenClaims,
    VerifiedTokenCache,
    issue_token,
    verify_token,
)
from ..routing.choice import Choice, NoTarget, NoTargetReason, TargetChooser

LOCALHOST = '127.0.0.1'
SERVICE_ID = 7
BODY_BYTES = (0, 300, 1200)
ROUNDS = 600
FLOWS = 256
CACHED_FLOWS = 300000
TAG_REPEATS = 20000
_US_PER_S = 1000000.0
_CALLER = ('192.0.2.9', 4000)
_SERVICE = ('192.0.2.7', 80)


@dataclass(slots=True, frozen=True)
class PacketCost:
    """Median time for each datagram, in microseconds."""

    body_bytes: int
    bare_us: float
    bare_connected_us: float
    ours_us: float
    uncached_us: float

    @property
    def ratio(self) -> float:
        """Return our time over that of the bare loop."""
        return self.ours_us / self.bare_us


@dataclass(slots=True, frozen=True)
class CacheCost:
    """Memory of a full cache of verified tokens."""

    entries: int
    bytes_per_entry: float


@dataclass(slots=True, frozen=True)
class TagCost:
    """Median time of one tag, in microseconds."""

    body_bytes: int
    envelope_tag_us: float
    token_verification_us: float


class NoChoosers:
    """Choosers without targets: only packets with tokens are routed."""

    def choose(
        self, service: int, flow_id: int, size_class: SizeClass
    ) -> Result[Choice, NoTarget]:
        """Return the error NONE_ALIVE."""
        return Err(NoTarget(service, NoTargetReason.NONE_ALIVE))

    def get_chooser(self, service: int) -> TargetChooser | None:
        """Return None."""


def measure_packets(
    body_bytes: int, seed: int = 1, rounds: int = ROUNDS
) -> PacketCost:
    """Return the cost of forwarding datagrams with a body of this size.

    The bare loop sends with `sendto`, because one socket reaches any
    target; `bare_connected_us` is a bare loop whose connected socket
    reaches one target only. `uncached_us` is the cost if the token of
    each datagram is verified.
    """
    with ExitStack() as stack:
        sockets = _SocketSet(stack, Random(seed), body_bytes)
        handlers = (
            sockets.forward,
            sockets.connect(sockets.target_address),
            sockets.create_router(verified_tokens=FLOWS).route,
            sockets.create_router(verified_tokens=0).route,
        )
        times = [
            [sockets.run(handler) for handler in handlers]
            for _ in range(rounds)
        ]
    medians = map(statistics.median, zip(*times, strict=True))
    return PacketCost(body_bytes, *medians)


def measure_cache(entries: int = CACHED_FLOWS, seed: int = 1) -> CacheCost:
    """Return the memory that a full cache allocates for each entry.

    The cache is filled twice over, so that evictions are included.
    Memory is counted by `tracemalloc`.
    """
    rng = Random(seed)
    key_bytes = FLOW_KEY_END - FLOW_KEY_START
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    cache = VerifiedTokenCache(entries)
    for _ in range(2 * entries):
        cache.add(rng.randbytes(key_bytes), len)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return CacheCost(len(cache), (after - before) / len(cache))


def measure_tags(
    body_bytes: int, seed: int = 1, repeats: int = TAG_REPEATS
) -> TagCost:
    """Return the cost of an envelope's tag and of a token's check."""
    rng = Random(seed)
    keys = _create_keys(rng)
    address = (LOCALHOST, 1)
    packet = _create_packets(rng, keys, address, body_bytes)[0]
    tagged_end = FABRIC_HEADER_BYTES + TAGGED_BYTES
    tagged = packet[FABRIC_HEADER_BYTES:tagged_end]
    token = issue_token(keys, SERVICE_ID, 1, TokenClaims(address, 1, 1))
    prefix = bytes(FLOW_KEY_END)
    return TagCost(
        body_bytes,
        _time_calls(partial(keys.sign, prefix, tagged), repeats),
        _time_calls(partial(verify_token, keys, SERVICE_ID, 1, token), repeats),
    )


class _SocketSet:
    """Sockets that pass batches of datagrams through a measured loop."""

    def __init__(self, stack: ExitStack, rng: Random, body_bytes: int) -> None:
        self._inbox = stack.enter_context(open_data_socket((LOCALHOST, 0)))
        self._target = stack.enter_context(open_data_socket((LOCALHOST, 0)))
        self._outbox = stack.enter_context(open_udp_socket())
        sockets = TargetSockets(self._inbox, FLOWS)
        stack.callback(sockets.close)
        self.connect = sockets.connect
        self.target_address: Address = self._target.getsockname()
        self._random = rng
        self._keys = _create_keys(rng)
        self._packets = _create_packets(
            rng, self._keys, self.target_address, body_bytes
        )
        self._next_packet = 0

    def forward(self, packet: bytes) -> object:
        """Forward a packet as a bare loop does."""
        return self._inbox.sendto(packet, self.target_address)

    def create_router(self, verified_tokens: int) -> PacketRouter:
        """Return a router that sends through the sockets."""
        return PacketRouter(
            RouterDependencies(
                keys=self._keys,
                choosers=NoChoosers(),
                timers=VirtualTimerService(),
                random=self._random,
                connect=self.connect,
                send_probe=self._inbox.sendto,
                own_address=self._inbox.getsockname(),
                verified_tokens=verified_tokens,
                probes_per_s=0,
            )
        )

    def run(self, handler: Callable[[bytes], object]) -> float:
        """Return microseconds for each datagram of one batch."""
        address = self._inbox.getsockname()
        for _ in range(MAX_DRAINED):
            self._next_packet = (self._next_packet + 1) % len(self._packets)
            self._outbox.sendto(self._packets[self._next_packet], address)
        start_s = time.perf_counter()
        count = drain_socket(self._inbox.recv, handler)
        elapsed_s = time.perf_counter() - start_s
        drain_socket(self._target.recv, len)
        return elapsed_s / max(count, 1) * _US_PER_S


def _create_keys(rng: Random) -> KeyRing:
    return KeyRing([Key(1, rng.randbytes(KEY_BYTES))], time.time)


def _create_packets(
    rng: Random, keys: KeyRing, address: Address, body_bytes: int
) -> list[bytes]:
    header = FabricHeader(_CALLER, _SERVICE).encode()
    claims = TokenClaims(address, 1, 1)
    packets: list[bytes] = []
    for flow_id in range(1, FLOWS + 1):
        datagram = ServiceDatagram(
            kind=Kind.REQUEST,
            service_id=SERVICE_ID,
            flow_id=flow_id,
            token=issue_token(keys, SERVICE_ID, flow_id, claims),
            request_number=1,
            part_count=1,
            body=rng.randbytes(body_bytes),
        )
        packets.append(header + datagram.encode())
    return packets


def _time_calls(call: Callable[[], object], repeats: int) -> float:
    times: list[float] = []
    for _ in range(repeats):
        start_s = time.perf_counter()
        call()
        times.append(time.perf_counter() - start_s)
    return statistics.median(times) * _US_PER_S

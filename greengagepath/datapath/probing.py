"""Load probes of targets: rate limit, pending probes, encoding; no I/O."""

import struct
from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from ..foundation.timers import TimerService
from ..protocol.packets import DropReason
from ..routing.choice import ProbeReply, ProbeState
from ..routing.targets import TargetInfo

_LOAD = struct.Struct('!HHIB')
_MAX_U16 = 65535
_MAX_U32 = 4294967295
_PROBE_ID_BITS = 32
LOAD_BYTES = _LOAD.size
PROBE_TIMEOUT_S = 1.0
MAX_PENDING = 4096


@dataclass(slots=True, frozen=True)
class ProbeLoad:
    """Body of a PROBE_REPLY.

    Numbers that exceed their field are sent as its maximum.
    """

    in_flight: int
    queued: int
    latency_us: int
    state: ProbeState


@dataclass(slots=True, frozen=True)
class PendingProbe:
    """A probe without a reply so far, sent at `sent_s`."""

    service_id: int
    target_id: str
    sent_s: float


def encode_load(load: ProbeLoad) -> bytes:
    """Return the body of a PROBE_REPLY."""
    return _LOAD.pack(
        min(load.in_flight, _MAX_U16),
        min(load.queued, _MAX_U16),
        min(load.latency_us, _MAX_U32),
        load.state,
    )


def decode_load(body: bytes) -> Result[ProbeLoad, DropReason]:
    """Decode the body of a PROBE_REPLY; never raises on invalid input.

    The error is MALFORMED_BODY.
    """
    if len(body) != LOAD_BYTES:
        return Err(DropReason.MALFORMED_BODY)
    in_flight, queued, latency_us, state = _LOAD.unpack(body)
    if state not in ProbeState.__members__.values():
        return Err(DropReason.MALFORMED_BODY)
    return Ok(ProbeLoad(in_flight, queued, latency_us, ProbeState(state)))


class ProbeTracker:
    """Limits the rate of probes and matches replies to them.

    Each probe accepts one reply, so that a replayed one has no effect.
    """

    __slots__ = (
        '_credit',
        '_filled_s',
        '_pending_by_id',
        '_random',
        '_rate',
        '_timers',
    )

    def __init__(
        self, timers: TimerService, random: Random, probes_per_s: int
    ) -> None:
        self._timers = timers
        self._random = random
        self._rate = probes_per_s
        self._credit = float(probes_per_s)
        self._filled_s = timers.now()
        self._pending_by_id: OrderedDict[int, PendingProbe] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of probes without a reply so far."""
        return len(self._pending_by_id)

    def start(self, target: TargetInfo) -> int | None:
        """Return the id of a new probe, or None if a limit is reached.

        The limits are the rate of probes and `MAX_PENDING`.
        """
        if not self._consume_credit() or len(self) >= MAX_PENDING:
            return None
        probe_id = self._random.getrandbits(_PROBE_ID_BITS)
        self._pending_by_id[probe_id] = PendingProbe(
            target.service, target.target_id, self._timers.now()
        )
        return probe_id

    def finish(
        self, probe_id: int, service_id: int, load: ProbeLoad
    ) -> ProbeReply | None:
        """Return the reply for the chooser, or None if none is expected."""
        pending = self._pending_by_id.get(probe_id)
        if pending is None or pending.service_id != service_id:
            return None
        del self._pending_by_id[probe_id]
        return ProbeReply(
            target_id=pending.target_id,
            in_flight=load.in_flight,
            queued=load.queued,
            latency_us=load.latency_us,
            state=load.state,
        )

    def pop_lost(self) -> list[PendingProbe]:
        """Remove and return the probes that had no reply in time."""
        cutoff_s = self._timers.now() - PROBE_TIMEOUT_S
        lost: list[PendingProbe] = []
        while self._pending_by_id:
            oldest = next(iter(self._pending_by_id))
            if self._pending_by_id[oldest].sent_s > cutoff_s:
                break
            lost.append(self._pending_by_id.pop(oldest))
        return lost

    def _consume_credit(self) -> bool:
        now_s = self._timers.now()
        refill = (now_s - self._filled_s) * self._rate
        self._credit = min(self._credit + refill, self._rate)
        self._filled_s = now_s
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

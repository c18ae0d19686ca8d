"""Candidates for a flow by weighted rendezvous hashing.

Each target runs an exponential race with its weight as the rate; the
targets with the shortest times are the candidates. A target wins a
flow with probability weight / sum of weights, and a change of the set
moves only flows that the changed target wins or loses. Source: Thaler
and Ravishankar, "Using name-based mappings to increase hit rates",
1998, with the logarithmic weights of Schindelhauer and Schomaker, 2005.
"""

import itertools
import math
from collections.abc import Iterable
from typing import Self

import xxhash

from .targets import TargetInfo

# Ranking 300 targets takes 200 us, too long for thousands of new flows
# per second. A remembered ranking takes about 250 B.
LARGE_SET = 32
BUCKETS = 8192
RANKED_PER_BUCKET = 16
_FLOW_ID_BYTES = 8
_HASH_BITS = 64
# Half a step keeps the scaled hash inside the open interval (0, 1).
_HALF_STEP = 0.5
_HASH_SCALE = math.ldexp(1.0, -_HASH_BITS)


class CandidateTable:
    """The targets of one service, ranked for each flow.

    Immutable but for remembered ranks: in a large set, flows of the same
    bucket share their ranking, which is computed once. Two tables built
    from the same targets in any order rank them identically, so
    balancers agree without exchanging messages.
    """

    __slots__ = ('_racers', '_ranked_by_bucket', 'targets')

    def __init__(self, targets: tuple[TargetInfo, ...]) -> None:
        self.targets = targets
        self._ranked_by_bucket: dict[int, tuple[TargetInfo, ...]] = {}
        self._racers = tuple(
            (
                xxhash.xxh3_64_intdigest(target.target_id.encode()),
                -1.0 / target.weight,
                index,
            )
            for index, target in enumerate(targets)
        )

    @classmethod
    def build(cls, targets: Iterable[TargetInfo]) -> Self:
        """Return the table of the given targets.

        Raises ValueError for a weight that is not positive and for a
        target id that occurs twice.
        """
        ordered = tuple(sorted(targets, key=_get_target_id))
        for previous, target in itertools.pairwise(ordered):
            if previous.target_id == target.target_id:
                raise ValueError(f'target {target.target_id} occurs twice')
        for target in ordered:
            if target.weight <= 0:
                raise ValueError(
                    f'weight of {target.target_id} must be positive,'
                    f' got {target.weight}'
                )
        return cls(ordered)

    def __len__(self) -> int:
        return len(self.targets)

    def candidates(self, flow_id: int, count: int) -> tuple[TargetInfo, ...]:
        """Return up to `count` different targets, the owner first.

        `flow_id` is an unsigned 64-bit number.
        """
        packed = flow_id.to_bytes(_FLOW_ID_BYTES, 'big')
        if len(self.targets) < LARGE_SET:
            return self._race(packed, count)
        bucket = xxhash.xxh3_64_intdigest(packed) % BUCKETS
        ranked = self._ranked_by_bucket.get(bucket, ())
        if len(ranked) < min(count, len(self.targets)):
            packed = bucket.to_bytes(_FLOW_ID_BYTES, 'big')
            ranked = self._race(packed, max(count, RANKED_PER_BUCKET))
            self._ranked_by_bucket[bucket] = ranked
        return ranked[:count]

    def _race(self, packed: bytes, count: int) -> tuple[TargetInfo, ...]:
        digest = xxhash.xxh3_64_intdigest
        log = math.log
        finishes = [
            (
                log((digest(packed, seed) + _HALF_STEP) * _HASH_SCALE) * rate,
                index,
            )
            for seed, rate, index in self._racers
        ]
        finishes.sort()
        return tuple(self.targets[index] for _, index in finishes[:count])


def _get_target_id(target: TargetInfo) -> str:
    return target.target_id

"""Candidates for a flow by weighted rendezvous hashing.

The hash of flow and target gives each target an exponentially
distributed score with its weight as the rate; the targets with the
lowest scores are the candidates. A target owns a flow with probability
weight / sum of weights, and a change of the target set moves only the
flows that the changed target gains or loses. Source: Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", 1998,
with the logarithmic weights of Schindelhauer and Schomaker, 2005.
"""

import itertools
import math
from collections.abc import Iterable
from typing import Self

import xxhash

from .targets import TargetInfo

# Ranking 300 targets takes 200 us, too long for thousands of new flows
# per second, so larger sets cache rankings of about 250 B each.
MIN_TARGETS_TO_CACHE = 32
BUCKETS = 8192
RANKED_PER_BUCKET = 16
_FLOW_ID_BYTES = 8
_HASH_BITS = 64
# Adding half a step keeps the scaled hash inside the open interval
# (0, 1), where its logarithm is finite and negative.
_HALF_STEP = 0.5
_HASH_SCALE = math.ldexp(1.0, -_HASH_BITS)


class CandidateTable:
    """The targets of one service, ranked for each flow.

    Immutable except for its cache: in a set of `MIN_TARGETS_TO_CACHE`
    or more, the flows of a bucket share one ranking, which is computed
    once. Two tables built from the same targets in any order rank them
    identically, so balancers agree without exchanging messages.
    """

    __slots__ = ('_ranked_by_bucket', '_score_inputs', 'targets')

    def __init__(self, targets: tuple[TargetInfo, ...]) -> None:
        self.targets = targets
        self._ranked_by_bucket: dict[int, tuple[TargetInfo, ...]] = {}
        self._score_inputs = tuple(
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

        `flow_id` is an unsigned 64-bit number; OverflowError is raised
        for any other.
        """
        packed = flow_id.to_bytes(_FLOW_ID_BYTES, 'big')
        if len(self.targets) < MIN_TARGETS_TO_CACHE:
            return self._rank(packed, count)
        bucket = xxhash.xxh3_64_intdigest(packed) % BUCKETS
        ranked = self._ranked_by_bucket.get(bucket, ())
        if len(ranked) < min(count, len(self.targets)):
            packed = bucket.to_bytes(_FLOW_ID_BYTES, 'big')
            ranked = self._rank(packed, max(count, RANKED_PER_BUCKET))
            self._ranked_by_bucket[bucket] = ranked
        return ranked[:count]

    def _rank(self, packed: bytes, count: int) -> tuple[TargetInfo, ...]:
        digest = xxhash.xxh3_64_intdigest
        log = math.log
        scores = [
            (
                log((digest(packed, seed) + _HALF_STEP) * _HASH_SCALE) * rate,
                index,
            )
            for seed, rate, index in self._score_inputs
        ]
        scores.sort()
        return tuple(self.targets[index] for _, index in scores[:count])


def _get_target_id(target: TargetInfo) -> str:
    return target.target_id

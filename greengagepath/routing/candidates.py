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

_FLOW_ID_BYTES = 8
_HASH_BITS = 64
# Half a step keeps the scaled hash inside the open interval (0, 1).
_HALF_STEP = 0.5
_HASH_SCALE = math.ldexp(1.0, -_HASH_BITS)


class CandidateTable:
    """The targets of one service, ranked for each flow.

    Immutable. Two tables built from the same targets in any order rank
    them identically, so balancers agree without exchanging messages.
    """

    __slots__ = ('_racers', 'targets')

    def __init__(self, targets: tuple[TargetInfo, ...]) -> None:
        self.targets = targets
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
        digest = xxhash.xxh3_64_intdigest
        log = math.log
        finishes = [
            (
                log((digest(packed, seed) + _HALF_STEP) * _HASH_SCALE) * rate,
                index,
            )
            for seed, rate, index in self._racers
        ]
        if count == 1 and finishes:
            return (self.targets[min(finishes)[1]],)
        finishes.sort()
        return tuple(self.targets[index] for _, index in finishes[:count])


def _get_target_id(target: TargetInfo) -> str:
    return target.target_id

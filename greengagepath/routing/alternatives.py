"""Published alternatives to `CandidateTable`, for benchmarks only.

Each table maps a flow id to the target that owns it. The measurements
behind the choice between them are in docs/routing.md.
"""

import bisect
import itertools
import math
from collections.abc import Iterable, Sequence

import xxhash

from .candidates import CandidateTable
from .targets import TargetInfo

_FLOW_ID_BYTES = 8
_WORD_BITS = 64
_WORD_MASK = (1 << _WORD_BITS) - 1
# The Maglev paper asks for at least 100 entries for each target.
MAGLEV_ENTRIES = 65537
# With 21 probes the largest share is at most 1.05 times the mean.
MULTI_PROBES = 21
# Weights are rounded to multiples of the smallest weight divided by this.
BUCKETS_PER_WEIGHT = 4
_JUMP_MULTIPLIER = 2862933555777941757
_JUMP_SHIFT = 33
_JUMP_BITS = 31
_JUMP_SCALE = 1 << _JUMP_BITS


class OwnerTable:
    """Base of the tables that map a flow id to its owner."""

    def __init__(self, targets: Iterable[TargetInfo]) -> None:
        self.targets = tuple(sorted(targets, key=_get_target_id))

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the target that owns a flow.

        `flow_id` is an unsigned 64-bit number. A table without targets
        raises an exception, which one depends on the table.
        """
        raise NotImplementedError


class ModuloTable(OwnerTable):
    """Hash of the flow id modulo the number of targets; no weights."""

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        return self.targets[_hash_flow(flow_id, 0) % len(self.targets)]


class RendezvousTable(OwnerTable):
    """The first candidate of `CandidateTable`, which balancers use."""

    def __init__(self, targets: Iterable[TargetInfo]) -> None:
        super().__init__(targets)
        self._table = CandidateTable.build(self.targets)

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        return self._table.candidates(flow_id, 1)[0]


class MaglevTable(OwnerTable):
    """Look-up table whose entries the targets claim in turns.

    Each target claims entries in its own pseudo-random order.

    Source: Eisenbud et al., "Maglev: a fast and reliable software
    network load balancer", 2016. A target of twice the weight takes
    twice as many turns.
    """

    def __init__(
        self, targets: Iterable[TargetInfo], entries: int = MAGLEV_ENTRIES
    ) -> None:
        super().__init__(targets)
        self._entries = entries
        self._owners = self._assign_entries()

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        entry = _hash_flow(flow_id, 0) % self._entries
        return self.targets[self._owners[entry]]

    def _assign_entries(self) -> list[int]:
        owners = [-1 for _ in range(self._entries)]
        positions = [self._find_start(target) for target in self.targets]
        heaviest = max(target.weight for target in self.targets)
        rates = [target.weight / heaviest for target in self.targets]
        turns = [0.0 for _ in self.targets]
        unassigned = self._entries
        for index in itertools.cycle(range(len(self.targets))):
            turns[index] += rates[index]
            if turns[index] < 1:
                continue
            turns[index] -= 1
            self._claim_entry(owners, positions, index)
            unassigned -= 1
            if not unassigned:
                break
        return owners

    def _find_start(self, target: TargetInfo) -> tuple[int, int]:
        name = target.target_id.encode()
        offset = xxhash.xxh3_64_intdigest(name, 1) % self._entries
        skip = xxhash.xxh3_64_intdigest(name, 2) % (self._entries - 1) + 1
        return offset, skip

    def _claim_entry(
        self, owners: list[int], positions: list[tuple[int, int]], index: int
    ) -> None:
        position, skip = positions[index]
        while owners[position] >= 0:
            position = (position + skip) % self._entries
        owners[position] = index
        positions[index] = (position, skip)


class JumpTable(OwnerTable):
    """Jump consistent hash over numbered buckets.

    Only the bucket of the highest number can be added or removed
    without moving other flows. Source: Lamping and Veach, "A fast,
    minimal memory, consistent hash algorithm", 2014. Targets get
    buckets in proportion to the weight, in the order of their ids.
    """

    def __init__(self, targets: Iterable[TargetInfo]) -> None:
        super().__init__(targets)
        self._buckets = _repeat_by_weight(self.targets)

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        key = _hash_flow(flow_id, 0)
        bucket = -1
        next_bucket = 0
        while next_bucket < len(self._buckets):
            bucket = next_bucket
            key = (key * _JUMP_MULTIPLIER + 1) & _WORD_MASK
            step = _JUMP_SCALE / ((key >> _JUMP_SHIFT) + 1)
            next_bucket = int((bucket + 1) * step)
        return self._buckets[bucket]


class MultiProbeTable(OwnerTable):
    """Hash ring with one point for each target and several per flow.

    Source: Appleton and O'Reilly, "Multi-probe consistent hashing",
    2015. A flow is hashed to several probes on the ring; its owner is
    the target whose point follows one of them at the smallest distance.
    Heavier targets get more points.
    """

    def __init__(
        self, targets: Iterable[TargetInfo], probes: int = MULTI_PROBES
    ) -> None:
        super().__init__(targets)
        self._seeds = range(1, probes + 1)
        ring = sorted(
            (_hash_name(target, copy), target.target_id, target)
            for target, copies in _count_copies(self.targets)
            for copy in range(copies)
        )
        self._points = [point for point, _, _ in ring]
        self._owners = [target for _, _, target in ring]

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        packed = flow_id.to_bytes(_FLOW_ID_BYTES, 'big')
        closest = min(
            self._find_successor(xxhash.xxh3_64_intdigest(packed, seed))
            for seed in self._seeds
        )
        return self._owners[closest[1]]

    def _find_successor(self, probe: int) -> tuple[int, int]:
        index = bisect.bisect_left(self._points, probe)
        index %= len(self._points)
        return (self._points[index] - probe) & _WORD_MASK, index


ALTERNATIVES: tuple[type[OwnerTable], ...] = (
    ModuloTable,
    RendezvousTable,
    MaglevTable,
    JumpTable,
    MultiProbeTable,
)


def _count_copies(
    targets: Sequence[TargetInfo],
) -> list[tuple[TargetInfo, int]]:
    lightest = min((target.weight for target in targets), default=1.0)
    step = lightest / BUCKETS_PER_WEIGHT
    if all(math.isclose(target.weight, lightest) for target in targets):
        step = lightest
    return [(target, round(target.weight / step)) for target in targets]


def _repeat_by_weight(targets: Sequence[TargetInfo]) -> list[TargetInfo]:
    return [
        target
        for target, copies in _count_copies(targets)
        for _ in range(copies)
    ]


def _hash_flow(flow_id: int, seed: int) -> int:
    return xxhash.xxh3_64_intdigest(
        flow_id.to_bytes(_FLOW_ID_BYTES, 'big'), seed
    )


def _hash_name(target: TargetInfo, copy: int) -> int:
    return xxhash.xxh3_64_intdigest(target.target_id.encode(), copy)


def _get_target_id(target: TargetInfo) -> str:
    return target.target_id

"""Published alternatives to the candidate table, for measurements.

All of them answer one question: which target owns a flow id. The
figures that decided between them are in docs/routing.md.
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
# The look-up table should have at least 100 entries for each target.
MAGLEV_ENTRIES = 65537
# 21 probes keep the largest share within 1.05 of the mean.
MULTI_PROBES = 21
# Weights are rounded to steps of the smallest weight over this.
BUCKETS_PER_WEIGHT = 4
_JUMP_MULTIPLIER = 2862933555777941757
_JUMP_SHIFT = 33
_JUMP_BITS = 31
_JUMP_SCALE = 1 << _JUMP_BITS


class OwnerTable:
    """Maps a flow id to the one target that owns it."""

    def __init__(self, targets: Iterable[TargetInfo]) -> None:
        self.targets = tuple(sorted(targets, key=_get_target_id))

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner; raises IndexError for an empty table."""
        raise NotImplementedError


class ModuloTable(OwnerTable):
    """Remainder of the flow's hash, without weights."""

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        return self.targets[_hash_flow(flow_id, 0) % len(self.targets)]


class RendezvousTable(OwnerTable):
    """First candidate of the table that is in use."""

    def __init__(self, targets: Iterable[TargetInfo]) -> None:
        super().__init__(targets)
        self._table = CandidateTable.build(self.targets)

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        return self._table.candidates(flow_id, 1)[0]


class MaglevTable(OwnerTable):
    """Look-up table that targets fill in turns by their preferences.

    Source: Eisenbud et al., "Maglev: a fast and reliable software
    network load balancer", 2016. A target of twice the weight takes
    twice as many turns.
    """

    def __init__(
        self, targets: Iterable[TargetInfo], entries: int = MAGLEV_ENTRIES
    ) -> None:
        super().__init__(targets)
        self._entries = entries
        self._owners = self._fill()

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        entry = _hash_flow(flow_id, 0) % self._entries
        return self.targets[self._owners[entry]]

    def _fill(self) -> list[int]:
        owners = [-1 for _ in range(self._entries)]
        places = [self._start_place(target) for target in self.targets]
        heaviest = max(target.weight for target in self.targets)
        rates = [target.weight / heaviest for target in self.targets]
        turns = [0.0 for _ in self.targets]
        left = self._entries
        for index in itertools.cycle(range(len(self.targets))):
            turns[index] += rates[index]
            if turns[index] < 1:
                continue
            turns[index] -= 1
            self._take_entry(owners, places, index)
            left -= 1
            if not left:
                break
        return owners

    def _start_place(self, target: TargetInfo) -> tuple[int, int]:
        name = target.target_id.encode()
        offset = xxhash.xxh3_64_intdigest(name, 1) % self._entries
        skip = xxhash.xxh3_64_intdigest(name, 2) % (self._entries - 1) + 1
        return offset, skip

    def _take_entry(
        self, owners: list[int], places: list[tuple[int, int]], index: int
    ) -> None:
        place, skip = places[index]
        while owners[place] >= 0:
            place = (place + skip) % self._entries
        owners[place] = index
        places[index] = (place, skip)


class JumpTable(OwnerTable):
    """Numbered buckets; only the highest can go without reshuffling.

    Source: Lamping and Veach, "A fast, minimal memory, consistent hash
    algorithm", 2014. Targets get buckets in proportion to the weight,
    in the order of their ids.
    """

    def __init__(self, targets: Iterable[TargetInfo]) -> None:
        super().__init__(targets)
        self._buckets = _repeat_by_weight(self.targets)

    def find_owner(self, flow_id: int) -> TargetInfo:
        """Return the owner."""
        key = _hash_flow(flow_id, 0)
        bucket = -1
        following = 0
        while following < len(self._buckets):
            bucket = following
            key = (key * _JUMP_MULTIPLIER + 1) & _WORD_MASK
            step = _JUMP_SCALE / ((key >> _JUMP_SHIFT) + 1)
            following = int((bucket + 1) * step)
        return self._buckets[bucket]


class MultiProbeTable(OwnerTable):
    """One point for each target on a circle and several for the flow.

    Source: Appleton and O'Reilly, "Multi-probe consistent hashing",
    2015. The flow goes to the point that follows any of its probes
    most closely. Heavier targets get more points.
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
            self._measure(xxhash.xxh3_64_intdigest(packed, seed))
            for seed in self._seeds
        )
        return self._owners[closest[1]]

    def _measure(self, probe: int) -> tuple[int, int]:
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

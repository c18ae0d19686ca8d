"""Explanation of the choice that a chooser would make for a flow now.

The choice and the assessments are computed by a copy of the chooser
with the code of `TargetChooser`, so a question changes no state that
later choices depend on.
"""

import copy
import random
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import StrEnum, unique

from result import Result

from ..generated.messages import SizeClass
from .choice import Choice, ChooserServices, NoTarget, TargetChooser
from .targets import TargetInfo, TargetState

_SEED_BITS = 64


@unique
class LeftOut(StrEnum):
    """Reason why a target cannot get the flow."""

    # The target can get it.
    ELIGIBLE = ''
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    OTHER_REGION = 'other_region'
    EJECTED = 'ejected'
    # The hash of the flow selects other targets.
    NOT_A_CANDIDATE = 'not_a_candidate'
    # The target is at its concurrency limit; see docs/design/pace.md.
    HELD_BACK = 'held_back'


@dataclass(slots=True, frozen=True)
class Assessment:
    """A target as the chooser sees it for one flow.

    `requests` is the estimated number of requests at the target,
    `wait_s` the expected wait by which targets are compared.
    `report_age_s` is the age of the last probe reply, None without any.
    """

    target: TargetInfo
    left_out: LeftOut
    requests: float
    wait_s: float
    report_age_s: float | None


@dataclass(slots=True, frozen=True)
class Explanation:
    """The choice for a flow, and all targets of the service.

    Targets that can get the flow come first, in the order of preference.
    """

    choice: Result[Choice, NoTarget]
    assessments: tuple[Assessment, ...]


class ChooserCopy(TargetChooser):
    """Copy of a chooser with random numbers of its own.

    It shares only the timers and immutable parts with the original.
    """

    def __init__(
        self,
        origin: TargetChooser,
        shared: ChooserServices,
        own_random: random.Random,
    ) -> None:
        state = origin.__dict__
        own_shared = replace(shared, random=own_random)
        super().__init__(origin.service, own_shared)
        table = state['_table']
        # Immutable parts and the clock are not copied.
        kept = (shared.timers, table, *table.targets)
        memo: dict[int, object] = {id(entry): entry for entry in kept}
        memo[id(shared.random)] = own_random
        memo[id(shared)] = own_shared
        self.__dict__.update(copy.deepcopy(state, memo))
        self._usable_ids = frozenset(
            target.target_id for target in table.targets
        )

    def assess(self, flow_id: int) -> tuple[Assessment, ...]:
        """Return the targets, those that can get the flow first."""
        pool = self._list_eligible(flow_id)
        # Sorted as in `choose`, with the same draws of the tie-break.
        pool.sort(key=self._rank)
        pool_ids = {target.target_id for target in pool}
        rest = [
            target
            for target_id, target in self._targets_by_id.items()
            if target_id not in pool_ids
        ]
        candidate_ids = self._list_candidate_ids(flow_id)
        return (
            *(self._assess(target, LeftOut.ELIGIBLE) for target in pool),
            *(
                self._assess(target, self._find_reason(target, candidate_ids))
                for target in rest
            ),
        )

    def _assess(self, target: TargetInfo, left_out: LeftOut) -> Assessment:
        load = self._loads_by_target_id[target.target_id]
        now_s = self._timers.now()
        return Assessment(
            target=target,
            left_out=left_out,
            requests=load.estimate_requests(now_s, self._settings.half_life_s),
            wait_s=self._rank(target)[0],
            report_age_s=(
                None if load.reported_s is None else now_s - load.reported_s
            ),
        )

    def _list_candidate_ids(self, flow_id: int) -> list[str]:
        left_out = self._outliers.ejected | self._draining
        count = self._settings.candidates
        ranked = self._table.candidates(flow_id, count + len(left_out))
        usable = [
            target.target_id
            for target in ranked
            if target.target_id not in left_out
        ]
        return usable[:count]

    def _find_reason(
        self, target: TargetInfo, candidate_ids: Collection[str]
    ) -> LeftOut:
        match target.state:
            case TargetState.DRAINING:
                return LeftOut.DRAINING
            case TargetState.SUSPECT:
                return LeftOut.SUSPECT
        if target.target_id not in self._usable_ids:
            return LeftOut.OTHER_REGION
        if target.target_id in self._draining:
            return LeftOut.DRAINING
        if target.target_id in self._outliers.ejected:
            return LeftOut.EJECTED
        if target.target_id in candidate_ids:
            return LeftOut.HELD_BACK
        return LeftOut.NOT_A_CANDIDATE


def explain_choice(
    chooser: TargetChooser,
    shared: ChooserServices,
    flow_id: int,
    size_class: SizeClass = SizeClass.unknown,
) -> Explanation:
    """Return the choice for a flow without making it.

    `shared` are the dependencies that the chooser was created with. With
    a `random.Random` the choice is that of the next call of `choose`;
    draws of the operating system cannot be repeated, so that ties are
    then broken by other draws.
    """
    state = _get_random_state(shared.random)
    own_random = random.Random()
    trial = ChooserCopy(chooser, shared, own_random)
    own_random.setstate(state)
    assessments = trial.assess(flow_id)
    # `choose` repeats the draws of the assessments.
    own_random.setstate(state)
    return Explanation(trial.choose(flow_id, size_class), assessments)


def _get_random_state(source: random.Random) -> object:
    if isinstance(source, random.SystemRandom):
        return random.Random(source.getrandbits(_SEED_BITS)).getstate()
    return source.getstate()

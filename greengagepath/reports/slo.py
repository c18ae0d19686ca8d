"""Service-level burn: how fast the error budget is used up.

A burn rate of 1 uses up the budget exactly by the end of its period.
An alert requires a high burn rate in both a short and a long window, so
that it fires early and ends soon after the cause is gone (multi-window
burn rate alerts, as in the SRE literature).
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..generated.messages import Objective, Service

ALL_CUSTOMERS = '(all)'
# A tally of unknown time counts for the budget, but not in a window.
UNKNOWN_TIME_S = 0.0
MAX_SERIES_POINTS = 60
MIN_BIN_S = 1.0


@dataclass(slots=True, frozen=True)
class BurnWindow:
    """An alert that fires if both windows burn at `factor` or more."""

    name: str
    short_s: int
    long_s: int
    factor: float


MINUTE_S = 60
HOUR_S = 3600
# Burn rates that use 2% of a 30-day budget in one hour, and 5% of it in
# six hours.
FAST_FACTOR = 14.4
SLOW_FACTOR = 6.0
BURN_WINDOWS = (
    BurnWindow('fast', 5 * MINUTE_S, HOUR_S, FAST_FACTOR),
    BurnWindow('slow', HOUR_S // 2, 6 * HOUR_S, SLOW_FACTOR),
)


@dataclass(slots=True, frozen=True)
class Tally:
    """Number of requests of one kind that ended at about the same time.

    `time_s` is in seconds since the epoch. `good` counts the requests
    that were answered within the threshold of their objective.
    """

    time_s: float
    service: str
    customer: str
    operation: str
    good: int
    total: int


@dataclass(slots=True, frozen=True)
class BurnRow:
    """Burn of one objective, for one customer or for all.

    The rate of a window is None if it has no requests. `budget_left` is
    the unused share of the allowed failures, negative if there were more
    failures than allowed.
    """

    service: str
    customer: str
    operation: str
    target_share: float
    threshold_ms: int
    good: int
    total: int
    rates_by_window_s: dict[int, float | None]
    budget_left: float
    alerts: tuple[str, ...]


ObjectiveKey = tuple[str, str]


def collect_objectives(
    services: Iterable[Service],
) -> dict[ObjectiveKey, Objective]:
    """Return the objectives by service name and operation name."""
    return {
        (service.name, objective.operation): objective
        for service in services
        for objective in service.objectives
    }


def compute_burn(
    tallies: Iterable[Tally],
    objectives: Mapping[ObjectiveKey, Objective],
    now_s: float,
) -> list[BurnRow]:
    """Return a row for each objective and customer, and for all customers.

    Tallies without an objective are left out. The windows end at
    `now_s`, in seconds since the epoch.
    """
    groups: defaultdict[tuple[str, str, str], _Group] = defaultdict(_Group)
    for tally in tallies:
        if (tally.service, tally.operation) in objectives:
            for customer in (tally.customer, ALL_CUSTOMERS):
                group_key = (tally.service, tally.operation, customer)
                groups[group_key].add(tally, now_s)
    return [
        _make_row(group_key, groups[group_key], objectives)
        for group_key in sorted(groups)
    ]


def compute_rate(good: int, total: int, target_share: float) -> float | None:
    """Return the burn rate, or None if there are no requests."""
    if not total:
        return None
    return (total - good) / total / (1 - target_share)


@dataclass(slots=True)
class _Counts:
    good: int = 0
    total: int = 0

    def add(self, tally: Tally) -> None:
        self.good += tally.good
        self.total += tally.total


def _list_windows() -> list[int]:
    pairs = [(window.short_s, window.long_s) for window in BURN_WINDOWS]
    return sorted({seconds for pair in pairs for seconds in pair})


WINDOW_SECONDS = tuple(_list_windows())


@dataclass(slots=True)
class _Group:
    overall: _Counts = field(default_factory=_Counts)
    counts_by_window_s: dict[int, _Counts] = field(
        default_factory=lambda: {
            seconds: _Counts() for seconds in WINDOW_SECONDS
        }
    )

    def add(self, tally: Tally, now_s: float) -> None:
        self.overall.add(tally)
        age_s = now_s - tally.time_s
        for window_s, counts in self.counts_by_window_s.items():
            if 0 <= age_s < window_s:
                counts.add(tally)


def _make_row(
    group_key: tuple[str, str, str],
    group: _Group,
    objectives: Mapping[ObjectiveKey, Objective],
) -> BurnRow:
    service, operation, customer = group_key
    objective = objectives[service, operation]
    rates = {
        window_s: compute_rate(
            counts.good, counts.total, objective.target_share
        )
        for window_s, counts in group.counts_by_window_s.items()
    }
    spent = compute_rate(
        group.overall.good, group.overall.total, objective.target_share
    )
    return BurnRow(
        service=service,
        customer=customer,
        operation=operation,
        target_share=objective.target_share,
        threshold_ms=objective.threshold_ms,
        good=group.overall.good,
        total=group.overall.total,
        rates_by_window_s=rates,
        budget_left=1 - (spent or 0),
        alerts=_find_alerts(rates),
    )


def _find_alerts(rates: Mapping[int, float | None]) -> tuple[str, ...]:
    return tuple(
        window.name
        for window in BURN_WINDOWS
        if (rates[window.short_s] or 0) >= window.factor
        and (rates[window.long_s] or 0) >= window.factor
    )


@dataclass(slots=True, frozen=True)
class BurnSeries:
    """Burn rate of one objective over time.

    `times_s` are in seconds since the epoch. The rate of a bin without
    requests is None.
    """

    service: str
    operation: str
    times_s: tuple[float, ...]
    rates: tuple[float | None, ...]


def compute_series(
    tallies: Sequence[Tally], objectives: Mapping[ObjectiveKey, Objective]
) -> list[BurnSeries]:
    """Return the burn rate of each objective in bins of equal length."""
    timed = [
        tally
        for tally in tallies
        if tally.time_s != UNKNOWN_TIME_S
        and (tally.service, tally.operation) in objectives
    ]
    if not timed:
        return []
    start_s = min(tally.time_s for tally in timed)
    span_s = max(tally.time_s for tally in timed) - start_s
    bin_s = max(span_s / MAX_SERIES_POINTS, MIN_BIN_S)
    bins: defaultdict[ObjectiveKey, defaultdict[int, _Counts]] = defaultdict(
        lambda: defaultdict(_Counts)
    )
    for tally in timed:
        number = int((tally.time_s - start_s) / bin_s)
        bins[tally.service, tally.operation][number].add(tally)
    return [
        _make_series(key, bins[key], objectives[key], (start_s, bin_s))
        for key in sorted(bins)
    ]


def _make_series(
    key: ObjectiveKey,
    counts_by_bin: Mapping[int, _Counts],
    objective: Objective,
    scale: tuple[float, float],
) -> BurnSeries:
    start_s, bin_s = scale
    numbers = range(max(counts_by_bin) + 1)
    counted = [counts_by_bin.get(number, _Counts()) for number in numbers]
    return BurnSeries(
        *key,
        times_s=tuple(start_s + number * bin_s for number in numbers),
        rates=tuple(
            compute_rate(counts.good, counts.total, objective.target_share)
            for counts in counted
        ),
    )

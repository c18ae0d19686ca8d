"""Figures computed from the outcome of a run."""

import itertools
import math
import statistics
from collections import defaultdict
from collections.abc import Iterable

from .fakes import RequestOutcome, RequestResult
from .simulation import RunOutcome

_TAIL_SHARE = 0.99
# About 450 requests are sent in this interval. In a shorter one, a
# single straggler that misses its deadline would count as not recovered.
RECOVERY_STEP_S = 1.0


def measure_imbalance(run: RunOutcome) -> float:
    """Return the imbalance of the service with the largest one.

    The imbalance of a service is the coefficient of variation of work
    per capacity over its targets.
    """
    loads_by_service: dict[int, list[float]] = defaultdict(list)
    for target_id, work_s in run.work_by_target.items():
        service = run.service_by_target[target_id]
        load = work_s / run.capacity_by_target[target_id]
        loads_by_service[service].append(load)
    return max(
        statistics.pstdev(loads) / statistics.fmean(loads)
        for loads in loads_by_service.values()
    )


def percentile(samples: Iterable[float], share: float) -> float:
    """Return the smallest sample that `share` of them do not exceed.

    Raises IndexError without samples.
    """
    ordered = sorted(samples)
    return ordered[max(math.ceil(len(ordered) * share) - 1, 0)]


def measure_short_tail_s(
    outcomes: Iterable[RequestOutcome], from_s: float, service: int
) -> float:
    """Return the 99th percentile of durations of short work, in s.

    Counts the requests to `service` that were sent from `from_s` on.
    """
    return percentile(
        (
            outcome.duration_s
            for outcome in outcomes
            if outcome.request.is_short
            and outcome.request.service == service
            and outcome.request.at_s >= from_s
        ),
        _TAIL_SHARE,
    )


def select_sent_between(
    outcomes: Iterable[RequestOutcome], start_s: float, end_s: float
) -> list[RequestOutcome]:
    """Return the outcomes of requests sent in the interval."""
    return [
        outcome
        for outcome in outcomes
        if start_s <= outcome.request.at_s < end_s
    ]


def measure_in_time_share(outcomes: Iterable[RequestOutcome]) -> float:
    """Return the share of requests answered before their deadline."""
    return statistics.fmean(outcome.in_time for outcome in outcomes)


def sum_goodput_s(
    outcomes: Iterable[RequestOutcome], start_s: float, end_s: float
) -> float:
    """Return work answered in time in the interval, in s at speed 1."""
    return sum(
        outcome.request.work_s
        for outcome in outcomes
        if outcome.in_time and start_s <= outcome.ended_s < end_s
    )


def measure_in_time_gap(outcomes: Iterable[RequestOutcome]) -> float:
    """Return the largest difference in service between customers.

    Each customer's value is the share of its requests answered before
    their deadline.
    """
    flags_by_customer: dict[int, list[bool]] = defaultdict(list)
    for outcome in outcomes:
        flags_by_customer[outcome.request.customer_id].append(outcome.in_time)
    shares = [statistics.fmean(one) for one in flags_by_customer.values()]
    return max(shares) - min(shares)


def measure_fair_share_gap(outcomes: Iterable[RequestOutcome]) -> float:
    """Return the largest difference in served fair share.

    Each customer's value is its work done in time, divided by its
    max-min fair share of all work done in time: its demand, or an equal
    part of what smaller demands leave. 0 means that all customers got
    exactly their fair share.
    """
    demand: dict[int, float] = defaultdict(float)
    served: dict[int, float] = defaultdict(float)
    for outcome in outcomes:
        customer_id = outcome.request.customer_id
        demand[customer_id] += outcome.request.work_s
        served[customer_id] += outcome.request.work_s * outcome.in_time
    fair = _compute_fair_shares(demand, sum(served.values()))
    served_shares = [
        served[customer_id] / fair[customer_id] for customer_id in fair
    ]
    return max(served_shares) - min(served_shares)


def measure_recovery_s(
    outcomes: Iterable[RequestOutcome], crest_end_s: float, threshold: float
) -> float:
    """Return the time from the end of the crest to recovery, in s.

    Requests are grouped by the time of sending into intervals of
    `RECOVERY_STEP_S`. Service has recovered after the last interval in
    which the share answered in time is below `threshold`.
    """
    in_time_by_step: dict[int, list[bool]] = defaultdict(list)
    for outcome in outcomes:
        step = int((outcome.request.at_s - crest_end_s) // RECOVERY_STEP_S)
        if step >= 0:
            in_time_by_step[step].append(outcome.in_time)
    missed = [
        step
        for step, flags in in_time_by_step.items()
        if statistics.fmean(flags) < threshold
    ]
    return (max(missed, default=-1) + 1) * RECOVERY_STEP_S


def measure_refusal_s(outcomes: Iterable[RequestOutcome]) -> float:
    """Return the 99th percentile of delays of refusals, in s, or 0."""
    delays = [
        outcome.refusal_delay_s
        for outcome in outcomes
        if outcome.result == RequestResult.REFUSED
    ]
    return percentile(delays, _TAIL_SHARE) if delays else 0.0


def _compute_fair_shares(
    demand: dict[int, float], capacity_s: float
) -> dict[int, float]:
    """Return the max-min fair shares of the capacity."""
    left_s = capacity_s
    fair: dict[int, float] = {}
    ordered = sorted(demand.items(), key=lambda entry: entry[1])
    for index, (customer_id, demand_s) in zip(
        itertools.count(), ordered, strict=False
    ):
        fair[customer_id] = min(demand_s, left_s / (len(ordered) - index))
        left_s -= fair[customer_id]
    return fair

"""Computes the verdict of a demo run from callers and back ends."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from .backend import Run
from .load import CallOutcome

MAX_DRAIN_MS = 3000
MAX_IN_FORCE_MS = 3000
MIN_ANSWERED_SHARE = 0.95
P50 = 0.5
P99 = 0.99


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """The last line that `greengagepath demo` prints.

    Times are in ms. `drain_new_work_after_ms` is the time from the
    stored drain until the drained target started its last request.
    """

    scenario: str
    seed: int
    requests: int
    answered_whole: int
    refused: int
    refused_but_run: int
    run_more_than_once: int
    lost: int
    broken_flows: int
    wrong_service: int
    wrong_caller: int
    config_in_force_ms: float
    drain_new_work_after_ms: float
    p50_ms: float
    p99_ms: float
    largest_answer_bytes: int
    held: bool = False
    problems: tuple[str, ...] = ()


def evaluate(verdict: Verdict) -> Verdict:
    """Return the verdict with `held` and `problems` filled in."""
    problems = [
        f'{name} is {found}, must be 0'
        for name, found in (
            ('refused_but_run', verdict.refused_but_run),
            ('run_more_than_once', verdict.run_more_than_once),
            ('lost', verdict.lost),
            ('broken_flows', verdict.broken_flows),
            ('wrong_service', verdict.wrong_service),
            ('wrong_caller', verdict.wrong_caller),
        )
        if found
    ]
    for name, found, limit in (
        ('config_in_force_ms', verdict.config_in_force_ms, MAX_IN_FORCE_MS),
        (
            'drain_new_work_after_ms',
            verdict.drain_new_work_after_ms,
            MAX_DRAIN_MS,
        ),
    ):
        if not found <= limit:
            problems.append(f'{name} is {found}, limit {limit}')
    # Without this limit a run that refuses nearly everything passes.
    if verdict.answered_whole < MIN_ANSWERED_SHARE * verdict.requests:
        problems.append('fewer than 95% of the requests were answered')
    if not verdict.requests:
        problems.append('no request was sent')
    return msgspec.structs.replace(
        verdict, held=not problems, problems=tuple(problems)
    )


def count_outcomes(
    outcomes: Sequence[CallOutcome],
    runs_by_service: Mapping[str, Sequence[Run]],
) -> dict[str, float]:
    """Return the counts and latencies of a verdict.

    `runs_by_service` maps the service id of a back end to its runs.
    """
    runs = [run for found in runs_by_service.values() for run in found]
    runs_by_request_id = Counter(run.request_id for run in runs)
    refused = [entry for entry in outcomes if entry.not_run]
    latencies = sorted(entry.latency_ms for entry in outcomes if entry.whole)
    return {
        'requests': len(outcomes),
        'answered_whole': sum(entry.whole for entry in outcomes),
        'refused': len(refused),
        'refused_but_run': sum(
            runs_by_request_id[entry.request_id] > 0 for entry in refused
        ),
        'run_more_than_once': sum(
            runs_by_request_id[entry.request_id] > 1
            for entry in outcomes
            if not entry.idempotent
        ),
        'lost': sum(is_lost(entry) for entry in outcomes),
        'broken_flows': sum(
            entry.outcome in {'broken', 'unknown'} for entry in outcomes
        ),
        'wrong_service': _count_wrong_service(outcomes, runs_by_service),
        'wrong_caller': sum(entry.wrong_caller for entry in outcomes),
        'p50_ms': percentile(latencies, P50),
        'p99_ms': percentile(latencies, P99),
        'largest_answer_bytes': max(
            (entry.answer_bytes for entry in outcomes if entry.whole),
            default=0,
        ),
    }


def is_lost(outcome: CallOutcome) -> bool:
    """Return whether the caller got neither an answer nor a refusal."""
    return not outcome.whole and not outcome.not_run


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the value that `share` of the ordered values do not exceed.

    `ordered` is ascending. The result is NaN if it is empty.
    """
    if not ordered:
        return math.nan
    position = math.ceil(share * len(ordered)) - 1
    return round(ordered[max(position, 0)], 1)


def _count_wrong_service(
    outcomes: Sequence[CallOutcome],
    runs_by_service: Mapping[str, Sequence[Run]],
) -> int:
    wrong_runs = sum(
        run.service_id != service_id
        for service_id, runs in runs_by_service.items()
        for run in runs
    )
    return wrong_runs + sum(entry.wrong_service for entry in outcomes)

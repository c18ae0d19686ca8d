"""Request outcomes read from JSON lines, and measures of them."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, pstdev, quantiles

import msgspec
from result import Err, Ok, Result

from ..generated.messages import Objective, Service, SizeClass
from .slo import ALL_CUSTOMERS, ObjectiveKey, Tally

ANSWERED = 'answered'
# Cancelled by the caller, so it says nothing about the service and is
# left out of all counts.
CANCELLED = 'cancelled'
BROKEN = 'broken'
MS_PER_S = 1000
PEAK_WINDOW_S = 10
PERCENTILES = 100
MAX_SHOWN_ERRORS = 20


class RequestOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one request, one line of the input.

    `time` is the end of the request in seconds since the epoch.
    `outcome` is `answered`, `refused`, `failed`, `timeout`, `unknown`,
    `broken` (its flow broke) or `cancelled`. `target` may be empty.
    """

    time: float
    service: str
    customer: str
    operation: str
    outcome: str
    latency_ms: float
    target: str = ''


@dataclass(slots=True, frozen=True)
class MeasureRow:
    """Measures of a service; None if the input is not enough for one.

    `broken_flows` is the share of requests whose flow broke. `imbalance`
    is the coefficient of variation of busy time across targets, and is
    set only in the row of all customers. `customer_gap` is the largest
    difference in the share of good requests between customers; for one
    customer, its difference from the best one. `crest_quality` is the
    share of good requests in the busiest 10 s. `head_of_line` is the
    99th percentile latency of short requests that overlap long ones,
    divided by that of short requests that do not.
    """

    service: str
    customer: str
    requests: int
    broken_flows: float | None = None
    imbalance: float | None = None
    customer_gap: float | None = None
    crest_quality: float | None = None
    head_of_line: float | None = None


def read_outcomes(
    path: Path,
) -> Result[list[RequestOutcome], list[str]]:
    """Return the outcomes of a file, or errors with line numbers.

    At most `MAX_SHOWN_ERRORS` errors are returned.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as read_error:
        return Err([f'{path}: {read_error}'])
    decoder = msgspec.json.Decoder(RequestOutcome)
    outcomes: list[RequestOutcome] = []
    errors: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if line.strip():
            try:
                outcomes.append(decoder.decode(line))
            except msgspec.DecodeError as error:
                errors.append(f'{path}:{number}: {error}')
    return Err(errors[:MAX_SHOWN_ERRORS]) if errors else Ok(outcomes)


def tally_outcomes(
    outcomes: Iterable[RequestOutcome],
    objectives: Mapping[ObjectiveKey, Objective],
) -> list[Tally]:
    """Return one tally for each request that was not cancelled."""
    return [
        Tally(
            time_s=entry.time,
            service=entry.service,
            customer=entry.customer,
            operation=entry.operation,
            good=int(is_good(entry, objectives)),
            total=1,
        )
        for entry in outcomes
        if entry.outcome != CANCELLED
    ]


def is_good(
    outcome: RequestOutcome, objectives: Mapping[ObjectiveKey, Objective]
) -> bool:
    """Return whether the request was answered within its objective.

    Without an objective, any answer is good.
    """
    objective = objectives.get((outcome.service, outcome.operation))
    return outcome.outcome == ANSWERED and (
        objective is None or outcome.latency_ms <= objective.threshold_ms
    )


def measure_outcomes(
    outcomes: Iterable[RequestOutcome], services: Iterable[Service]
) -> list[MeasureRow]:
    """Return rows for each service: all customers, then each one."""
    grouped: defaultdict[str, list[RequestOutcome]] = defaultdict(list)
    for entry in outcomes:
        if entry.outcome != CANCELLED:
            grouped[entry.service].append(entry)
    services_by_name = {service.name: service for service in services}
    rows: list[MeasureRow] = []
    for name in sorted(grouped):
        measure = _ServiceMeasure(grouped[name], services_by_name.get(name))
        rows.extend(measure.make_rows())
    return rows


class _ServiceMeasure:
    """Computes the measures of one service."""

    def __init__(
        self, outcomes: list[RequestOutcome], service: Service | None
    ) -> None:
        self._outcomes = outcomes
        self._objectives: dict[ObjectiveKey, Objective] = {}
        self._long_names: set[str] = set()
        if service is not None:
            self._objectives = {
                (service.name, entry.operation): entry
                for entry in service.objectives
            }
            self._long_names = {
                entry.name
                for entry in service.operations
                if entry.size_class == SizeClass.long
            }
        self._peak_window = _find_busiest_window(outcomes)
        self._long_intervals = _merge_intervals(
            entry for entry in outcomes if entry.operation in self._long_names
        )

    def make_rows(self) -> list[MeasureRow]:
        """Return the row of all customers, then a row for each customer."""
        by_customer: defaultdict[str, list[RequestOutcome]] = defaultdict(list)
        for entry in self._outcomes:
            by_customer[entry.customer].append(entry)
        shares = {
            customer: self._share_good(entries)
            for customer, entries in by_customer.items()
        }
        best = max(shares.values())
        rows = [
            self._make_row(
                ALL_CUSTOMERS,
                self._outcomes,
                gap=best - min(shares.values()),
                imbalance=_measure_imbalance(self._outcomes),
            )
        ]
        for customer in sorted(by_customer):
            gap = best - shares[customer]
            rows.append(
                self._make_row(customer, by_customer[customer], gap=gap)
            )
        return rows

    def _make_row(
        self,
        customer: str,
        outcomes: list[RequestOutcome],
        *,
        gap: float,
        imbalance: float | None = None,
    ) -> MeasureRow:
        broken = sum(entry.outcome == BROKEN for entry in outcomes)
        return MeasureRow(
            service=outcomes[0].service,
            customer=customer,
            requests=len(outcomes),
            broken_flows=broken / len(outcomes),
            imbalance=imbalance,
            customer_gap=gap,
            crest_quality=self._measure_peak_quality(outcomes),
            head_of_line=self._measure_head_of_line(outcomes),
        )

    def _share_good(self, outcomes: Sequence[RequestOutcome]) -> float:
        return fmean(is_good(entry, self._objectives) for entry in outcomes)

    def _measure_peak_quality(
        self, outcomes: Iterable[RequestOutcome]
    ) -> float | None:
        in_peak = [
            entry
            for entry in outcomes
            if _find_window(entry) == self._peak_window
        ]
        return self._share_good(in_peak) if in_peak else None

    def _measure_head_of_line(
        self, outcomes: Iterable[RequestOutcome]
    ) -> float | None:
        overlapping: list[float] = []
        separate: list[float] = []
        for entry in outcomes:
            if entry.operation in self._long_names:
                continue
            if entry.outcome == ANSWERED:
                is_overlapping = _overlaps(self._long_intervals, entry)
                (overlapping if is_overlapping else separate).append(
                    entry.latency_ms
                )
        if len(overlapping) < 2 or len(separate) < 2:
            return None
        return _compute_p99(overlapping) / _compute_p99(separate)


def _compute_start(outcome: RequestOutcome) -> float:
    return outcome.time - outcome.latency_ms / MS_PER_S


def _find_window(outcome: RequestOutcome) -> int:
    return int(_compute_start(outcome) // PEAK_WINDOW_S)


def _find_busiest_window(outcomes: Iterable[RequestOutcome]) -> int:
    counts: defaultdict[int, int] = defaultdict(int)
    for entry in outcomes:
        counts[_find_window(entry)] += 1
    return max(counts, key=lambda number: (counts[number], -number))


def _measure_imbalance(outcomes: Iterable[RequestOutcome]) -> float | None:
    busy_ms: defaultdict[str, float] = defaultdict(float)
    for entry in outcomes:
        if entry.target:
            busy_ms[entry.target] += entry.latency_ms
    if len(busy_ms) < 2:
        return None
    mean = fmean(busy_ms.values())
    return pstdev(busy_ms.values()) / mean if mean else None


def _compute_p99(latencies_ms: Sequence[float]) -> float:
    return quantiles(latencies_ms, n=PERCENTILES, method='inclusive')[-1]


def _merge_intervals(
    outcomes: Iterable[RequestOutcome],
) -> list[tuple[float, float]]:
    merged: list[tuple[float, float]] = []
    for start_s, end_s in sorted(
        (_compute_start(entry), entry.time) for entry in outcomes
    ):
        if merged and start_s <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end_s))
        else:
            merged.append((start_s, end_s))
    return merged


def _overlaps(
    intervals: Sequence[tuple[float, float]], outcome: RequestOutcome
) -> bool:
    # Only the last interval that starts before the request ends matters:
    # intervals are disjoint, so the earlier ones also end earlier.
    position = bisect_right(intervals, (outcome.time, float('inf')))
    return position > 0 and intervals[position - 1][1] >= _compute_start(
        outcome
    )

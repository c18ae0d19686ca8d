"""Request counts read from `/metrics`, kept as a history of snapshots.

A scrape returns totals since the start of a process. The counts of a
time window are differences between snapshots, so `report` appends each
scrape to a file of JSON lines.
"""

import re
import time
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from http.client import HTTPException
from pathlib import Path
from urllib.parse import urlsplit
from urllib.request import urlopen

import msgspec
from result import Err, Ok, Result

from ..foundation.metrics import PREFIX
from ..generated.messages import Objective
from .slo import UNKNOWN_TIME_S, ObjectiveKey, Tally

REQUESTS = f'{PREFIX}requests_total'
DURATIONS = f'{PREFIX}request_duration_seconds_bucket'
SCRAPE_TIMEOUT_S = 5.0
MAX_SCRAPE_BYTES = 16777216
MS_PER_S = 1000
_SAMPLE = re.compile(r'^(\w+)\{(.*)\}\s+(\S+)$')
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
_RequestKey = tuple[str, str, str]
_LABELS = ('service', 'customer', 'operation')


class RequestCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one kind of request since the process started.

    `answered_by_le_s` is the cumulative histogram of complete answers:
    their number by upper bound, which is in seconds and written as text.
    """

    service: str
    customer: str
    operation: str
    total: float
    answered_by_le_s: dict[str, float]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """One scrape of one process; `time` in seconds since the epoch."""

    time: float
    source: str
    counts: list[RequestCounts]


def scrape(url: str) -> Result[Snapshot, str]:
    """Read `/metrics` of a daemon; an error names what to check."""
    if urlsplit(url).scheme != 'http':
        return Err(f'{url}: give a URL such as http://10.0.0.7:9100/metrics')
    try:
        with urlopen(url, timeout=SCRAPE_TIMEOUT_S) as answer:
            text = answer.read(MAX_SCRAPE_BYTES).decode()
    except (OSError, HTTPException, ValueError) as error:
        return Err(f'{url}: {error}; is metrics_port set and reachable?')
    counts = parse_counts(text)
    return Ok(Snapshot(time=time.time(), source=url, counts=counts))


def parse_counts(text: str) -> list[RequestCounts]:
    """Return the request counts of a text in the Prometheus format."""
    totals: defaultdict[tuple[str, ...], float] = defaultdict(float)
    buckets: defaultdict[tuple[str, ...], dict[str, float]] = defaultdict(dict)
    for name, labels, number in _parse_samples(text):
        key = tuple(labels.get(label, '') for label in _LABELS)
        if name == REQUESTS and labels.get('outcome') != 'cancelled':
            totals[key] += number
        elif name == DURATIONS:
            buckets[key][labels.get('le', '')] = number
    return [
        RequestCounts(
            service=key[0],
            customer=key[1],
            operation=key[2],
            total=totals[key],
            answered_by_le_s=buckets.get(key, {}),
        )
        for key in sorted(totals)
    ]


def append_snapshots(path: Path, snapshots: Iterable[Snapshot]) -> None:
    """Append snapshots to a history file.

    Raises OSError if the file cannot be written.
    """
    with path.open('ab') as history:
        for snapshot in snapshots:
            history.write(msgspec.json.encode(snapshot))
            history.write(b'\n')


def read_snapshots(path: Path) -> Result[list[Snapshot], str]:
    """Return the snapshots of a history file; none if it is missing."""
    if not path.exists():
        return Ok([])
    decoder = msgspec.json.Decoder(Snapshot)
    try:
        lines = path.read_bytes().splitlines()
        return Ok([decoder.decode(line) for line in lines if line.strip()])
    except (OSError, msgspec.DecodeError) as error:
        return Err(f'{path}: {error}; move it away to start a new history')


def tally_snapshots(
    snapshots: Iterable[Snapshot],
    objectives: Mapping[ObjectiveKey, Objective],
) -> list[Tally]:
    """Return the requests between successive snapshots of a process.

    It is not known when the requests of the first snapshot ended, so
    they count for the budget only. A total that decreased means that
    the process restarted; its counts then start from zero.
    """
    tallies: list[Tally] = []
    previous_by_source: dict[str, dict[_RequestKey, RequestCounts]] = {}
    for snapshot in sorted(snapshots, key=lambda entry: entry.time):
        previous = previous_by_source.get(snapshot.source)
        for counts in snapshot.counts:
            objective = objectives.get((counts.service, counts.operation))
            if objective is not None:
                before = _find_previous(previous, counts)
                tallies.append(_make_tally(snapshot, counts, before, objective))
        previous_by_source[snapshot.source] = _index_by_key(snapshot)
    return tallies


def count_good(counts: RequestCounts, threshold_ms: int) -> float:
    """Return the number of answers within the threshold.

    The largest bucket bound up to the threshold is used. Answers between
    that bound and the threshold count as late, so that the burn rate is
    never reported too low.
    """
    bounds = [
        (float(bound), number)
        for bound, number in counts.answered_by_le_s.items()
        if float(bound) <= threshold_ms / MS_PER_S
    ]
    return max(bounds)[1] if bounds else 0


def _index_by_key(snapshot: Snapshot) -> dict[_RequestKey, RequestCounts]:
    return {_make_key(counts): counts for counts in snapshot.counts}


def _find_previous(
    previous: Mapping[_RequestKey, RequestCounts] | None,
    counts: RequestCounts,
) -> RequestCounts | None:
    """Return the totals of the previous snapshot.

    They are zero for a kind of request that it does not have, and None
    without a previous snapshot.
    """
    if previous is None:
        return None
    zero = msgspec.structs.replace(counts, total=0, answered_by_le_s={})
    return previous.get(_make_key(counts), zero)


def _make_tally(
    snapshot: Snapshot,
    counts: RequestCounts,
    before: RequestCounts | None,
    objective: Objective,
) -> Tally:
    total = counts.total
    good = count_good(counts, objective.threshold_ms)
    moment_s = UNKNOWN_TIME_S
    if before is not None:
        moment_s = snapshot.time
        if before.total <= counts.total:
            total -= before.total
            good -= count_good(before, objective.threshold_ms)
    return Tally(
        moment_s,
        *_make_key(counts),
        good=round(max(good, 0)),
        total=round(total),
    )


def _make_key(counts: RequestCounts) -> _RequestKey:
    return (counts.service, counts.customer, counts.operation)


def _parse_samples(
    text: str,
) -> Iterator[tuple[str, dict[str, str], float]]:
    for line in text.splitlines():
        sample = _SAMPLE.match(line)
        if sample:
            labels = dict(_LABEL.findall(sample.group(2)))
            try:
                number = float(sample.group(3))
            except ValueError:
                continue
            yield sample.group(1), labels, number

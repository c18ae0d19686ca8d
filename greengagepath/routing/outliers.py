"""Soft ejection of targets whose requests fail.

The health endpoint of a target may report healthy while its requests
fail, so ejection follows outcomes only. An ejected target receives no
new flows as long as others are left; it is probed and readmitted.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..foundation.timers import TimerService

# At most one in three: with more out, the rest would be overloaded.
EJECTED_PART = 3


@dataclass(slots=True, frozen=True)
class OutlierSettings:
    """Limits of ejection.

    A target is ejected after `failures_in_a_row`, or when the decayed
    share of failures reaches `failure_share` with at least
    `min_outcomes` of weight. It stays out for `eject_s`, doubled with
    each ejection up to `max_eject_s`, and then until
    `probes_to_readmit` probes in a row have succeeded.
    """

    failures_in_a_row: int = 5
    failure_share: float = 0.5
    min_outcomes: float = 8.0
    decay: float = 0.95
    eject_s: float = 2.0
    max_eject_s: float = 30.0
    probes_to_readmit: int = 3


@dataclass(slots=True)
class _Record:
    outcomes: float = 0.0
    failures: float = 0.0
    failures_in_a_row: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    good_probes: int = 0


class OutlierDetector:
    """Keeps the outcomes of the targets of one service."""

    def __init__(
        self, timers: TimerService, settings: OutlierSettings | None = None
    ) -> None:
        self._timers = timers
        self._settings = settings or OutlierSettings()
        self._records_by_target_id: dict[str, _Record] = {}
        self.ejected: set[str] = set()
        self.ejections_total = 0

    def replace_targets(self, target_ids: Iterable[str]) -> None:
        """Keep records of exactly these targets."""
        self._records_by_target_id = {
            target_id: self._records_by_target_id.get(target_id, _Record())
            for target_id in target_ids
        }
        self.ejected &= self._records_by_target_id.keys()
        # Fewer targets allow fewer ejections; the last by id return.
        for target_id in sorted(self.ejected)[self._limit() :]:
            self._readmit(target_id)

    def record_outcome(self, target_id: str, *, succeeded: bool) -> None:
        """Count one outcome and eject the target if it is an outlier."""
        record = self._records_by_target_id.get(target_id)
        if record is None:
            return
        decay = self._settings.decay
        record.outcomes = record.outcomes * decay + 1
        record.failures = record.failures * decay + (not succeeded)
        record.failures_in_a_row += 1
        if succeeded:
            record.failures_in_a_row = 0
        if self._is_outlier(record):
            self._eject(target_id, record)

    def record_probe(self, target_id: str, *, succeeded: bool) -> bool:
        """Count one probe; return whether it readmitted the target."""
        record = self._records_by_target_id.get(target_id)
        if record is None or record.ejected_until_s is None:
            return False
        record.good_probes = record.good_probes + 1 if succeeded else 0
        enough = record.good_probes >= self._settings.probes_to_readmit
        if not enough or self._timers.now() < record.ejected_until_s:
            return False
        self._readmit(target_id)
        return True

    def _is_outlier(self, record: _Record) -> bool:
        if record.failures_in_a_row >= self._settings.failures_in_a_row:
            return True
        if record.outcomes < self._settings.min_outcomes:
            return False
        return record.failures >= record.outcomes * self._settings.failure_share

    def _eject(self, target_id: str, record: _Record) -> None:
        if target_id in self.ejected or len(self.ejected) >= self._limit():
            return
        delay_s = min(
            self._settings.eject_s * 2**record.ejections,
            self._settings.max_eject_s,
        )
        record.ejections = min(record.ejections + 1, _MAX_EJECTIONS)
        record.ejected_until_s = self._timers.now() + delay_s
        record.good_probes = 0
        self.ejected.add(target_id)
        self.ejections_total += 1

    def _readmit(self, target_id: str) -> None:
        self.ejected.discard(target_id)
        record = self._records_by_target_id[target_id]
        record.ejected_until_s = None
        record.outcomes = 0.0
        record.failures = 0.0
        record.failures_in_a_row = 0

    def _limit(self) -> int:
        return len(self._records_by_target_id) // EJECTED_PART


# Keeps the doubling of the ejection time within small integers.
_MAX_EJECTIONS = 16

"""Outlier detection: ejection of targets whose requests fail.

The health endpoint of a target may report it as healthy while its
requests fail, so ejection depends on outcomes only. An ejected target
gets no new flows while other targets are left. It is still probed, and
is readmitted when probes succeed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ..foundation.timers import TimerService

# At most one target in three is ejected; with more ejected, the
# remaining ones would be overloaded.
MAX_EJECTED_DIVISOR = 3


@dataclass(slots=True, frozen=True)
class OutlierSettings:
    """Parameters of ejection.

    A target is ejected after `consecutive_failures`, or when its share
    of failures reaches `failure_share` over at least `min_outcomes`
    outcomes. Earlier outcomes are multiplied by `decay` with each new
    one. The target stays ejected for `eject_s` seconds, doubled with
    each ejection up to `max_eject_s`, and then until
    `probes_to_readmit` consecutive probes have succeeded.
    """

    consecutive_failures: int = 5
    failure_share: float = 0.5
    min_outcomes: float = 8.0
    decay: float = 0.95
    eject_s: float = 2.0
    max_eject_s: float = 30.0
    probes_to_readmit: int = 3


@dataclass(slots=True)
class _OutcomeRecord:
    outcomes: float = 0.0
    failures: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    successful_probes: int = 0


class OutlierDetector:
    """Ejects and readmits the targets of one service.

    `ejected` holds the ids of the ejected targets, `ejections_total`
    the number of ejections so far.
    """

    def __init__(
        self, timers: TimerService, settings: OutlierSettings | None = None
    ) -> None:
        self._timers = timers
        self._settings = settings or OutlierSettings()
        self._records_by_target_id: dict[str, _OutcomeRecord] = {}
        self.ejected: set[str] = set()
        self.ejections_total = 0

    def replace_targets(self, target_ids: Iterable[str]) -> None:
        """Replace the target set; known targets keep their records."""
        self._records_by_target_id = {
            target_id: self._records_by_target_id.get(
                target_id, _OutcomeRecord()
            )
            for target_id in target_ids
        }
        self.ejected &= self._records_by_target_id.keys()
        # Fewer targets allow fewer ejections; those last by id are
        # readmitted.
        for target_id in sorted(self.ejected)[self._max_ejected() :]:
            self._readmit(target_id)

    def record_outcome(self, target_id: str, *, succeeded: bool) -> None:
        """Count one outcome and eject the target if it is an outlier."""
        record = self._records_by_target_id.get(target_id)
        if record is None:
            return
        decay = self._settings.decay
        record.outcomes = record.outcomes * decay + 1
        record.failures = record.failures * decay + (not succeeded)
        record.consecutive_failures += 1
        if succeeded:
            record.consecutive_failures = 0
        if self._is_outlier(record):
            self._eject(target_id, record)

    def record_probe(self, target_id: str, *, succeeded: bool) -> bool:
        """Count one probe; return whether it readmitted the target."""
        record = self._records_by_target_id.get(target_id)
        if record is None or record.ejected_until_s is None:
            return False
        record.successful_probes = (
            record.successful_probes + 1 if succeeded else 0
        )
        enough = record.successful_probes >= self._settings.probes_to_readmit
        if not enough or self._timers.now() < record.ejected_until_s:
            return False
        self._readmit(target_id)
        return True

    def _is_outlier(self, record: _OutcomeRecord) -> bool:
        if record.consecutive_failures >= self._settings.consecutive_failures:
            return True
        if record.outcomes < self._settings.min_outcomes:
            return False
        return record.failures >= record.outcomes * self._settings.failure_share

    def _eject(self, target_id: str, record: _OutcomeRecord) -> None:
        if (
            target_id in self.ejected
            or len(self.ejected) >= self._max_ejected()
        ):
            return
        delay_s = min(
            self._settings.eject_s * 2**record.ejections,
            self._settings.max_eject_s,
        )
        record.ejections = min(record.ejections + 1, _MAX_BACKOFF_EXPONENT)
        record.ejected_until_s = self._timers.now() + delay_s
        record.successful_probes = 0
        self.ejected.add(target_id)
        self.ejections_total += 1

    def _readmit(self, target_id: str) -> None:
        self.ejected.discard(target_id)
        record = self._records_by_target_id[target_id]
        record.ejected_until_s = None
        record.outcomes = 0.0
        record.failures = 0.0
        record.consecutive_failures = 0

    def _max_ejected(self) -> int:
        return len(self._records_by_target_id) // MAX_EJECTED_DIVISOR


# Bounds the exponent of the ejection time, which would grow without end.
_MAX_BACKOFF_EXPONENT = 16

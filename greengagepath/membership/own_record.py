"""The record that a process publishes about itself."""

from collections.abc import Callable

import msgspec

from ..foundation.timers import TimerService
from ..generated.messages import MemberRecord
from .records import order_of

# Two processes with the same id refute each other endlessly. This pause
# limits the traffic that causes.
MIN_REFUTATION_S = 0.5


class OwnRecord:
    """Raises the record version with each change and refutes claims.

    `on_change` is called with each record to be published.
    """

    def __init__(
        self,
        record: MemberRecord,
        timers: TimerService,
        on_change: Callable[[MemberRecord], None],
    ) -> None:
        self.record = record
        self._timers = timers
        self._on_change = on_change
        self._pending_claim: MemberRecord | None = None
        self._refuted_s: float | None = None

    @property
    def member_id(self) -> str:
        """The id of this process."""
        return self.record.member_id

    def update(self, **changes: object) -> None:
        """Set fields of the record and publish it if any value changed."""
        changed = msgspec.structs.replace(self.record, **changes)
        if changed != self.record:
            self._publish(changed, self.record.record_version + 1)

    def raise_version(self, configuration_version: int) -> None:
        """Set the configuration version in force.

        This neither raises the record version nor publishes the record.
        """
        self.record = msgspec.structs.replace(
            self.record, configuration_version=configuration_version
        )

    def receive_claim(self, claim: MemberRecord) -> None:
        """Handle a record about this process from another one.

        A claim that is newer than the own record, such as a suspicion,
        is refuted by publishing a record that is newer still.
        """
        if order_of(claim) > order_of(self.record):
            self._pending_claim = claim
            self.refute_pending()

    def refute_pending(self) -> None:
        """Refute the pending claim if `MIN_REFUTATION_S` has passed."""
        claim = self._pending_claim
        now_s = self._timers.now()
        if claim is None or self._is_too_early(now_s):
            return
        self._pending_claim = None
        self._refuted_s = now_s
        if order_of(claim) > order_of(self.record):
            renewed = msgspec.structs.replace(
                self.record, incarnation=claim.incarnation
            )
            self._publish(renewed, claim.record_version + 1)

    def _is_too_early(self, now_s: float) -> bool:
        if self._refuted_s is None:
            return False
        return now_s - self._refuted_s < MIN_REFUTATION_S

    def _publish(self, record: MemberRecord, version: int) -> None:
        self.record = msgspec.structs.replace(record, record_version=version)
        self._on_change(self.record)

"""Leases in the object API, so that at most one holder writes.

Clocks of different processes are never compared. A holder measures its
lease from the moment it sent the request that acquired it, on a clock
that includes time in suspension. Others take over a lease only after
they have observed the same version of it for its whole duration on
their own clock.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..foundation.object_api import (
    Conflict,
    ObjectClient,
    ObjectKind,
    ObjectOutcome,
    StoredObject,
)
from ..foundation.timers import TimerService

# Clocks may drift apart by a few parts per thousand, so an observer waits
# longer than the holder's duration.
OBSERVER_FACTOR = 1.1
# Spreads the renewals of different holders over time.
RENEWAL_JITTER = (0.8, 1.0)
_HOLDER = 'holder'
_RELEASED = 'released'
_TOKEN = 'fencing_token'


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Name, applicant and timing of a lease.

    `process_id` differs between two runs of the same member, so that a
    restarted process does not mistake the lease of the previous run for
    its own. The lease lasts `duration_s` and is renewed, or tried for,
    about every `renew_s`, both in seconds.
    """

    name: str
    process_id: str
    duration_s: float
    renew_s: float


@dataclass(slots=True, frozen=True)
class _ObservedLease:
    """A version of the lease object and when it was first observed."""

    stored: StoredObject
    since_s: float


class Lease:
    """Acquires and renews one lease; check `is_held` before every use.

    `on_change` is called after each attempt to acquire or renew it.
    The fencing token is one more than the version of the lease object
    that was replaced when the lease was acquired; it increases from
    holder to holder.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        store: ObjectClient,
        timers: TimerService,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self.terms = terms
        self._store = store
        self._timers = timers
        self._rng = rng
        self._on_change = on_change
        self._held: StoredObject | None = None
        self._valid_until_s = 0.0
        self._observed: _ObservedLease | None = None
        self._is_pending = False
        self._next_attempt_s = 0.0
        self.is_store_unavailable = False

    @property
    def fencing_token(self) -> int:
        """The fencing token, or 0 while this process has no lease."""
        if self._held is None:
            return 0
        return int(str(self._held.body[_TOKEN]))

    @property
    def is_held_elsewhere(self) -> bool:
        """Whether another holder of the lease has been observed."""
        return self._held is None and self._observed is not None

    def is_held(self) -> bool:
        """Return whether this process holds the lease and it is valid."""
        return (
            self._held is not None and self._timers.now() < self._valid_until_s
        )

    def step(self) -> None:
        """Renew or try to acquire the lease when due.

        Must be called much more often than every `renew_s`.
        """
        now_s = self._timers.now()
        if self._is_pending or now_s < self._next_attempt_s:
            return
        self._is_pending = True
        jitter = self._rng.uniform(*RENEWAL_JITTER)
        self._next_attempt_s = now_s + self.terms.renew_s * jitter
        if self._held is None:
            self._store.read(
                ObjectKind.LEASE, self.terms.name, self._handle_read
            )
        else:
            self._write(self._held.version, self.fencing_token)

    def release(self) -> None:
        """Release the lease, so that the next holder need not wait."""
        held = self._held
        self._held = None
        if held is None or self._timers.now() >= self._valid_until_s:
            return
        body = {**held.body, _RELEASED: True}
        body.pop('operation_id', None)
        self._store.write(
            ObjectKind.LEASE,
            self.terms.name,
            StoredObject(held.version, body),
            _ignore,
        )

    def _handle_read(self, outcome: ObjectOutcome) -> None:
        """Try to acquire a lease that is free or was not renewed in time."""
        self._is_pending = False
        self.is_store_unavailable = outcome.is_err()
        if outcome.is_err():
            self._on_change()
            return
        stored = outcome.unwrap()
        if self._is_free(stored):
            self._is_pending = True
            self._write(stored.version, stored.version + 1)
        else:
            self._on_change()

    def _is_free(self, stored: StoredObject) -> bool:
        if stored.version == 0 or stored.body.get(_RELEASED):
            return True
        if stored.body.get(_HOLDER) == self.terms.process_id:
            # Written by this process, but all answers to the write and its
            # retries were lost.
            return True
        now_s = self._timers.now()
        observed = self._observed
        if observed is None or observed.stored.version != stored.version:
            self._observed = _ObservedLease(stored, now_s)
            return False
        seen_s = now_s - observed.since_s
        return seen_s >= self.terms.duration_s * OBSERVER_FACTOR

    def _write(self, version: int, token: int) -> None:
        sent_s = self._timers.now()
        body = {
            _HOLDER: self.terms.process_id,
            _TOKEN: token,
            _RELEASED: False,
        }
        self._store.write(
            ObjectKind.LEASE,
            self.terms.name,
            StoredObject(version, body),
            lambda outcome: self._finish_write(outcome, sent_s),
        )

    def _finish_write(self, outcome: ObjectOutcome, sent_s: float) -> None:
        self._is_pending = False
        if outcome.is_ok():
            self._held = outcome.unwrap()
            self._valid_until_s = sent_s + self.terms.duration_s
            self._observed = None
            self.is_store_unavailable = False
        elif isinstance(outcome.unwrap_err(), Conflict):
            self._handle_conflict(outcome.unwrap_err().current)
        else:
            self.is_store_unavailable = True
        self._on_change()

    def _handle_conflict(self, current: StoredObject) -> None:
        """Record the current holder after a conflicting write."""
        self._held = None
        self._observed = _ObservedLease(current, self._timers.now())


def _ignore(outcome: ObjectOutcome) -> None:
    """Ignore the result: a lease that is not released expires."""

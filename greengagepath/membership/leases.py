"""Leases in the object API: at most one holder writes.

No two clocks are compared. A holder counts its lease from the moment it
sent the request that won it, on a clock that counts suspension. Others
take a lease over only after they have seen the same version of it for
the whole duration on their own clock.
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

# Clocks may drift apart by some parts in a thousand; an observer waits
# longer than the holder counts.
OBSERVER_FACTOR = 1.1
# Keeps the renewals of different holders apart.
RENEWAL_JITTER = (0.8, 1.0)
_HOLDER = 'holder'
_RELEASED = 'released'
_TOKEN = 'fencing_token'


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Name of the lease object, and whose process asks for it.

    `process_id` differs between two runs of the same member, so that a
    restarted process does not take its predecessor's lease for its own.
    """

    name: str
    process_id: str
    duration_s: float
    renew_s: float


@dataclass(slots=True, frozen=True)
class _ObservedLease:
    """A version of the lease object and when it was first seen."""

    stored: StoredObject
    since_s: float


class Lease:
    """Acquires and renews one lease; `is_held` before every use.

    `on_lost` is called when another holder is known. The fencing token
    is the version of the lease object that was replaced when the lease
    was won; it increases from holder to holder.
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
        """The token of the holding; 0 if there is none."""
        if self._held is None:
            return 0
        return int(str(self._held.body[_TOKEN]))

    @property
    def is_held_elsewhere(self) -> bool:
        """Whether somebody else was seen to hold the lease."""
        return self._held is None and self._observed is not None

    def is_held(self) -> bool:
        """Return whether the lease is valid right now."""
        return (
            self._held is not None and self._timers.now() < self._valid_until_s
        )

    def step(self) -> None:
        """Renew or try to acquire when it is time to; call often."""
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
        """Give the lease back, so that the next holder need not wait."""
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
        """Take a lease that is free, or that nobody has renewed."""
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
            # An own write whose answer and all repetitions were lost.
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
        """Remember who won; a conflict tells that it was not us."""
        self._held = None
        self._observed = _ObservedLease(current, self._timers.now())


def _ignore(outcome: ObjectOutcome) -> None:
    """A lease that could not be released expires by itself."""

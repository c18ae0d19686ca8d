"""Keeps the routes of a balancer up to date."""

# Annotations must not load `random` before the sockets are open.
from __future__ import annotations

import logging
import random
from collections.abc import Callable

import gevent
from gevent.event import Event
from result import Err, Result

from ..foundation.greenlets import spawn_supervised
from ..foundation.logs import log_event
from ..foundation.store_version import StoreVersion
from ..steering.balancer.balancer_steering import BalancerSteering
from ..steering.settings import DEFAULT_APPLY_LIMIT_S
from ..steering.store import SteeringStore, StoredRoutes, StoreProblem

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.0
# Changes in quick succession are read with one watch. A configuration
# has to be in force within 3 s.
WATCH_PAUSE_S = 0.25
# After a peer has reported a higher version, the watch usually delivers
# it within this time, and the store need not be read.
CATCH_UP_DELAY_S = 0.2
# The store is read again when the last answered read is older than this
# share of the time in which a configuration has to be in force, plus a
# random part up to the second share: usually one balancer reads and tells
# the others.
READ_AGAIN_SHARE = 0.35
READ_JITTER_SHARE = 0.15

_logger = logging.getLogger(__name__)


class RouteFollower:
    """Applies the routes in the store and watches them for changes.

    Reads the store also when a peer has reported a higher version than
    the one in force, and when neither this balancer nor a peer has read it
    for a share of `apply_s`, the time in which a configuration has to be
    in force: the answer of a watch may have been lost.
    """

    def __init__(
        self,
        store: SteeringStore,
        steering: BalancerSteering,
        rng: random.Random,
        apply_s: float = DEFAULT_APPLY_LIMIT_S,
    ) -> None:
        self._store = store
        self._steering = steering
        self._rng = rng
        self._apply_s = apply_s
        self._is_watching = False
        # Version of a read that has shown that the watch missed a change.
        self._read_version: StoreVersion | None = None
        self._catch_up_requested = Event()
        self._is_store_reachable = True
        # Called after each read of the store that has routes.
        self.on_applied: Callable[[], None] = _ignore_routes

    def start(self) -> list[gevent.Greenlet]:
        """Start the greenlets: one watches, two read missed versions."""
        return [
            spawn_supervised('routes.follow', self._follow),
            spawn_supervised('routes.catch_up', self._catch_up),
            spawn_supervised('routes.verify', self._verify),
        ]

    def request_catch_up(self) -> None:
        """Read the store soon: a peer has reported a higher version."""
        self._catch_up_requested.set()

    def _follow(self) -> None:
        version: StoreVersion | None = None
        retry_s = FIRST_RETRY_S
        while True:
            outcome = self._read() if version is None else self._watch(version)
            if self._read_version is not None:
                version = self._read_version
                self._read_version = None
                continue
            if isinstance(outcome, Err):
                self._log_store_lost(outcome.err_value)
                version = None
                gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            self._log_store_regained()
            retry_s = FIRST_RETRY_S
            version = outcome.ok_value.version
            if self._apply(outcome.ok_value):
                gevent.sleep(WATCH_PAUSE_S)

    def _catch_up(self) -> None:
        while True:
            self._catch_up_requested.wait()
            self._catch_up_requested.clear()
            gevent.sleep(CATCH_UP_DELAY_S)
            retry_s = FIRST_RETRY_S
            while self._steering.routes.is_behind:
                outcome = self._read()
                if outcome.is_ok() and self._apply_missed(outcome.ok_value):
                    continue
                # The store has no newer version either: a peer has named
                # one that was never written.
                gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _verify(self) -> None:
        """Read the store when what is known of it is too old."""
        freshness = self._steering.contacts.freshness
        retry_s = FIRST_RETRY_S
        limit_s = self._draw_limit_s()
        while True:
            if freshness.age_s < limit_s:
                retry_s = FIRST_RETRY_S
                gevent.sleep(limit_s - freshness.age_s)
                continue
            if self._is_watching:
                outcome = self._read()
                if outcome.is_ok():
                    self._apply_missed(outcome.ok_value)
                    limit_s = self._draw_limit_s()
                    continue
            # The store does not answer, or `_follow` reads it already.
            gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
            retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _draw_limit_s(self) -> float:
        share = READ_AGAIN_SHARE + self._rng.uniform(0, READ_JITTER_SHARE)
        return self._apply_s * share

    def _read(self) -> Result[StoredRoutes, StoreProblem]:
        """Read the routes and tell peers that they need not."""
        started_s = self._steering.now()
        outcome = self._store.read_routes()
        if outcome.is_ok():
            self._steering.contacts.announce_read(started_s)
        return outcome

    def _watch(
        self, version: StoreVersion
    ) -> Result[StoredRoutes, StoreProblem]:
        self._is_watching = True
        try:
            return self._store.watch_routes(version)
        finally:
            self._is_watching = False

    def _apply_missed(self, stored: StoredRoutes) -> bool:
        """Apply routes that the watch has not brought; replace the watch."""
        if not self._apply(stored):
            return False
        if self._is_watching:
            log_event(
                _logger,
                'watch.missed',
                level=logging.WARNING,
                version=self._steering.routes.version,
                era=stored.version.era,
                revision=stored.version.revision,
            )
            self._read_version = stored.version
            self._store.interrupt_watch()
        return True

    def _apply(self, stored: StoredRoutes) -> bool:
        if stored.table is None:
            return False
        applied = self._steering.apply_routes(stored.table)
        self.on_applied()
        return applied.is_ok()

    def _log_store_lost(self, problem: StoreProblem) -> None:
        if self._is_store_reachable:
            self._is_store_reachable = False
            log_event(
                _logger,
                'store.lost',
                level=logging.WARNING,
                reason=problem.reason,
                version=self._steering.routes.version,
                age_s=round(self._steering.contacts.freshness.age_s, 3),
            )

    def _log_store_regained(self) -> None:
        if not self._is_store_reachable:
            self._is_store_reachable = True
            log_event(_logger, 'store.regained')


def _ignore_routes() -> None:
    """Do nothing; the default of `on_applied`."""

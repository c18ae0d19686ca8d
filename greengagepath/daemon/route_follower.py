"""Keeps the routes of a balancer up to date."""

import logging
import random

import gevent
from gevent.event import Event
from result import Err

from ..foundation.greenlets import spawn_supervised
from ..foundation.logs import log_event
from ..steering.balancer_steering import BalancerSteering
from ..steering.store import SteeringStore, StoredRoutes, StoreProblem

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.0
# Changes in quick succession are read with one watch. A configuration
# has to be in force within 3 s.
WATCH_PAUSE_S = 0.25
# After a peer has reported a higher version, the watch usually delivers
# it within this time, and the store need not be read.
CATCH_UP_DELAY_S = 0.2

_logger = logging.getLogger(__name__)


class RouteFollower:
    """Applies the routes in the store and watches them for changes.

    Reads the store also when a peer has reported a higher version than
    the one in force.
    """

    def __init__(
        self,
        store: SteeringStore,
        steering: BalancerSteering,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._steering = steering
        self._rng = rng
        self._catch_up_requested = Event()
        self._is_store_reachable = True

    def start(self) -> None:
        """Start the greenlets: one watches, one reads missed versions."""
        spawn_supervised('routes.follow', self._follow)
        spawn_supervised('routes.catch_up', self._catch_up)

    def request_catch_up(self) -> None:
        """Read the store soon: a peer has reported a higher version."""
        self._catch_up_requested.set()

    def _follow(self) -> None:
        revision: int | None = None
        retry_s = FIRST_RETRY_S
        while True:
            outcome = (
                self._store.read_routes()
                if revision is None
                else self._store.watch_routes(revision)
            )
            if isinstance(outcome, Err):
                self._log_store_lost(outcome.err_value)
                revision = None
                gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            self._log_store_regained()
            retry_s = FIRST_RETRY_S
            revision = outcome.ok_value.revision
            if self._apply(outcome.ok_value):
                gevent.sleep(WATCH_PAUSE_S)

    def _catch_up(self) -> None:
        while True:
            self._catch_up_requested.wait()
            self._catch_up_requested.clear()
            gevent.sleep(CATCH_UP_DELAY_S)
            retry_s = FIRST_RETRY_S
            while self._steering.routes.is_behind:
                outcome = self._store.read_routes()
                if outcome.is_ok() and self._apply(outcome.ok_value):
                    continue
                # The store has no newer version either: a peer has named
                # one that was never written.
                gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _apply(self, stored: StoredRoutes) -> bool:
        if stored.table is None:
            return False
        return self._steering.apply_routes(stored.table).is_ok()

    def _log_store_lost(self, problem: StoreProblem) -> None:
        if self._is_store_reachable:
            self._is_store_reachable = False
            log_event(
                _logger,
                'store.lost',
                level=logging.WARNING,
                reason=problem.reason,
                version=self._steering.routes.version,
            )

    def _log_store_regained(self) -> None:
        if not self._is_store_reachable:
            self._is_store_reachable = True
            log_event(_logger, 'store.regained')

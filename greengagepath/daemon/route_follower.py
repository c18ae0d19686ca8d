"""Keeps the routes of a balancer up to date."""

import logging
import random

import gevent
from gevent.event import Event
from result import Err

from ..foundation.logs import log_event
from ..steering.balancer_steering import BalancerSteering
from ..steering.store import SteeringStore, StoredRoutes, StoreProblem

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.0
# Changes in quick succession share one watch; the bound is 3 s.
WATCH_GAP_S = 0.25
# The watch usually brings a version that a peer shows a little later.
BEHIND_PATIENCE_S = 0.2

_logger = logging.getLogger(__name__)


class RouteFollower:
    """Reads the configuration, watches it, and reads again when behind."""

    def __init__(
        self,
        store: SteeringStore,
        steering: BalancerSteering,
        chance: random.Random,
    ) -> None:
        self._store = store
        self._steering = steering
        self._chance = chance
        self._behind = Event()
        self._is_answering = True

    def start(self) -> None:
        """Start the greenlets that watch and that catch up."""
        gevent.spawn(self._follow)
        gevent.spawn(self._catch_up)

    def note_behind(self) -> None:
        """Read the store soon, since a peer has seen a higher version."""
        self._behind.set()

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
                self._note_problem(outcome.err_value)
                revision = None
                gevent.sleep(self._chance.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            self._note_answer()
            retry_s = FIRST_RETRY_S
            revision = outcome.ok_value.revision
            if self._use(outcome.ok_value):
                gevent.sleep(WATCH_GAP_S)

    def _catch_up(self) -> None:
        while True:
            self._behind.wait()
            self._behind.clear()
            gevent.sleep(BEHIND_PATIENCE_S)
            retry_s = FIRST_RETRY_S
            while self._steering.routes.is_behind:
                outcome = self._store.read_routes()
                if outcome.is_ok():
                    self._use(outcome.ok_value)
                    continue
                gevent.sleep(self._chance.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _use(self, stored: StoredRoutes) -> bool:
        if stored.table is None:
            return False
        return self._steering.apply_routes(stored.table).is_ok()

    def _note_problem(self, problem: StoreProblem) -> None:
        if self._is_answering:
            self._is_answering = False
            log_event(
                _logger,
                'store.lost',
                level=logging.WARNING,
                reason=problem.reason,
                version=self._steering.routes.version,
            )

    def _note_answer(self) -> None:
        if not self._is_answering:
            self._is_answering = True
            log_event(_logger, 'store.regained')

"""Keeps the evacuated zones at a balancer up to date."""

# Annotations must not load `random` before the sockets are open.
from __future__ import annotations

import random

import gevent
from gevent.event import Event

from ..foundation.greenlets import spawn_supervised
from ..steering.balancer.balancer_steering import BalancerSteering
from ..steering.store import SteeringStore

# The list is read again when the last read, here or at a peer, is older
# than this share of the time in which an evacuation has to be in force,
# plus a random part up to the second share. Usually one balancer reads and
# tells the others; a read that is lost leaves time for two more.
READ_AGAIN_SHARE = 0.2
READ_JITTER_SHARE = 0.1
# In a new era of the store the list is read again after a random part of
# this share, unless a peer has told it by then.
NEW_ERA_JITTER_SHARE = 0.05
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0


class EvacuationFollower:
    """Reads the list of evacuated zones when what is known is too old.

    `evacuate_s` is the time in seconds in which an evacuation has to be
    in force. While the store does not answer, the last list stays. A list
    of an earlier era of the store is too old at once.
    """

    def __init__(
        self,
        store: SteeringStore,
        steering: BalancerSteering,
        rng: random.Random,
        evacuate_s: float,
    ) -> None:
        self._store = store
        self._steering = steering
        self._rng = rng
        self._evacuate_s = evacuate_s
        self._era_changed = Event()
        store.eras.subscribe(self._era_changed.set)

    def start(self) -> gevent.Greenlet:
        """Start the greenlet that reads the list."""
        return spawn_supervised('zones.follow', self._run)

    def _run(self) -> None:
        freshness = self._steering.contacts.zones.freshness
        limit_s = self._draw_limit_s()
        retry_s = FIRST_RETRY_S
        while True:
            if self._era_changed.is_set():
                self._era_changed.clear()
                jitter_share = self._rng.uniform(0, NEW_ERA_JITTER_SHARE)
                self._era_changed.wait(self._evacuate_s * jitter_share)
            elif not self._is_of_earlier_era() and freshness.age_s < limit_s:
                self._era_changed.wait(limit_s - freshness.age_s)
            elif self._read():
                limit_s = self._draw_limit_s()
                retry_s = FIRST_RETRY_S
            else:
                gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _is_of_earlier_era(self) -> bool:
        version = self._steering.contacts.zones.zones.version
        return version.era < self._store.eras.latest

    def _draw_limit_s(self) -> float:
        share = READ_AGAIN_SHARE + self._rng.uniform(0, READ_JITTER_SHARE)
        return self._evacuate_s * share

    def _read(self) -> bool:
        """Read the list and pass it on; return whether it was answered."""
        started_s = self._steering.now()
        outcome = self._store.list_evacuated_zones()
        if outcome.is_err():
            return False
        listed = outcome.ok_value
        self._steering.contacts.announce_zones_read(
            listed.names, listed.version, started_s
        )
        return True

"""Registers a process in the store and reads the member list."""

import logging
import random
from collections.abc import Callable

import gevent
from gevent.event import Event
from result import Err

from ..foundation.greenlets import spawn_supervised
from ..foundation.logs import log_event
from ..steering.store import Member, MemberList, SteeringStore
from ..steering.store_eras import is_later_era

FIRST_RETRY_S = 0.3
MAX_RETRY_S = 5.0
# In a new era all processes read the list within this time, so that a
# thousand of them stay within the rates of the store.
NEW_ERA_SPREAD_S = 1.0
# Shortest time between two readings that a peer has caused.
PEER_ERA_GAP_S = 5.0
# How long after its registration in a new era a balancer looks whether the
# list has all members; others need this time to register, too.
VOUCH_AFTER_S = 4.0
VOUCH_ATTEMPTS = 4
# Times after the registration at which a process looks whether its entry is
# still there; the longest one is repeated. A late call of an earlier VM at
# the address is executed within some seconds.
CHECKS_S = (4.0, 8.0, 30.0)
CHECK_JITTER_SHARE = 0.25

OnMembers = Callable[[MemberList], None]
# Whether a list has all members that this process hears.
HasAll = Callable[[MemberList], bool]

_logger = logging.getLogger(__name__)


class MembershipListing:
    """Lists the members, then registers this one if it is missing.

    A new member announces itself to all members it has read, so that no
    member has to watch the list. Each process reads the list again after
    it has registered: of two that start at the same time at least the
    one that reads later finds the other. All do so again in a new era of
    the store, which may have lost their entries, and when the own entry
    was removed.

    At the first start of a deployment the list has all members, since each
    registers. Later a new member vouches for it if another one does, and in
    a new era a member does if it hears no other that is missing, as `has_all`
    tells.
    """

    def __init__(
        self,
        store: SteeringStore,
        own: Member,
        on_members: OnMembers,
        *,
        is_first_start: bool = False,
        has_all: HasAll | None = None,
    ) -> None:
        self._store = store
        self._own = own
        self._on_members = on_members
        self._is_first_start = is_first_start
        self._has_all = has_all
        # Whether the list that was read last has a voucher.
        self._has_voucher = False
        self._rng = random.Random()
        self._era_changed = Event()
        self._may_ask = True
        self._greenlet: gevent.Greenlet | None = None
        store.eras.subscribe(self._era_changed.set)

    def start(self) -> None:
        """Start the greenlet that registers in each era of the store."""
        self._greenlet = spawn_supervised('membership.listing', self._run)

    def stop(self) -> None:
        """Register no more: the process leaves."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def record_peer_era(self, narrowed: int) -> None:
        """Read the list soon if a peer is in a later era of the store.

        `narrowed` is the era as `narrow_era` returns it, 0 if unknown.
        """
        is_later = is_later_era(narrowed, self._store.eras.latest)
        if is_later and self._may_ask:
            self._may_ask = False
            gevent.spawn_later(PEER_ERA_GAP_S, self._allow_asking)
            self._era_changed.set()

    def _allow_asking(self) -> None:
        self._may_ask = True

    def _run(self) -> None:
        self._register_until_done()
        log_event(_logger, 'membership.registered')
        self._vouch()
        checks = 0
        while True:
            after_s = CHECKS_S[min(checks, len(CHECKS_S) - 1)]
            jitter = self._rng.uniform(-CHECK_JITTER_SHARE, CHECK_JITTER_SHARE)
            checks += 1
            if not self._era_changed.wait(after_s * (1 + jitter)):
                self._check_entry()
                continue
            checks = 0
            era = self._store.eras.latest
            gevent.sleep(self._rng.uniform(0, NEW_ERA_SPREAD_S))
            self._era_changed.clear()
            self._is_first_start = False
            self._register_until_done()
            log_event(
                _logger,
                'membership.checked',
                era=self._store.eras.latest,
                was=era,
            )
            self._vouch()

    def _check_entry(self) -> None:
        """Register again if the own entry was removed or replaced."""
        registered = self._store.is_registered(self._own)
        if registered.is_ok() and not registered.ok_value:
            self._register_until_done()

    def _register_until_done(self) -> None:
        retry_s = FIRST_RETRY_S
        while not self._register():
            gevent.sleep(self._rng.uniform(retry_s / 2, retry_s))
            retry_s = min(retry_s * 2, MAX_RETRY_S)

    def _register(self) -> bool:
        listed = self._store.list_members()
        if isinstance(listed, Err):
            return False
        members = listed.ok_value
        self._report(members)
        if self._is_listed(members):
            return True
        if self._is_first_start or members.is_vouched:
            self._own.vouched_era = members.era
        if self._store.add_member(self._own).is_err():
            return False
        reread = self._store.list_members()
        if isinstance(reread, Err):
            return False
        self._report(reread.ok_value)
        return True

    def _report(self, members: MemberList) -> None:
        self._has_voucher = members.is_vouched
        self._on_members(members)

    def _is_listed(self, members: MemberList) -> bool:
        """Return whether the own entry is in a list; log what is instead."""
        found = [
            member
            for member in members.members
            if member.address == self._own.address
        ]
        if found and found[0].is_same(self._own):
            self._own.revision = found[0].revision
            return True
        log_event(
            _logger,
            'membership.missing',
            era=members.era,
            found=found[0].owner if found else '',
            found_role=found[0].role.value if found else '',
        )
        return False

    def _vouch(self) -> None:
        """Vouch for a list that nobody vouches for, once it has all members.

        Only balancers do: agents do not hear of all services.
        """
        if self._has_all is None or self._has_voucher:
            return
        for attempt in range(1, VOUCH_ATTEMPTS + 1):
            after_s = VOUCH_AFTER_S * self._rng.uniform(1, 2) * attempt
            if self._era_changed.wait(after_s):
                return
            if self._is_vouched(self._has_all):
                return

    def _is_vouched(self, has_all: HasAll) -> bool:
        """Return whether a member vouches for the list, if need be this."""
        listed = self._store.list_members()
        if isinstance(listed, Err):
            return False
        members = listed.ok_value
        if members.is_vouched or not has_all(members):
            return members.is_vouched
        self._own.vouched_era = members.era
        is_written = self._store.add_member(self._own).is_ok()
        log_event(
            _logger,
            'members.vouched',
            era=members.era,
            members=len(members.members),
            is_written=is_written,
        )
        return is_written

"""Registers a process in the store and reads the member list at start."""

import logging
import random
from collections.abc import Callable

import gevent
from result import Err

from ..foundation.greenlets import spawn_supervised
from ..foundation.logs import log_event
from ..steering.store import Member, MemberList, SteeringStore

FIRST_RETRY_S = 0.3
MAX_RETRY_S = 5.0

OnMembers = Callable[[MemberList], None]

_logger = logging.getLogger(__name__)


class MembershipListing:
    """Lists the members, then registers this one if it is missing.

    A new member announces itself to all members it has read, so that no
    member has to watch the list. Each process reads the list again after
    it has registered: of two that start at the same time at least the
    one that reads later finds the other.

    At the first start of a deployment the list has all members, since each
    registers. Later the new member vouches for it if another one does.
    """

    def __init__(
        self,
        store: SteeringStore,
        own: Member,
        on_members: OnMembers,
        *,
        is_first_start: bool = False,
    ) -> None:
        self._store = store
        self._own = own
        self._on_members = on_members
        self._is_first_start = is_first_start

    def start(self) -> None:
        """Start the greenlet; it ends when the member is registered."""
        spawn_supervised('membership.listing', self._run)

    def _run(self) -> None:
        retry_s = FIRST_RETRY_S
        rng = random.Random()
        while not self._register():
            gevent.sleep(rng.uniform(retry_s / 2, retry_s))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
        log_event(_logger, 'membership.registered')

    def _register(self) -> bool:
        listed = self._store.list_members()
        if isinstance(listed, Err):
            return False
        members = listed.ok_value
        self._on_members(members)
        if self._own.address in members.find_addresses(self._own.role):
            return True
        if self._is_first_start or members.is_vouched:
            self._own.vouched_era = members.era
        if self._store.add_member(self._own).is_err():
            return False
        reread = self._store.list_members()
        if isinstance(reread, Err):
            return False
        self._on_members(reread.ok_value)
        return True

"""Registers a process in the store and reads the member list at start."""

import logging
import random
from collections.abc import Callable

import gevent
from result import Err

from ..foundation.greenlets import spawn_supervised
from ..foundation.logs import log_event
from ..steering.store import Member, MemberRole, SteeringStore

FIRST_RETRY_S = 0.3
MAX_RETRY_S = 5.0

OnMembers = Callable[[list[bytes], list[bytes]], None]

_logger = logging.getLogger(__name__)


class MembershipListing:
    """Lists the members, then registers this one if it is missing.

    A new member announces itself to all members it has read, so that no
    member has to watch the list. Each process reads the list again after
    it has registered: of two that start at the same time at least the
    one that reads later finds the other.
    """

    def __init__(
        self, store: SteeringStore, own: Member, on_members: OnMembers
    ) -> None:
        self._store = store
        self._own = own
        self._on_members = on_members

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
        self._report_members(listed.ok_value)
        if any(
            member.address == self._own.address
            and member.role is self._own.role
            for member in listed.ok_value
        ):
            return True
        if self._store.add_member(self._own).is_err():
            return False
        reread = self._store.list_members()
        if isinstance(reread, Err):
            return False
        self._report_members(reread.ok_value)
        return True

    def _report_members(self, members: list[Member]) -> None:
        self._on_members(
            _addresses(members, MemberRole.BALANCER),
            _addresses(members, MemberRole.AGENT),
        )


def _addresses(members: list[Member], role: MemberRole) -> list[bytes]:
    return [member.address for member in members if member.role is role]

"""Registers a process in the store and reads the others once."""

import logging
import random
from collections.abc import Callable

import gevent
from result import Err

from ..foundation.logs import log_event
from ..steering.store import Member, MemberRole, SteeringStore

FIRST_RETRY_S = 0.3
MAX_RETRY_S = 5.0

OnMembers = Callable[[list[bytes], list[bytes]], None]

_logger = logging.getLogger(__name__)


class MembershipListing:
    """Lists the members, then registers this one if it is missing.

    Newcomers announce themselves to everybody they read, so nobody has
    to watch the list. Of two that start together the later reader sees
    the other; both register before they read once more.
    """

    def __init__(
        self, store: SteeringStore, own: Member, on_members: OnMembers
    ) -> None:
        self._store = store
        self._own = own
        self._on_members = on_members
        self._chance = random.Random()

    def start(self) -> None:
        """Start the greenlet; it ends once the list has been read."""
        gevent.spawn(self._run)

    def _run(self) -> None:
        retry_s = FIRST_RETRY_S
        while not self._register():
            gevent.sleep(self._chance.uniform(retry_s / 2, retry_s))
            retry_s = min(retry_s * 2, MAX_RETRY_S)
        log_event(_logger, 'membership.registered')

    def _register(self) -> bool:
        listed = self._store.list_members()
        if isinstance(listed, Err):
            return False
        self._pass_on(listed.ok_value)
        if any(
            member.address == self._own.address
            and member.role is self._own.role
            for member in listed.ok_value
        ):
            return True
        if self._store.add_member(self._own).is_err():
            return False
        again = self._store.list_members()
        if isinstance(again, Err):
            return False
        self._pass_on(again.ok_value)
        return True

    def _pass_on(self, members: list[Member]) -> None:
        self._on_members(
            _addresses(members, MemberRole.BALANCER),
            _addresses(members, MemberRole.AGENT),
        )


def _addresses(members: list[Member], role: MemberRole) -> list[bytes]:
    return [member.address for member in members if member.role is role]

"""What the decision modules of a node need from its surroundings."""

import random
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ..foundation.addresses import Address
from ..foundation.object_api import ObjectClient
from ..foundation.timers import TimerService
from ..generated.settings import LimitSettings


class LinkEvents(Protocol):
    """Called by the link service; never re-entered from `LinkService`."""

    def link_opened(self, link_id: int, *, outgoing: bool) -> None:
        """Both sides may send from now on."""

    def link_received(self, link_id: int, message: msgspec.Struct) -> None:
        """A message with a valid tag has arrived."""

    def link_closed(self, link_id: int) -> None:
        """The link is gone, or could not be opened."""


class LinkService(Protocol):
    """Opens links and sends on them without blocking."""

    def connect(self, address: Address) -> int:
        """Return the id of a link that will be opened or closed."""

    def send(self, link_id: int, message: msgspec.Struct) -> bool:
        """Queue a message; return False if the queue is full."""

    def close(self, link_id: int) -> None:
        """Close the link; `link_closed` follows later."""


@dataclass(slots=True, frozen=True)
class NodePorts:
    """Surroundings of a node: time, links, store, chance and limits.

    `fallback_seeds` are tried while the object API does not answer.
    """

    timers: TimerService
    links: LinkService
    store: ObjectClient
    random: random.Random
    limits: LimitSettings
    fallback_seeds: tuple[Address, ...] = ()

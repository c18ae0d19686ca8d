"""Interfaces through which a node uses its environment."""

import random
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ..foundation.addresses import Address
from ..foundation.object_api import ObjectClient
from ..foundation.timers import TimerService
from ..generated.settings import LimitSettings


class LinkEvents(Protocol):
    """Callbacks of the link service.

    None of them is called during a call of a `LinkService` method.
    """

    def link_opened(self, link_id: int, *, outgoing: bool) -> None:
        """Handle a new link; both sides may send from now on."""

    def link_received(self, link_id: int, message: msgspec.Struct) -> None:
        """Handle a message whose authentication tag is valid."""

    def link_closed(self, link_id: int) -> None:
        """Handle a link that has closed or could not be opened."""


class LinkService(Protocol):
    """Opens links and sends on them without blocking."""

    def connect(self, address: Address) -> int:
        """Start to connect and return the id of the link.

        `link_opened` or `link_closed` follows.
        """

    def send(self, link_id: int, message: msgspec.Struct) -> bool:
        """Queue a message; return False if the queue is full."""

    def close(self, link_id: int) -> None:
        """Close the link; `link_closed` follows later."""


@dataclass(slots=True, frozen=True)
class NodePorts:
    """Environment of a node: time, links, store, randomness and limits.

    `fallback_seeds` are used while the object API does not answer.
    """

    timers: TimerService
    links: LinkService
    store: ObjectClient
    random: random.Random
    limits: LimitSettings
    fallback_seeds: tuple[Address, ...] = ()

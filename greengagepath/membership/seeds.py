"""Seed objects: addresses of balancers in an availability zone."""

import ipaddress
from typing import Annotated

import msgspec

from ..foundation.addresses import Address
from ..foundation.object_api import (
    Conflict,
    ObjectKind,
    ObjectOutcome,
    StoredObject,
)
from .bridge_parts import BridgeParts
from .leases import Lease
from .overlay import rank_by_hash

# Number of addresses in a seed object; one that answers is enough.
SEED_ADDRESSES = 5
SEED_CHECK_S = 5.0
# Number of addresses that are read of a seed object.
MAX_LISTED = 50
MAX_HOST_CHARACTERS = 15
MAX_PORT = 65535
_TOKEN = 'fencing_token'


class _SeedBody(msgspec.Struct):
    addresses: list[object]
    fencing_token: int = 0


class _SeedAddress(msgspec.Struct, array_like=True):
    host: Annotated[str, msgspec.Meta(max_length=MAX_HOST_CHARACTERS)]
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


class SeedWriter:
    """Keeps the seed object of the zone up to date.

    `refused_writes` counts writes that were not sent because the object
    could not be read, the lease had expired or a newer holder had
    written.
    """

    def __init__(self, parts: BridgeParts) -> None:
        self._parts = parts
        self._zone = parts.own.record.availability_zone
        self._last_written: list[list[object]] = []
        self._next_check_s = 0.0
        self.refused_writes = 0

    def step(self, lease: Lease) -> None:
        """Write the seed if it has changed and the lease is valid."""
        now_s = self._parts.ports.timers.now()
        wanted = self._choose_addresses()
        if now_s < self._next_check_s or wanted == self._last_written:
            return
        self._next_check_s = now_s + SEED_CHECK_S
        self._parts.ports.store.read(
            ObjectKind.SEED,
            self._zone,
            lambda outcome: self._write_unless_newer(lease, wanted, outcome),
        )

    def _choose_addresses(self) -> list[list[object]]:
        """Return the addresses of the bridges and a few other balancers."""
        balancers = {
            record.member_id: record
            for record in self._parts.table.balancers()
            if record.availability_zone == self._zone
        }
        ranked = rank_by_hash(self._zone, balancers)
        ranked.sort(key=lambda entry: balancers[entry].bridge_slot == 0)
        chosen = [balancers[entry] for entry in ranked[:SEED_ADDRESSES]]
        return [[record.host, record.control_port] for record in chosen]

    def _write_unless_newer(
        self, lease: Lease, wanted: list[list[object]], outcome: ObjectOutcome
    ) -> None:
        """Write the seed unless a holder with a newer lease has written."""
        if outcome.is_err() or not lease.is_held():
            self.refused_writes += 1
            return
        stored = outcome.unwrap()
        if _token_of(stored.body) > lease.fencing_token:
            self.refused_writes += 1
            return
        body = {'addresses': wanted, _TOKEN: lease.fencing_token}
        self._parts.ports.store.write(
            ObjectKind.SEED,
            self._zone,
            StoredObject(stored.version, body),
            lambda written: self._finish_write(wanted, written),
            may_send=lease.is_held,
        )

    def _finish_write(
        self, wanted: list[list[object]], outcome: ObjectOutcome
    ) -> None:
        if outcome.is_ok():
            self._last_written = wanted
        elif isinstance(outcome.unwrap_err(), Conflict):
            self._next_check_s = 0


def _token_of(body: object) -> int:
    try:
        return msgspec.convert(body, _SeedBody).fencing_token
    except msgspec.ValidationError:
        return 0


def addresses_of(body: object) -> list[Address]:
    """Return the valid addresses in a seed object.

    Addresses of another writer that cannot be used are left out.
    """
    try:
        listed = msgspec.convert(body, _SeedBody).addresses
    except msgspec.ValidationError:
        return []
    parsed = map(_parse_address, listed[:MAX_LISTED])
    return [address for address in parsed if address is not None]


def _parse_address(entry: object) -> Address | None:
    try:
        address = msgspec.convert(entry, _SeedAddress)
        ipaddress.IPv4Address(address.host)
    except ValueError:
        return None
    return address.host, address.port

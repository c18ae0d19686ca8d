"""Operator tool in virtual time: conditional write, then delivery."""

import random

import msgspec

from greengagepath.bench.virtual_links import VirtualLinks
from greengagepath.bench.virtual_processes import ProcessClock
from greengagepath.bench.virtual_store import VirtualTransport
from greengagepath.configuration.delta import compute_delta
from greengagepath.foundation.object_api import (
    ObjectClient,
    ObjectKind,
    StoredObject,
)
from greengagepath.generated.messages import Configuration

NAME = (ObjectKind.CONFIGURATION, 'current')


class Operator:
    """Applies configurations.

    `outcomes` holds the outcome of each write, or of a failed read,
    `accepted` the configurations that were written.
    """

    def __init__(self, fleet, name, zone='z0'):
        self.fleet = fleet
        self.name = name
        clock = ProcessClock(fleet.timers)
        self.links = VirtualLinks(fleet.network, clock, zone)
        self.links.events = self
        self.store = ObjectClient(
            VirtualTransport(fleet.store, clock, name),
            clock,
            random.Random(fleet.random.random()),
        )
        self.outcomes = []
        self.accepted = []
        self.count = 0
        self.pending = {}

    def apply(self, services, balancers):
        """Read, write conditionally, then send it to the balancers."""
        self.store.read(
            *NAME,
            lambda found: self.write(found, services, balancers),
        )

    def write(self, found, services, balancers):
        if found.is_err():
            self.outcomes.append(found)
            return
        stored = found.unwrap()
        self.count += 1
        configuration = Configuration(
            version=int(stored.body.get('version', 0)) + 1,
            operation_id=f'{self.name}-{self.count}',
            services=services,
        )
        body = msgspec.to_builtins(configuration)
        self.store.write(
            *NAME,
            StoredObject(stored.version, body),
            lambda outcome: self.finish(outcome, configuration, balancers),
        )

    def finish(self, outcome, configuration, balancers):
        self.outcomes.append(outcome)
        if outcome.is_err():
            return
        self.accepted.append(configuration)
        self.hand_over(configuration, balancers)

    def hand_over(self, configuration, balancers):
        for balancer in balancers:
            record = balancer.record
            link_id = self.links.connect((record.host, record.control_port))
            self.pending[link_id] = configuration

    def link_opened(self, link_id, *, outgoing):
        configuration = self.pending.pop(link_id)
        self.links.send(link_id, compute_delta(None, configuration))

    def link_received(self, link_id, message):
        self.links.close(link_id)

    def link_closed(self, link_id):
        self.pending.pop(link_id, None)

"""In-memory fakes of the object API and of balancers."""

from result import Err, Ok

from greengagepath.configuration.rollout import StoredConfiguration
from greengagepath.generated.messages import (
    Configuration,
    MemberRecord,
    StatusReply,
)

EMPTY = StoredConfiguration(0, Configuration(version=0, services=[]))


class FakeStore:
    """Object API with conditional writes.

    `is_down` makes every call fail; the answers of the next
    `lost_answers` writes are lost after the write took effect.
    """

    def __init__(self, stored=EMPTY):
        self.stored = stored
        self.is_down = False
        self.lost_answers = 0

    def read(self):
        return Err('connection refused') if self.is_down else Ok(self.stored)

    def write(self, configuration, object_version):
        if self.is_down:
            return Err('connection refused')
        if object_version != self.stored.object_version:
            return Err(self.stored)
        self.stored = StoredConfiguration(object_version + 1, configuration)
        if self.lost_answers:
            self.lost_answers -= 1
            return Err('no answer')
        return Ok(None)


class FakeBalancers:
    """Balancers by address.

    Those in `down` refuse connections, those in `stuck` never apply a
    new version. `targets` are further member records in the replies.
    """

    def __init__(self, *addresses):
        self.versions_by_address = dict.fromkeys(addresses, 0)
        self.down = set()
        self.stuck = set()
        self.targets = []
        self.deltas = []

    def query_status(self, address):
        if address in self.down:
            return Err('connection refused')
        records = [
            build_balancer(entry, version)
            for entry, version in self.versions_by_address.items()
        ]
        version = self.versions_by_address[address]
        return Ok(
            StatusReply(
                query_id=1,
                configuration_version=version,
                records=records + self.targets,
            )
        )

    def send_delta(self, address, delta):
        if address in self.down:
            return Err('connection refused')
        self.deltas.append((address, delta))
        for entry in self.versions_by_address.keys() - self.stuck:
            self.versions_by_address[entry] = delta.version
        return Ok(None)


def build_balancer(address, version, **fields):
    """Return the member record of a balancer at the address."""
    defaults = {
        'member_id': f'balancer-{address[1]}',
        'kind': 'balancer',
        'host': address[0],
        'data_port': 1,
        'control_port': address[1],
        'region': 'perth',
        'availability_zone': 'perth-a',
        'incarnation': 1,
        'record_version': 1,
        'state': 'alive',
        'configuration_version': version,
    }
    return MemberRecord(**{**defaults, **fields})

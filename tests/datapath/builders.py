"""Routers that record what they send, for tests of the data path."""

from random import Random
from types import SimpleNamespace

from result import Err, Ok

from greengagepath.datapath.packet_router import (
    PacketRouter,
    RouterDependencies,
)
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import Configuration, Service
from greengagepath.protocol.envelopes import open_envelope
from greengagepath.protocol.packets import (
    FabricHeader,
    Kind,
    ServiceDatagram,
    decode_service_datagram,
)
from greengagepath.protocol.tags import Key, KeyRing
from greengagepath.protocol.tokens import TokenClaims, issue_token
from greengagepath.routing.choice import Choice, NoTarget, NoTargetReason
from greengagepath.routing.targets import TargetInfo, TargetState

CALLER = ('192.0.2.9', 4000)
SERVICE = ('192.0.2.7', 80)
SERVICE_ID = 7
OWN = ('127.0.0.1', 4001)


def build_key(key_id=1, not_after_s=None):
    return Key(key_id, bytes((key_id,)).ljust(32, b'k'), not_after_s)


def start_of_epoch():
    return 0.0


def build_keys(*keys, clock=start_of_epoch):
    return KeyRing(keys or [build_key()], clock)


def build_target(number=1, service=SERVICE_ID):
    return TargetInfo(
        target_id=f't{number}',
        service=service,
        address=('127.0.0.1', 5000 + number),
        weight=1.0,
        state=TargetState.ALIVE,
        incarnation=1,
        availability_zone='a',
        region='r',
    )


class FakeChooser:
    """Chooses by flow id modulo the targets; probes the first one."""

    def __init__(self, targets):
        self.targets = targets
        self.replies = []
        self.outcomes = []

    def choose(self, service, flow_id, size_class):
        if not self.targets:
            return Err(NoTarget(service, NoTargetReason.NONE_ALIVE))
        first = flow_id % len(self.targets)
        ordered = self.targets[first:] + self.targets[:first]
        return Ok(Choice(ordered[0], tuple(ordered[1:])))

    def get_chooser(self, service):
        return self

    def targets_to_probe(self):
        return tuple(self.targets[:1])

    def record_probe(self, reply):
        self.replies.append(reply)

    def record_outcome(self, target_id, *, succeeded):
        self.outcomes.append((target_id, succeeded))


def build_router(targets=(), keys=None, verified_tokens=100, seed=1):
    """Return a router with its dependencies and drop counters.

    `sent` lists pairs of packet and address.
    """
    sent = []

    def send_probe(packet, address):
        sent.append((packet, address))

    dependencies = RouterDependencies(
        keys=keys or build_keys(),
        choosers=FakeChooser(list(targets)),
        timers=VirtualTimerService(),
        random=Random(seed),
        connect=lambda address: lambda packet: sent.append((packet, address)),
        send_probe=send_probe,
        own_address=OWN,
        verified_tokens=verified_tokens,
        probes_per_s=100,
    )
    router = PacketRouter(dependencies)
    router.use_configuration(
        Configuration(
            version=1,
            services=[
                Service(
                    name='s',
                    service_id=SERVICE_ID,
                    host=SERVICE[0],
                    port=SERVICE[1],
                )
            ],
        )
    )
    return SimpleNamespace(
        router=router,
        sent=sent,
        dependencies=dependencies,
        dropped=router.counters.dropped,
    )


def build_packet(kind, flow_id, service_id=SERVICE_ID, **fields):
    datagram = ServiceDatagram(
        kind=kind, service_id=service_id, flow_id=flow_id, **fields
    )
    return FabricHeader(CALLER, SERVICE).encode() + datagram.encode()


def build_token(
    keys, flow_id, address=('127.0.0.1', 5001), service_id=SERVICE_ID
):
    return issue_token(keys, service_id, flow_id, TokenClaims(address, 1, 1))


def unseal(keys, packet):
    envelope, datagram = open_envelope(keys, packet).unwrap()
    return envelope, decode_service_datagram(datagram).unwrap()


TOKEN_KINDS = (Kind.REQUEST, Kind.ANSWER_ACK, Kind.CANCEL, Kind.PING)

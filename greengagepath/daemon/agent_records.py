"""Identity, first record and initial service of an agent."""

import time

import gevent
from msgspec import structs

from ..admission.gate import MS_PER_S
from ..agent.replies import AgentIdentity
from ..generated.messages import (
    Limits,
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
)
from ..generated.settings import Settings, TargetSettings


def wait_for_next_second() -> None:
    """Wait until no earlier process can have had the same incarnation.

    The incarnation is the second of the start. An agent issues no token
    within that second, so that an agent which it has replaced cannot
    have issued tokens of the same incarnation.
    """
    now_s = time.time()
    gevent.sleep(int(now_s) + 1 - now_s)


def make_identity(
    settings: Settings, target: TargetSettings, started_s: int, sender: int
) -> AgentIdentity:
    """Return the identity that the agent writes into its datagrams."""
    node = settings.node
    return AgentIdentity(
        service_id=target.service_id,
        target_id=node.member_id,
        address=(node.host, node.data_port),
        fabric=(settings.fabric.host, settings.fabric.port),
        incarnation=started_s,
        sender=sender,
    )


def initial_service(settings: Settings, target: TargetSettings) -> Service:
    """Return a service for use until the control plane sends one."""
    return Service(
        name=str(target.service_id),
        service_id=target.service_id,
        host=settings.node.host,
        port=settings.node.data_port,
        limits=Limits(slots=target.slots),
    )


def cap_slots(limits: Limits, target: TargetSettings) -> Limits:
    """Return the limits with no more slots than the target has."""
    return structs.replace(limits, slots=min(limits.slots, target.slots))


def make_record(
    settings: Settings, target: TargetSettings, started_s: int
) -> MemberRecord:
    """Return the first member record that the agent publishes."""
    node = settings.node
    return MemberRecord(
        member_id=node.member_id,
        kind=MemberKind.agent,
        host=node.host,
        data_port=node.data_port,
        control_port=node.control_port,
        region=node.region,
        availability_zone=node.availability_zone,
        incarnation=started_s,
        record_version=0,
        state=MemberState.alive,
        service_id=target.service_id,
        weight=target.weight,
        started_ms=started_s * MS_PER_S,
    )

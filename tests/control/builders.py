"""Test data for the control plane."""

from greengagepath.bench.control_fleet import ControlFleet
from greengagepath.generated.messages import (
    Configuration,
    MemberKind,
    MemberRecord,
    MemberState,
    Service,
)

SETTLED_S = 8


def make_record(member_id='m1', **changes):
    fields = {
        'kind': MemberKind.agent,
        'host': '10.0.0.1',
        'data_port': 1,
        'control_port': 2,
        'region': 'r1',
        'availability_zone': 'z0',
        'incarnation': 1,
        'record_version': 0,
        'state': MemberState.alive,
        'service_id': 1,
    }
    return MemberRecord(member_id=member_id, **{**fields, **changes})


def make_service(service_id=1, **changes):
    fields = {'name': f's{service_id}', 'host': '10.1.0.1', 'port': 80}
    return Service(service_id=service_id, **{**fields, **changes})


def make_configuration(version, *services, operation_id=''):
    return Configuration(
        version=version,
        operation_id=operation_id,
        services=list(services) or [make_service(1), make_service(2)],
    )


def make_fleet(seed=1, balancers=6, agents=6, zones=2, **options):
    """Return a settled fleet with its members spread over the zones."""
    fleet = ControlFleet(seed, **options)
    for index in range(balancers):
        fleet.add_balancer(f'b{index}', f'z{index % zones}')
    for index in range(agents):
        fleet.add_agent(f'a{index}', f'z{index % zones}', 1 + index % 2)
    fleet.advance(SETTLED_S)
    return fleet

import random

from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.routing.choice import (
    ChooserServices,
    Place,
    TargetChooser,
)
from greengagepath.routing.targets import TargetInfo, TargetState

SERVICE = 7
HOME = Place('perth', 'perth-a')


def build_target(number, **fields):
    values = {
        'target_id': f'target-{number}',
        'service': SERVICE,
        'address': ('127.0.0.1', 20000 + number),
        'weight': 1.0,
        'state': TargetState.ALIVE,
        'incarnation': 1,
        'availability_zone': HOME.availability_zone,
        'region': HOME.region,
    }
    return TargetInfo(**(values | fields))


def build_targets(count, **fields):
    return tuple(build_target(number, **fields) for number in range(count))


def build_shared(timers=None, seed=1, **fields):
    return ChooserServices(
        place=HOME,
        timers=timers or VirtualTimerService(),
        random=random.Random(seed),
        **fields,
    )


def build_chooser(targets, timers=None, seed=1, **fields):
    chooser = TargetChooser(SERVICE, build_shared(timers, seed, **fields))
    chooser.replace_targets(targets)
    return chooser


def count_choices(chooser, size_class, flows):
    counts_by_target_id = {}
    for flow_id in range(flows):
        target = chooser.choose(flow_id, size_class).unwrap().target
        counts_by_target_id[target.target_id] = (
            counts_by_target_id.get(target.target_id, 0) + 1
        )
    return counts_by_target_id

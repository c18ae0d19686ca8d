"""Embeds the decisions of a balancer and an agent in another program.

There are no sockets and no daemons: targets are functions and time is
virtual. The program asks which target gets a request, in which order
queued requests run and which are refused. Run it with
`python examples/embedding.py`.
"""

import random
from dataclasses import dataclass

from greengagepath.admission.fair_queue import QueuedRequest
from greengagepath.admission.gate import AdmissionGate
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import Limits, SizeClass
from greengagepath.routing.choice import (
    ChooserServices,
    Place,
    ProbeReply,
    TargetChooser,
)
from greengagepath.routing.targets import TargetInfo, TargetState

SERVICE = 7
TARGET_COUNT = 4
SHORT_WORK_S = 0.02
SLOTS = 2
DEADLINE_S = 2
US_PER_S = 1000000
ZONE = 'north-a'


@dataclass(slots=True)
class Worker:
    """A target and the admission gate in front of its slots."""

    info: TargetInfo
    gate: AdmissionGate


def make_worker(number: int, timers: VirtualTimerService) -> Worker:
    """Return a worker that may run `SLOTS` requests at once."""
    target = TargetInfo(
        target_id=f'worker-{number}',
        service=SERVICE,
        address=('127.0.0.1', 9000 + number),
        weight=1,
        state=TargetState.ALIVE,
        incarnation=1,
        availability_zone=ZONE,
        region='north',
    )
    return Worker(target, AdmissionGate(timers, Limits(slots=SLOTS)))


def run_work(count: int, seed: int = 1) -> dict[str, int]:
    """Run `count` short requests; return how many each worker finished.

    Requests that a gate refuses are counted under `refused`.
    """
    timers = VirtualTimerService()
    workers = [make_worker(number, timers) for number in range(TARGET_COUNT)]
    workers_by_id = {worker.info.target_id: worker for worker in workers}
    source = random.Random(seed)
    chooser = TargetChooser(
        SERVICE, ChooserServices(Place('north', ZONE), timers, source)
    )
    chooser.replace_targets(worker.info for worker in workers)
    ended = dict.fromkeys([*workers_by_id, 'refused'], 0)
    for _ in range(count):
        choice = chooser.choose(source.getrandbits(64), SizeClass.short)
        worker = workers_by_id[choice.unwrap().target.target_id]
        request = QueuedRequest(
            request_id=source.randbytes(16),
            customer_id=1,
            operation='look-up',
            deadline_s=timers.now() + DEADLINE_S,
        )
        if worker.gate.offer(request).is_err():
            ended['refused'] += 1
        start_next(worker, timers, ended)
        answer_probes(chooser, workers_by_id)
        timers.advance(SHORT_WORK_S / (TARGET_COUNT * SLOTS))
    timers.advance(DEADLINE_S)
    return ended


def start_next(
    worker: Worker, timers: VirtualTimerService, ended: dict[str, int]
) -> None:
    """Run queued requests until the gate returns none."""
    request = worker.gate.next_request()
    while request is not None:
        timers.call_after(
            SHORT_WORK_S,
            lambda request=request: finish(worker, request, timers, ended),
        )
        request = worker.gate.next_request()


def finish(
    worker: Worker,
    request: QueuedRequest,
    timers: VirtualTimerService,
    ended: dict[str, int],
) -> None:
    """Free the slot and run the requests that wait for it."""
    worker.gate.finish(request.request_id, SHORT_WORK_S, succeeded=True)
    ended[worker.info.target_id] += 1
    start_next(worker, timers, ended)


def answer_probes(
    chooser: TargetChooser, workers_by_id: dict[str, Worker]
) -> None:
    """Report the load of the targets that the chooser probes."""
    for target in chooser.targets_to_probe():
        load = workers_by_id[target.target_id].gate.load()
        chooser.record_probe(
            ProbeReply(
                target_id=target.target_id,
                in_flight=load.in_flight,
                queued=load.queued,
                latency_us=round(load.latency_s * US_PER_S),
            )
        )


if __name__ == '__main__':
    for name, ended_count in run_work(2000).items():
        print(f'{name}: {ended_count}')

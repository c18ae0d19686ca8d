"""Request builder and simulated back end for the admission tests."""

import itertools
import random

from greengagepath.admission.fair_queue import QueuedRequest
from greengagepath.admission.gate import AdmissionGate
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.generated.messages import Limits, SizeClass

_numbers = itertools.count(1)


def build_request(
    customer_id=1,
    operation='status',
    deadline_s=1000.0,
    size_class=SizeClass.unknown,
    payload=None,
):
    return QueuedRequest(
        request_id=next(_numbers).to_bytes(16, 'big'),
        customer_id=customer_id,
        operation=operation,
        deadline_s=deadline_s,
        size_class=size_class,
        payload=payload,
    )


class FakeBackEnd:
    """Runs the requests that the gate hands out, in virtual time.

    The payload of a request is its duration in seconds.
    """

    def __init__(self, slots=2, queue_length=64, seed=1):
        self.random = random.Random(seed)
        self.timers = VirtualTimerService()
        self.limits = Limits(slots=slots, queue_length=queue_length)
        self.gate = AdmissionGate(self.timers, self.limits)
        self.started = []
        self.finished = []
        self.refused = []
        self.most_running = 0

    def offer(self, request):
        outcome = self.gate.offer(request)
        if outcome.is_err():
            self.refused.append(outcome.err_value)
        self.pump()
        return outcome

    def pump(self):
        request = self.gate.next_request()
        while request is not None:
            self.started.append(request)
            self.timers.call_after(
                request.payload, lambda done=request: self._finish(done)
            )
            request = self.gate.next_request()
        self.refused += self.gate.take_refused()
        self.most_running = max(self.most_running, self.gate.load().in_flight)

    def offer_at(self, time_s, **fields):
        """Offer a request at a time.

        `time_limit_s` is the time between offer and deadline.
        """
        time_limit_s = fields.pop('time_limit_s', 1000.0)

        def offer():
            deadline_s = self.timers.now() + time_limit_s
            self.offer(build_request(deadline_s=deadline_s, **fields))

        self.timers.call_after(time_s, offer)

    def offer_poisson(self, rate_per_s, end_s, mean_s, start_s=0.0, **fields):
        """Offer a Poisson process of exponentially distributed durations."""
        time_s = start_s
        while time_s < end_s:
            duration_s = self.random.expovariate(1 / mean_s)
            self.offer_at(time_s, payload=duration_s, **fields)
            time_s += self.random.expovariate(rate_per_s)

    def _finish(self, request):
        self.finished.append((self.timers.now(), request))
        self.gate.finish(request.request_id, request.payload, succeeded=True)
        self.pump()

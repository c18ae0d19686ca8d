"""The naive balancer, which is the baseline for ours.

Modulo hash over the live targets, first-in first-out queues, immediate
retry, no flow ownership. It is as small as a fair comparison allows.
"""

from collections import deque
from collections.abc import Callable
from functools import partial

import xxhash

from ..foundation.timers import VirtualTimerService
from .fakes import BackEnd, Fabric, RequestLog, RequestOutcome, RequestResult
from .scenarios import QUEUE_LENGTH
from .workload import RequestSpec

MAX_ATTEMPTS = 3
# Share of the deadline after which the next attempt is sent.
ATTEMPT_TIMEOUT_SHARE = 1 / MAX_ATTEMPTS
_FLOW_ID_BYTES = 8


class NaiveBalancer:
    """Sends every packet to `hash(flow) % len(live targets)`."""

    def __init__(self) -> None:
        self._agents_by_service: dict[int, list[NaiveAgent]] = {}

    def replace_targets(
        self, agents_by_service: dict[int, list['NaiveAgent']]
    ) -> None:
        """Replace the agents of the live targets, in order of their ids."""
        self._agents_by_service = agents_by_service

    def find_agent(self, service: int, flow_id: int) -> 'NaiveAgent':
        """Return the agent that gets a packet of the flow now."""
        agents = self._agents_by_service[service]
        packed = flow_id.to_bytes(_FLOW_ID_BYTES, 'big')
        return agents[xxhash.xxh3_64_intdigest(packed) % len(agents)]


class NaiveAgent:
    """First-in first-out queue in front of a back end."""

    def __init__(self, target_id: str, back_end: BackEnd) -> None:
        self.target_id = target_id
        self.back_end = back_end
        self._queue: deque[tuple[RequestSpec, Reply]] = deque()

    def receive(self, request: RequestSpec, reply: 'Reply') -> None:
        """Run, queue or refuse a request."""
        if self.back_end.is_dead:
            return
        if len(self._queue) >= QUEUE_LENGTH:
            reply(RequestResult.REFUSED)
            return
        self._queue.append((request, reply))
        self._process_queue()

    def _process_queue(self) -> None:
        while self._queue and self.back_end.has_free_slot:
            request, reply = self._queue.popleft()
            self.back_end.run(request, partial(self._finish, reply))

    def _finish(
        self, reply: 'Reply', request: RequestSpec, duration_s: float
    ) -> None:
        reply(RequestResult.ANSWERED)
        self._process_queue()


Reply = Callable[[RequestResult], None]


class NaiveCall:
    """One request of a caller, with its attempts."""

    def __init__(self, caller: 'NaiveCaller', request: RequestSpec) -> None:
        self._caller = caller
        self._request = request
        self._attempts = 0
        self._ended = False

    def attempt(self) -> None:
        """Send the request, and again later, until attempts run out."""
        if self._ended:
            return
        if self._attempts >= MAX_ATTEMPTS:
            return
        self._attempts += 1
        sent_s = self._caller.timers.now()
        self._caller.send(
            self._request, lambda result: self._end(result, sent_s)
        )
        self._caller.timers.call_after(
            self._request.operation.deadline_s * ATTEMPT_TIMEOUT_SHARE,
            self.attempt,
        )

    def time_out(self) -> None:
        """End the call at its deadline."""
        self._end(RequestResult.TIMED_OUT, self._request.at_s)

    def _end(self, result: RequestResult, sent_s: float) -> None:
        if self._ended:
            return
        if result == RequestResult.REFUSED and self._attempts < MAX_ATTEMPTS:
            self.attempt()
            return
        self._ended = True
        now_s = self._caller.timers.now()
        self._caller.request_log.outcomes.append(
            RequestOutcome(self._request, result, now_s, now_s - sent_s)
        )


class NaiveCaller:
    """Sends requests through the fabric and acknowledges answers."""

    def __init__(
        self,
        timers: VirtualTimerService,
        fabric: Fabric,
        request_log: RequestLog,
        delay_s: float,
    ) -> None:
        self.timers = timers
        self.request_log = request_log
        self._fabric = fabric
        self._delay_s = delay_s

    def start(self, request: RequestSpec) -> None:
        """Send a request and limit it by its deadline."""
        call = NaiveCall(self, request)
        self.timers.call_after(request.operation.deadline_s, call.time_out)
        call.attempt()

    def send(self, request: RequestSpec, reply: Reply) -> None:
        """Send one attempt; `reply` is called with its result."""
        self._fabric.spray(partial(self._deliver, request, reply))

    def _deliver(
        self, request: RequestSpec, reply: Reply, balancer: NaiveBalancer
    ) -> None:
        agent = self._route(request, balancer)
        agent.receive(request, partial(self._answer, request, reply))

    def _answer(
        self, request: RequestSpec, reply: Reply, result: RequestResult
    ) -> None:
        self.timers.call_after(
            self._delay_s, partial(self._receive, request, reply, result)
        )

    def _receive(
        self, request: RequestSpec, reply: Reply, result: RequestResult
    ) -> None:
        self._fabric.spray(partial(self._route, request))
        reply(result)

    def _route(
        self, request: RequestSpec, balancer: NaiveBalancer
    ) -> NaiveAgent:
        agent = balancer.find_agent(request.service, request.flow_id)
        self.request_log.record_packet(request.flow_id, agent.target_id)
        return agent

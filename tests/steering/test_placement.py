"""Replays of the loads that placement answers."""

import random

from testtools import TestCase

from greengagepath.steering.held_flows import HeldFlows
from greengagepath.steering.peer_messages import (
    LoadReport,
    PeerKind,
    ReportedState,
)
from greengagepath.steering.placement import (
    Estimate,
    PeerLoad,
    choose_peer,
    should_accept,
)
from greengagepath.steering.service_times import ServiceTime

from .builders import make_address, make_flow, make_message, make_opening

OFFER = make_message(PeerKind.PLACE)


def make_load(
    number: int, load: int, service_s: float, last_seen_s: float = 0.0
) -> PeerLoad:
    peer = PeerLoad(make_address(number))
    report = LoadReport(
        ReportedState.READY, slots=2, load=load, service_s=service_s
    )
    peer.update(report, last_seen_s)
    return peer


class HeldFlowsTest(TestCase):
    def test_refusal_is_no_short_service_time(self):
        # Guards against a full target that looks the fastest because it
        # refuses at once, and so draws all flows.
        held = HeldFlows()
        flow = make_flow()
        entry = held.accept(make_opening(flow), OFFER, 0.0)
        held.record_request(flow, entry, 2, 0.0)
        held.record_refusal(flow, entry, 2, 0.001)
        self.assertFalse(held.service_time.estimate_s(0.1, 0.0))
        self.assertEqual(0, held.load)

    def test_refusal_bounds_the_load_that_is_taken(self):
        # Guards against flows for a queue that is known to be full while
        # another target has room.
        held = HeldFlows()
        for number in range(6):
            flow = make_flow(number)
            entry = held.accept(make_opening(flow), OFFER, 0.0)
            held.record_request(flow, entry, 2, 0.0)
        self.assertFalse(held.is_full(0.0))
        held.record_refusal(flow, entry, 2, 0.001)
        self.assertTrue(held.is_full(0.001))
        for number in range(3):
            held.remove(make_flow(number))
        self.assertFalse(held.is_full(0.002))

    def test_flows_without_a_request_count_for_a_round_trip(self):
        # Replays opening packets of callers that have given up, after an
        # outage: guards against refusals for a load that is not there.
        held = HeldFlows()
        for number in range(50):
            held.accept(make_opening(make_flow(number)), OFFER, 0.0)
        self.assertEqual(50, held.load)
        held.expire_expected(0.2)
        self.assertEqual(0, held.load)

    def test_service_time_is_learned_under_a_queue(self):
        # Replays cold targets after a power loss, where every request
        # waits: guards against an estimate that keeps its first guess of
        # 30 ms and takes what will be late.
        held = HeldFlows()
        now_s = 0.0
        for number in range(40):
            flow = make_flow(number)
            entry = held.accept(make_opening(flow), OFFER, now_s)
            held.record_request(flow, entry, 2, now_s)
            if number >= 8:
                done = make_flow(number - 8)
                held.record_response(done, held.by_flow[done], now_s)
            now_s += 0.03
        estimate_ms = held.service_time.estimate_s(now_s, 0.0) * 1000
        self.assertTrue(50 < estimate_ms < 70, estimate_ms)

    def test_refusals_in_a_row_leave_the_slots_open(self):
        # Guards against a target that drains its queue of refused
        # requests and then stands idle behind a limit of one.
        held = HeldFlows()
        for number in range(6):
            flow = make_flow(number)
            entry = held.accept(make_opening(flow), OFFER, 0.0)
            held.record_request(flow, entry, 2, 0.0)
        for flow, entry in tuple(held.by_flow.items()):
            held.record_refusal(flow, entry, 2, 0.001)
        self.assertFalse(held.is_full(0.001))


class PlacementTest(TestCase):
    def test_fast_target_is_preferred_until_it_would_finish_later(self):
        # Guards against a slow target that stands idle at the crest, and
        # against one that gets work while a fast one is free.
        fast, slow = make_load(1, 1, 0.02), make_load(2, 0, 0.05)
        self.assertIs(fast, choose_peer([fast, slow], 0.0)[1])
        fast = make_load(1, 6, 0.02)
        self.assertIs(slow, choose_peer([fast, slow], 0.0)[1])

    def test_placements_since_the_report_are_added(self):
        # Guards against a burst that one home sends to one target.
        first, second = make_load(1, 0, 0.02), make_load(2, 0, 0.021)
        chosen = []
        for _ in range(8):
            best = choose_peer([first, second], 0.0)[1]
            best.record_placement(0.0)
            chosen.append(best)
        self.assertEqual(4, chosen.count(first))

    def test_silent_target_gets_nothing(self):
        # Guards against new flows for a VM that froze.
        peer = make_load(1, 0, 0.02, last_seen_s=0.0)
        self.assertIsNone(choose_peer([peer], 0.5))

    def test_queue_lengthens_the_expected_time(self):
        # Guards against an estimate that ignores requests in the queue.
        self.assertEqual(20, make_estimate(1).finish_s * 1000)
        self.assertEqual(40, make_estimate(3).finish_s * 1000)

    def test_straggler_moves_the_usual_time_a_little(self):
        # Guards against one long request that empties a fast target.
        service_time = ServiceTime()
        for _ in range(20):
            service_time.add(0.02, now_s=1.0)
        service_time.add(2.0, now_s=1.0)
        self.assertTrue(service_time.estimate_s(1.0, 0.02) * 1000 < 25)

    def test_first_request_that_is_a_straggler_counts_little(self):
        # Guards against a fast target that gets no flow after a restart,
        # because its first request ran many times longer than the rest.
        service_time = ServiceTime()
        service_time.add(0.2, now_s=1.0)
        self.assertTrue(service_time.estimate_s(1.0, 0.03) * 1000 < 90)

    def test_estimate_of_a_target_without_work_returns_to_the_usual(self):
        # Guards against an estimate that keeps all flows away, so that
        # no request ever corrects it.
        service_time = ServiceTime()
        for _ in range(20):
            service_time.add(0.1, now_s=1.0)
        self.assertTrue(service_time.estimate_s(1.1, 0.03) * 1000 > 80)
        self.assertTrue(service_time.estimate_s(6.0, 0.03) * 1000 < 35)
        self.assertTrue(service_time.estimate_s(60.0, 0.03) * 1000 >= 30)

    def test_mixed_speeds_share_a_crest_by_capacity(self):
        # Replays a crest of 1.0 of the capacity over targets that differ
        # 2.7 times in speed; guards against queues at the slow ones.
        crest = PeakLoad((0.018, 0.03, 0.048, 0.018, 0.03))
        for _ in range(2000):
            crest.place_next()
        busy = crest.list_busy_s()
        self.assertTrue(max(busy) * 2 < min(busy) * 3, busy)

    def test_request_that_would_finish_late_is_refused(self):
        # Replays the backlog after an outage: guards against a queue in
        # which every answer comes too late.
        self.assertTrue(should_accept(make_estimate(4), 0.15, 2))
        self.assertFalse(should_accept(make_estimate(6), 0.15, 2))

    def test_what_is_taken_at_twice_the_capacity_is_answered_in_time(self):
        # Replays demand of twice the capacity: guards against queues
        # whose expected end is the goal, so that the way to the caller
        # and every longer request make the answer late. Goodput at the
        # crest is to be 90% of capacity (docs/design.md).
        overload = Overload(slots=2, mean_s=0.025, goal_s=0.15)
        capacity = overload.run(seconds=20.0)
        self.assertGreater(overload.in_time, 0.9 * capacity)

    def test_urgent_request_finds_room_for_longer(self):
        # Guards against orders that are refused beside look-ups.
        self.assertTrue(should_accept(make_estimate(6), 0.15, 1))
        self.assertFalse(should_accept(make_estimate(6), 0.15, 2))

    def test_route_without_a_goal_is_not_refused(self):
        self.assertTrue(should_accept(make_estimate(500), 0, 2))

    def test_free_slot_is_used_however_slow_the_target_seems(self):
        # Guards against a service that refuses everything for ever after
        # stragglers made all its targets look slower than the goal.
        self.assertTrue(should_accept(Estimate(1, 2, 9.0, 0.0), 0.15, 2))

    def test_service_misjudged_as_a_whole_is_tried_again(self):
        # Guards against estimates that hold each other up.
        service_time = ServiceTime()
        for _ in range(20):
            service_time.add(0.5, now_s=1.0)
        self.assertTrue(service_time.estimate_s(12.0, 0.5) * 1000 < 35)


def make_estimate(load: int) -> Estimate:
    return Estimate(load, 2, 0.02, 0.0)


class Overload:
    """Requests of twice the capacity of one target."""

    # Handshake, request and answer cross the way between caller and
    # target, outside of what the agent sees.
    NETWORK_S = 0.012

    def __init__(self, slots: int, mean_s: float, goal_s: float) -> None:
        self.in_time = 0
        self.taken = 0
        self._slots = slots
        self._mean_s = mean_s
        self._goal_s = goal_s
        self._random = random.Random(7)

    def run(self, seconds: float) -> float:
        """Play; return how many requests the target could run."""
        capacity_per_s = self._slots / self._mean_s
        now_s = 0.0
        free_at_s = [0.0 for _ in range(self._slots)]
        ends_s: list[float] = []
        while now_s < seconds:
            now_s += self._random.expovariate(2 * capacity_per_s)
            ends_s = [end_s for end_s in ends_s if end_s > now_s]
            estimate = Estimate(len(ends_s), self._slots, self._mean_s, 0.0)
            if not should_accept(estimate, self._goal_s, 0):
                continue
            slot = free_at_s.index(min(free_at_s))
            work_s = self._random.expovariate(1 / self._mean_s)
            free_at_s[slot] = max(free_at_s[slot], now_s) + work_s
            ends_s.append(free_at_s[slot])
            self.taken += 1
            took_s = free_at_s[slot] - now_s + self.NETWORK_S
            self.in_time += took_s <= self._goal_s
        return capacity_per_s * seconds


class PeakLoad:
    """Open load of 1.0 of the capacity of targets with two slots."""

    def __init__(self, speeds: tuple[float, ...]) -> None:
        self.now_s = 0.0
        self._speeds = speeds
        self._random = random.Random(3)
        self._loads = [
            make_load(number, 0, service_s)
            for number, service_s in enumerate(speeds, 1)
        ]
        self._ends_s: list[list[float]] = [[] for _ in speeds]
        self._placed = [0 for _ in speeds]
        self._rate = sum(2 / service_s for service_s in speeds)

    def place_next(self) -> None:
        """Place the next request with reports as of now."""
        self.now_s += self._random.expovariate(self._rate)
        self._report()
        best = choose_peer(self._loads, self.now_s)[1]
        chosen = self._loads.index(best)
        ends_s = self._ends_s[chosen]
        free_s = sorted(ends_s)[-2] if len(ends_s) > 1 else self.now_s
        work_s = self._random.uniform(0.5, 1.5) * self._speeds[chosen]
        ends_s.append(max(free_s, self.now_s) + work_s)
        self._placed[chosen] += 1

    def list_busy_s(self) -> list[float]:
        """Return the work that each target was given."""
        return [
            count * service_s
            for count, service_s in zip(self._placed, self._speeds, strict=True)
        ]

    def _report(self) -> None:
        for index, load in enumerate(self._loads):
            ends_s = [end for end in self._ends_s[index] if end > self.now_s]
            self._ends_s[index] = ends_s
            report = LoadReport(
                ReportedState.READY,
                slots=2,
                load=len(ends_s),
                service_s=self._speeds[index],
            )
            load.update(report, self.now_s)

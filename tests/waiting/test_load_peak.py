"""Replays of load peaks with the queue and, for comparison, without it."""

import random

from testtools import TestCase

from .builders import PORTS
from .peak import Figures, PeakWorld, report

WORK_S = {1: 0.015, 2: 0.025, 3: 0.04, 4: 0.015}
CAPACITY_PER_S = sum(2 / work_s for work_s in WORK_S.values())


def replay(
    peak: float, seconds: float, *, has_queue: bool, greedy: float = 0.0
) -> PeakWorld:
    """Replay a demand of `peak` times the capacity, with less around it.

    A share `greedy` of the requests comes from caller 1.
    """
    world = PeakWorld(has_queue=has_queue, work_s_by_target=WORK_S)
    callers = random.Random(2)

    def pick() -> int:
        is_greedy = callers.random() < greedy
        return 1 if is_greedy else callers.randrange(2, 22)

    for demand, span_s in ((0.6, 1.0), (peak, seconds), (0.6, 1.5)):
        world.send_load(CAPACITY_PER_S * demand, span_s, pick)
    world.timers.advance(2.5)
    return world


def by_route(world: PeakWorld) -> dict[str, Figures]:
    requests = world.requests
    return {
        route: Figures([sent for sent in requests if sent.route == route])
        for route in PORTS
    }


class LoadPeakTest(TestCase):
    def test_short_peak_is_served_that_is_refused_without_the_queue(self):
        # Replays 0.3 s of four times the capacity: guards against callers
        # that use up their tries before the next slot becomes free.
        without = replay(4, 0.3, has_queue=False)
        queued = replay(4, 0.3, has_queue=True)
        self._print('short peak', without, queued)
        routes, earlier = by_route(queued), by_route(without)
        submitted = routes['submission']
        self.assertGreater(submitted.in_time, 0.97 * submitted.requests)
        refused = earlier['submission'].refused
        self.assertGreater(refused, 0.15 * submitted.requests)
        for route, figures in routes.items():
            self.assertGreaterEqual(figures.in_time, earlier[route].in_time)
            self.assertLess(figures.late, 0.02 * figures.requests)
        self.assertEqual(1, queued.count_most_holders())

    def test_long_peak_costs_nothing_and_spares_the_highest_priority(self):
        # Replays 2 s of twice the capacity: guards against a queue in which
        # all responses are late, and whose refused callers return late.
        without = replay(2, 2.0, has_queue=False)
        queued = replay(2, 2.0, has_queue=True)
        self._print('long peak', without, queued)
        submitted = by_route(queued)['submission']
        earlier = by_route(without)['submission']
        self.assertGreater(submitted.in_time, 1.15 * earlier.in_time)
        figures, whole = Figures(queued.requests), Figures(without.requests)
        self.assertGreater(figures.in_time, 0.96 * whole.in_time)
        self.assertLess(figures.late, 0.05 * figures.in_time)
        self.assertEqual(1, queued.count_most_holders())

    def test_callers_with_few_requests_are_served_beside_a_greedy_one(self):
        # Replays a caller that sends half of the demand and returns after
        # each refusal: guards against repeats that take all slots.
        without = self._share_of_others(has_queue=False)
        queued = self._share_of_others(has_queue=True)
        report(f'others in time: {without:.2f}, with queue {queued:.2f}')
        self.assertGreater(queued, without + 0.1)

    def test_no_difference_while_targets_have_room(self):
        # Guards against openings that wait although they can be placed.
        without = replay(0.6, 1.0, has_queue=False)
        queued = replay(0.6, 1.0, has_queue=True)
        self.assertEqual(0, queued.count('waiting_offered'))
        self.assertEqual(
            [request.finished_s for request in without.requests],
            [request.finished_s for request in queued.requests],
        )

    def _share_of_others(self, *, has_queue: bool) -> float:
        world = replay(2.5, 1.0, has_queue=has_queue, greedy=0.6)
        figures = Figures([sent for sent in world.requests if sent.caller != 1])
        return figures.in_time / figures.requests

    def _print(self, name: str, without: PeakWorld, queued: PeakWorld) -> None:
        for label, world in (('without', without), ('with queue', queued)):
            for route, figures in by_route(world).items():
                report(f'{name}, {label}, {route}: {figures}')

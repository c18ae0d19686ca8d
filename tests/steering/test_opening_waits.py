"""Tests of openings that wait while processes end."""

from testtools import TestCase

from ..waiting.peak import Figures, PeakCaller, PeakWorld, report
from .builders import make_address, make_heartbeat

WORK_S = dict.fromkeys(range(1, 4), 0.03)


class OpeningWaitsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = self._start_burst(has_queue=True)
        self.agent = max(
            self.world.agent_by_address.values(),
            key=lambda agent: len(agent.waits),
        )
        self.number = self.agent.context.identity.address[3]
        self.assertGreater(len(self.agent.waits), 5)

    def test_openings_of_a_killed_home_wait_anew_by_their_copies(self):
        # Guards against callers of a killed home that get no answer to the
        # copies of their opening packets.
        waiting = self._list_waiting()
        self.world.stop_agent(self.number)
        self.world.timers.advance(3.0)
        self.assertEqual([], self._list_unanswered(waiting))
        self.assertGreater(Figures(waiting).in_time, len(waiting) / 2)
        self.assertEqual(1, self.world.count_most_holders(self.number))

    def test_openings_move_when_the_own_target_dies(self):
        # Guards against openings that wait for a target which has gone
        # while others have room soon.
        waiting = self._list_waiting()
        self.world.target_by_address[make_address(self.number)].is_dead = True
        self.agent.handle_departure(f'i-{self.number}')
        self.world.timers.advance(3.0)
        self.assertEqual([], self._list_unanswered(waiting))
        served = Figures(waiting).requests - Figures(waiting).refused
        self.assertGreater(served, len(waiting) / 2)
        self.assertEqual(1, self.world.count_most_holders())

    def test_openings_are_handed_over_by_an_agent_that_leaves(self):
        # Guards against openings that end with the process in which they
        # wait.
        waiting = self._list_waiting()
        self.agent.leave()
        self.assertEqual(0, len(self.agent.waits))
        self.world.timers.advance(0.005)
        self.world.stop_agent(self.number)
        self.world.timers.advance(3.0)
        self.assertEqual([], self._list_unanswered(waiting))
        self.assertGreater(Figures(waiting).in_time, len(waiting) / 3)
        self.assertEqual(1, self.world.count_most_holders())

    def test_openings_are_reset_when_no_target_is_left(self):
        # Guards against callers that wait although no target will serve
        # them.
        agents = list(self.world.agent_by_address.values())
        for number, agent in enumerate(agents, 1):
            agent.handle_heartbeat(
                make_heartbeat(99, target_id=f'i-{number}', is_draining=True)
            )
        self.world.timers.advance(0.05)
        self.assertFalse(any(home.waits for home in agents))

    def test_copies_of_an_opening_do_not_wait_twice(self):
        # Guards against a flow that two targets open because the copy of
        # its opening packet waits at the next home.
        self.world.timers.advance(3.0)
        self.assertGreater(self.world.count('waiting_copies'), 5)
        self.assertEqual(1, self.world.count_most_holders())

    def test_burst_is_served_that_is_refused_without_the_queue(self):
        # Replays 90 requests at once on queues of 10: guards against
        # openings that wait and are not served.
        without = self._start_burst(has_queue=False)
        without.timers.advance(3.0)
        self.world.timers.advance(3.0)
        earlier = Figures(without.requests)
        figures = Figures(self.world.requests)
        report(f'burst without queue: {earlier}; with queue: {figures}')
        self.assertGreater(figures.in_time, 2 * earlier.in_time)
        self.assertEqual(0, figures.late)

    def _start_burst(self, *, has_queue: bool) -> PeakWorld:
        """Start requests until the queues of all targets are full."""
        world = PeakWorld(has_queue=has_queue, work_s_by_target=WORK_S)
        for number in range(90):
            world.start_request('submission', 1 + number % 20)
        world.timers.advance(0.04)
        return world

    def _list_waiting(self) -> list[PeakCaller]:
        """Return the requests whose openings wait at the agent."""
        return [
            request
            for request in self.world.requests
            if self.agent.waits.holds(request.flow)
        ]

    def _list_unanswered(self, requests: list[PeakCaller]) -> list[PeakCaller]:
        return [
            request
            for request in requests
            if request.finished_s is None and not request.is_refused
        ]

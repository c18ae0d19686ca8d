"""Tests of the order and the bounds of waiting openings."""

from testtools import TestCase

from greengagepath.waiting import opening_queue
from greengagepath.waiting.opening_queue import OpeningQueue

from .builders import make_waiting


def pop_callers(queue: OpeningQueue) -> list[int]:
    """Serve all entries; return the last byte of their callers."""
    served = []
    while queue:
        served.append(queue.pop_best(lambda _: True).caller[-1])
    return served


class OrderTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = OpeningQueue(limit=8)

    def test_urgent_opening_is_served_before_earlier_ones(self):
        # Guards against a submission that waits behind downloads.
        self.queue.offer(make_waiting(1, caller=1, priority=2), 0.0)
        self.queue.offer(make_waiting(2, caller=2, priority=0), 0.1)
        self.assertEqual([2, 1], pop_callers(self.queue))

    def test_caller_that_returns_often_does_not_delay_another(self):
        # Guards against repeats that are served before the only opening of
        # a caller because they came first.
        for number in range(5):
            self.queue.offer(make_waiting(number, caller=1), 0.0)
        self.queue.offer(make_waiting(1, caller=2), 0.1)
        self.assertEqual([1, 2, 1, 1, 1, 1], pop_callers(self.queue))

    def test_least_time_left_is_served_first(self):
        # Guards against an opening that is late because one with more time
        # came before it.
        self.queue.offer(make_waiting(1, caller=1, limit_s=2.0), 0.0)
        self.queue.offer(make_waiting(1, caller=2, limit_s=1.0), 0.1)
        self.assertEqual([2, 1], pop_callers(self.queue))

    def test_position_of_a_new_opening_counts_those_served_before_it(self):
        # Guards against an expected wait that includes the repeats of
        # another caller, with which a caller is refused needlessly.
        for number in range(5):
            self.queue.offer(make_waiting(number, caller=1), 0.0)
        new = make_waiting(1, caller=2, limit_s=2.0)
        self.assertEqual(1, self.queue.count_before(new))
        self.assertEqual(5, len(self.queue))

    def test_late_openings_are_taken_and_give_their_place_to_the_next(self):
        # Guards against an opening that waits although its request would
        # end too late, and against one that is refused because of it.
        for number, limit_s in enumerate((0.35, 0.45, 0.5), 1):
            entry = make_waiting(1, caller=number, limit_s=limit_s)
            self.queue.offer(entry, 0.0)
        due = self.queue.take_due(0.1, 0.3, 0.08)
        self.assertEqual([1], [entry.caller[-1] for entry in due])
        self.assertEqual([2, 3], pop_callers(self.queue))


class BoundsTest(TestCase):
    def test_newest_of_the_lowest_priority_and_fullest_caller_is_evicted(self):
        # Guards against a full queue of repeats in which a submission, or
        # the only opening of a caller, finds no place.
        queue = OpeningQueue(limit=4)
        for number, caller in enumerate((1, 2, 2, 3)):
            queue.offer(make_waiting(number, caller=caller, priority=2), 0.0)
        urgent = make_waiting(9, caller=2, priority=0)
        self.assertEqual([make_waiting(2, caller=2).flow], evict(queue, urgent))
        late = make_waiting(10, caller=4, priority=2)
        self.assertEqual([late.flow], evict(queue, late))
        self.assertIn(urgent.flow, queue.by_flow)

    def test_tags_of_callers_are_bounded(self):
        # Guards against memory that grows with the callers ever seen.
        queue = OpeningQueue()
        self.patch(opening_queue, 'MAX_CALLERS', 3)
        for caller in range(20):
            queue.offer(make_waiting(1, caller=caller), 0.0)
            queue.pop_best(lambda _: True)
        self.assertLessEqual(len(queue.tag_by_caller), 3)


def evict(queue: OpeningQueue, entry) -> list[bytes]:
    return [evicted.flow for evicted in queue.offer(entry, 1.0)]

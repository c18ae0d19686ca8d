from testtools import TestCase

from greengagepath.timers import VirtualTimerService


class VirtualTimersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService()
        self.calls = []

    def test_callbacks_run_in_order_of_due_time(self):
        # Guards against callbacks that see a clock past their due time.
        for delay_s in (3, 1, 2):
            self.timers.call_after(
                delay_s, lambda: self.calls.append(self.timers.now())
            )
        self.timers.advance(2.5)
        self.assertEqual([1, 2], self.calls)

    def test_cancelled_periodic_timer_stops(self):
        # Guards against a subscription that outlives its subscriber.
        timer = self.timers.subscribe(1, lambda: self.calls.append(1))
        self.timers.advance(2)
        timer.cancel()
        self.timers.advance(5)
        self.assertEqual([1, 1], self.calls)

    def test_period_must_be_positive(self):
        # Guards against a timer that spins without letting time pass.
        self.assertRaises(ValueError, self.timers.subscribe, 0, list)

from testtools import TestCase

from greengagepath.foundation.timers import VirtualTimerService


class VirtualTimersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimerService()
        self.calls = []

    def test_callbacks_run_in_order_of_due_time(self):
        # Guards against callbacks that run in the order of subscription or
        # read a clock later than their due time.
        for delay_s in (3, 1, 2):
            self.timers.call_after(
                delay_s, lambda: self.calls.append(self.timers.now())
            )
        self.timers.advance(2.5)
        self.assertEqual([1, 2], self.calls)

    def test_cancelled_periodic_timer_stops(self):
        # Guards against calls to a subscriber that has stopped.
        timer = self.timers.subscribe(1, lambda: self.calls.append(1))
        self.timers.advance(2)
        timer.cancel()
        self.timers.advance(5)
        self.assertEqual([1, 1], self.calls)

    def test_period_must_be_positive(self):
        # Guards against a timer that is always due, which never lets
        # `run_due` return.
        self.assertRaises(ValueError, self.timers.subscribe, 0, list)

    def test_pause_is_reported_once_with_its_length(self):
        # Guards against one pause that is reported for each late timer.
        # Without a correct report, subscribers take their own pause for
        # silence of their peers.
        pauses = []
        self.timers.subscribe_pauses(pauses.append)
        for _ in range(3):
            self.timers.subscribe(0.02, lambda: None)
        self.timers.advance(1.0)
        self.timers.pause(5.0)
        self.timers.advance(1.0)
        self.assertEqual(1, len(pauses))
        self.assertAlmostEqual(5.0, pauses[0], delta=0.1)

    def test_check_pause_reports_before_the_first_timer_runs(self):
        # Guards against packets queued during a pause that are read from
        # the socket before subscribers know of the pause.
        pauses = []
        self.timers.subscribe_pauses(pauses.append)
        self.timers.subscribe(0.02, lambda: None)
        self.timers.pause(2.0)
        self.timers.check_pause()
        self.assertEqual(1, len(pauses))
        self.timers.advance(0.1)
        self.assertEqual(1, len(pauses))

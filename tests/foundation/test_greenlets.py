"""Greenlets that run again after an exception."""

import gevent
from testtools import TestCase

from greengagepath.foundation.greenlets import spawn_supervised


class SupervisedGreenletTest(TestCase):
    def test_runs_again_after_an_exception(self):
        # Guards against a process that goes on without its timers or
        # sockets, because one callback has raised.
        runs = []

        def run():
            runs.append(True)
            if len(runs) < 3:
                raise OverflowError('port must be 0-65535')

        with self.assertLogs('greengagepath', 'CRITICAL') as logs:
            spawn_supervised('test', run).join(2)
            records = logs.records
        self.assertEqual(3, len(runs))
        self.assertEqual(
            ['greenlet.failed', 'greenlet.failed'],
            [record.getMessage() for record in records],
        )
        fields = records[0].fields
        self.assertEqual('test', fields['greenlet'])
        self.assertIn('port must be', fields['cause'])
        self.assertIn('test_greenlets.py:', fields['raised_at'])

    def test_backs_off(self):
        # Guards against a function that fails at once and takes all of
        # the processor.
        runs = []

        def run():
            runs.append(True)
            raise ValueError

        greenlet = spawn_supervised('test', run)
        gevent.sleep(0.5)
        greenlet.kill()
        self.assertLess(len(runs), 8)

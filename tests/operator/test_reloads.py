import os
import signal
import tempfile
from pathlib import Path

import gevent
from testtools import TestCase

from greengagepath.daemon.reloads import CHECK_S, Reloads
from greengagepath.foundation.metrics import Metrics
from greengagepath.foundation.settings import load_settings
from greengagepath.foundation.timers import VirtualTimerService
from greengagepath.protocol.keys import KeyReloader, load_keys

from .builders import OTHER_SECRET, age_file, write_settings


class ReloadsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = write_settings(self.folder)
        age_file(self.folder / 'tag.key')
        settings = load_settings(path).unwrap()
        self.ring = load_keys(settings).unwrap()
        self.old_tag = self.ring.sign(b'datagram')
        self.metrics = Metrics()
        self.timers = VirtualTimerService()
        reloader = KeyReloader(path, settings, self.ring)
        reloads = Reloads(self.metrics, reloader)
        reloads.start(self.timers)
        self.addCleanup(reloads.stop)

    def test_changed_file_is_in_force_after_a_second(self):
        # Guards against a key rotation that needs a restart, and against a
        # file that is reloaded again although it has not changed since.
        (self.folder / 'tag.key').write_text(OTHER_SECRET)
        self.timers.advance(CHECK_S)
        self.assertFalse(self.ring.verify(1, self.old_tag, b'datagram'))
        self.timers.advance(10 * CHECK_S)
        self.assertIn(
            'key_reloads_total{outcome="reloaded"} 1',
            self.metrics.render().decode(),
        )

    def test_hangup_reloads_and_does_not_end_the_process(self):
        # Guards against a daemon that is ended by SIGHUP, and against a
        # broken key file that replaces the keys in force.
        (self.folder / 'tag.key').write_text('broken')
        os.kill(os.getpid(), signal.SIGHUP)
        gevent.sleep(0.1)
        self.assertIn(
            'key_reloads_total{outcome="refused"} 1',
            self.metrics.render().decode(),
        )
        self.assertTrue(self.ring.verify(1, self.old_tag, b'datagram'))

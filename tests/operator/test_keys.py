import io
import json
import tempfile
from pathlib import Path

from testtools import TestCase

from greengagepath.foundation.logs import configure_logs
from greengagepath.foundation.settings import load_settings
from greengagepath.generated.settings import LogSettings
from greengagepath.protocol.keys import KeyReloader, load_keys

from .builders import (
    OTHER_SECRET,
    SETTINGS,
    age_file,
    reload_changed,
    write_settings,
)

SECOND_KEY = '[[keys]]\nkey_id = 2\nsecret_file = "second.key"\n'


class KeysTest(TestCase):
    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = write_settings(self.folder)
        self.settings = load_settings(self.path).unwrap()
        self.log = io.StringIO()
        configure_logs(LogSettings(), 'balancer', 'b1', self.log)

    def events(self):
        return [json.loads(line) for line in self.log.getvalue().splitlines()]

    def test_rotation_keeps_accepting_the_old_key(self):
        # Guards against datagrams dropped while processes rotate their
        # keys one after another.
        ring = load_keys(self.settings).unwrap()
        reloader = KeyReloader(self.path, self.settings, ring)
        old_tag = ring.sign(b'datagram')
        (self.folder / 'second.key').write_text(OTHER_SECRET)
        head, first_key = SETTINGS.split('[[keys]]')
        self.path.write_text(f'{head}{SECOND_KEY}[[keys]]{first_key}')
        self.assertTrue(reload_changed(reloader))
        self.assertEqual(2, ring.signing_key_id)
        self.assertTrue(ring.verify(1, old_tag, b'datagram'))
        self.assertEqual('keys.reloaded', self.events()[-1]['event'])

    def test_bad_reload_keeps_the_keys_and_is_logged_once(self):
        # Guards against a daemon left without keys by a half-written file.
        ring = load_keys(self.settings).unwrap()
        reloader = KeyReloader(self.path, self.settings, ring)
        tag = ring.sign(b'datagram')
        (self.folder / 'tag.key').write_text('ab' * 31)
        self.assertFalse(reload_changed(reloader))
        self.assertFalse(reload_changed(reloader))
        self.assertTrue(ring.verify(1, tag, b'datagram'))
        event = self.events()[0]
        self.assertEqual(1, len(self.events()))
        self.assertEqual('keys.refused', event['event'])
        self.assertNotIn('abab', event['problem'])

    def test_changed_key_file_is_detected(self):
        # Guards against a new secret that takes effect only after a
        # restart.
        age_file(self.folder / 'tag.key')
        ring = load_keys(self.settings).unwrap()
        reloader = KeyReloader(self.path, self.settings, ring)
        old_tag = ring.sign(b'datagram')
        (self.folder / 'tag.key').write_text(OTHER_SECRET)
        self.assertTrue(reload_changed(reloader))
        self.assertFalse(ring.verify(1, old_tag, b'datagram'))

    def test_expired_signing_key_is_refused(self):
        # Guards against a process whose datagrams no peer accepts,
        # because the key that signs them has expired.
        text = f'{SETTINGS}not_after = "2020-01-01T00:00:00Z"\n'
        settings = load_settings(write_settings(self.folder, text)).unwrap()
        problems = load_keys(settings).unwrap_err()
        self.assertEqual(
            ['keys[0].not_after'], [problem.key for problem in problems]
        )

    def test_all_unreadable_keys_are_reported(self):
        # Guards against a check that stops at the first bad key file, so
        # that each restart reports only one.
        (self.folder / 'tag.key').unlink()
        self.path.write_text(f'{SETTINGS}{SECOND_KEY}')
        settings = load_settings(self.path).unwrap()
        problems = load_keys(settings).unwrap_err()
        self.assertEqual(
            ['keys[0].secret_file', 'keys[1].secret_file'],
            [problem.key for problem in problems],
        )

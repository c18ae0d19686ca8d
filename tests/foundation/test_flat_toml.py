"""Decoding of flat TOML without the library for the whole of it."""

import subprocess
import sys
import tomllib

from testtools import TestCase

from greengagepath.foundation.flat_toml import decode_toml

PLAIN = """# Filled in by the platform.
member_id = "front-1"
zone = "Zürich \u2603"

seeds = ""
metrics_port = 9464
heartbeat_ms = 1200.5
limit = 1e3
offset = -3
first_start = true
is_last = false
"""
OTHERS = (
    'a = [1, 2]',
    'a = {b = 1}',
    r'a = "tab\tin"',
    "a = 'literal'",
    'a = 0x10',
    'a = 1_000',
    'a = nan',
    'a = 2026-01-01',
    '[table]\na = 1',
    'a.b = 1',
    '"quoted name" = 1',
    'a = 1 # comment',
    '  a = 1',
    'a = 1\r\nb = 2',
    'a=1',
    'a = """\nmore lines"""',
)
MALFORMED = (
    'a = null',
    'a = NaN',
    'a = Infinity',
    r'a = "x\/y"',
    'a = "\x7f"',
    'a = "\t\x00"',
    'a = 01',
    'a = 1\na = 2',
    'a = ',
    'a',
    'a = "open',
    '# \x00',
    'ä = 1',
    'a = 1 2',
    'a = -',
)


class FlatTomlTest(TestCase):
    def test_values_are_those_of_the_library(self):
        # Guards against settings that mean something else to the short
        # decoder than TOML says.
        for text in (PLAIN, '', *OTHERS):
            expected = repr(tomllib.loads(text))
            self.assertEqual(expected, repr(decode_toml(text.encode())), text)

    def test_malformed_text_is_refused_as_by_the_library(self):
        # Guards against a process that starts with settings which are no
        # TOML, such as values of JSON.
        for text in MALFORMED:
            self.assertRaises(ValueError, tomllib.loads, text)
            self.assertRaises(ValueError, decode_toml, text.encode())
        self.assertRaises(ValueError, decode_toml, b'a = "\xff"')

    def test_plain_settings_do_not_load_the_library(self):
        # Guards against a slower start of every process.
        script = (
            'import sys\n'
            'from greengagepath.foundation.flat_toml import decode_toml\n'
            f'decode_toml({PLAIN.encode()!r})\n'
            'print("tomllib" in sys.modules)\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('False\n', done.stdout)

import time

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.protocol.envelopes import (
    ENVELOPE_BYTES,
    TAGGED_BYTES,
    Envelope,
    open_envelope,
    seal_envelope,
)
from greengagepath.protocol.packets import DropReason
from greengagepath.protocol.tags import Key, KeyRing

KEYS = KeyRing([Key(1, bytes(32))], time.time)
ENVELOPE = Envelope(7, 9, ('192.0.2.1', 4000), ('192.0.2.7', 80))


class EnvelopeTest(TestCase):
    @given(
        st.binary(min_size=60, max_size=1260),
        st.integers(0, ENVELOPE_BYTES + TAGGED_BYTES - 1),
        st.integers(1, 255),
    )
    def test_changed_byte_in_the_tagged_part_is_refused(
        self, datagram, position, change
    ):
        # Guards against a forged address, hop count, kind or token.
        sealed = bytearray(seal_envelope(KEYS, ENVELOPE, datagram))
        sealed[min(position, len(sealed) - 1)] ^= change
        reason = open_envelope(KEYS, bytes(sealed)).unwrap_err()
        self.assertIn(reason, {DropReason.BAD_TAG, DropReason.UNKNOWN_VERSION})

    @given(st.binary(max_size=1400))
    def test_any_input_is_refused_without_an_exception(self, sealed):
        # Guards against an exception that ends the process.
        self.assertTrue(open_envelope(KEYS, sealed).is_err())

    @given(st.binary(min_size=60, max_size=1260))
    def test_sealed_datagram_comes_out_unchanged(self, datagram):
        # Guards against a datagram that is cut to its tagged part.
        sealed = seal_envelope(KEYS, ENVELOPE, datagram)
        self.assertEqual(
            (ENVELOPE, datagram), open_envelope(KEYS, sealed).unwrap()
        )

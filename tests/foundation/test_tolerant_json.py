"""JSON with values that strict decoders refuse."""

import json

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from greengagepath.foundation.tolerant_json import MAX_DEPTH, decode_json

DEEP = 20000


class TolerantJsonTest(TestCase):
    def test_deep_value_is_cut(self):
        # Guards against a list that is lost for one nested entry.
        for opening, closing in (('[', ']'), ('{"]":', '}')):
            text = f'[1,{opening * DEEP}1{closing * DEEP},"[{{",2]'
            decoded = decode_json(text.encode()).unwrap()
            self.assertEqual([1, '[{', 2], [decoded[0], decoded[2], decoded[3]])

    def test_long_integer_is_infinite(self):
        # Guards against a list that is lost for one long integer.
        text = '[1,{}]'.format('9' * DEEP)
        self.assertEqual([1, float('inf')], decode_json(text.encode()).unwrap())

    def test_bytes_that_are_not_utf8_are_replaced(self):
        # Guards against a list that is lost for one byte.
        self.assertEqual(['\ufffd', 2], decode_json(b'["\xff",2]').unwrap())

    def test_truncated_text_is_an_error(self):
        # Guards against an exception or a guess for a body that was cut.
        for text in ('[' * DEEP, '{"a":' * DEEP, '[1,"', '', '[1', '"\\'):
            self.assertTrue(decode_json(text.encode()).is_err())

    def test_depth_of_the_limit_is_kept(self):
        # Guards against a cut of values that nobody has to cut.
        inner = MAX_DEPTH - 1
        nested = '{}{}'.format('[' * inner, ']' * inner)
        # The long integer makes the strict pass fail.
        text = '[{},{}]'.format(nested, '9' * DEEP)
        decoded = decode_json(text.encode()).unwrap()
        self.assertEqual(nested, json.dumps(decoded[0]))

    @given(st.binary(max_size=300))
    def test_any_bytes_give_a_result(self, encoded):
        # Guards against an exception for what another writer sends.
        decode_json(encoded)

    @given(st.text(alphabet=r'[]{}":,\19a ', max_size=60))
    def test_any_text_gives_a_result(self, text):
        # Guards against an exception in the second, tolerant pass.
        decode_json(text.encode())

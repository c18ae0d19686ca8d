"""Odd values that another writer may leave in an entry, as JSON text."""

from hypothesis import strategies as st

DEPTH = 20000
# Python refuses to convert integers of more than 4,300 digits.
TOO_MANY_DIGITS = 5000

DEEP_LIST = '[' * DEPTH + ']' * DEPTH
DEEP_OBJECT = '{}1{}'.format('{"a":' * DEPTH, '}' * DEPTH)
LONG_INTEGER = '9' * TOO_MANY_DIGITS
ODD_JSON = (
    DEEP_LIST,
    DEEP_OBJECT,
    LONG_INTEGER,
    '9' * 400,
    '-1',
    '70000',
    '1e999',
    'Infinity',
    'NaN',
    'null',
    'true',
    '[]',
    '["agent"]',
    '{"role":{"role":"agent"}}',
    r'"\ud800"',
    r'"10.1.0.1\u0000"',
    '"10.1.0.1:70000"',
    '"%s"' % ('x' * 100000),
    '{"role":1,"role":["agent"],"role":{}}',
)


def odd_values() -> st.SearchStrategy:
    """Generate decoded JSON with numbers and texts out of any range."""
    leaves = (
        st.none()
        | st.booleans()
        | st.integers(-(10**400), 10**400)
        | st.floats()
        | st.text(max_size=20)
        | st.sampled_from(('10.1.0.1\0', '/70000/', '/-1/', '/9999999/', ''))
    )
    return st.recursive(
        leaves,
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=5), inner, max_size=4)
        ),
        max_leaves=12,
    )

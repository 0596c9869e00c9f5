"""A property test that always fails, run by the tests of the fuzzer."""

from hypothesis import given, settings
from hypothesis import strategies as st


@settings(derandomize=True, database=None)
@given(st.integers())
def test_is_small(number):
    assert number < 1000

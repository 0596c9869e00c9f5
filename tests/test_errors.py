"""Tests of the table of error responses."""

from plantainstack.errors import ERROR_TABLE, ErrorKind


def test_every_error_kind_has_a_response():
    assert set(ERROR_TABLE) == set(ErrorKind)

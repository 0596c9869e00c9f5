"""Tests of the table from error kind to answer."""

from plantainstack.errors import ERROR_TABLE, ErrorKind


def test_every_kind_has_an_answer():
    assert set(ERROR_TABLE) == set(ErrorKind)

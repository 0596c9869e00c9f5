"""Tests of what the HTTP clients of platform services share."""

import msgspec
import pytest

from plantainstack.adapters.http import Answer
from plantainstack.adapters.service_client import decode
from plantainstack.errors import Outcome


class Sized(msgspec.Struct):
    size: int


@pytest.mark.parametrize("body", [b'{"more": ' + b"[" * 100_000, b"\xff", b"[]"])
def test_answer_that_cannot_be_decoded_is_a_failure(body):
    """Guards against an exception for an answer that may belong to a change."""
    failure = decode(Answer(200, {}, body), Sized).unwrap_err()
    assert failure.outcome is Outcome.MAY_HAVE_RUN

"""Tests of the rule by which answers belong to requests."""

import itertools

import pytest

from plantainstack.policy.answer_binding import (
    AnswerRule,
    may_keep_connection,
    mismatch,
)

FLAGS = (False, True)


@pytest.mark.parametrize(
    ("alone", "refused", "optional"), itertools.product(*[FLAGS] * 3)
)
def test_answer_with_another_id_belongs_to_no_request(alone, refused, optional):
    """Guards against an exception by which another request's answer is used."""
    rule = AnswerRule("r1", optional)
    assert mismatch(rule, ["r0"], alone, refused)
    assert mismatch(rule, ["r1", "r0"], alone, refused)
    assert mismatch(rule, [""], alone, refused)
    assert mismatch(rule, ["r1"], alone, refused) is None


@pytest.mark.parametrize(
    ("rule", "refused", "expected"),
    [
        (AnswerRule("r1"), False, False),
        (AnswerRule("r1"), True, True),
        (AnswerRule("r1", id_optional=True), False, True),
        (AnswerRule(""), False, True),
    ],
)
def test_answer_without_id_is_bound_by_its_place_only(rule, refused, expected):
    """Guards against a nameless late answer on a connection that was kept."""
    assert (mismatch(rule, [], True, refused) is None) is expected
    assert mismatch(rule, [], False, refused)


def test_connection_without_ids_carries_one_request():
    """Guards against nameless answers that are one request late."""
    assert not may_keep_connection([])
    assert may_keep_connection(["r1"])

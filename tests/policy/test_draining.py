"""Tests of the requests that an instance takes during a planned stop."""

import pytest

from plantainstack.policy.draining import StopTimes, may_take

TIMES = StopTimes(noticed_at=102.6, answers_until=107.0)


@pytest.mark.parametrize(
    ("now", "answer_by", "taken"),
    [
        (100.1, 130.0, True),
        (102.5, 130.0, True),
        (102.7, 107.1, False),
        (102.7, 106.9, True),
        (106.9, 106.95, True),
        (106.3, 111.3, False),
        (107.5, 107.6, False),
    ],
)
def test_late_request_is_taken_only_if_it_is_answered_before_the_end(
    now, answer_by, taken
):
    """Guards against a request that is passed on and cut by the end of the process."""
    assert may_take(TIMES, answer_by, now) is taken


def test_no_request_is_taken_after_the_end_of_a_short_grace_period():
    """Guards against a grace period that ends before clients know of the stop."""
    short = StopTimes(noticed_at=102.6, answers_until=101.0)
    assert may_take(short, 130.0, 100.5)
    assert not may_take(short, 130.0, 101.5)

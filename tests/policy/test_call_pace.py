"""Tests of the rate and back-off of calls to a limited interface."""

import random

from plantainstack.policy import call_pace
from plantainstack.policy.call_pace import CallPace


def test_calls_stay_below_the_share_of_the_rate():
    """Guards against calls that the platform rejects for their rate."""
    pace = CallPace(25.0, random.Random(1))
    now, calls = 100.0, 0
    while (now := pace.allowed_at(now)) < 101.0:
        pace.record_start(now)
        calls += 1
    assert 15 <= calls <= 21


def test_back_off_grows_to_a_limit_and_ends_with_an_answer():
    """Guards against calls at full rate during an outage, and silence after it."""
    pace = CallPace(25.0, random.Random(1))
    now, waits = 100.0, []
    for _ in range(8):
        pace.record_failure(now)
        waits.append(pace.allowed_at(now) - now)
        now += waits[-1]
    assert waits[0] <= call_pace.BACKOFF_MIN_S < waits[3]
    assert max(waits) <= call_pace.BACKOFF_MAX_S
    pace.record_success()
    pace.record_failure(now)
    assert pace.allowed_at(now) - now <= call_pace.BACKOFF_MIN_S

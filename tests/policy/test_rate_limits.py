"""Tests of the limits that endpoints name on their request rate."""

from plantainstack.policy.rate_limits import RateLimits
from tests.policy.serving_samples import endpoint

A = endpoint("a")


def limited(limit=2.0, at=1.0):
    limits = RateLimits()
    assert limits.record(A, limit, at, at)
    return limits


def test_limit_holds_until_an_answer_without_it():
    """Guards against a limit that is dropped too early or never."""
    limits = limited()
    assert not limits.record(A, 2.0, 1.5, 1.6)
    assert limits.limit(A) == 2.0
    assert limits.record(A, None, 2.0, 2.1)
    assert limits.limit(A) is None


def test_limit_is_not_ended_by_an_answer_that_was_overtaken():
    """Guards against an answer from before the limit that arrives after it."""
    limits = limited(at=1.0)
    assert not limits.record(A, None, 0.9, 1.1)
    assert limits.limit(A) == 2.0


def test_limit_belongs_to_one_run_of_an_endpoint():
    """Guards against a restarted endpoint that is used as if it were still limited."""
    limits = limited()
    assert limits.limit(A._replace(started_ms=2)) is None
    limits.forget([A])
    assert limits.count() == 0

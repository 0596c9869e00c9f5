"""Tests of the limits that endpoints name on their request rate."""

import math
import random

import pytest

from plantainstack.interfaces import Priority
from plantainstack.policy.rate_limits import (
    AHEAD_MAX_S,
    PERMIT_LIFETIME_S,
    RATE_MAX,
    RECHECK_S,
    RateBucket,
    RateLimits,
    grant_permits,
    permits_per_fetch,
)
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


def permit_taken(limits, priority=Priority.CALLER, now=1.0):
    return limits.take(A, priority, now)


def test_endpoint_without_a_limit_needs_no_permit():
    limits = RateLimits()
    assert all(permit_taken(limits) for _ in range(100))


def test_permits_are_used_once_and_expire():
    """Guards against permits that are collected and used at once."""
    limits = limited()
    assert not permit_taken(limits)
    limits.add_permits(A, Priority.CALLER, 2, 1.0)
    assert not permit_taken(limits, Priority.ROLLOUT)
    assert permit_taken(limits)
    assert not permit_taken(limits, now=1.0 + PERMIT_LIFETIME_S)


def test_limit_is_checked_again_once_per_interval():
    """Guards against an endpoint that is left out after its limit has ended."""
    limits = limited()
    assert not limits.recheck_due(A, 2.0)
    assert limits.recheck_due(A, 1.0 + RECHECK_S)
    assert not limits.recheck_due(A, 1.1 + RECHECK_S)


def simulate(limit, demands, seconds=30.0):
    """Return the times of requests by priority; all instances ask each 10 ms.

    `demands` has the priority of each instance.
    """
    rng = random.Random(1)
    bucket = RateBucket()
    sent = {priority: [] for priority in Priority}
    unused = [[] for _ in demands]
    for step in range(int(seconds * 100)):
        now = step / 100
        for number in rng.sample(range(len(demands)), len(demands)):
            priority = demands[number]
            unused[number] = [end for end in unused[number] if end > now]
            if not unused[number]:
                wanted = permits_per_fetch(limit, priority)
                granted = grant_permits(bucket, limit, priority, wanted, now)
                bucket = granted.bucket
                unused[number] = [now + PERMIT_LIFETIME_S] * granted.count
            # Instances without a request keep their permit until it is about to expire.
            if unused[number] and rng.random() < 0.1:
                unused[number].pop()
                sent[priority].append(now)
    return sent


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 4.2, 30.0])
@pytest.mark.parametrize("instances", [1, 9, 81])
def test_all_instances_together_keep_to_the_limit(limit, instances):
    """Guards against a limit that each instance takes for itself alone."""
    demands = [list(Priority)[n % 2] for n in range(instances)]
    sent = simulate(limit, demands)
    times = sorted(sent[Priority.CALLER] + sent[Priority.ROLLOUT])
    for start in times:
        window = [at for at in times if start <= at < start + 4.0]
        assert len(window) <= 1.5 * limit * 4.0 + 5


def test_permits_reach_the_limit_under_load():
    """Guards against requests that are refused although the endpoint takes them."""
    sent = simulate(5.0, [Priority.CALLER] * 9)
    assert len(sent[Priority.CALLER]) >= 0.9 * 5.0 * 30.0


def test_live_callers_go_before_items_and_reward_calls():
    """Guards against callers without a permit since a batch has taken them all."""
    demands = [Priority.ROLLOUT] * 8 + [Priority.CALLER] * 3
    sent = simulate(2.0, demands)
    assert len(sent[Priority.CALLER]) >= 0.7 * 2.0 * 30.0


@pytest.mark.parametrize("priority", list(Priority))
@pytest.mark.parametrize("limit", [1e6, 1e300, 1.7e308])
def test_limit_beyond_any_rate_is_bounded(limit, priority):
    """Guards against an overflow, and against permits that fill the memory."""
    bucket = RateBucket(1003.0, 0.0)
    wanted = permits_per_fetch(limit, priority)
    granted = grant_permits(bucket, limit, priority, wanted, 1000.0)
    assert 0 <= granted.count <= wanted <= RATE_MAX
    assert 0.0 <= granted.wait_s < 60.0
    assert limited(limit).limit(A) == RATE_MAX


@pytest.mark.parametrize("used_until", [math.nan, math.inf, 1e300, 1e9])
@pytest.mark.parametrize("limit", [0.0, 2.0, 1e308])
def test_bucket_with_an_impossible_time_is_used_up_for_a_while_only(limit, used_until):
    """Guards against a stored bucket that blocks its endpoint, or raises."""
    now = 1000.0
    bucket = RateBucket(used_until, 0.0)
    granted = grant_permits(bucket, limit, Priority.CALLER, 1, now)
    assert granted.count == 0
    later = now + granted.wait_s
    assert later < now + AHEAD_MAX_S
    again = grant_permits(granted.bucket, limit, Priority.CALLER, 1, later + 0.001)
    assert again.count == 1


def test_limit_that_has_risen_does_not_make_a_bucket_impossible():
    """Guards against permits that are forgotten when a limit changes."""
    now = 1000.0
    bucket = RateBucket()
    while (granted := grant_permits(bucket, 0.0, Priority.CALLER, 1, now)).count:
        bucket = granted.bucket
    assert grant_permits(bucket, 1000.0, Priority.CALLER, 1, now).bucket == bucket

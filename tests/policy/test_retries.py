"""Tests of the retry policies."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainstack.policy.retries import (
    WINDOW_S,
    BudgetedRetries,
    FixedRetries,
    RetryPolicy,
)
from plantainstack.settings.fleet import FleetConfig

DEADLINE = 1e9
RATIO = FleetConfig.builtin().defaults().retry_ratio


def make_policy(seed=1):
    return BudgetedRetries(FleetConfig.builtin(), seed)


def worst_window(requests, attempts):
    """Return the most attempts per request in a window that ends at a retry."""
    worst = 0.0
    for end in attempts:
        begun = sum(1 for time in requests if end - WINDOW_S < time <= end)
        retried = sum(1 for time in attempts if end - WINDOW_S < time <= end)
        worst = max(worst, 1 + retried / begun if begun else float("inf"))
    return worst


def fleet_worst_window(policies, rate, failing_from, failing_until):
    """Return the worst window of a fleet whose attempts all fail for a while."""
    rng = random.Random(7)
    requests, retries = [], []
    for number in range(int(rate * 40)):
        now = number / rate
        policy = rng.choice(policies)
        policy.request_started("llm", now)
        requests.append(now)
        if failing_from <= now < failing_until:
            attempts, at = 1, now
            while (at := policy.retry_at("llm", attempts, DEADLINE, at)) is not None:
                retries.append(at)
                attempts += 1
    return worst_window(requests, retries)


def test_budget_holds_over_the_fleet():
    """Guards against retries that amplify the load of a failing service."""
    large = [make_policy(seed) for seed in range(100)]
    assert fleet_worst_window(large, 100, 12, 20) <= 1.2
    small = [make_policy(seed) for seed in range(10)]
    assert fleet_worst_window(small, 10, 12, 20) <= 1.2
    assert fleet_worst_window([FixedRetries()], 10, 12, 20) > 1.2


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.booleans(), st.floats(0, 2)), max_size=150))
def test_instance_keeps_to_its_budget_in_every_window(events):
    """Guards against a burst of retries from an accumulated budget."""
    policy = make_policy()
    now, requests, retries = 0.0, [], []
    for is_request, gap in events:
        now += gap
        if is_request:
            policy.request_started("llm", now)
            requests.append(now)
        elif (at := policy.retry_at("llm", 1, DEADLINE, now)) is not None:
            retries.append(at)
    for end in retries:
        begun = sum(1 for time in requests if end - WINDOW_S < time <= end)
        retried = sum(1 for time in retries if end - WINDOW_S < time <= end)
        assert retried <= RATIO * begun + 1


def retries_are_spread(policy: RetryPolicy):
    """Return whether the retries after many failures are spread over time."""
    for number in range(3000):
        policy.request_started("llm", number / 300)
    times = [policy.retry_at("llm", 1, DEADLINE, 10.0) for _ in range(1000)]
    slots = Counter(int(time / 0.1) for time in times if time is not None)
    return max(slots.values()) <= 0.1 * 1000


def test_simultaneous_failures_are_not_retried_simultaneously():
    """Guards against a synchronized burst of retries after one event."""
    assert retries_are_spread(make_policy())
    assert not retries_are_spread(FixedRetries())


@settings(derandomize=True, max_examples=100)
@given(st.integers(1, 6), st.floats(0, 3))
def test_retries_stay_within_deadline_and_attempts(attempts, left):
    """Guards against attempts after the deadline or beyond the maximum."""
    policy = make_policy()
    for _ in range(100):
        policy.request_started("llm", 9.0)
    at = policy.retry_at("llm", attempts, 10.0 + left, 10.0)
    naive = FixedRetries().retry_at("llm", attempts, 10.0 + left, 10.0)
    assert at is None or 10.0 <= at < 10.0 + left
    assert at is None or naive is not None


def test_same_seed_gives_the_same_delays():
    """Guards against simulations that cannot be reproduced."""
    delays = []
    for _ in range(2):
        policy = make_policy(5)
        for _ in range(100):
            policy.request_started("llm", 0.0)
        delays.append([policy.retry_at("llm", 1, DEADLINE, 1.0) for _ in range(5)])
    assert delays[0] == delays[1]

"""Tests of the limit on unavailable endpoints and of the wait for new weights."""

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainstack.policy.freshness import waits_for_next
from plantainstack.policy.pacing import allowed_disruptions


def allow_all(candidates, unavailable, total, share_max):
    """Allow all endpoints to become unavailable at once."""
    return list(candidates)


def pacing_holds(allow, total, share_max):
    """Return whether a rolling restart keeps enough endpoints and ends."""
    candidates = [f"e{number}" for number in range(total)]
    unavailable = []
    for _ in range(2 * total):
        unavailable += allow(candidates, unavailable, total, share_max)
        candidates = [name for name in candidates if name not in unavailable]
        if len(unavailable) > max(1, share_max * total):
            return False
        del unavailable[:1]
    return not candidates


@settings(derandomize=True)
@given(st.integers(1, 30), st.floats(0.05, 1.0))
def test_pacing_bounds_what_is_away_and_reaches_all(total, share_max):
    """Guards against a rolling restart that stops a whole service or never ends."""
    assert pacing_holds(allowed_disruptions, total, share_max)


def test_restart_without_a_limit_makes_all_endpoints_unavailable():
    """Shows that `pacing_holds` detects a restart without a limit."""
    assert not pacing_holds(allow_all, 5, 0.4)


@settings(derandomize=True)
@given(st.integers(1, 50), st.floats(0.0, 1.0))
def test_share_of_groups_that_wait_follows_the_setting(groups, share):
    """Guards against steps of which more groups wait than the operators configured."""
    waiting = sum(waits_for_next(group, groups, share) for group in range(groups))
    assert abs(waiting - share * groups) <= 0.5 + 1e-9

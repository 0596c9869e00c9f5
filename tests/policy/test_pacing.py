"""Tests of pacing and freshness."""

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainstack.policy.freshness import waits_for_next
from plantainstack.policy.pacing import allowed_disruptions


def all_go(wanted, away, total, share_max):
    """Let every endpoint go at once."""
    return list(wanted)


def pacing_holds(pacer, total, share_max):
    """Return whether a restart of a whole service keeps enough endpoints."""
    wanted = [f"e{number}" for number in range(total)]
    away = []
    for _ in range(2 * total):
        away += pacer(wanted, away, total, share_max)
        wanted = [name for name in wanted if name not in away]
        if len(away) > max(1, share_max * total):
            return False
        del away[:1]
    return not wanted


@settings(derandomize=True)
@given(st.integers(1, 30), st.floats(0.05, 1.0))
def test_pacing_bounds_what_is_away_and_reaches_all(total, share_max):
    """Guards against a restart that takes a whole service away, or never ends."""
    assert pacing_holds(allowed_disruptions, total, share_max)


def test_naive_restart_takes_all_away():
    """Shows that the check of pacing can fail."""
    assert not pacing_holds(all_go, 5, 0.4)


@settings(derandomize=True)
@given(st.integers(1, 50), st.floats(0.0, 1.0))
def test_share_of_groups_that_wait_follows_the_setting(groups, share):
    """Guards against steps that wait longer than the operators have set."""
    waiting = sum(waits_for_next(group, groups, share) for group in range(groups))
    assert abs(waiting - share * groups) <= 0.5 + 1e-9

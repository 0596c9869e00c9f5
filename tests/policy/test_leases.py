"""Tests of restarted holders and of the ranking of members."""

import pytest

from plantainstack.policy.leases import holder_name, rank, restarted


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ({"a": "10-x"}, False),
        ({"a": "20-y"}, True),
        ({"a": "f-y"}, False),
        ({"b": "20-y"}, False),
        ({}, False),
    ],
)
def test_only_a_restarted_holder_loses_its_lease_before_expiry(members, expected):
    """Guards against sides of a partition that take leases from each other."""
    assert restarted(holder_name("a", "10-x"), members) is expected
    assert not restarted("", members)


def test_leases_spread_evenly_and_move_only_from_lost_members():
    """Guards against a single owner of all steps and against needless takeovers."""
    members = [f"entry-{number}" for number in range(10)]
    names = [f"steps/{number}" for number in range(2000)]
    first = {name: rank(name, members)[0] for name in names}
    counts = [list(first.values()).count(member) for member in members]
    assert max(counts) < 1.3 * len(names) / len(members)
    fewer = {name: rank(name, members[1:])[0] for name in names}
    moved = {first[name] for name in names if fewer[name] != first[name]}
    assert moved == {members[0]}

"""Tests of the order in which endpoints load a version."""

import pytest

from plantainstack.policy.version_plan import due_loads, startable
from tests.policy.serving_samples import endpoint


def test_endpoints_behind_are_due_and_the_furthest_comes_first():
    ends = [
        endpoint("a", versions={"m0": 2}),
        endpoint("b", versions={"m0": 1}),
        endpoint("c", versions={"m0": 3}),
        endpoint("d", versions={"m0": 1}, leaving=True),
    ]
    assert [load.endpoint.id for load in due_loads(ends, {"m0": 3})] == ["b", "a"]


def test_no_version_goes_back():
    """Guards against an order for a version that a newer one replaced."""
    assert due_loads([endpoint(versions={"m0": 5})], {"m0": 3}) == []


def test_models_without_a_named_version_stay():
    assert due_loads([endpoint(versions={"m1": 1})], {"m0": 3}) == []


@pytest.mark.parametrize(("count", "at_once"), [(1, 1), (5, 2), (23, 9), (24, 10)])
def test_only_a_share_loads_at_once(count, at_once):
    """Guards against a change of weights that takes all endpoints away."""
    ends = [endpoint(str(number)) for number in range(count)]
    loads = due_loads(ends, {"m0": 2})
    assert len(startable(loads, set(), count)) == at_once


def test_an_endpoint_loads_one_model_at_a_time():
    end = endpoint(versions={"m0": 1, "m1": 1})
    loads = due_loads([end], {"m0": 2, "m1": 2})
    assert len(loads) == 2
    assert len(startable(loads, set(), 10)) == 1
    assert startable(loads, {end.id}, 10) == []

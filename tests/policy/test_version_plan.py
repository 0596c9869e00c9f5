"""Tests of the order in which endpoints load a version."""

import pytest

from plantainstack.policy.version_plan import due_loads, keepers, startable
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


MODELS = ("m0", "m1", "m2")


def fleet(count=5):
    versions = dict.fromkeys(MODELS, 1)
    return [endpoint(f"e{number}", versions=dict(versions)) for number in range(count)]


def test_models_share_the_endpoints():
    """Guards against steps that wait while every endpoint loads every model."""
    chosen = keepers(fleet())
    assert [len(ends) for ends in chosen.values()] == [2, 2, 2]
    assert len({end.id for ends in chosen.values() for end in ends}) == 5


def test_one_model_is_kept_on_all_endpoints():
    ends = [endpoint(str(number)) for number in range(5)]
    assert len(keepers(ends)["m0"]) == 5


def test_three_trainers_with_a_step_each_4_s_are_served():
    """Plays 60 s of loads of 1.1 s; guards against steps without an endpoint."""
    ends = {end.id: end for end in fleet()}
    wanted = dict.fromkeys(MODELS, 1)
    loading = {}
    for tenth in range(600):
        if tenth % 40 == 0:
            wanted = {model: version + 1 for model, version in wanted.items()}
        for id, (ends_at, model, version) in list(loading.items()):
            if tenth >= ends_at:
                versions = ends[id].versions | {model: version}
                ends[id] = ends[id]._replace(versions=versions)
                del loading[id]
        loads = due_loads(list(ends.values()), wanted)
        for load in startable(loads, loading, len(ends)):
            loading[load.endpoint.id] = (tenth + 11, load.model, load.version)
        for model in MODELS:
            allowed = wanted[model] - 1
            usable = [end for end in ends.values() if end.versions[model] >= allowed]
            assert len(usable) >= 2


def test_the_choice_is_stable_after_loads():
    """Guards against loads that only follow a changing choice."""
    ends = fleet()
    first = keepers(ends)
    fresh = {(end.id, model) for model, found in first.items() for end in found}
    after = [
        end._replace(
            versions={m: 2 if (end.id, m) in fresh else 1 for m in end.versions}
        )
        for end in ends
    ]
    again = keepers(list(reversed(after)))
    assert {m: {e.id for e in found} for m, found in again.items()} == {
        m: {e.id for e in found} for m, found in first.items()
    }


def test_models_that_steps_wait_for_come_first():
    """Guards against a step that waits behind loads that nobody needs yet."""
    ends = [
        endpoint("a", versions={"m0": 4, "m1": 1}),
        endpoint("b", versions={"m0": 4, "m1": 1}),
    ]
    loads = due_loads(ends, {"m0": 5, "m1": 3})
    assert [load.model for load in loads] == ["m1", "m1", "m0", "m0"]

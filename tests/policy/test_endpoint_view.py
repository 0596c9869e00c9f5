"""Tests of which registered endpoints may be used."""

from plantainstack.policy.endpoint_view import LAPSE_GRACE_S, EndpointView
from tests.policy.serving_samples import endpoint


def view(*ids):
    found = EndpointView()
    found.replace({id: endpoint(id) for id in ids}, 0.0)
    return found


def ids(found):
    return sorted(each.id for each in found.usable("models"))


def test_leaving_and_removed_endpoints_get_nothing_new():
    found = view("a", "b", "c")
    found.update({"a": endpoint("a", leaving=True), "b": None}, 1.0)
    assert ids(found) == ["c"]


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_may_be_back():
    """Guards against an empty list after the store was away."""
    found = view("a", "b")
    found.store_recovered(10.0)
    found.update({"a": None, "b": None}, 10.1)
    assert ids(found) == ["a", "b"]
    found.update({"a": endpoint("a")}, 11.0)
    found.expire(10.0 + LAPSE_GRACE_S)
    assert ids(found) == ["a"]


def test_a_snapshot_drops_what_it_does_not_hold():
    """Guards against endpoints that left while the history was lost."""
    found = view("a", "b")
    found.replace({"b": endpoint("b")}, 50.0)
    assert ids(found) == ["b"]


def test_entries_of_other_writers_hide_no_other_entry():
    found = view("a")
    found.update({"ghost": None}, 1.0)
    assert ids(found) == ["a"]

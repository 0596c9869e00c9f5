"""Tests of the view of registered endpoints."""

from plantainstack.policy.endpoint_view import RENEWAL_GRACE_S, EndpointView
from tests.policy.serving_samples import endpoint


def make_view(*ids):
    endpoint_view = EndpointView()
    endpoint_view.replace({id: endpoint(id) for id in ids}, 0.0)
    return endpoint_view


def usable_ids(endpoint_view):
    return sorted(each.id for each in endpoint_view.usable("models"))


def test_leaving_and_removed_endpoints_get_no_new_requests():
    """Guards against requests to endpoints that are shutting down."""
    endpoint_view = make_view("a", "b", "c")
    endpoint_view.update({"a": endpoint("a", leaving=True), "b": None}, 1.0)
    assert usable_ids(endpoint_view) == ["c"]


def test_registrations_that_expired_in_an_outage_are_kept_temporarily():
    """Guards against an empty list of endpoints after an outage of the store."""
    endpoint_view = make_view("a", "b")
    endpoint_view.store_recovered(10.0)
    endpoint_view.update({"a": None, "b": None}, 10.1)
    assert usable_ids(endpoint_view) == ["a", "b"]
    endpoint_view.update({"a": endpoint("a")}, 11.0)
    endpoint_view.expire(10.0 + RENEWAL_GRACE_S)
    assert usable_ids(endpoint_view) == ["a"]


def test_a_snapshot_removes_endpoints_that_it_does_not_contain():
    """Guards against endpoints whose removal was missed while the feed was down."""
    endpoint_view = make_view("a", "b")
    endpoint_view.replace({"b": endpoint("b")}, 50.0)
    assert usable_ids(endpoint_view) == ["b"]


def test_removal_of_an_unknown_endpoint_has_no_effect():
    """Guards against a removal that affects another endpoint."""
    endpoint_view = make_view("a")
    endpoint_view.update({"ghost": None}, 1.0)
    assert usable_ids(endpoint_view) == ["a"]

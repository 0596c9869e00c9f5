"""Tests of the view of registered endpoints."""

from plantainstack.policy.endpoint_view import (
    LEAVING_KEPT_S,
    RENEWAL_GRACE_S,
    EndpointView,
)
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


def test_lagging_registration_does_not_bring_a_leaving_endpoint_back():
    """Guards against requests to an endpoint whose answer said that it leaves."""
    endpoint_view = make_view("a", "b")
    assert endpoint_view.record_leaving(endpoint("a"), 1.0)
    endpoint_view.update({"a": endpoint("a")}, 1.1)
    endpoint_view.replace({"a": endpoint("a"), "b": endpoint("b")}, 1.2)
    assert usable_ids(endpoint_view) == ["b"]
    assert not endpoint_view.is_usable(endpoint("a"))
    assert not endpoint_view.record_leaving(endpoint("a"), 1.3)


def test_next_run_under_the_id_of_a_leaving_endpoint_is_used():
    """Guards against losing an endpoint that restarts under its id."""
    endpoint_view = make_view("a")
    endpoint_view.record_leaving(endpoint("a"), 1.0)
    endpoint_view.update({"a": endpoint("a", started_ms=2)}, 1.1)
    assert usable_ids(endpoint_view) == ["a"]
    assert not endpoint_view.is_usable(endpoint("a", started_ms=1))


def test_other_endpoint_at_the_address_of_a_leaving_one_is_used():
    """Guards against taking an address for an endpoint."""
    endpoint_view = make_view("a")
    endpoint_view.record_leaving(endpoint("a"), 1.0)
    endpoint_view.update({"a": None, "b": endpoint("b")}, 1.1)
    assert usable_ids(endpoint_view) == ["b"]


def test_old_list_does_not_bring_back_an_endpoint_that_has_left():
    """Guards against requests to an endpoint that an old snapshot still contains."""
    endpoint_view = make_view("a")
    endpoint_view.record_leaving(endpoint("a"), 1.0)
    endpoint_view.update({"a": None}, 2.0)
    endpoint_view.replace({"a": endpoint("a")}, 3.0)
    assert usable_ids(endpoint_view) == []


def test_endpoints_that_have_left_are_forgotten():
    """Guards against a memory that grows with each endpoint that ever left."""
    endpoint_view = make_view("a")
    endpoint_view.record_leaving(endpoint("a"), 1.0)
    endpoint_view.update({"a": None}, 2.0)
    endpoint_view.expire(2.0 + LEAVING_KEPT_S)
    assert endpoint_view.record_leaving(endpoint("a"), 2.1 + LEAVING_KEPT_S)


def test_end_of_a_registration_without_a_start_time_ends_the_leaving():
    """Guards against losing an id for good whose runs cannot be told apart."""
    endpoint_view = make_view()
    endpoint_view.update({"a": endpoint("a", started_ms=0)}, 0.0)
    endpoint_view.record_leaving(endpoint("a", started_ms=0), 1.0)
    assert usable_ids(endpoint_view) == []
    endpoint_view.update({"a": None}, 2.0)
    endpoint_view.update({"a": endpoint("a", started_ms=0)}, 5.0)
    assert usable_ids(endpoint_view) == ["a"]


def test_end_of_an_endpoint_is_not_put_off_by_later_reads():
    """Guards against a notice that seems to begin anew at each registration."""
    endpoint_view = make_view("a")
    assert endpoint_view.leaves_at(endpoint("a")) is None
    endpoint_view.update({"a": endpoint("a", leaving=True, leaves_at=3.0)}, 1.0)
    endpoint_view.update({"a": endpoint("a", leaving=True, leaves_at=4.0)}, 2.0)
    assert endpoint_view.leaves_at(endpoint("a")) == 3.0
    restarted = endpoint("a", started_ms=2)
    assert endpoint_view.leaves_at(restarted) is None
    endpoint_view.update({"a": restarted}, 5.0)
    assert endpoint_view.leaves_at(restarted) is None

"""Tests of the load balancer on a few simulated endpoints."""

import math

import pytest

from plantainstack.policy.load_balancing import FAILURE_AVOIDANCE_S, LoadBalancer
from plantainstack.serving import EndpointLoadReport
from tests.policy.serving_samples import endpoint

A, B, C = (endpoint(id) for id in "abc")


def make_balancer():
    return LoadBalancer("dc-a")


def test_requests_spread_by_load():
    """Guards against requests that pile up at one endpoint."""
    balancer = make_balancer()
    counts = dict.fromkeys("abc", 0)
    for _ in range(12):
        chosen = balancer.choose([A, B, C], 0.0).endpoint
        balancer.request_started(chosen)
        counts[chosen.id] += 1
    assert set(counts.values()) == {4}


def test_full_endpoints_are_not_chosen_below_a_load_limit():
    """Guards against items that queue while another endpoint has free slots."""
    balancer = make_balancer()
    for _ in range(4):
        balancer.request_started(A)
    assert balancer.choose([A, B], 0.0, load_max=1.0).endpoint is B
    for _ in range(4):
        balancer.request_started(B)
    assert balancer.choose([A, B], 0.0, load_max=1.0) is None


def test_load_reports_of_other_instances_expire():
    """Guards against ignored load reports and against outdated ones."""
    balancer = make_balancer()
    balancer.record_load_report(A, EndpointLoadReport(4, 2, 4), 0.0)
    assert balancer.choose([A, B], 0.1).endpoint is B
    assert balancer.load(A, 0.1) == 1.5
    assert balancer.load(A, 5.0) == 0.0


def test_own_requests_are_not_counted_twice():
    """Guards against a report that includes requests of this process."""
    balancer = make_balancer()
    balancer.request_started(A)
    balancer.record_load_report(A, EndpointLoadReport(1, 0, 4), 0.0)
    assert balancer.load(A, 0.1) == 0.25


def test_failed_endpoints_are_avoided_temporarily():
    """Guards against one request after the other being sent to a crashed endpoint."""
    balancer = make_balancer()
    balancer.record_failure(A, 0.0)
    balancer.request_started(B)
    assert balancer.choose([A, B], 0.1).endpoint is B
    assert balancer.choose([A, B], FAILURE_AVOIDANCE_S + 0.1).endpoint is A


def test_an_avoided_endpoint_is_used_if_it_is_the_only_one():
    """Guards against refused requests although an endpoint may have recovered."""
    balancer = make_balancer()
    balancer.record_failure(A, 0.0)
    assert balancer.choose([A], 0.1).endpoint is A


def test_slow_endpoints_get_fewer_requests():
    """Guards against a slow endpoint that gets as many requests as the others."""
    balancer = make_balancer()
    for _ in range(20):
        balancer.record_latency(A, 0.16, 0.0)
        balancer.record_latency(B, 0.04, 0.0)
    chosen = []
    for _ in range(4):
        end = balancer.choose([A, B], 0.1).endpoint
        balancer.request_started(end)
        chosen.append(end.id)
    assert chosen.count("a") <= 1


def test_latency_expires():
    """Guards against an endpoint that is avoided long after it recovered."""
    balancer = make_balancer()
    balancer.record_latency(A, 1.0, 0.0)
    assert balancer.latency(A, 1.0) == 1.0
    assert balancer.latency(A, 60.0) is None


def test_remote_endpoints_are_used_once_local_ones_fill_up():
    """Guards against needless remote requests and against local overload."""
    far = endpoint("far", data_centre="dc-b")
    balancer = make_balancer()
    assert balancer.choose([A, far], 0.0).endpoint is A
    balancer.request_started(A)
    balancer.request_started(A)
    assert balancer.choose([A, far], 0.0).endpoint is far


def test_a_restarted_endpoint_starts_without_recorded_failures():
    """Guards against avoiding a new process for failures of the previous one."""
    balancer = make_balancer()
    balancer.record_failure(A, 0.0)
    again = A._replace(started_ms=2)
    assert not balancer.is_avoided(again, 0.1)


def test_a_long_item_goes_to_the_fastest_endpoint_with_a_free_slot():
    """Guards against a step that takes 1.3 times as long as necessary."""
    balancer = make_balancer()
    for end, latency in ((A, 0.065), (B, 0.05)):
        balancer.record_latency(end, latency, 0.0)
    assert balancer.choose_fastest([A, B], 0.0, 1.0).endpoint is B
    for _ in range(4):
        balancer.request_started(B)
    assert balancer.choose_fastest([A, B], 0.0, 1.0).endpoint is A


def test_long_items_spread_over_equally_fast_endpoints():
    """Guards against long items that share one endpoint while others are idle."""
    balancer = make_balancer()
    counts = dict.fromkeys("abc", 0)
    for _ in range(6):
        chosen = balancer.choose_fastest([A, B, C], 0.0, 1.0).endpoint
        balancer.request_started(chosen)
        counts[chosen.id] += 1
    assert set(counts.values()) == {2}


def test_a_failed_endpoint_is_not_chosen_as_the_fastest():
    """Guards against a long item that is sent to a crashed endpoint."""
    balancer = make_balancer()
    balancer.record_failure(A, 0.0)
    assert balancer.choose_fastest([A], 0.1, 1.0) is None
    assert balancer.choose_fastest([A, B], 0.1, 1.0).endpoint is B


def test_remote_latency_does_not_replace_a_recorded_one():
    """Guards against outdated latencies from other instances."""
    balancer = make_balancer()
    balancer.record_remote_latency(A, 0.09, 0.0)
    assert balancer.latency(A, 0.0) == 0.09
    balancer.record_remote_latency(A, 0.01, 0.0)
    assert balancer.latency(A, 0.0) == 0.09


def test_long_items_of_a_step_run_on_fast_endpoints():
    """Guards against a longest item on a slow endpoint while a fast one has free slots.

    Simulates 80 items on 12 endpoints, a third of which are 1.3 times slower.
    """
    ends = [endpoint(f"e{number:02}", slots=8) for number in range(12)]
    balancer = make_balancer()
    slow = {end.id for end in ends[::3]}
    for end in ends:
        balancer.record_remote_latency(end, 0.065 if end.id in slow else 0.05, 0.0)
    lengths = [132] * 20 + [15] * 60
    seconds = []
    for number, length in enumerate(lengths):
        choose = balancer.choose_fastest if number < 20 else balancer.choose
        chosen = choose(ends, 0.0, load_max=1.0).endpoint
        balancer.request_started(chosen)
        seconds.append(length * balancer.latency(chosen, 0.0))
    assert max(seconds) == 132 * 0.05


@pytest.mark.parametrize("seconds", [0.0, -0.1, 1e-9, math.nan, math.inf, 1e300])
def test_latency_of_another_instance_that_is_out_of_bounds_is_not_taken(seconds):
    """Guards against a shared latency by which nothing can be divided."""
    balancer = make_balancer()
    assert not balancer.record_remote_latency(A, seconds, 0.0)
    assert balancer.latency(A, 0.0) is None
    assert balancer.record_remote_latency(A, 0.05, 0.0)
    assert balancer.latency(A, 0.0) == 0.05


@pytest.mark.parametrize("seconds", [0.0, 1e-9, math.inf])
def test_measured_latency_is_always_usable_as_a_divisor(seconds):
    """Guards against a latency of zero from two events that came at once."""
    balancer = make_balancer()
    balancer.record_latency(A, seconds, 0.0)
    for _ in range(500):
        balancer.record_latency(A, 0.0, 0.0)
    assert 0.0 < balancer.latency(A, 0.0) < math.inf
    assert balancer.record_remote_latency(B, round(balancer.latency(A, 0.0), 4), 0.0)

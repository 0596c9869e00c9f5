"""Tests of the decisions about the rates of tenants."""

from types import SimpleNamespace

import pytest

from plantainstack.policy import tenant_rates
from plantainstack.policy.tenant_rates import Need, TenantBucket, TenantPermits, grant
from plantainstack.policy.tenants import Tenant

OPTIONS = SimpleNamespace(quota_excess=0.1)
ACME = Tenant("acme", None, 40.0)
ALL = Need(1000, 0)


@pytest.mark.parametrize("rate", [0.05, 1.0, 40.0, 950.0])
def test_buckets_together_permit_the_rate_and_half_of_the_excess(rate):
    """Guards against a rate that changes with the number of its buckets."""
    tenant = Tenant("acme", None, rate)
    count = tenant_rates.bucket_count(tenant)
    bucket, total, seconds = TenantBucket(), 0, 1000
    for step in range(10 * seconds + 1):
        granted = grant(bucket, tenant, OPTIONS, ALL, 100.0 + step / 10)
        bucket, total = granted.bucket, total + granted.count
    size = tenant_rates.bucket_size(tenant, OPTIONS)
    expected = 1.05 * rate / count * seconds + size
    assert total == pytest.approx(expected, abs=1.5)


def test_requests_to_come_leave_permits_for_those_that_wait():
    """Guards against one instance that empties a bucket ahead of need."""
    first = grant(TenantBucket(), ACME, OPTIONS, Need(1, 1000), 100.0)
    assert 1 < first.count < 10
    second = grant(first.bucket, ACME, OPTIONS, Need(14, 0), 100.0)
    assert second.count == 14


def test_empty_bucket_names_the_time_of_its_next_permit():
    """Guards against fetches that come too early for a permit."""
    empty = grant(TenantBucket(), ACME, OPTIONS, ALL, 100.0)
    assert empty.wait_s > 0.0
    at = 100.0 + empty.wait_s
    assert grant(empty.bucket, ACME, OPTIONS, ALL, at - 0.01).count == 0
    assert grant(empty.bucket, ACME, OPTIONS, ALL, at).count == 1


def test_horizon_follows_the_number_of_instances():
    """Guards against a store whose load grows with the number of instances."""
    bucket, now = TenantBucket(), 100.0
    for _ in range(3000):
        # 90 instances, each of which fetches once in a horizon.
        now += bucket.horizon_s / 90
        bucket = grant(bucket, ACME, OPTIONS, Need(0, 0), now).bucket
    assert 1.0 < bucket.horizon_s < 2.25
    later = grant(bucket, ACME, OPTIONS, Need(0, 0), now + 60.0).bucket
    assert later.horizon_s == tenant_rates.HORIZON_MIN_S


def test_permits_expire():
    """Guards against permits that are collected and used at once."""
    permits = TenantPermits()
    permits.add(grant(TenantBucket(), ACME, OPTIONS, Need(3, 0), 100.0), 1.0)
    assert permits.take(1.1)
    assert not permits.take(1.0 + 4 * permits.horizon_s)


def test_returns_are_spread_further_the_more_is_refused():
    """Guards against refused clients that all return at once."""
    permits = TenantPermits()
    permits.add(grant(TenantBucket(), ACME, OPTIONS, Need(10, 0), 100.0), 1.0)
    for _ in range(10):
        permits.record_request(1.1)
        assert permits.take(1.1)
    few = permits.retry_after_s(0.9, 1.1)
    for _ in range(40):
        permits.record_request(1.1)
    assert permits.retry_after_s(0.9, 1.1) > 2 * few
    assert permits.retry_after_s(0.0, 1.1) >= tenant_rates.RETRY_AFTER_MIN_S


def test_requests_admitted_without_the_store_are_paid_from_the_bucket():
    """Guards against an excess that repeats with each slow answer of the store."""
    busy = grant(TenantBucket(100.0), ACME, OPTIONS, ALL, 100.0).bucket
    paid = grant(busy, ACME, OPTIONS, Need(5, 0, debt=10), 100.1)
    assert (paid.count, paid.paid) == (0, 10)
    assert paid.bucket.used_until == pytest.approx(busy.used_until + 10 / 42.0)
    huge = grant(busy, ACME, OPTIONS, Need(0, 0, debt=10_000), 100.1)
    assert 0 < huge.paid < 42


def test_time_without_the_store_is_not_charged_after_it():
    """Guards against a tenant below its rate that is refused after an outage."""
    busy = grant(TenantBucket(), ACME, OPTIONS, ALL, 100.0).bucket
    first = grant(busy, ACME, OPTIONS, Need(5, 0, debt=200), 110.0)
    assert (first.count, first.paid) == (5, 200)
    second = grant(first.bucket, ACME, OPTIONS, Need(5, 0, debt=150), 110.0)
    assert (second.count, second.paid) == (5, 150)

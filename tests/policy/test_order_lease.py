"""Tests of the right to give orders, by the store's clock."""

import pytest

from plantainstack.policy import order_lease
from plantainstack.policy.order_lease import (
    LEASE_S,
    ORDER_TRANSIT_S,
    OrderLease,
    StoreClock,
    may_order,
    renewed,
    taken,
)

QUIET_S = 3.0


def clock(now=100.0, store_now=500.0, round_trip=0.1):
    found = StoreClock()
    found.note(now - round_trip, now, store_now)
    return found


def test_the_first_holder_need_not_wait():
    lease = taken(None, "a", 500.0, QUIET_S)
    assert lease == OrderLease("a", 1, 500.0 + LEASE_S, 0.0)
    assert may_order(lease, clock(), 100.0)


def test_a_held_lease_is_not_taken():
    lease = taken(None, "a", 500.0, QUIET_S)
    assert taken(lease, "b", 500.0 + LEASE_S, QUIET_S) is None


def test_the_next_holder_waits_for_orders_of_the_former_one():
    """Guards against orders of two machines to one endpoint within the bound."""
    lease = taken(None, "a", 500.0, QUIET_S)
    later = taken(lease, "b", 500.0 + LEASE_S + 0.1, QUIET_S)
    assert later.fence == lease.fence + 1
    assert later.orders_from >= lease.until + QUIET_S + ORDER_TRANSIT_S
    assert not may_order(later, clock(store_now=lease.until + 0.1), 100.0)


def test_the_same_machine_goes_on_at_once_with_a_higher_number():
    lease = taken(None, "a", 500.0, QUIET_S)
    again = taken(lease, "a", 501.0, QUIET_S)
    assert again.fence == 2
    assert may_order(again, clock(store_now=501.0), 100.0)


def test_a_third_holder_waits_for_the_first_one_too():
    """Guards against a wait that is lost when the lease changes hands twice."""
    first = taken(None, "a", 500.0, QUIET_S)
    second = taken(first, "b", first.until + 0.1, QUIET_S)
    third = taken(second, "c", second.until + 0.1, QUIET_S)
    assert third.orders_from >= second.until + QUIET_S
    assert third.orders_from >= second.orders_from


@pytest.mark.parametrize("asleep", [LEASE_S, 60.0])
def test_a_holder_that_was_suspended_gives_no_order(asleep):
    """Guards against a holder that wakes and believes that it still holds."""
    lease = taken(None, "a", 500.0, QUIET_S)
    assert not may_order(lease, clock(), 100.0 + asleep)


def test_a_slow_answer_shortens_the_lease():
    """Guards against a lease that counts from the answer, not from the write."""
    lease = taken(None, "a", 500.0, QUIET_S)
    assert not may_order(lease, clock(round_trip=LEASE_S), 100.0)


def test_without_an_answer_of_the_store_there_is_no_order():
    lease = taken(None, "a", 500.0, QUIET_S)
    assert not may_order(lease, StoreClock(), 100.0)


def test_renewal_moves_only_the_end():
    lease = taken(None, "a", 500.0, QUIET_S)
    assert renewed(lease, 501.0) == lease._replace(until=501.0 + LEASE_S)


def test_renewals_come_well_before_the_end():
    assert 2 * order_lease.RENEW_AFTER_S < LEASE_S

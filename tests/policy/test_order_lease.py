"""Tests of the right to give orders, by the store's clock."""

import pytest

from plantainstack.policy import order_lease
from plantainstack.policy.order_lease import (
    LEASE_S,
    ORDER_TRANSIT_S,
    SEND_MARGIN_S,
    OrderLease,
    StoreClock,
    acquire,
    close_window,
    order_deadline,
    release,
    renew,
)

QUIET_S = 3.0


def clock(now=100.0, store_now=500.0, round_trip=0.1):
    found = StoreClock()
    found.update(now - round_trip, now, store_now)
    return found


def opened(lease, *endpoints, at=500.0):
    """Return the lease with windows for orders to endpoints."""
    return renew(lease, endpoints, at, QUIET_S)


def may_order(lease, endpoint, found=None, now=100.0):
    return order_deadline(lease, endpoint, found or clock(), now) is not None


def test_the_first_holder_need_not_wait():
    lease = acquire(None, "a", 500.0, QUIET_S)
    assert lease == OrderLease("a", 1, 500.0 + LEASE_S, {}, {})
    assert may_order(opened(lease, "e1"), "e1")


def test_no_order_is_given_that_the_lease_does_not_name():
    """Guards against an order that the next holder cannot know of."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    assert not may_order(lease, "e2")


def test_a_held_lease_is_not_taken():
    lease = acquire(None, "a", 500.0, QUIET_S)
    assert acquire(lease, "b", 500.0 + LEASE_S, QUIET_S) is None


def test_the_next_holder_waits_for_orders_of_the_former_one():
    """Guards against orders of two machines to one endpoint within the bound."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    now = lease.until + 0.1
    later = opened(acquire(lease, "b", now, QUIET_S), "e1", "e2", at=now)
    assert later.fence == lease.fence + 1
    assert later.barred == {"e1": lease.until + QUIET_S + ORDER_TRANSIT_S}
    assert not may_order(later, "e1", clock(store_now=now))
    free = later.barred["e1"] + 0.1
    assert may_order(opened(later, "e1", at=free), "e1", clock(store_now=free))


def test_endpoints_without_a_recent_order_need_not_wait():
    """Guards against 5 s without orders when the holder is lost."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    now = lease.until + 0.1
    later = opened(acquire(lease, "b", now, QUIET_S), "e2", at=now)
    assert may_order(later, "e2", clock(store_now=now))


def test_the_same_machine_goes_on_at_once_with_a_higher_number():
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    again = acquire(lease, "a", 501.0, QUIET_S)
    assert again.fence == 2
    found = clock(store_now=501.0)
    assert may_order(opened(again, "e1", at=501.0), "e1", found)


def test_a_third_holder_waits_for_the_first_one_too():
    """Guards against a wait that is lost when the lease changes hands twice."""
    first = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    second = acquire(first, "b", first.until + 0.1, QUIET_S)
    third = acquire(second, "c", second.until + 0.1, QUIET_S)
    assert third.barred["e1"] == first.until + QUIET_S + ORDER_TRANSIT_S


def test_renewals_keep_what_the_next_holder_must_know():
    """Guards against an order that is forgotten while the holder goes on."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    later = opened(lease, "e2", at=lease.until + QUIET_S)
    assert set(later.windows) == {"e1", "e2"}
    last = opened(later, at=lease.until + QUIET_S + ORDER_TRANSIT_S + 0.1)
    assert set(last.windows) == {"e2"}


def test_a_released_lease_is_free_and_bars_what_was_ordered():
    """Guards against a planned restart that stops orders for seconds."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1", "e2")
    left = release(lease, {"e2"}, 500.5)
    later = acquire(left, "b", 500.6, QUIET_S)
    gap = QUIET_S + ORDER_TRANSIT_S
    assert later.barred == {"e1": 500.5 + gap, "e2": lease.until + gap}


@pytest.mark.parametrize("asleep", [LEASE_S, 60.0])
def test_a_holder_that_was_suspended_gives_no_order(asleep):
    """Guards against a holder that wakes and believes that it still holds."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    assert not may_order(lease, "e1", now=100.0 + asleep)


def test_an_order_must_be_sent_within_its_window():
    """Guards against an order that waits for a connection beyond the lease."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    deadline = order_deadline(lease, "e1", clock(), 100.0)
    assert clock().latest(deadline) <= lease.until


def test_a_slow_answer_shortens_the_lease():
    """Guards against a lease that counts from the answer, not from the write."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    assert not may_order(lease, "e1", clock(round_trip=LEASE_S))


def test_without_an_answer_of_the_store_there_is_no_order():
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    assert not may_order(lease, "e1", StoreClock())


def test_renewal_moves_the_end_and_opens_windows():
    lease = acquire(None, "a", 500.0, QUIET_S)
    until = 501.0 + LEASE_S
    assert opened(lease, "e1", at=501.0) == lease._replace(
        until=until, windows={"e1": until}
    )


def test_renewals_come_well_before_the_end():
    assert 2 * order_lease.RENEW_AFTER_S + SEND_MARGIN_S < LEASE_S


def test_an_answered_order_bars_its_endpoint_from_the_answer_on():
    """Guards against a wait that counts from the end of the lease."""
    lease = opened(acquire(None, "a", 500.0, QUIET_S), "e1")
    closed = close_window(lease, "e1", 500.2)
    assert not may_order(closed, "e1", clock(store_now=500.2))
    kept = opened(closed, "e2", at=501.0)
    later = acquire(kept, "b", kept.until + 0.1, QUIET_S)
    assert later.barred["e1"] == 500.2 + QUIET_S + ORDER_TRANSIT_S

"""Tests of the lease for orders, which expires by the store's clock."""

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

ORDER_GAP_S = 3.0


def clock(now=100.0, store_now=500.0, round_trip=0.1):
    found = StoreClock()
    found.update(now - round_trip, now, store_now)
    return found


def opened(lease, *endpoints, at=500.0):
    """Return the lease with open windows for endpoints."""
    return renew(lease, endpoints, at, ORDER_GAP_S)


def may_order(lease, endpoint, found=None, now=100.0):
    return order_deadline(lease, endpoint, found or clock(), now) is not None


def test_the_first_holder_may_order_at_once():
    """Guards against a needless wait without a former holder."""
    lease = acquire(None, "a", 500.0, ORDER_GAP_S)
    assert lease == OrderLease("a", 1, 500.0 + LEASE_S, {}, {})
    assert may_order(opened(lease, "e1"), "e1")


def test_orders_require_an_open_window():
    """Guards against an order that is not recorded for the next holder."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    assert not may_order(lease, "e2")


def test_a_held_lease_is_not_acquired():
    """Guards against two holders at the same time."""
    lease = acquire(None, "a", 500.0, ORDER_GAP_S)
    assert acquire(lease, "b", 500.0 + LEASE_S, ORDER_GAP_S) is None


def test_the_next_holder_waits_for_orders_of_the_former_holder():
    """Guards against orders of two holders to one endpoint within the order gap."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    now = lease.until + 0.1
    later = opened(acquire(lease, "b", now, ORDER_GAP_S), "e1", "e2", at=now)
    assert later.fence == lease.fence + 1
    assert later.barred == {"e1": lease.until + ORDER_GAP_S + ORDER_TRANSIT_S}
    assert not may_order(later, "e1", clock(store_now=now))
    free = later.barred["e1"] + 0.1
    assert may_order(opened(later, "e1", at=free), "e1", clock(store_now=free))


def test_endpoints_without_a_recent_order_need_not_wait():
    """Guards against a pause of 5 s in all orders after the loss of a holder."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    now = lease.until + 0.1
    later = opened(acquire(lease, "b", now, ORDER_GAP_S), "e2", at=now)
    assert may_order(later, "e2", clock(store_now=now))


def test_the_same_holder_continues_at_once_with_a_higher_fencing_token():
    """Guards against a holder that waits for its own orders after a restart."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    again = acquire(lease, "a", 501.0, ORDER_GAP_S)
    assert again.fence == 2
    found = clock(store_now=501.0)
    assert may_order(opened(again, "e1", at=501.0), "e1", found)


def test_a_third_holder_waits_for_the_first_one_too():
    """Guards against a bar that is lost when the lease changes its holder twice."""
    first = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    second = acquire(first, "b", first.until + 0.1, ORDER_GAP_S)
    third = acquire(second, "c", second.until + 0.1, ORDER_GAP_S)
    assert third.barred["e1"] == first.until + ORDER_GAP_S + ORDER_TRANSIT_S


def test_renewals_keep_windows_that_the_next_holder_must_wait_for():
    """Guards against a window that is lost while the holder renews its lease."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    later = opened(lease, "e2", at=lease.until + ORDER_GAP_S)
    assert set(later.windows) == {"e1", "e2"}
    last = opened(later, at=lease.until + ORDER_GAP_S + ORDER_TRANSIT_S + 0.1)
    assert set(last.windows) == {"e2"}


def test_a_released_lease_is_free_and_bars_ordered_endpoints():
    """Guards against a planned restart that interrupts orders for seconds."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1", "e2")
    left = release(lease, {"e2"}, 500.5)
    later = acquire(left, "b", 500.6, ORDER_GAP_S)
    gap = ORDER_GAP_S + ORDER_TRANSIT_S
    assert later.barred == {"e1": 500.5 + gap, "e2": lease.until + gap}


@pytest.mark.parametrize("suspended_s", [LEASE_S, 60.0])
def test_a_holder_that_was_suspended_sends_no_order(suspended_s):
    """Guards against a holder that resumes after its lease has expired."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    assert not may_order(lease, "e1", now=100.0 + suspended_s)


def test_an_order_is_sent_within_its_window():
    """Guards against an order that waits for a connection until the lease expired."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    deadline = order_deadline(lease, "e1", clock(), 100.0)
    assert clock().latest(deadline) <= lease.until


def test_a_slow_answer_shortens_the_lease():
    """Guards against an expiry that is counted from the answer, not from the write."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    assert not may_order(lease, "e1", clock(round_trip=LEASE_S))


def test_no_order_is_sent_before_the_store_answered():
    """Guards against an order while the time of the store is unknown."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    assert not may_order(lease, "e1", StoreClock())


def test_renewal_extends_the_lease_and_opens_windows():
    """Guards against a renewal whose windows end before the lease."""
    lease = acquire(None, "a", 500.0, ORDER_GAP_S)
    until = 501.0 + LEASE_S
    assert opened(lease, "e1", at=501.0) == lease._replace(
        until=until, windows={"e1": until}
    )


def test_two_renewals_fit_into_the_lease():
    """Guards against a lease that expires when a single renewal fails."""
    assert 2 * order_lease.RENEW_AFTER_S + SEND_MARGIN_S < LEASE_S


def test_the_bar_of_an_answered_order_starts_with_the_answer():
    """Guards against a bar that is counted from the expiry of the lease."""
    lease = opened(acquire(None, "a", 500.0, ORDER_GAP_S), "e1")
    closed = close_window(lease, "e1", 500.2)
    assert not may_order(closed, "e1", clock(store_now=500.2))
    kept = opened(closed, "e2", at=501.0)
    later = acquire(kept, "b", kept.until + 0.1, ORDER_GAP_S)
    assert later.barred["e1"] == 500.2 + ORDER_GAP_S + ORDER_TRANSIT_S

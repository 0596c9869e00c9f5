"""Decide which instance may send orders to the endpoints of a service.

The lease expires by the clock of the metadata store, so that a holder that was
suspended, or whose own clock jumped, does not act on an expired lease. Before it
sends an order, the holder records in the lease which endpoint it may order and until
when. The next holder waits for these endpoints only and orders the others at once,
so that the loss of a holder does not delay a version that many steps wait for.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

# Long enough to renew through a store that answers in 0.5 s, but short, since another
# instance waits for the lease to expire after the holder was killed.
LEASE_S = 1.5
RENEW_AFTER_S = 0.5
# Allowance for the transit time of an order and for the error of both clocks.
ORDER_TRANSIT_S = 0.5
# An order is only sent if at least this much time is left, so that its answer arrives
# before the window ends.
SEND_MARGIN_S = 0.25


class StoreClock:
    """Bound the current time of the store's steady clock by its last answer.

    `now` is always in monotonic seconds of this process.
    """

    def __init__(self):
        self._sent_at = 0.0
        self._received_at = 0.0
        self._store_now: float | None = None

    def update(self, sent_at: float, received_at: float, store_now: float) -> None:
        """Record the store's time from an answer and when its request was sent."""
        self._sent_at = sent_at
        self._received_at = received_at
        self._store_now = store_now

    def latest(self, now: float) -> float:
        """Return the upper bound of the store's time, infinity before an answer."""
        if self._store_now is None:
            return float("inf")
        return self._store_now + (now - self._sent_at)

    def earliest(self, now: float) -> float:
        """Return the lower bound of the store's time, 0.0 before an answer."""
        if self._store_now is None:
            return 0.0
        return self._store_now + (now - self._received_at)


class LeaseTerms(NamedTuple):
    """Set how long a lease and the windows in it last, in seconds.

    None stands for LEASE_S, and for a window that lasts as long as the lease.
    """

    lease_s: float | None = None
    window_s: float | None = None


DEFAULT_TERMS = LeaseTerms()


class OrderLease(NamedTuple):
    """Hold the right to send orders; times are those of the store's clock.

    `fence` is the fencing token. `windows` maps endpoint ids to the time until which
    the holder may send them an order. `barred` maps endpoint ids to the time before
    which it may not, since an order of a former holder may still arrive.
    """

    holder: str
    fence: int
    until: float
    windows: dict[str, float]
    barred: dict[str, float]


def acquire(
    before: OrderLease | None,
    holder: str,
    store_now: float,
    order_gap_s: float,
    terms: LeaseTerms = DEFAULT_TERMS,
) -> OrderLease | None:
    """Return the lease that an instance may write now, None while another holds it.

    `order_gap_s` is the time that must pass between orders of two holders.
    """
    until = store_now + (terms.lease_s or LEASE_S)
    if before is None:
        return OrderLease(holder, 1, until, {}, {})
    if before.holder == holder:
        return before._replace(fence=before.fence + 1, until=until)
    if store_now <= before.until:
        return None
    barred = {id: end for id, end in before.barred.items() if end > store_now}
    for id, end in before.windows.items():
        free_at = end + order_gap_s + ORDER_TRANSIT_S
        if free_at > store_now:
            barred[id] = max(free_at, barred.get(id, 0.0))
    return OrderLease(holder, before.fence + 1, until, {}, barred)


def renew(
    lease: OrderLease,
    endpoints: Iterable[str],
    store_now: float,
    order_gap_s: float,
    terms: LeaseTerms = DEFAULT_TERMS,
) -> OrderLease:
    """Return the lease with a later expiry and open windows for some endpoints.

    Earlier windows are kept for as long as the next holder must wait for them.
    """
    until = store_now + (terms.lease_s or LEASE_S)
    window_end = store_now + terms.window_s if terms.window_s else until
    horizon = store_now - order_gap_s - ORDER_TRANSIT_S
    windows = {id: end for id, end in lease.windows.items() if end > horizon}
    windows.update(dict.fromkeys(endpoints, window_end))
    barred = {id: end for id, end in lease.barred.items() if end > store_now}
    return lease._replace(until=until, windows=windows, barred=barred)


def close_window(lease: OrderLease, endpoint_id: str, store_now: float) -> OrderLease:
    """Return the lease with the window of an endpoint closed by its answer."""
    end = min(store_now, lease.windows.get(endpoint_id, store_now))
    return lease._replace(windows={**lease.windows, endpoint_id: end})


def release(
    lease: OrderLease, in_flight: Collection[str], store_now: float
) -> OrderLease:
    """Return the lease as given up by its holder, which starts no further orders.

    Endpoints in `in_flight` keep their windows, since their orders may still be sent.
    """
    windows = {
        id: end if id in in_flight else min(end, store_now)
        for id, end in lease.windows.items()
    }
    return lease._replace(until=min(lease.until, store_now), windows=windows)


def is_barred(
    lease: OrderLease, endpoint_id: str, clock: StoreClock, now: float
) -> bool:
    """Return whether an order of a former holder may still reach the endpoint."""
    return clock.earliest(now) <= lease.barred.get(endpoint_id, 0.0)


def order_deadline(
    lease: OrderLease, endpoint_id: str, clock: StoreClock, now: float
) -> float | None:
    """Return the monotonic time until which an order may be sent, or None.

    None means that the window is closed, about to end, or barred.
    """
    end = min(lease.until, lease.windows.get(endpoint_id, 0.0))
    left = end - clock.latest(now)
    if left < SEND_MARGIN_S or is_barred(lease, endpoint_id, clock, now):
        return None
    return now + left

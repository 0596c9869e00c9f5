"""Decide which instance may give orders to the endpoints of a service.

The lease ends by the store's clock, so that a holder that was suspended, or whose
own clock jumped, cannot believe that it still holds it. Before an order, its holder
writes into the lease which endpoint it may order and until when. The next holder
waits for these endpoints only, and orders the others at once: a version that many
steps wait for must not stand still because the holder was lost.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

# Long enough for a renewal through a store that answers in 0.5 s; short, since
# another instance waits for it after the holder was killed.
LEASE_S = 1.5
RENEW_AFTER_S = 0.5
# Time that an order may spend on the way, and the error of both clocks.
ORDER_TRANSIT_S = 0.5
# An order is not sent with less than this left, so that its answer arrives in time.
SEND_MARGIN_S = 0.25


class StoreClock:
    """Bound the store's steady clock from its last answer."""

    def __init__(self):
        self._sent_at = 0.0
        self._received_at = 0.0
        self._store_now: float | None = None

    def update(self, sent_at: float, received_at: float, store_now: float) -> None:
        """Take over the store's time that an answer named."""
        self._sent_at = sent_at
        self._received_at = received_at
        self._store_now = store_now

    def latest(self, now: float) -> float:
        """Return the latest that the store's clock can show."""
        if self._store_now is None:
            return float("inf")
        return self._store_now + (now - self._sent_at)

    def earliest(self, now: float) -> float:
        """Return the earliest that the store's clock can show."""
        if self._store_now is None:
            return 0.0
        return self._store_now + (now - self._received_at)


class OrderLease(NamedTuple):
    """Hold the right to give orders; times are those of the store's clock.

    `windows` maps endpoints to the time until which the holder may send them an
    order, `barred` to the time before which it may not, since one of a former
    holder may still arrive.
    """

    holder: str
    fence: int
    until: float
    windows: dict[str, float]
    barred: dict[str, float]


def acquire(
    before: OrderLease | None, holder: str, store_now: float, quiet_s: float
) -> OrderLease | None:
    """Return the lease that an instance may write now, or None.

    `quiet_s` is the time that must pass between orders of two holders.
    """
    until = store_now + LEASE_S
    if before is None:
        return OrderLease(holder, 1, until, {}, {})
    if before.holder == holder:
        return before._replace(fence=before.fence + 1, until=until)
    if store_now <= before.until:
        return None
    barred = {id: end for id, end in before.barred.items() if end > store_now}
    for id, end in before.windows.items():
        free_at = end + quiet_s + ORDER_TRANSIT_S
        if free_at > store_now:
            barred[id] = max(free_at, barred.get(id, 0.0))
    return OrderLease(holder, before.fence + 1, until, {}, barred)


def renew(
    lease: OrderLease, endpoints: Iterable[str], store_now: float, quiet_s: float
) -> OrderLease:
    """Return the lease with a later end, open for orders to some endpoints.

    What was ordered before is kept for as long as the next holder must know it.
    """
    until = store_now + LEASE_S
    kept = store_now - quiet_s - ORDER_TRANSIT_S
    windows = {id: end for id, end in lease.windows.items() if end > kept}
    windows.update(dict.fromkeys(endpoints, until))
    barred = {id: end for id, end in lease.barred.items() if end > store_now}
    return lease._replace(until=until, windows=windows, barred=barred)


def close_window(lease: OrderLease, endpoint_id: str, store_now: float) -> OrderLease:
    """Return the lease after an order's answer; it is closed for the endpoint."""
    end = min(store_now, lease.windows.get(endpoint_id, store_now))
    return lease._replace(windows={**lease.windows, endpoint_id: end})


def release(
    lease: OrderLease, in_flight: Collection[str], store_now: float
) -> OrderLease:
    """Return the lease of a holder that begins no order after a time.

    Orders in flight may be sent until the end of their windows.
    """
    windows = {
        id: end if id in in_flight else min(end, store_now)
        for id, end in lease.windows.items()
    }
    return lease._replace(until=min(lease.until, store_now), windows=windows)


def is_barred(
    lease: OrderLease, endpoint_id: str, clock: StoreClock, now: float
) -> bool:
    """Return whether an order of a former holder may still reach an endpoint."""
    return clock.earliest(now) <= lease.barred.get(endpoint_id, 0.0)


def order_deadline(
    lease: OrderLease, endpoint_id: str, clock: StoreClock, now: float
) -> float | None:
    """Return the time before which an order must be sent, None if it may not be."""
    end = min(lease.until, lease.windows.get(endpoint_id, 0.0))
    left = end - clock.latest(now)
    if left < SEND_MARGIN_S or is_barred(lease, endpoint_id, clock, now):
        return None
    return now + left

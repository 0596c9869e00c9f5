"""Decide which instance may give orders to the endpoints of a service.

The lease ends by the store's clock, so that a holder that was suspended, or whose
own clock jumped, cannot believe that it still holds it.
"""

from typing import NamedTuple

# Long enough for a renewal through a store that answers in 0.5 s; short, since
# another instance waits for it after the holder was killed.
LEASE_S = 2.0
RENEW_AFTER_S = 0.7
# Time that an order may spend on the way, and the error of both clocks.
ORDER_TRANSIT_S = 0.5


class StoreClock:
    """Bound the store's steady clock from its last answer."""

    def __init__(self):
        self._sent_at = 0.0
        self._received_at = 0.0
        self._store_now: float | None = None

    def note(self, sent_at: float, received_at: float, store_now: float) -> None:
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

    No order may be given before `orders_from`: until then, one of the former
    holder may still arrive.
    """

    holder: str
    fence: int
    until: float
    orders_from: float


def taken(
    before: OrderLease | None, holder: str, store_now: float, quiet_s: float
) -> OrderLease | None:
    """Return the lease that an instance may write now, or None.

    `quiet_s` is the time that must pass between orders of two holders.
    """
    until = store_now + LEASE_S
    if before is None:
        return OrderLease(holder, 1, until, 0.0)
    if before.holder == holder:
        return OrderLease(holder, before.fence + 1, until, before.orders_from)
    if store_now <= before.until:
        return None
    orders_from = before.until + quiet_s + ORDER_TRANSIT_S
    return OrderLease(
        holder, before.fence + 1, until, max(orders_from, before.orders_from)
    )


def renewed(lease: OrderLease, store_now: float) -> OrderLease:
    """Return the lease with a later end."""
    return lease._replace(until=store_now + LEASE_S)


def may_order(lease: OrderLease, clock: StoreClock, now: float) -> bool:
    """Return whether the holder may send an order now."""
    return (
        clock.latest(now) + ORDER_TRANSIT_S / 2 < lease.until
        and clock.earliest(now) > lease.orders_from
    )

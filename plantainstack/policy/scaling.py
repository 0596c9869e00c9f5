"""Decide how many endpoints of each kind are ordered in each data centre.

Designed for several trainers that each submit a batch of 40 to 180 items every 4 s,
with results due 7.5 s later, items that run 0.3 to 3 s at endpoints of 8 slots, a boot
time of 4 s, and 26 to 1,100 endpoints in a few data centres. A late step costs far more
than endpoints: all of them for half a minute cost as much as one late batch in a
hundred. The items of the recent peak therefore find slots at once, or within a second.
Non-reclaimable endpoints carry a share of the peak that still meets the deadlines if
all others are taken away. Reclaimable ones carry the rest, with a reserve for the data
centre that has most of them. Orders grow at once and shrink late.
"""

import math
from collections import Counter, deque
from collections.abc import Collection, Iterable
from typing import NamedTuple

from plantainstack.duties import CapacityOrder, DutyAnswer, ScaleLimits
from plantainstack.serving import Endpoint

# Slots for each item of the peak: a few items wait for less than a second. Fewer would
# do if many instances placed evenly.
SLOTS_PER_ITEM = 0.8
# Assumed time of an item. Longer items need more endpoints than are ordered.
ITEM_S = 1.2
# All items of a peak may take this share of the time to their results: the rest is for
# slow endpoints and for items that begin anew. Each further endpoint loads every
# version of the weights and takes connections of every instance.
PEAK_SHARE = 1 / 3
# Share of the needed endpoints that are not reclaimable. Items run for 1.2 s on average
# and a step comes every 4 s, so a third of the peak's slots is busy on average.
BASE_SHARE = 0.5
# Time for which a peak of the demand counts; it covers several steps of each trainer.
PEAK_WINDOW_S = 30.0
# The endpoints that were there at the start are kept until the demand has needed less
# than this share of them for the whole window; then this share is kept.
FLOOR_WINDOW_S = 180.0
# Endpoints that start with the deployment register within this time.
FLOOR_LEARNING_S = 15.0
FLOOR_SHARE = 0.5
# An order shrinks if fewer endpoints were wanted all this time, and by this share.
SHRINK_AFTER_S = 30.0
SHRINK_SHARE = 0.2
# After a reclaim, no endpoints are available in the data centre for about 10 s. Orders
# are tried a little earlier, since a refused one costs only a call.
RECLAIM_PAUSE_S = 8.0
REFUSAL_PAUSE_S = 3.0
RETRY_MIN_S = 0.5
RETRY_MAX_S = 8.0
RETRY_DOUBLINGS_MAX = 10
# An order is repeated if the registered endpoints differ from it for this long after
# the boot time. Registrations lag by about 2 s; an endpoint ends its work first.
MISSING_AFTER_S = 3.0
SURPLUS_AFTER_S = 20.0


def concurrent_items(items: float, result_target_s: float) -> float:
    """Return how many of the open items must run at once for results in time."""
    if result_target_s <= 0.0:
        return items
    return items * min(1.0, ITEM_S / (PEAK_SHARE * result_target_s))


class Pool(NamedTuple):
    """Identify the endpoints of one kind in one data centre."""

    data_centre: str
    reclaimable: bool


class ScaleState(NamedTuple):
    """Hold what the next holder must know: the orders in force and the floor.

    `floor` maps data centres to the non-reclaimable endpoints at the start; `slots` is
    the mean of an endpoint. An order is a data centre, whether it is for reclaimable
    endpoints, their number, and the largest number that may be in force instead.
    """

    floor: dict[str, int]
    orders: list[tuple[str, bool, int, int]]
    slots: float


class ScaleNeed(NamedTuple):
    """Hold the endpoints needed and what restricts them.

    `blocked` lists the pools in which none are available now, `live` the registered
    endpoints of each pool.
    """

    endpoints: int
    floor: dict[str, int]
    data_centres: tuple[str, ...]
    blocked: Collection[Pool]
    live: dict[Pool, int]


class DemandPeak:
    """Track the maximum of the demand within a window of seconds."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._since: float | None = None
        # Times and demands; the demands decrease.
        self._peaks: deque[tuple[float, float]] = deque()

    def record(self, demand: float, now: float) -> None:
        """Record the demand at a monotonic time."""
        if self._since is None:
            self._since = now
        while self._peaks and self._peaks[-1][1] <= demand:
            self._peaks.pop()
        self._peaks.append((now, demand))
        while self._peaks[0][0] < now - self._window_s:
            self._peaks.popleft()

    def value(self) -> float:
        """Return the maximum within the window, or 0 without any record."""
        return self._peaks[0][1] if self._peaks else 0.0

    def is_complete(self, now: float) -> bool:
        """Return whether the demand has been recorded for the whole window."""
        return self._since is not None and now - self._since >= self._window_s


class _Plan:
    """Add endpoints one by one, each where it is best, within the limits."""

    def __init__(self, need: ScaleNeed, limits: ScaleLimits):
        self._need = need
        self._limits = limits
        self.counts = {
            Pool(name, reclaimable): 0
            for name in need.data_centres
            for reclaimable in (False, True)
        }

    def total(self, reclaimable: bool) -> int:
        return sum(
            n for pool, n in self.counts.items() if pool.reclaimable is reclaimable
        )

    def largest(self) -> int:
        """Return the largest number of reclaimable endpoints in a data centre."""
        return max(
            (n for pool, n in self.counts.items() if pool.reclaimable), default=0
        )

    def obtainable(self) -> int:
        """Return the reclaimable endpoints, counting registered ones if blocked."""
        blocked, live = self._need.blocked, self._need.live
        return sum(
            min(n, live.get(pool, 0)) if pool in blocked else n
            for pool, n in self.counts.items()
            if pool.reclaimable
        )

    def add(self, reclaimable: bool, blocked: Collection[Pool] = ()) -> bool:
        """Add an endpoint; return False if there is room for none.

        Reclaimable ones are spread evenly, so that a reclaim takes few of them.
        Others go to cheap data centres rather, but not all to one.
        """
        best = None
        for name in self._need.data_centres:
            pool = Pool(name, reclaimable)
            if pool in blocked or self._room(name) <= 0:
                continue
            count, price = self.counts[pool], self._limits.prices.get(name, 1.0)
            key = (count, price) if reclaimable else (price * (count + 1), price)
            best = min(best or (key, pool), (key, pool))
        if best is None:
            return False
        self.counts[best[1]] += 1
        return True

    def _room(self, data_centre: str) -> int:
        used = sum(self.counts[Pool(data_centre, kind)] for kind in (False, True))
        return self._limits.count_max - used


def plan_counts(need: ScaleNeed, limits: ScaleLimits) -> dict[Pool, int]:
    """Return the wanted number of endpoints of each pool."""
    plan = _Plan(need, limits)
    for name in need.data_centres:
        floor = max(limits.count_min, need.floor.get(name, 0))
        plan.counts[Pool(name, False)] = min(limits.count_max, floor)
    base = math.ceil(BASE_SHARE * need.endpoints)
    while plan.total(False) < base and plan.add(False, need.blocked):
        pass
    rest = need.endpoints - plan.total(False)
    if rest <= 0:
        return plan.counts
    has_reserve = len(need.data_centres) > 1
    while (
        plan.total(True) - (plan.largest() if has_reserve else 0) < rest
    ) and plan.add(True):
        pass
    # What a blocked data centre lacks is had elsewhere, without a new reserve.
    while plan.obtainable() < rest and plan.add(True, need.blocked):
        pass
    while plan.total(False) + plan.obtainable() < need.endpoints and plan.add(
        False, need.blocked
    ):
        pass
    return plan.counts


class _PoolOrder:
    """Hold the order in force of one pool and what became of its calls.

    Until the first order, `count` is the number of registered endpoints.
    """

    def __init__(self, count: int, ordered: bool, bound: int = 0):
        self.count = count
        self.ordered = ordered
        self.confirmed = not ordered
        # Whether a call whose outcome is not known followed the last accepted one.
        self.in_doubt = ordered
        # The last count that the platform accepted, and the largest one in force if
        # calls without a known outcome took effect.
        self.accepted = count
        self.bound = max(bound, count)
        self.failures = 0
        self.retry_at = 0.0
        self.blocked_until = 0.0
        self.lower_since: float | None = None
        self.lower_max = 0
        self.differs_since: float | None = None


class ServiceScaler:
    """Decide the orders of one service; times are monotonic seconds.

    Every instance observes the demand, so that the next holder knows its peak. Only
    the holder restores the state and decides.
    """

    def __init__(self, service: str):
        self._service = service
        self._peak = DemandPeak(PEAK_WINDOW_S)
        self._long_peak = DemandPeak(FLOOR_WINDOW_S)
        self._live: Counter[Pool] = Counter()
        self._reclaimed_at: dict[str, float] = {}
        self._slots = 0.0
        # Non-reclaimable endpoints within FLOOR_LEARNING_S of the first observation.
        self._first_seen: Counter[str] = Counter()
        self._observed_since: float | None = None
        self._floor: dict[str, int] = {}
        self._learns_floor_until = 0.0
        self._orders: dict[Pool, _PoolOrder] = {}

    def observe(self, demand: float, endpoints: Iterable[Endpoint], now: float) -> None:
        """Record the items to run at the same time, and the registered endpoints."""
        self._peak.record(demand, now)
        self._long_peak.record(demand, now)
        live: Counter[Pool] = Counter()
        slots = 0
        for end in endpoints:
            if end.leaving:
                if end.reclaimable:
                    self._reclaimed_at[end.data_centre] = now
                continue
            live[Pool(end.data_centre, end.reclaimable)] += 1
            slots += end.slots
        self._live = live
        if self._observed_since is None:
            self._observed_since = now
        if live:
            self._slots = slots / live.total()
        is_start = now - self._observed_since <= FLOOR_LEARNING_S
        for pool, count in live.items():
            if is_start and not pool.reclaimable:
                name = pool.data_centre
                self._first_seen[name] = max(self._first_seen[name], count)

    def restore(self, state: ScaleState | None, now: float) -> None:
        """Begin to decide after a takeover; None if no order was ever made.

        The stored orders are sent again once, since their calls may have been lost.
        """
        if state is None:
            self._orders = {}
            self._floor = {}
            self._learns_floor_until = now + FLOOR_LEARNING_S
            return
        self._learns_floor_until = 0.0
        self._floor = dict(state.floor)
        self._slots = self._slots or state.slots
        self._orders = {
            Pool(name, reclaimable): _PoolOrder(count, True, bound)
            for name, reclaimable, count, bound in state.orders
        }

    def state(self) -> ScaleState:
        """Return the state that must be stored before the decided orders are sent."""
        orders = sorted(
            (*pool, each.count, each.bound)
            for pool, each in self._orders.items()
            if each.ordered
        )
        return ScaleState(self._floor, orders, self._slots)

    def needed_endpoints(self) -> int:
        """Return the endpoints whose slots hold the recent peak."""
        if not self._slots:
            return 0
        return self._endpoints_for(self._peak.value())

    def decide(
        self, limits: ScaleLimits, now: float, busy: Collection[str] = ()
    ) -> list[CapacityOrder]:
        """Return the orders to send now, and count them as in force.

        Data centres in `busy` have a call in progress and get no other one.
        """
        if not self._slots:
            return []
        known = {pool.data_centre for pool in (*self._live, *self._orders)}
        names = tuple(sorted(limits.prices or known))
        for name in names:
            for kind in (False, True):
                self._follow(Pool(name, kind), now)
            self._learn_floor(name, now)
        blocked = [pool for pool in self._orders if self._is_blocked(pool, now)]
        need = ScaleNeed(
            self.needed_endpoints(),
            self._present_floor(now),
            names,
            blocked,
            self._live,
        )
        found = []
        for pool, target in plan_counts(need, limits).items():
            if pool.data_centre in busy:
                continue
            count = self._next_count(pool, target, limits, now)
            if count is not None:
                order = self._orders[pool]
                order.count, order.ordered, order.confirmed = count, True, False
                order.bound = max(order.bound, count)
                found.append(
                    CapacityOrder(
                        self._service, pool.data_centre, count, pool.reclaimable
                    )
                )
        return found

    def record_answer(
        self, sent: CapacityOrder, answer: DutyAnswer | None, now: float
    ) -> None:
        """Record the answer to an order, None if its outcome is not known."""
        order = self._orders.get(Pool(sent.data_centre, sent.reclaimable))
        if order is None:
            return
        if answer in (None, DutyAnswer.REFUSED):
            order.in_doubt |= answer is None
            doublings = min(order.failures, RETRY_DOUBLINGS_MAX)
            order.retry_at = now + min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
            order.failures += 1
            return
        order.failures = 0
        order.confirmed = order.count == sent.count
        if answer is DutyAnswer.NONE_AVAILABLE:
            order.blocked_until = order.retry_at = now + REFUSAL_PAUSE_S
            # What was accepted stays in force. If an earlier call without a known
            # outcome may have changed that, the lower count is sent again.
            lower = min(order.count, order.accepted)
            order.count = lower if order.in_doubt else order.accepted
            order.confirmed = not order.in_doubt
        else:
            order.accepted = sent.count
            order.in_doubt = False
        if not order.in_doubt:
            order.bound = max(order.accepted, order.count)
            order.differs_since = now

    def record_unsent(self, order: CapacityOrder, now: float) -> None:
        """Record that an order must wait since no call is permitted now."""
        found = self._orders.get(Pool(order.data_centre, order.reclaimable))
        if found is not None:
            found.retry_at = now + RETRY_MIN_S

    def _endpoints_for(self, items: float) -> int:
        return math.ceil(items * SLOTS_PER_ITEM / self._slots)

    def _present_floor(self, now: float) -> dict[str, int]:
        total = sum(self._floor.values())
        needed = self._endpoints_for(self._long_peak.value())
        if not self._long_peak.is_complete(now) or needed >= FLOOR_SHARE * total:
            return self._floor
        return {name: math.ceil(FLOOR_SHARE * n) for name, n in self._floor.items()}

    def _is_blocked(self, pool: Pool, now: float) -> bool:
        order = self._orders[pool]
        if now < order.blocked_until:
            return True
        # Endpoints also leave when fewer are ordered; after a reclaim some are missing.
        reclaimed_at = self._reclaimed_at.get(pool.data_centre)
        return (
            pool.reclaimable
            and reclaimed_at is not None
            and now - reclaimed_at < RECLAIM_PAUSE_S
            and self._live[pool] < order.count
        )

    def _learn_floor(self, data_centre: str, now: float) -> None:
        pool = Pool(data_centre, False)
        if now < self._learns_floor_until and not self._orders[pool].ordered:
            seen = (self._floor.get(data_centre, 0), self._first_seen[data_centre])
            self._floor[data_centre] = max(*seen, self._live[pool])

    def _follow(self, pool: Pool, now: float) -> None:
        """Compare an order with the registered endpoints.

        Without an order, they are what is in force; a missing non-reclaimable one
        restarts without any.
        """
        order = self._orders.setdefault(pool, _PoolOrder(0, False))
        live = self._live[pool]
        if not order.ordered:
            order.count = live if pool.reclaimable else max(order.count, live)
            order.accepted = order.bound = order.count
        if live == order.count:
            order.differs_since = None
        elif order.differs_since is None:
            order.differs_since = now

    def _next_count(
        self, pool: Pool, target: int, limits: ScaleLimits, now: float
    ) -> int | None:
        order = self._orders[pool]
        if now < order.retry_at:
            return None
        blocked = self._is_blocked(pool, now)
        other = self._count_bound(Pool(pool.data_centre, not pool.reclaimable))
        target = min(target, max(order.count, limits.count_max - other))
        if target >= order.count:
            order.lower_since = None
        if target > order.count and not blocked:
            return target
        if target < order.count:
            excess = self._excess(pool.data_centre, limits)
            if excess > 0:
                order.lower_since = None
                return max(target, order.count - excess)
            if self._may_shrink(order, target, now):
                return order.lower_max
        if not order.confirmed:
            return order.count
        return order.count if not blocked and self._differs(pool, limits, now) else None

    def _excess(self, data_centre: str, limits: ScaleLimits) -> int:
        """Return by how much both kinds exceed the maximum, after it was lowered."""
        kinds = (False, True)
        counts = [self._orders[Pool(data_centre, kind)].count for kind in kinds]
        return sum(counts) - limits.count_max

    def _count_bound(self, pool: Pool) -> int:
        """Return the largest count of a pool that the platform may have in force.

        A call to shrink it may have been lost.
        """
        order = self._orders[pool]
        return order.count if order.confirmed else max(order.bound, self._live[pool])

    def _may_shrink(self, order: _PoolOrder, target: int, now: float) -> bool:
        if not self._peak.is_complete(now):
            # The peak of an instance that has just started may be too low.
            order.lower_since = None
            return False
        if order.lower_since is None:
            order.lower_since, order.lower_max = now, target
        order.lower_max = max(order.lower_max, target)
        if now - order.lower_since < SHRINK_AFTER_S:
            return False
        if order.count - order.lower_max >= SHRINK_SHARE * order.count:
            return True
        order.lower_since, order.lower_max = now, target
        return False

    def _differs(self, pool: Pool, limits: ScaleLimits, now: float) -> bool:
        """Return whether registered endpoints show that an order was lost."""
        order = self._orders[pool]
        if order.differs_since is None or not order.ordered:
            return False
        missing = self._live[pool] < order.count
        wait_s = limits.boot_s + MISSING_AFTER_S if missing else SURPLUS_AFTER_S
        return now - order.differs_since >= wait_s

"""Keep to the request rates of tenants over all instances together.

Answers how instances that each see a part of a tenant's requests admit no more than its
rate, without refusing a tenant that keeps to it. The rate is kept in token buckets in
the metadata store, from which each instance takes permits for the requests that wait
and for those that it expects until its next fetch. A high rate is divided among several
buckets in partitions of their own, since writes to one bucket meet each other. Designed
for 340 instances and a few tenants of up to 1,000 requests a second.
"""

import math
from collections import deque
from typing import NamedTuple

from plantainstack.policy.tenants import Tenant
from plantainstack.settings.node import TenantOptions

# Time over which the permitted excess is spent: half of it as a higher rate and half as
# the size of the bucket.
EXCESS_WINDOW_S = 10.0
# A bucket holds at least this many requests, since arrivals are never even.
BUCKET_REQUESTS = 2.0
# A bucket that is used up further ahead than its size was written for a lower rate, or
# is invalid. The allowance covers an instance that knows the store's time late.
AHEAD_SLACK_S = 1.0
# A bucket that was full for this long was probably not reached. Shorter times are due
# to uneven arrivals, and would add up to an excess.
IDLE_MIN_S = 1.0
# Time beyond its size for which a bucket takes over debts.
DEBT_AHEAD_S = 0.5
# Rate for which one bucket is used, and the maximum number of a tenant's buckets.
BUCKET_RATE = 50.0
BUCKETS_MAX = 10
# Fetches a second that all instances aim at together: from one bucket, of the 200
# transactions of a partition, and for one tenant, of the store's 1,500 writes.
FETCHES_PER_BUCKET_S = 60.0
FETCHES_PER_TENANT_S = 200.0
FETCH_METER_S = 2.0
# Share of a bucket's free requests that one fetch takes for requests to come, so that
# enough is left for those that wait at other instances.
AHEAD_SHARE = 0.25
# Bounds of the time for which an instance fetches permits at once.
HORIZON_MIN_S = 0.1
HORIZON_MAX_S = 4.0
# Growth of an instance's own horizon at each conflict or shortage, and the share of its
# difference to the common one by which it returns at each fetch.
CONTENTION_FACTOR = 1.3
CALM_SHARE = 0.3
# A tenant is above its rate for long if an instance refuses this share of its requests.
# Instances then take larger parts of a bucket less often, to spare the store.
OVERLOAD_SHARE = 1 / 3
# Maximum time for which the horizon defers a fetch after a shortage.
SHORTAGE_MAX_S = 1.0
# A permit is void after this many horizons, so that permits cannot be collected.
LIFETIME_HORIZONS = 3.0
# Time over which an instance averages what it gets and what it admits.
METER_S = 3.0
# Time for which an instance goes on without the store, at the rate that it was granted
# before with an allowance for uneven arrivals.
OUTAGE_S = 10.0
OUTAGE_SHARE = 1.25
OUTAGE_BURST_S = 0.5
# Bounds of the delay that a refused client is told.
RETRY_AFTER_MIN_S = 0.25
RETRY_AFTER_MAX_S = 5.0


class TenantBucket(NamedTuple):
    """Hold the shared use of a tenant's rate; times are those of the store's clock.

    `used_until` is the time up to which the rate is used up. `fetch_rate` is the rate
    of all instances' fetches, averaged until `fetched_at`, and `horizon_s` the time for
    which each of them takes permits at once.
    """

    used_until: float = 0.0
    fetched_at: float = 0.0
    fetch_rate: float = 0.0
    horizon_s: float = HORIZON_MIN_S
    idle_s: float = 0.0


class Permits(NamedTuple):
    """Hold the permits granted, the bucket to store and the time until one more.

    `paid` is the part of the debt that the bucket has taken over.
    """

    count: int
    bucket: TenantBucket
    wait_s: float
    paid: int = 0


class RateMeter:
    """Average a rate of events over `window_s` seconds."""

    def __init__(self, window_s: float = METER_S):
        self._window_s = window_s
        self._rate = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._rate = self.rate(now) + 1.0 / self._window_s
        self._at = now

    def rate(self, now: float) -> float:
        """Return the events a second."""
        return self._rate * math.exp(-max(0.0, now - self._at) / self._window_s)


class Need(NamedTuple):
    """Hold how many requests wait for permits, and how many more are expected.

    `overloaded` means that the tenant has been above its rate for some time. `debt` is
    the number of requests that were admitted without the store.
    """

    waiting: int
    expected: int
    overloaded: bool = False
    debt: int = 0


def bucket_count(tenant: Tenant) -> int:
    """Return the number of buckets among which a tenant's rate is divided."""
    return max(1, min(BUCKETS_MAX, math.ceil(tenant.rate_per_s / BUCKET_RATE)))


def refill_rate(tenant: Tenant, options: TenantOptions) -> float:
    """Return the requests a second that each of a tenant's buckets gains."""
    rate = tenant.rate_per_s / bucket_count(tenant)
    return rate * (1.0 + options.quota_excess / 2.0)


def bucket_size(tenant: Tenant, options: TenantOptions) -> float:
    """Return how many requests each of a tenant's buckets holds."""
    rate = tenant.rate_per_s / bucket_count(tenant)
    excess = rate * options.quota_excess / 2.0
    return BUCKET_REQUESTS + excess * EXCESS_WINDOW_S


def grant(
    bucket: TenantBucket,
    tenant: Tenant,
    options: TenantOptions,
    need: Need,
    store_now: float,
) -> Permits:
    """Grant permits to one fetch; the tenant's rate is above 0."""
    rate = refill_rate(tenant, options)
    size = bucket_size(tenant, options)
    fetches = min(FETCHES_PER_BUCKET_S, FETCHES_PER_TENANT_S / bucket_count(tenant))
    bucket = _count_fetch(bucket, fetches, store_now)
    ahead_s = bucket.used_until - store_now
    if not ahead_s <= size / rate + AHEAD_SLACK_S:
        ahead_s = size / rate
    idle_s = bucket.idle_s
    if -ahead_s > IDLE_MIN_S:
        idle_s = min(OUTAGE_S, idle_s - ahead_s)
    ahead_s = max(0.0, ahead_s)
    ahead_max_s = size / rate + DEBT_AHEAD_S
    paid = max(0, min(need.debt, math.floor((idle_s + ahead_max_s - ahead_s) * rate)))
    ahead_s += max(0.0, paid / rate - idle_s)
    idle_s = max(0.0, idle_s - paid / rate)
    # Times lose digits when they are added.
    free = size - ahead_s * rate + 1e-6
    count = max(0, min(need.waiting, math.floor(free)))
    share = 1.0 if need.overloaded else AHEAD_SHARE
    count += max(0, min(need.expected, math.floor(share * (free - count))))
    used_until = store_now + ahead_s + count / rate
    wait_s = max(0.0, (1.0 + count - free) / rate)
    return Permits(
        count, bucket._replace(used_until=used_until, idle_s=idle_s), wait_s, paid
    )


def _count_fetch(
    bucket: TenantBucket, fetches_per_s: float, store_now: float
) -> TenantBucket:
    """Count a fetch, and let the horizon follow the rate of fetches.

    The horizon changes by a small factor at each fetch, so that the average can follow.
    """
    valid = (
        0.0 <= bucket.fetch_rate < math.inf
        and HORIZON_MIN_S <= bucket.horizon_s <= HORIZON_MAX_S
        and 0.0 <= bucket.idle_s <= OUTAGE_S
        and bucket.fetched_at <= store_now + AHEAD_SLACK_S
    )
    if not valid:
        bucket = TenantBucket(bucket.used_until, store_now)
    elapsed_s = max(0.0, store_now - bucket.fetched_at)
    fetch_rate = bucket.fetch_rate * math.exp(-elapsed_s / FETCH_METER_S)
    fetch_rate += 1.0 / FETCH_METER_S
    # After a rest, one fetch weighs more than among many.
    weight = min(1.0, 1.0 / (fetch_rate * FETCH_METER_S))
    horizon_s = bucket.horizon_s * (fetch_rate / fetches_per_s) ** weight
    horizon_s = min(HORIZON_MAX_S, max(HORIZON_MIN_S, horizon_s))
    fetched_at = max(bucket.fetched_at, store_now)
    return bucket._replace(
        fetched_at=fetched_at, fetch_rate=fetch_rate, horizon_s=horizon_s
    )


class TenantPermits:
    """Hold one tenant's permits at this instance; times are monotonic seconds."""

    def __init__(self):
        self.horizon_s = HORIZON_MIN_S
        # Time before which the bucket is known to be used up.
        self.refused_until = 0.0
        self._valid_until: deque[float] = deque()
        self._asked = RateMeter()
        self._admitted = RateMeter()
        self._outage_since: float | None = None
        self._outage_rate = 0.0
        self._outage_used_until = 0.0
        self._debt = 0

    def record_request(self, now: float) -> None:
        """Count a request of the tenant, whether or not it is admitted."""
        self._asked.add(now)

    def take(self, now: float) -> bool:
        """Use a permit; return False if there is none."""
        if not self._count(now):
            return False
        self._valid_until.popleft()
        self._admitted.add(now)
        return True

    def need(self, waiting: int, fetch_s: float, now: float) -> Need:
        """Return the permits to fetch, if `waiting` requests have none.

        `fetch_s` is the duration of a fetch.
        """
        held = self._count(now)
        missing = max(0, waiting - held)
        expected = math.floor(self._expected(fetch_s, now))
        expected = max(0, expected - max(0, held - waiting))
        return Need(missing, expected, self.is_overloaded(now), self._debt)

    def refill_due(self, fetch_s: float, now: float) -> bool:
        """Return whether to fetch permits before the last of them is used."""
        expected = self._expected(fetch_s, now)
        if now < self.refused_until or expected < 1.0:
            return False
        return self._count(now) < expected / 2.0

    def record_contention(self) -> None:
        """Fetch less often, since other instances use the same bucket."""
        self.horizon_s = min(HORIZON_MAX_S, CONTENTION_FACTOR * self.horizon_s)

    def _expected(self, fetch_s: float, now: float) -> float:
        """Return how many requests are expected until the next fetch."""
        return self._asked.rate(now) * max(self.horizon_s, 2.0 * fetch_s)

    def is_overloaded(self, now: float) -> bool:
        """Return whether the tenant has been above its rate for some time."""
        # One request more or less is no overload.
        asked = self._asked.rate(now) - 1.0 / METER_S
        return (1.0 - OVERLOAD_SHARE) * asked > self._admitted.rate(now)

    def _count(self, now: float) -> int:
        """Return the number of valid permits."""
        while self._valid_until and self._valid_until[0] <= now:
            self._valid_until.popleft()
        return len(self._valid_until)

    def add(self, permits: Permits, now: float) -> None:
        """Add the permits of an answered fetch."""
        self._outage_since = None
        self._debt -= permits.paid
        shared_s = permits.bucket.horizon_s
        self.horizon_s += CALM_SHARE * (shared_s - self.horizon_s)
        lifetime_s = LIFETIME_HORIZONS * self.horizon_s
        self._valid_until.extend([now + lifetime_s] * permits.count)

    def record_shortage(self, wait_s: float, spread: float, now: float) -> None:
        """Record that requests wait and all buckets are used up for `wait_s`.

        `spread` is random, in [0, 1): instances do not fetch again all at once.
        """
        wait_s = max(wait_s, min(self.horizon_s, SHORTAGE_MAX_S))
        self.record_contention()
        self.refused_until = now + wait_s * (1.0 + spread)

    def record_outage(self, now: float) -> None:
        """Record that the store did not answer a fetch."""
        if self._outage_since is None:
            self._outage_since = now
            self._outage_rate = OUTAGE_SHARE * self._admitted.rate(now)

    def in_outage(self) -> bool:
        """Return whether the last fetch had no answer."""
        return self._outage_since is not None

    def take_in_outage(self, now: float) -> bool:
        """Admit a request without the store, within what this instance had before.

        It is a debt to the buckets.
        """
        rate = self._outage_rate
        if (
            self._outage_since is None
            or now - self._outage_since >= OUTAGE_S
            or not rate
        ):
            return False
        size = min(BUCKET_REQUESTS, 10.0 * rate) + OUTAGE_BURST_S * rate
        ahead_s = max(0.0, self._outage_used_until - now)
        if size - ahead_s * rate < 1.0:
            return False
        self._outage_used_until = now + ahead_s + 1.0 / rate
        self._debt += 1
        return True

    def retry_after_s(self, spread: float, now: float) -> float:
        """Return when a refused client may return; `spread` is random, in [0, 1).

        The time over which returns are spread grows with the excess of the tenant.
        """
        wait_s = max(RETRY_AFTER_MIN_S, self.refused_until - now)
        admitted = max(self._admitted.rate(now), 1e-9)
        excess = max(1.0, self._asked.rate(now) / admitted)
        return min(wait_s * (1.0 + spread * excess), RETRY_AFTER_MAX_S * (0.5 + spread))

"""Keep to the request rates that endpoints accept from all instances together.

Answers an endpoint that takes fewer requests than its slots allow while others of its
service may have room. Each instance is told of the limit by itself, so the limit is
shared as a token bucket in the metadata store: an instance sends a request to such an
endpoint only with a permit from its bucket. Live callers go first: items and reward
calls leave a part of the bucket to them.
"""

import math
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from plantainstack.interfaces import Priority
from plantainstack.serving import Endpoint

# A permit that was not used by then is void, so that permits cannot be collected and
# used at once.
PERMIT_LIFETIME_S = 0.8
# Size of a bucket: this many requests, and those of this time.
BUCKET_REQUESTS = 2.0
BUCKET_S = 0.5
# Share of a bucket that only live callers may use.
CALLER_SHARE = 1 / 3
# Time for whose requests permits are fetched at once, which bounds the store's load.
FETCH_S = {Priority.CALLER: 0.1, Priority.ROLLOUT: 0.5}
# A limit of 0 still permits a request now and then, which shows when it has ended.
RATE_MIN = 0.2
# Higher limits restrict nothing.
RATE_MAX = 10_000.0
# A bucket is never used up further ahead, even if the store's time is known late.
AHEAD_MAX_S = 2.0 * (BUCKET_REQUESTS / RATE_MIN + BUCKET_S)
# A limit that was not confirmed for this long is checked by a request.
RECHECK_S = 2.0


class RateBucket(NamedTuple):
    """Hold the shared use of an endpoint's limit; times are those of the store's clock.

    `used_until` is the time up to which the limit is used up by permits. `ended_at` is
    the time at which an instance last saw that the endpoint names no limit any more.
    """

    used_until: float = 0.0
    ended_at: float = 0.0


class Grant(NamedTuple):
    """Hold the permits granted, and the seconds until there is one if there is none."""

    count: int
    bucket: RateBucket
    wait_s: float


def grant_permits(
    bucket: RateBucket, limit: float, priority: Priority, wanted: int, store_now: float
) -> Grant:
    """Grant up to `wanted` permits from a bucket with a limit in requests a second."""
    rate = min(RATE_MAX, max(limit, RATE_MIN))
    size = BUCKET_REQUESTS + BUCKET_S * rate
    reserved = 0.0 if priority is Priority.CALLER else CALLER_SHARE * size
    if not bucket.used_until - store_now <= AHEAD_MAX_S:
        # No instance has written this: the bucket counts as used up now.
        bucket = bucket._replace(used_until=store_now + size / rate)
    used = max(0.0, bucket.used_until - store_now) * rate
    free = size - reserved - used
    count = min(wanted, math.floor(free))
    if count < 1:
        return Grant(0, bucket, (1.0 - free) / rate)
    used_until = max(bucket.used_until, store_now) + count / rate
    return Grant(count, bucket._replace(used_until=used_until), 0.0)


def permits_per_fetch(limit: float, priority: Priority) -> int:
    """Return how many permits an instance fetches at once."""
    return max(1, math.ceil(min(limit, RATE_MAX) * FETCH_S[priority]))


class _LimitState:
    """Hold the limit of one endpoint, and when this instance's permits expire."""

    def __init__(self, limit: float, now: float):
        self.limit = limit
        self.named_at = now
        self.checked_at = now
        self.permits: dict[Priority, deque[float]] = {
            priority: deque() for priority in Priority
        }


class RateLimits:
    """Hold the limits that this instance was told of, and its permits.

    Times are monotonic seconds. State belongs to one run of an endpoint.
    """

    def __init__(self):
        self._states: dict[tuple[str, int], _LimitState] = {}

    def limit(self, endpoint: Endpoint) -> float | None:
        """Return the limit in requests a second, or None if there is none."""
        state = self._states.get(endpoint.incarnation())
        return state.limit if state else None

    def age_s(self, endpoint: Endpoint, now: float) -> float:
        """Return for how many seconds a limit has not been named again."""
        return now - self._states[endpoint.incarnation()].named_at

    def count(self) -> int:
        """Return the number of endpoints with a limit."""
        return len(self._states)

    def record(
        self, endpoint: Endpoint, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit in an answer; return whether it has changed.

        An answer without a limit ends it, unless its request was sent before the
        limit was last named: answers may overtake each other.
        """
        key = endpoint.incarnation()
        state = self._states.get(key)
        if limit is not None:
            limit = min(limit, RATE_MAX)
        before = state.limit if state else None
        if limit is None:
            if state is None or sent_at < state.named_at:
                return False
            del self._states[key]
        elif state is None:
            self._states[key] = _LimitState(limit, now)
        else:
            state.limit = limit
            state.named_at = state.checked_at = now
        return limit != before

    def forget(self, endpoints: Sequence[Endpoint]) -> None:
        """Delete the state of endpoints that have gone or whose limit has ended."""
        for endpoint in endpoints:
            self._states.pop(endpoint.incarnation(), None)

    def may_send(self, endpoint: Endpoint, priority: Priority, now: float) -> bool:
        """Return whether an endpoint has no limit, or a permit for it is left."""
        state = self._states.get(endpoint.incarnation())
        if state is None:
            return True
        permits = state.permits[priority]
        while permits and permits[0] <= now:
            permits.popleft()
        return bool(permits)

    def take(self, endpoint: Endpoint, priority: Priority, now: float) -> bool:
        """Use a permit; return False if the endpoint has a limit and none is left."""
        if not self.may_send(endpoint, priority, now):
            return False
        state = self._states.get(endpoint.incarnation())
        if state is not None:
            state.permits[priority].popleft()
        return True

    def add_permits(
        self, endpoint: Endpoint, priority: Priority, count: int, fetched_at: float
    ) -> None:
        """Add permits whose fetch began at the given time."""
        state = self._states.get(endpoint.incarnation())
        if state is not None:
            state.permits[priority].extend([fetched_at + PERMIT_LIFETIME_S] * count)

    def recheck_due(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether to check if a limit still holds; True once per interval."""
        state = self._states.get(endpoint.incarnation())
        if state is None or now - state.checked_at < RECHECK_S:
            return False
        state.checked_at = now
        return True

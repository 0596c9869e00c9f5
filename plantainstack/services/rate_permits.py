"""Plug-in that shares the request rates of limited endpoints through the store."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import msgspec

from plantainstack import log, metrics
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.interfaces import Priority
from plantainstack.plugins import Plugin
from plantainstack.policy import rate_limits
from plantainstack.policy.forwarding import RETRY_AFTER_S
from plantainstack.policy.order_lease import StoreClock
from plantainstack.policy.rate_limits import RateBucket
from plantainstack.serving import Endpoint, RowName, StoredRow, Transaction

BUCKET_TABLE = "rate_buckets"
# A conflict returns the current row, so the next try mostly succeeds.
FETCH_TRIES = 3
# Delay after a fetch that the store did not answer, or that met conflicts only.
FETCH_RETRY_S = 0.3
# Maximum wait of a caller's request for a permit; a fetch takes two calls to the store.
PERMIT_WAIT_S = 0.15

_BUCKET = msgspec.msgpack.Decoder(RateBucket)


class _StoredBucket(NamedTuple):
    """Hold a bucket with the version of its row, as last seen."""

    bucket: RateBucket
    version: int


_NO_BUCKET = _StoredBucket(RateBucket(), 0)


class _Fetch:
    """Track the fetching of permits for one endpoint and priority."""

    def __init__(self):
        self.running: anyio.Event | None = None
        self.wanted = 0
        self.not_before = 0.0


class RatePermits(Plugin):
    """Fetch permits for endpoints that have named a limit."""

    name = "rate_permits"
    requires = ("discovery", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._store_clock = StoreClock()
        self._unreadable = UnreadableRows("endpoint.bucket_not_readable")
        self._buckets: dict[tuple[str, int], _StoredBucket] = {}
        self._fetches: dict[tuple, _Fetch] = {}
        self._rng = random.Random()
        self._tasks = None

    async def start(self, tasks) -> None:
        """Look up the plug-ins that this one depends on."""
        self._discovery = self.kernel.plugin("discovery")
        self._limits = self._discovery.rate_limits
        self._store = self.kernel.plugin("store").metadata_store
        self._tasks = tasks

    def open_endpoints(
        self, endpoints: Sequence[Endpoint], priority: Priority
    ) -> list[Endpoint]:
        """Return the endpoints that may be sent a request; fetch permits for others."""
        now = self._clock.now()
        found = []
        for endpoint in endpoints:
            if self._limits.may_send(endpoint, priority, now):
                found.append(endpoint)
            else:
                self._request_permits(endpoint, priority)
        return found

    def take(self, endpoint: Endpoint, priority: Priority) -> bool:
        """Use a permit; return False if the endpoint has a limit and none is left."""
        return self._limits.take(endpoint, priority, self._clock.now())

    async def acquire(
        self, endpoint: Endpoint, priority: Priority, deadline: float
    ) -> bool:
        """Use a permit; if there is none, wait for the store until the deadline."""
        if self.take(endpoint, priority):
            return True
        fetched = self._request_permits(endpoint, priority)
        if fetched is None:
            return False
        wait_s = min(PERMIT_WAIT_S, deadline - self._clock.now())
        with anyio.move_on_after(max(0.0, wait_s)):
            await fetched.wait()
        return self.take(endpoint, priority)

    def wait_s(self, endpoint: Endpoint, priority: Priority) -> float:
        """Return the seconds until permits are fetched again, at least the default."""
        fetch = self._fetches.get((endpoint.incarnation(), priority))
        wait_s = fetch.not_before - self._clock.now() if fetch else 0.0
        return max(RETRY_AFTER_S, wait_s)

    def record_request(self, endpoint: Endpoint, request_id: str) -> None:
        """Record a request that is sent, if the endpoint has named a limit."""
        limit = self._limits.limit(endpoint)
        if limit is None:
            return
        metrics.LIMITED_REQUESTS.labels(endpoint.service).inc()
        log.event(
            "endpoint.limited_request", request_id, endpoint=endpoint.id, limit=limit
        )

    def record_answer(
        self, endpoint: Endpoint, limit: float | None, sent_at: float
    ) -> None:
        """Record the limit that an answer names; `sent_at` is that of its request."""
        if not self._limits.record(endpoint, limit, sent_at, self._clock.now()):
            return
        self._log_change(endpoint, limit, "answer")
        if limit is None and self._tasks is not None:
            self._tasks.start_soon(self._store_end, endpoint)

    def _log_change(self, endpoint: Endpoint, limit: float | None, source: str) -> None:
        metrics.LIMITED_ENDPOINTS.set(self._limits.count())
        log.event(
            "endpoint.limit_ended" if limit is None else "endpoint.limit_named",
            endpoint=endpoint.id,
            service=endpoint.service,
            limit=limit,
            source=source,
        )

    def _request_permits(
        self, endpoint: Endpoint, priority: Priority
    ) -> anyio.Event | None:
        """Start or join a fetch; return None if it is too early for one."""
        key = (endpoint.incarnation(), priority)
        fetch = self._fetches.setdefault(key, _Fetch())
        fetch.wanted += 1
        if fetch.running is not None:
            return fetch.running
        if self._tasks is None or self._clock.now() < fetch.not_before:
            fetch.wanted = 0
            return None
        fetch.running = anyio.Event()
        self._tasks.start_soon(self._fetch_permits, endpoint, priority, fetch)
        return fetch.running

    async def _fetch_permits(
        self, endpoint: Endpoint, priority: Priority, fetch: _Fetch
    ) -> None:
        try:
            wait_s = await self._try_fetch(endpoint, priority, fetch)
        finally:
            fetch.running.set()
            fetch.running = None
            fetch.wanted = 0
        if wait_s > 0.0:
            # Spread, since all instances learn the same time from a bucket.
            wait_s *= self._rng.uniform(1.0, 2.0)
            fetch.not_before = self._clock.now() + wait_s
        self._forget_gone_endpoints()

    async def _try_fetch(
        self, endpoint: Endpoint, priority: Priority, fetch: _Fetch
    ) -> float:
        """Fetch permits; return the seconds until the next fetch makes sense."""
        if not await self._ensure_bucket_read(endpoint):
            return FETCH_RETRY_S
        for _ in range(FETCH_TRIES):
            limit = self._limits.limit(endpoint)
            if limit is None:
                return 0.0
            found = self._buckets.get(endpoint.incarnation(), _NO_BUCKET)
            sent_at = self._clock.now()
            if self._has_ended(endpoint, found.bucket):
                self._limits.forget([endpoint])
                self._log_change(endpoint, None, "other instance")
                return 0.0
            wanted = max(
                fetch.wanted if priority is Priority.CALLER else 0,
                rate_limits.permits_per_fetch(limit, priority),
            )
            store_now = self._store_clock.earliest(sent_at)
            granted = rate_limits.grant_permits(
                found.bucket, limit, priority, wanted, store_now
            )
            if not granted.count:
                if granted.bucket != found.bucket:
                    # The stored bucket cannot be right; without a write, its time
                    # would move on with the present.
                    await self._write(endpoint, found, granted.bucket)
                return granted.wait_s
            written = await self._write(endpoint, found, granted.bucket)
            if written is None:
                return FETCH_RETRY_S
            if written:
                self._limits.add_permits(endpoint, priority, granted.count, sent_at)
                return 0.0
        return FETCH_RETRY_S

    async def _ensure_bucket_read(self, endpoint: Endpoint) -> bool:
        """Read the bucket, and with it the store's time, unless it is known."""
        key = endpoint.incarnation()
        if key in self._buckets:
            return True
        sent_at = self._clock.now()
        name = _row_name(key)
        outcome = await self._store.read(
            name.table, name.part, name.key, f"{name.key}\0"
        )
        if outcome.is_err():
            self._log_failure(endpoint, outcome.unwrap_err().message)
            return False
        found = outcome.unwrap()
        self._store_clock.update(sent_at, self._clock.now(), found.store_now)
        self._buckets[key] = _NO_BUCKET
        for row in found.rows:
            self._buckets[key] = self._decode(row)
        return True

    async def _write(
        self, endpoint: Endpoint, found: _StoredBucket, bucket: RateBucket
    ) -> bool | None:
        """Replace a bucket; return whether it was unchanged, None without an answer."""
        name = _row_name(endpoint.incarnation())
        sent_at = self._clock.now()
        outcome = await self._store.transact(
            Transaction(
                expected=((name, found.version),),
                puts=((name, msgspec.msgpack.encode(bucket)),),
            )
        )
        if outcome.is_err():
            self._log_failure(endpoint, outcome.unwrap_err().message)
            return None
        done = outcome.unwrap()
        self._store_clock.update(sent_at, self._clock.now(), done.store_now)
        stored = _StoredBucket(bucket, done.version)
        if not done.applied:
            stored = self._decode(done.conflicts[0]) if done.conflicts else _NO_BUCKET
        self._buckets[endpoint.incarnation()] = stored
        return done.applied

    async def _store_end(self, endpoint: Endpoint) -> None:
        """Tell the other instances that a limit has ended."""
        if not await self._ensure_bucket_read(endpoint):
            return
        for _ in range(FETCH_TRIES):
            found = self._buckets[endpoint.incarnation()]
            latest = self._store_clock.earliest(self._clock.now())
            bucket = found.bucket._replace(ended_at=latest)
            if await self._write(endpoint, found, bucket) is not False:
                return

    def _has_ended(self, endpoint: Endpoint, bucket: RateBucket) -> bool:
        """Return whether another instance has seen the end of a limit since."""
        now = self._clock.now()
        named_at = self._store_clock.latest(now) - self._limits.age_s(endpoint, now)
        return named_at < bucket.ended_at <= self._store_clock.latest(now)

    def _forget_gone_endpoints(self) -> None:
        for incarnation, found in list(self._buckets.items()):
            endpoint = self._discovery.view.known.get(incarnation[0])
            if endpoint is not None and endpoint.incarnation() == incarnation:
                continue
            del self._buckets[incarnation]
            for priority in Priority:
                self._fetches.pop((incarnation, priority), None)
            self._tasks.start_soon(self._remove, _row_name(incarnation), found.version)

    async def _remove(self, name: RowName, version: int) -> None:
        outcome = await self._store.transact(
            Transaction(expected=((name, version),), removed=(name,))
        )
        if outcome.is_err():
            log.event(
                "endpoint.bucket_not_removed",
                endpoint=name.part,
                reason=outcome.unwrap_err().message,
            )

    def _decode(self, row: StoredRow) -> _StoredBucket:
        """Decode a bucket; one that cannot be read is replaced at the next write."""
        if row.value is None:
            return _NO_BUCKET
        decoded = decode(_BUCKET, row.value)
        if decoded.is_err():
            self._unreadable.record(row, decoded.unwrap_err())
        return _StoredBucket(decoded.unwrap_or(RateBucket()), row.version)

    def _log_failure(self, endpoint: Endpoint, reason: str) -> None:
        log.event("endpoint.permits_unknown", endpoint=endpoint.id, reason=reason)


def _row_name(incarnation: tuple[str, int]) -> RowName:
    id, started_ms = incarnation
    return RowName(BUCKET_TABLE, id, str(started_ms))

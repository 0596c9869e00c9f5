"""Plug-in that keeps to the request rates of tenants through the store."""

import math
import random
from enum import StrEnum

import anyio
import msgspec
from result import Err, Ok, Result

from plantainstack import log, metrics
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.plugins import Plugin
from plantainstack.policy import tenant_rates
from plantainstack.policy.order_lease import StoreClock
from plantainstack.policy.tenant_rates import Permits, TenantBucket, TenantPermits
from plantainstack.policy.tenants import Tenant
from plantainstack.serving import Route, RowName, Transaction

BUCKET_TABLE = "tenant_rates"
BUCKET_KEY = "bucket"
# A bucket that is written often changes between the read and the write of a fetch.
FETCH_TRIES = 4
# Error of times that were added; a larger change mends a bucket that is not valid.
ROUNDING_S = 0.001
# Delay after a fetch that the store did not answer.
FETCH_RETRY_S = 0.3
# Maximum wait of a request for a permit, and its share of the time that the request has
# left; a slow store answers a call in 0.2 s, and a fetch takes two or more.
WAIT_MAX_S = 1.0
WAIT_SHARE = 0.5
# A fetch of this age without an answer counts as an outage once a request has waited in
# vain. A slow store takes 0.4 s, and a client's deadline may be shorter than any fetch.
OUTAGE_MIN_S = 0.5

_BUCKET = msgspec.msgpack.Decoder(TenantBucket)


class _Decision(StrEnum):
    """Name what became of a request, as a label of metrics."""

    ADMITTED = "admitted"
    WITHOUT_STORE = "without_store"
    ABOVE_RATE = "above_rate"
    UNKNOWN = "unknown"


class _Account:
    """Hold one tenant's permits and the fetching of more."""

    def __init__(self, tenant: Tenant):
        self.tenant = tenant
        self.permits = TenantPermits()
        self.fetch: anyio.Event | None = None
        self.fetch_began_at = 0.0
        self.fetch_s = 0.0
        self.not_before = 0.0
        self.waiting = 0


class TenantRates(Plugin):
    """Admit requests of tenants with a rate; others cost nothing."""

    name = "tenant_rates"
    requires = ("discovery", "store")

    def __init__(self, kernel):
        super().__init__(kernel)
        self._clock = kernel.clock
        self._store_clock = StoreClock()
        self._unreadable = UnreadableRows("tenant.bucket_not_readable")
        self._accounts: dict[str, _Account] = {}
        self._rng = random.Random()

    async def start(self, tasks) -> None:
        """Look up the plug-ins that this one depends on."""
        self._discovery = self.kernel.plugin("discovery")
        self._store = self.kernel.plugin("store").metadata_store
        self._options = self.kernel.settings.tenants
        self._tasks = tasks

    async def refusal(
        self, tenant: Tenant | None, route: Route, deadline: float
    ) -> Failure | None:
        """Count a client's request; return why it is refused, None if it may run.

        Waits for the store if no permit is left. The deadline is that of the request.
        Routes that need no key are not counted.
        """
        if tenant is None or tenant.rate_per_s is None or route.public:
            return None
        decision, wait_s = _Decision.ABOVE_RATE, tenant_rates.RETRY_AFTER_MAX_S
        if tenant.rate_per_s > 0.0:
            account = self._account(tenant)
            decision = await self._decide(account, deadline)
            spread, now = self._rng.random(), self._clock.now()
            wait_s = account.permits.retry_after_s(spread, now)
        metrics.TENANT_RATE_REQUESTS.labels(tenant.name, decision.value).inc()
        return _failure(decision, wait_s)

    def _account(self, tenant: Tenant) -> _Account:
        account = self._accounts.get(tenant.name)
        if account is None:
            self._forget_gone_tenants()
            account = self._accounts[tenant.name] = _Account(tenant)
        elif account.tenant.rate_per_s != tenant.rate_per_s:
            # Permits of the former rate may exceed the new one.
            account.tenant = tenant
            account.permits = TenantPermits()
            account.not_before = 0.0
        return account

    def _forget_gone_tenants(self) -> None:
        directory = self._discovery.serving.tenants
        known = {} if directory is None else directory.tenants
        for name in [name for name in self._accounts if name not in known]:
            del self._accounts[name]

    async def _decide(self, account: _Account, deadline: float) -> _Decision:
        now = self._clock.now()
        wait_until = now + min(WAIT_MAX_S, WAIT_SHARE * (deadline - now))
        account.permits.record_request(now)
        while True:
            permits, now = account.permits, self._clock.now()
            if permits.take(now):
                if permits.refill_due(account.fetch_s, now):
                    self._start_fetch(account, now)
                return _Decision.ADMITTED
            if now < permits.refused_until:
                if permits.refused_until > wait_until or permits.is_overloaded(now):
                    return _Decision.ABOVE_RATE
                await self._clock.sleep_until(permits.refused_until)
                continue
            fetched = self._start_fetch(account, now)
            if now >= account.fetch_began_at + OUTAGE_MIN_S and now >= wait_until:
                permits.record_outage(now)
            if fetched is None or permits.in_outage() or now >= wait_until:
                break
            account.waiting += 1
            try:
                with anyio.move_on_after(wait_until - now):
                    await fetched.wait()
            finally:
                account.waiting -= 1
        if permits.take_in_outage(now):
            return _Decision.WITHOUT_STORE
        return _Decision.UNKNOWN

    def _start_fetch(self, account: _Account, now: float) -> anyio.Event | None:
        """Start or join a fetch; return None if it is too early for one."""
        if account.fetch is None and now >= account.not_before:
            account.fetch = anyio.Event()
            account.fetch_began_at = now
            self._tasks.start_soon(self._fetch, account)
        return account.fetch

    async def _fetch(self, account: _Account) -> None:
        started = self._clock.now()
        tenant, permits = account.tenant, account.permits
        # Holds if the fetch ends with an exception.
        account.not_before = started + FETCH_RETRY_S
        try:
            fetched = await self._fetch_permits(account, tenant, permits)
            now = self._clock.now()
            if fetched.is_ok():
                account.not_before = now
            else:
                account.not_before = now + FETCH_RETRY_S * (1.0 + self._rng.random())
                permits.record_outage(now)
        finally:
            event, account.fetch = account.fetch, None
            event.set()
        end = "ok" if fetched.is_ok() else "unanswered"
        metrics.TENANT_RATE_FETCHES.labels(end).inc()
        account.fetch_s = now - started
        if fetched.is_err():
            reason = fetched.unwrap_err()
            log.event("tenant.permits_unknown", tenant=tenant.name, reason=reason)

    async def _fetch_permits(
        self, account: _Account, tenant: Tenant, permits: TenantPermits
    ) -> Result[None, str]:
        """Take permits from one bucket after another, until no request waits."""
        buckets = list(range(tenant_rates.bucket_count(tenant)))
        self._rng.shuffle(buckets)
        wait_s = math.inf
        for bucket in buckets:
            name = RowName(BUCKET_TABLE, f"{bucket}/{tenant.name}", BUCKET_KEY)
            taken = await self._take(account, tenant, permits, name)
            if taken.is_err():
                return taken
            now = self._clock.now()
            if (granted := taken.unwrap()) is not None:
                permits.add(granted, now)
                wait_s = min(wait_s, granted.wait_s)
            need = permits.need(account.waiting, account.fetch_s, now)
            if not need.waiting and not (need.overloaded and need.expected):
                return Ok(None)
        if wait_s == 0.0:
            return Ok(None)
        if wait_s == math.inf:
            # Each try met another instance's; requests wait for the next fetch.
            await self._clock.sleep_until(now + permits.horizon_s * self._rng.random())
            return Ok(None)
        permits.record_shortage(wait_s, self._rng.random(), now)
        log.event(
            "tenant.rate_reached",
            tenant=tenant.name,
            rate_per_s=tenant.rate_per_s,
            waiting=need.waiting,
            seconds=round(permits.refused_until - now, 3),
        )
        return Ok(None)

    async def _take(
        self,
        account: _Account,
        tenant: Tenant,
        permits: TenantPermits,
        name: RowName,
    ) -> Result[Permits | None, str]:
        """Take permits from a bucket by compare-and-set; None if others were faster."""
        sent_at = self._clock.now()
        found = await self._store.read(name.table, name.part, name.key, f"{name.key}\0")
        if found.is_err():
            return Err(found.unwrap_err().message)
        rows = found.unwrap().rows
        self._update_clock(sent_at, found.unwrap().store_now)
        call_s = self._clock.now() - sent_at
        for attempt in range(FETCH_TRIES):
            bucket, version = self._decode(rows)
            sent_at = self._clock.now()
            need = permits.need(account.waiting, account.fetch_s, sent_at)
            store_now = self._store_clock.earliest(sent_at)
            granted = tenant_rates.grant(bucket, tenant, self._options, need, store_now)
            unchanged = granted.bucket.used_until >= bucket.used_until - ROUNDING_S
            if unchanged and not granted.count + granted.paid:
                return Ok(granted)
            written = await self._store.transact(
                Transaction(
                    expected=((name, version),),
                    puts=((name, msgspec.msgpack.encode(granted.bucket)),),
                )
            )
            if written.is_err():
                return Err(written.unwrap_err().message)
            self._update_clock(sent_at, written.unwrap().store_now)
            if written.unwrap().applied:
                return Ok(granted)
            metrics.TENANT_RATE_CONFLICTS.inc()
            permits.record_contention()
            rows = written.unwrap().conflicts
            # Instances that met each other's writes should not meet again.
            delay_s = call_s * 2**attempt * self._rng.random()
            await self._clock.sleep_until(self._clock.now() + delay_s)
        return Ok(None)

    def _update_clock(self, sent_at: float, store_now: float) -> None:
        self._store_clock.update(sent_at, self._clock.now(), store_now)

    def _decode(self, rows) -> tuple[TenantBucket, int]:
        """Decode a bucket; one that cannot be read is replaced at the next write."""
        for row in rows:
            if row.value is None:
                continue
            decoded = decode(_BUCKET, row.value)
            if decoded.is_err():
                self._unreadable.record(row, decoded.unwrap_err())
            return decoded.unwrap_or(TenantBucket()), row.version
        return TenantBucket(), 0


def _failure(decision: _Decision, wait_s: float) -> Failure | None:
    if decision is _Decision.ABOVE_RATE:
        message = "the tenant is above its rate"
        return Failure(ErrorKind.RATE_EXCEEDED, message, Outcome.NOT_RUN, wait_s)
    if decision is _Decision.UNKNOWN:
        message = "the store does not tell whether the tenant is above its rate"
        return Failure(ErrorKind.NOT_READY, message, Outcome.NOT_RUN, wait_s)
    return None

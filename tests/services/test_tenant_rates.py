"""Tests of the rates of tenants with several instances on one store."""

import math
import random
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from plantainstack.errors import ErrorKind, Outcome
from plantainstack.policy.tenant_rates import TenantBucket, bucket_count
from plantainstack.policy.tenants import Tenant, TenantDirectory
from plantainstack.services.tenant_rates import BUCKET_KEY, BUCKET_TABLE, TenantRates
from plantainstack.serving import RequestKind
from tests.policy.serving_samples import route
from tests.services.store_fleet import SAFE_ROUTE, FakePlatform, MemoryStore
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

CALL_S = 0.004
EXCESS = 0.1
LIMIT_S = 2.0


class SlowStore(MemoryStore):
    """Answer each call after `call_s` seconds; count the transactions."""

    call_s = CALL_S

    async def read(self, *args):
        await anyio.sleep(self.call_s)
        return await super().read(*args)

    async def transact(self, transaction):
        await anyio.sleep(self.call_s)
        return await super().transact(transaction)


class Fleet:
    """Run the rates of tenants at some instances, without endpoints."""

    def __init__(self, count, rate, seed=1):
        self.clock = LoopClock()
        self.platform = FakePlatform(self.clock)
        self.tenant = Tenant("acme", None, rate)
        self.rng = random.Random(seed)
        self.stores = [SlowStore(self.platform.rows, self.clock) for _ in range(count)]
        self.rates = [self._new_rates(store) for store in self.stores]
        self.refusals = []
        self.admitted_at = []

    def _new_rates(self, store):
        directory = TenantDirectory([(self.tenant, ())])
        plugins = {
            "discovery": SimpleNamespace(serving=SimpleNamespace(tenants=directory)),
            "store": SimpleNamespace(metadata_store=store),
        }
        options = SimpleNamespace(quota_excess=EXCESS)
        kernel = SimpleNamespace(
            clock=self.clock,
            plugin=plugins.__getitem__,
            settings=SimpleNamespace(tenants=options),
        )
        rates = TenantRates(kernel)
        rates._rng = self.rng
        return rates

    async def run(self, tasks, offered, seconds, used=None):
        """Send Poisson arrivals to random instances, to the first `used` of them."""
        end = self.clock.now() + seconds
        for rates in self.rates:
            await rates.start(tasks)
        async with anyio.create_task_group() as requests:
            while True:
                await anyio.sleep(self.rng.expovariate(offered))
                if self.clock.now() >= end:
                    return
                rates = self.rng.choice(self.rates[:used])
                requests.start_soon(self.request, rates)

    async def request(self, rates):
        deadline = self.clock.now() + LIMIT_S
        failure = await rates.refusal(self.tenant, SAFE_ROUTE, deadline)
        if failure is None:
            self.admitted_at.append(self.clock.now())
        else:
            self.refusals.append(failure)


async def played(fleet, offered, seconds, used=None):
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks, offered, seconds, used)
    return fleet


def most_within(times, seconds):
    """Return the highest number of times within any span of `seconds`."""
    return max(sum(at <= each < at + seconds for each in times) for at in times)


def allowed(rate, seconds, buckets=1):
    """Return how many requests a tenant may be served in any span of `seconds`."""
    half = EXCESS / 2 * rate
    return (rate + half) * seconds + half * 10.0 + 2 * buckets


# Instances, the rate and how many of the instances get the requests.
FLEETS = [(1, 50.0, 1), (3, 50.0, 3), (40, 50.0, 40), (40, 400.0, 40), (40, 400.0, 1)]


@pytest.mark.parametrize(("count", "rate", "used"), FLEETS)
async def test_tenant_below_its_rate_is_not_refused(count, rate, used):
    """Guards against permits that lie unused at instances without requests."""
    fleet = await played(Fleet(count, rate), 0.9 * rate, 8.0, used)
    assert fleet.refusals == []


@pytest.mark.parametrize(("count", "rate", "used"), FLEETS)
async def test_tenant_above_its_rate_gets_its_rate(count, rate, used):
    """Guards against a limit for each instance, and against one that is not used."""
    fleet = await played(Fleet(count, rate), 5 * rate, 8.0, used)
    most = most_within(fleet.admitted_at, 4.0)
    # A permit that was fetched earlier may be used within the span.
    assert most <= 1.05 * allowed(rate, 4.0, bucket_count(fleet.tenant))
    assert len(fleet.admitted_at) >= 0.95 * rate * 8.0
    assert {each.kind for each in fleet.refusals} == {ErrorKind.RATE_EXCEEDED}
    assert {each.outcome for each in fleet.refusals} == {Outcome.NOT_RUN}
    # Returns are spread over more than the time of one fetch.
    delays = [each.retry_after_s for each in fleet.refusals]
    assert min(delays) >= 0.25 and max(delays) - min(delays) > 0.5


async def test_partition_of_a_bucket_is_not_overloaded():
    """Guards against more writes than a partition of the store handles."""
    for offered in (90.0, 1000.0):
        fleet = await played(Fleet(90, 100.0), offered, 5.0)
        calls = sum(store.calls for store in fleet.stores)
        # A partition handles 200 transactions a second.
        assert calls / bucket_count(fleet.tenant) <= 150 * 5.0


async def test_rate_far_below_what_a_tenant_sends_holds_at_once():
    """Guards against permits of the former rate that outlive a new configuration."""
    fleet = Fleet(3, 200.0)
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks, 180.0, 5.0)
        assert fleet.refusals == []
        fleet.admitted_at.clear()
        fleet.tenant = fleet.tenant._replace(rate_per_s=2.0)
        await fleet.run(tasks, 180.0, 5.0)
        assert 5 <= len(fleet.admitted_at) <= allowed(2.0, 5.0)
        fleet.tenant = fleet.tenant._replace(rate_per_s=200.0)
        fleet.refusals.clear()
        await fleet.run(tasks, 180.0, 2.0)
        fleet.refusals.clear()
        await fleet.run(tasks, 180.0, 5.0)
        assert fleet.refusals == []


async def test_rate_of_zero_admits_nothing_and_asks_nobody():
    """Guards against a division by a rate of zero."""
    fleet = await played(Fleet(2, 0.0), 10.0, 2.0)
    assert fleet.admitted_at == []
    assert not any(store.calls + store.reads for store in fleet.stores)


@pytest.mark.parametrize("fault", ["unavailable", "slow", "lost"])
async def test_rate_is_bounded_while_the_store_is_disturbed(fault):
    """Guards against the whole rate from each instance without the store."""
    fleet = Fleet(10, 50.0)
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks, 45.0, 8.0)
        fleet.admitted_at.clear()
        for store in fleet.stores:
            store.unavailable = fault == "unavailable"
            store.call_s = 50 * CALL_S if fault == "slow" else CALL_S
            store.faults = ["lost"] * 1_000_000 if fault == "lost" else []
        await fleet.run(tasks, 45.0, 4.0)
        # The tenant is served meanwhile, at about the rate that it had.
        assert len(fleet.admitted_at) > 0.4 * 45.0 * 4.0
        fleet.admitted_at.clear()
        await fleet.run(tasks, 500.0, 6.0)
        assert len(fleet.admitted_at) <= 1.25 * allowed(50.0, 6.0) + 2 * 10
        assert {each.outcome for each in fleet.refusals} == {Outcome.NOT_RUN}


async def test_instance_without_the_store_refuses_after_a_time():
    """Guards against an excess that grows for as long as the store is away."""
    fleet = Fleet(2, 50.0)
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks, 45.0, 5.0)
        for store in fleet.stores:
            store.unavailable = True
        await fleet.run(tasks, 45.0, 12.0)
        fleet.admitted_at.clear()
        await fleet.run(tasks, 45.0, 3.0)
        assert fleet.admitted_at == []
        assert fleet.refusals[-1].kind is ErrorKind.NOT_READY


@pytest.mark.parametrize(
    "bucket",
    [
        TenantBucket(math.nan, math.nan, math.nan, math.nan),
        TenantBucket(math.inf, math.inf, math.inf, math.inf),
        TenantBucket(-math.inf, 0.0, -1.0, 0.0),
        b"no bucket",
    ],
)
async def test_stored_bucket_that_is_not_valid_blocks_nothing(bucket):
    """Guards against one stored row that refuses a tenant for good."""
    fleet = Fleet(2, 20.0)
    odd = bucket if isinstance(bucket, bytes) else msgspec.msgpack.encode(bucket)
    name = (BUCKET_TABLE, "0/acme", BUCKET_KEY)
    assert fleet.platform.rows.transact({}, {name: odd}, [])
    await played(fleet, 15.0, 10.0)
    assert len(fleet.admitted_at) > 0.8 * 15.0 * 10.0


async def test_tenant_without_a_rate_costs_no_call_and_no_task():
    """Guards against tenants without a rate that depend on the store."""
    fleet = Fleet(1, None)
    for store in fleet.stores:
        store.unavailable = True
    # Without a start, any task or store call would raise.
    await fleet.request(fleet.rates[0])
    assert fleet.refusals == []
    public = route(RequestKind.SAFE, public=True)
    limited = fleet.tenant._replace(rate_per_s=1.0)
    assert await fleet.rates[0].refusal(limited, public, 1.0) is None
    assert await fleet.rates[0].refusal(None, SAFE_ROUTE, 1.0) is None


@pytest.mark.parametrize("limit_s", [-1.0, 0.0, 0.001])
async def test_short_deadline_of_one_request_is_no_outage_of_the_store(limit_s):
    """Guards against a refusal of a tenant below its rate while the store answers."""
    fleet = Fleet(1, 50.0)
    rates = fleet.rates[0]
    async with anyio.create_task_group() as tasks:
        await rates.start(tasks)
        async with anyio.create_task_group() as requests:
            deadline = fleet.clock.now() + limit_s
            requests.start_soon(rates.refusal, fleet.tenant, SAFE_ROUTE, deadline)
            await anyio.sleep(0.002)
            requests.start_soon(fleet.request, rates)
    assert fleet.refusals == []

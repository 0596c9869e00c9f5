"""Tests of the holders of duties under pauses, kills and lost writes."""

import random

import anyio
import msgspec
import pytest

from plantainstack.duties import CapacityOrder
from plantainstack.policy.order_lease import OrderLease
from plantainstack.services.duties.holder import (
    LEASE_TABLE,
    TERMS,
    StoreDutyLease,
    check_delay_s,
)
from plantainstack.services.store_leases.lease import LEASE_KEY
from plantainstack.serving import RowName, Transaction
from tests.services.duty_fleet import GAP_S, DutyPlatform
from tests.virtual_time import anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

ORDER = CapacityOrder("models", "dc-a", 1, False)
SUBJECT = "models/dc-a"


class Instance:
    """Perform a duty: call as often as it may, one call at a time."""

    def __init__(self, platform, name, number=1):
        self.kernel = platform.kernel(name, number)
        self.lease = StoreDutyLease(self.kernel, "scaling")
        self.client = self.kernel.client
        self.store = self.kernel.store

    async def run(self):
        while True:
            held = await self.lease.acquire()
            grant = await self.lease.grant(SUBJECT) if held else None
            if grant is not None:
                await self.client.order_capacity(ORDER, grant)
            await anyio.sleep(0.3 if held else check_delay_s(False))

    def pause_at(self, point, seconds):
        """Pause once, when the instance reaches a point of the next calls."""

        async def pause(reached):
            if reached == point:
                self.client.pause = self.store.pause = None
                await anyio.sleep(seconds)

        self.client.pause = self.store.pause = pause


def callers(platform, since=0.0):
    return {call.holder for call in platform.ledger.calls if call.at >= since}


@pytest.mark.parametrize("point", ["write", "written", "send"])
@pytest.mark.parametrize("seconds", [1.0, 4.0, 12.0])
async def test_holder_paused_at_a_write_or_send(point, seconds):
    """Guards against a call of a holder that has been replaced while it was paused."""
    platform = DutyPlatform()
    a, b = Instance(platform, "a"), Instance(platform, "b")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(a.run)
        await anyio.sleep(3)
        tasks.start_soon(b.run)
        await anyio.sleep(3)
        assert callers(platform) == {"a"}
        a.pause_at(point, seconds)
        await anyio.sleep(30)
        tasks.cancel_scope.cancel()
    assert platform.ledger.broken_rules(GAP_S) == []
    # During 4 s, the other instance may or may not look at the lease while it is free.
    expected = {1.0: [{"a"}], 4.0: [{"a"}, {"b"}], 12.0: [{"b"}]}
    assert callers(platform, 20.0) in expected[seconds]


async def test_killed_holder_is_replaced_within_seconds():
    """Guards against a duty that nobody performs after a kill."""
    platform = DutyPlatform()
    a, b = Instance(platform, "a"), Instance(platform, "b")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(b.run)
        async with anyio.create_task_group() as killed:
            killed.start_soon(a.run)
            await anyio.sleep(10)
            first = callers(platform)
            killed.cancel_scope.cancel()
        restarted = Instance(platform, "a", 2)
        tasks.start_soon(restarted.run)
        await anyio.sleep(10)
        tasks.cancel_scope.cancel()
    assert len(first) == 1
    assert callers(platform, 19.0)
    assert platform.ledger.broken_rules(GAP_S) == []


async def test_restarted_process_waits_for_the_calls_of_its_predecessor():
    """Guards against a delayed call with a lower token after one with a higher."""
    platform = DutyPlatform()
    a = Instance(platform, "a")
    await anyio.sleep(1)
    assert await a.lease.acquire()
    former = await a.lease.grant(SUBJECT)
    restarted = Instance(platform, "a", 2)
    assert not await restarted.lease.acquire()
    await anyio.sleep(TERMS.lease_s + 0.1)
    assert await restarted.lease.acquire()
    assert await restarted.lease.grant(SUBJECT) is None
    assert await restarted.lease.grant("other") is not None
    await anyio.sleep(GAP_S)
    assert await restarted.lease.acquire()
    assert (await restarted.lease.grant(SUBJECT)).fence > former.fence


async def test_planned_stop_gives_the_duty_up_at_once():
    """Guards against a release of the software that delays reports and orders."""
    platform = DutyPlatform()
    a, b = Instance(platform, "a"), Instance(platform, "b")
    assert await a.lease.acquire()
    await a.lease.release()
    assert await a.lease.grant(SUBJECT) is None
    assert not await a.lease.acquire()
    await anyio.sleep(0.01)
    assert await b.lease.acquire()
    assert await b.lease.grant(SUBJECT) is not None


async def test_only_one_of_two_instances_acquires_a_free_lease():
    """Guards against two holders with the same token."""
    platform = DutyPlatform()
    found = []

    async def acquire(instance):
        if await instance.lease.acquire():
            found.append(instance)

    async with anyio.create_task_group() as tasks:
        for name in "abc":
            tasks.start_soon(acquire, Instance(platform, name))
    assert len(found) == 1


@pytest.mark.parametrize("fault", ["lost", "dropped", "down"])
async def test_write_without_an_answer_grants_nothing(fault):
    """Guards against a call under a lease that the store may not have stored."""
    platform = DutyPlatform()
    a = Instance(platform, "a")
    await anyio.sleep(1)
    a.store.faults = [fault]
    assert not await a.lease.acquire()
    assert await a.lease.acquire()
    fence = a.lease.lease.fence
    a.store.faults = [fault]
    assert await a.lease.grant(SUBJECT) is None
    assert await a.lease.acquire()
    assert (await a.lease.grant(SUBJECT)).fence == fence + 1


async def test_store_away_ends_the_holders_calls():
    """Guards against calls of a holder that cannot renew its lease."""
    platform = DutyPlatform()
    a = Instance(platform, "a")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(a.run)
        await anyio.sleep(5)
        a.store.unavailable = True
        await anyio.sleep(10)
        assert platform.ledger.calls[-1].at < 5 + TERMS.lease_s
        a.store.unavailable = False
        await anyio.sleep(5)
        assert platform.ledger.calls[-1].at > 15
        tasks.cancel_scope.cancel()
    assert platform.ledger.broken_rules(GAP_S) == []


async def test_unreadable_lease_is_not_replaced():
    """Guards against a token that begins anew at 1."""
    platform = DutyPlatform()
    a = Instance(platform, "a")
    name = RowName(LEASE_TABLE, "scaling", LEASE_KEY)
    await a.store.transact(Transaction(puts=((name, b"\xc1"),)))
    assert not await a.lease.acquire()
    lease = OrderLease("z", 7, 0.0, {}, {})
    await a.store.transact(Transaction(puts=((name, msgspec.msgpack.encode(lease)),)))
    await anyio.sleep(0.1)
    assert await a.lease.acquire()
    assert a.lease.lease.fence == 8


@pytest.mark.parametrize("seed", range(30))
async def test_no_rule_is_broken_on_random_days(seed):
    """Guards against violations by faults that coincide."""
    platform = DutyPlatform()
    rng = random.Random(seed)

    async def live(name):
        for number in range(1, 100):
            instance = Instance(platform, name, number)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(instance.run)
                for _ in range(rng.randrange(1, 6)):
                    await anyio.sleep(rng.uniform(0.5, 6.0))
                    instance.client.fault = rng.choice(["lost", "late", None, None])
                    instance.store.faults = rng.choices(
                        ["lost", "dropped", "down", None], k=rng.randrange(3)
                    )
                    point = rng.choice(["write", "written", "send"])
                    instance.pause_at(point, rng.uniform(0.0, 8.0))
                if rng.random() < 0.3:
                    await instance.lease.release()
                tasks.cancel_scope.cancel()

    with anyio.move_on_after(120):
        async with anyio.create_task_group() as tasks:
            for name in "abcd":
                tasks.start_soon(live, name)
    assert platform.ledger.broken_rules(GAP_S) == []
    assert len(callers(platform)) > 1

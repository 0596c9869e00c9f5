"""Tests of the orders that instances send, under failures of each kind."""

import random
from collections import Counter

import anyio
import msgspec
import pytest
from result import Err, Ok

from plantainstack.duties import DutyAnswer
from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy.scaling import ScaleState
from plantainstack.serving import RequestKind, RowName, Transaction
from tests.policy.serving_samples import batch, item, route
from tests.services.scaling_fleet import LIMITS, Cloud, scaled
from tests.services.store_fleet import FakePlatform, until
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

ROW = RowName("scaling", "models", "orders")
LOST = Err(Failure.of(ErrorKind.OUTCOME_UNKNOWN, "scripted"))


def stored(platform):
    value = platform.rows.row(tuple(ROW)).value
    return value and msgspec.msgpack.decode(value, type=ScaleState)


def counts(state):
    return {(name, spot): count for name, spot, count, _ in state.orders}


async def test_one_instance_orders_what_the_demand_needs():
    """Guards against orders of several instances, and against repeated ones."""
    platform = FakePlatform(LoopClock())
    async with scaled("a", "b", "c", platform=platform) as (cloud, _):
        await anyio.sleep(5.0)
        sent = list(cloud.sent)
    assert len({holder for holder, _ in sent}) == 1
    pools = Counter((order.data_centre, order.reclaimable) for _, order in sent)
    assert set(pools.values()) == {1}
    # 100 items need 20 endpoints of 4 slots, also if either data centre is reclaimed.
    force = cloud.in_force
    base = force["dc-a", False] + force["dc-b", False]
    assert base >= 10
    assert base + min(force["dc-a", True], force["dc-b", True]) >= 20
    assert counts(stored(platform)) == force


@pytest.mark.parametrize("missing", ["duty", "limits", "max"])
async def test_nothing_is_done_without_the_duty_or_without_limits(missing):
    """Guards against orders in deployments that have not enabled them."""
    cloud = Cloud()
    cloud.enabled = missing != "duty"
    limits = {"limits": None, "max": LIMITS._replace(count_max=0)}.get(missing, LIMITS)
    async with scaled("a", cloud=cloud, limits=limits) as (_, (kernel,)):
        await anyio.sleep(10.0)
        assert kernel.plugin("duties").lease.attempts == 0
    assert cloud.sent == []


async def test_instance_that_does_not_hold_the_duty_tries_seldom():
    """Guards against a load on the store that grows with the instances."""
    cloud = Cloud()
    cloud.holder = "other"
    async with scaled("a", cloud=cloud) as (_, (kernel,)):
        await anyio.sleep(30.0)
        assert 9 <= kernel.plugin("duties").lease.attempts <= 16
    assert cloud.sent == []


async def test_order_is_stored_before_it_is_sent():
    """Guards against orders in force that the next holder does not know."""
    platform = FakePlatform(LoopClock())
    cloud = Cloud()
    cloud.outcomes = [anyio.Event() for _ in range(4)]
    async with scaled("a", cloud=cloud, platform=platform):
        await until(lambda: cloud.sent)
        state = counts(stored(platform))
        _, order = cloud.sent[0]
        assert state[order.data_centre, order.reclaimable] == order.count


async def test_orders_of_a_holder_that_ended_before_sending_them_are_sent():
    """Guards against stored orders that nobody sends."""
    platform = FakePlatform(LoopClock())
    cloud = Cloud()
    cloud.outcomes = [anyio.Event() for _ in range(4)]
    async with scaled("a", cloud=cloud, platform=platform):
        await until(lambda: cloud.sent)
    before = counts(stored(platform))
    assert cloud.in_force == {}
    cloud.holder, cloud.outcomes = None, []
    async with scaled("b", demand=0, cloud=cloud, platform=platform):
        await anyio.sleep(4.0)
    assert cloud.in_force == before


async def test_next_holder_repeats_the_orders_in_force_once():
    """Guards against orders whose calls were lost with their holder."""
    async with scaled("a", "b") as (cloud, _):
        await anyio.sleep(5.0)
        sent, force = len(cloud.sent), dict(cloud.in_force)
        first = cloud.holder
        cloud.in_force.clear()
        cloud.holder = {"a": "b", "b": "a"}[first]
        await anyio.sleep(5.0)
        assert cloud.in_force == force
        again = cloud.sent[sent:]
    assert len(again) == len(force)
    assert {holder for holder, _ in again} == {cloud.holder}


async def test_order_with_a_lost_answer_is_repeated():
    """Guards against an order that is taken for sent."""
    cloud = Cloud()
    cloud.outcomes = [LOST] * 6
    async with scaled("a", cloud=cloud):
        await anyio.sleep(10.0)
    assert len(cloud.in_force) == 4
    assert len(cloud.sent) == 10


@pytest.mark.task_failures
async def test_refused_and_raising_calls_are_repeated(monkeypatch):
    """Guards against orders lost to the rate limit or to a fault of the client."""
    cloud = Cloud()
    cloud.outcomes = [Ok(DutyAnswer.REFUSED)] * 4
    accept = cloud.order_capacity
    faults = [ValueError("scripted")]

    async def order(order, grant):
        if faults:
            raise faults.pop()
        return await accept(order, grant)

    monkeypatch.setattr(cloud, "order_capacity", order)
    async with scaled("a", cloud=cloud):
        await anyio.sleep(10.0)
    assert len(cloud.in_force) == 4


async def test_none_available_anywhere_causes_few_calls():
    """Guards against a call each round while there are no endpoints to be had."""
    cloud = Cloud()
    cloud.outcomes = [Ok(DutyAnswer.NONE_AVAILABLE)] * 1000
    async with scaled("a", cloud=cloud):
        await anyio.sleep(30.0)
    # Four pools, each tried again after 3 s.
    assert 4 < len(cloud.sent) <= 44


async def test_hanging_call_does_not_delay_other_data_centres():
    """Guards against orders that wait for a platform that answers one call late."""
    cloud = Cloud()
    cloud.outcomes = [anyio.Event()]
    async with scaled("a", cloud=cloud):
        await until(lambda: len(cloud.in_force) >= 2)
        assert len({name for name, _ in cloud.in_force}) == 1
        await anyio.sleep(10.0)
    assert len(cloud.in_force) == 4


async def test_nothing_is_sent_that_could_not_be_stored():
    """Guards against orders that the next holder does not know of."""
    cloud = Cloud()
    cloud.holder = "other"
    async with scaled("a", cloud=cloud) as (_, (kernel,)):
        store = kernel.plugin("store").metadata_store
        store.faults = ["down"] * 10_000
        cloud.holder = "a"
        await anyio.sleep(10.0)
        assert cloud.sent == []
        store.faults = []
        await until(lambda: len(cloud.in_force) == 4)


async def test_late_write_of_a_former_holder_is_read_before_the_next_order():
    """Guards against orders based on a state that another instance has replaced."""
    platform = FakePlatform(LoopClock())
    async with scaled("a", platform=platform) as (cloud, (kernel,)):
        await anyio.sleep(5.0)
        late = ScaleState({}, [("dc-a", True, 33, 33)], 4.0)
        puts = ((ROW, msgspec.msgpack.encode(late)),)
        store = kernel.plugin("store").metadata_store
        await store.transact(Transaction((), puts))
        kernel.plugin("batches").open_items = lambda: Counter({"r-batch": 420})
        await until(lambda: cloud.in_force["dc-a", True] == 33)
        assert counts(stored(platform))["dc-a", True] == 33


async def test_orders_made_while_the_duty_was_lost_unnoticed_are_read_before_any_call():
    """Guards against repeating old orders after a pause in which another one held."""
    platform = FakePlatform(LoopClock())
    async with scaled("a", platform=platform) as (cloud, (kernel,)):
        await anyio.sleep(5.0)
        before = len(cloud.sent)
        found = stored(platform)
        newer = [order for order in found.orders if order[:2] != ("dc-a", True)]
        newer = found._replace(orders=[*newer, ("dc-a", True, 33, 33)])
        puts = ((ROW, msgspec.msgpack.encode(newer)),)
        store = kernel.plugin("store").metadata_store
        await store.transact(Transaction((), puts))
        cloud.fence += 1
        # No endpoint registers, so the orders are repeated after the boot time.
        await until(lambda: len(cloud.sent) >= before + 4)
        repeated = [order for _, order in cloud.sent[before:]]
        found = [
            o.count
            for o in repeated
            if (o.data_centre, o.reclaimable) == ("dc-a", True)
        ]
        assert set(found) == {33}


async def test_order_that_waits_behind_a_call_is_not_sent_after_a_loss():
    """Guards against an old order sent under the permission for newer ones."""
    platform = FakePlatform(LoopClock())
    cloud = Cloud()
    # Both data centres wait for their first call until it is given up.
    cloud.outcomes = [anyio.Event() for _ in range(2)]
    async with scaled("a", cloud=cloud, platform=platform) as (_, (kernel,)):
        await until(lambda: len(cloud.sent) == 2)
        found = stored(platform)
        newer = [order for order in found.orders if order[:2] != ("dc-a", True)]
        newer = found._replace(orders=[*newer, ("dc-a", True, 33, 33)])
        puts = ((ROW, msgspec.msgpack.encode(newer)),)
        store = kernel.plugin("store").metadata_store
        await store.transact(Transaction((), puts))
        cloud.holder, cloud.fence = "other", 2
        await anyio.sleep(1.0)
        cloud.holder, cloud.fence = None, 2
        await until(lambda: len(cloud.in_force) == 4)
        sent = {
            order.count
            for _, order in cloud.sent
            if (order.data_centre, order.reclaimable) == ("dc-a", True)
        }
        assert sent == {33}


async def test_row_that_is_not_readable_is_replaced():
    """Guards against an instance that orders nothing because of a damaged row."""
    platform = FakePlatform(LoopClock())
    platform.rows.transact({}, {tuple(ROW): b"\xc1"})
    async with scaled("a", platform=platform) as (cloud, _):
        await until(lambda: len(cloud.in_force) == 4)
    assert counts(stored(platform)) == cloud.in_force


async def test_planned_stop_gives_the_duty_up():
    """Guards against a duty that waits for the end of a lease at each release."""
    async with scaled("a") as (cloud, (kernel,)):
        await until(lambda: cloud.holder == "a")
        kernel.request_stop()
        await until(lambda: cloud.holder is None)
        sent = len(cloud.sent)
        await anyio.sleep(1.0)
        assert len(cloud.sent) == sent


async def test_open_items_of_all_batches_are_counted():
    """Guards against a demand that is not seen by an instance that runs no batch."""
    platform = FakePlatform(LoopClock())
    gates = {("i1", 2): anyio.Event()}
    platform.client.blocked_events = gates
    submitted = batch(item("i0", "g0"), item("i1", "g1"))
    batch_route = route(RequestKind.BATCH, name="r-batch", endpoints_max=3)
    async with scaled("a", "b", platform=platform) as (_, kernels):
        batches = [kernel.plugin("batches") for kernel in kernels]
        for each in batches:
            del each.open_items
        assert (await batches[0].submit(submitted, batch_route)).is_ok()
        await until(lambda: batches[1].open_items() == {"r-batch": 1})
        gates["i1", 2].set()
        await until(lambda: batches[1].open_items() == {})


class CheckedCloud(Cloud):
    """Lose, refuse and delay calls at random; check what is in force."""

    def __init__(self, rng, count_max):
        super().__init__()
        self.rng = rng
        self.count_max = count_max
        self.calm = False

    async def order_capacity(self, order, grant):
        self.calling.append(grant.holder)
        try:
            return await self._answer(order, grant)
        finally:
            self.calling.remove(grant.holder)

    async def _answer(self, order, grant):
        self.sent.append((grant.holder, order))
        fault = 1.0 if self.calm else self.rng.random()
        if fault < 0.1:
            return Ok(DutyAnswer.REFUSED)
        if fault < 0.2:
            return LOST
        await anyio.sleep(self.rng.uniform(0.0, 0.1 if fault > 0.3 else 2.0))
        if fault < 0.4 and order.reclaimable:
            return Ok(DutyAnswer.NONE_AVAILABLE)
        self.in_force[order.data_centre, order.reclaimable] = order.count
        for name in LIMITS.prices:
            kinds = [self.in_force.get((name, kind), 0) for kind in (False, True)]
            assert sum(kinds) <= self.count_max, "more than the maximum"
        return LOST if 0.4 < fault < 0.5 else Ok(DutyAnswer.ACCEPTED)


@pytest.mark.parametrize("seed", range(8))
async def test_orders_settle_within_the_limits_after_random_faults(seed):
    """Guards against orders over the maximum, and a row that names others."""
    rng = random.Random(seed)
    limits = LIMITS._replace(count_max=rng.choice([6, 12, 20]))
    cloud = CheckedCloud(rng, limits.count_max)
    platform = FakePlatform(LoopClock())
    async with scaled("a", "b", cloud=cloud, limits=limits, platform=platform) as (
        _,
        kernels,
    ):
        for _ in range(10):
            items = Counter({"r-batch": rng.choice([0, 40, 100, 200])})
            for kernel in kernels:
                kernel.plugin("batches").open_items = lambda items=items: items
            await anyio.sleep(rng.uniform(1.0, 45.0))
            cloud.holder = rng.choice([cloud.holder, "a", "b"])
            store = rng.choice(kernels).plugin("store").metadata_store
            store.faults = [rng.choice(["down", "lost", "dropped"])]
        cloud.calm = True
        await anyio.sleep(120.0)
    assert counts(stored(platform)) == cloud.in_force


async def test_lease_regained_after_another_holder_reads_its_orders():
    """Guards against old orders of a holder that was paused while another held on."""
    platform = FakePlatform(LoopClock())
    async with scaled("a", platform=platform) as (cloud, _):
        await anyio.sleep(5.0)
        former = stored(platform)
        cloud.fence += 2
        others = former._replace(
            orders=[(name, spot, 20, *rest) for name, spot, _, *rest in former.orders]
        )
        platform.rows.transact({}, {tuple(ROW): msgspec.msgpack.encode(others)}, [])
        count = len(cloud.sent)
        await anyio.sleep(20.0)
    old = counts(former)
    sent = [order for _, order in cloud.sent[count:]]
    assert sent
    # Each pool is first ordered as the other holder left it, or decided anew from that.
    for pool in old:
        first = [o for o in sent if (o.data_centre, o.reclaimable) == pool][:1]
        assert [order.count for order in first] != [old[pool]]

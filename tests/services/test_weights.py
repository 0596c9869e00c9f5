"""Tests of weight heads, swaps in waves, and orders under expired leases."""

from types import SimpleNamespace

import anyio
import pytest
from result import Err, Ok

from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import (
    EngineStatus,
    InstanceKind,
    InstanceRecord,
    InstanceState,
)
from plantainstack.policy.leases import LeaseTracker, NaiveLeaseTracker
from plantainstack.policy.weights import (
    SHARE_MAX,
    AllAtOnce,
    NaiveOrderGate,
    OrderGate,
    SwapPlan,
)
from plantainstack.services.weights import (
    ROUND_INTERVAL_S,
    SwapCoordinator,
    SwapDependencies,
    head_version,
)
from plantainstack.settings.options import Address
from tests.services.fleet import MODEL, Fleet

pytestmark = pytest.mark.anyio

ORDER_TIMEOUT_S = 30.0


class FakeEngine:
    """Engine that loads versions, with delayed orders and failing loads."""

    def __init__(self, clock, checks):
        self.clock, self.checks = clock, checks
        self.version, self.loading, self.fence = 7, None, 0
        self.swap_seconds, self.order_delay, self.failing_loads = 3.0, 0.0, 0
        self.applied = []

    async def status(self):
        await anyio.lowlevel.checkpoint()
        report = EngineStatus(MODEL, self.version, self.loading, 0, 0, False, 0)
        return Ok(report)

    async def order(self, order):
        with anyio.CancelScope(shield=self.order_delay > 0):
            await self.clock.sleep_until(self.clock.now() + self.order_delay)
            if self.checks and order.fence < self.fence:
                return Err(Failure.of(ErrorKind.LEASE_LOST, "old fencing token"))
            self.fence = order.fence
            self.applied.append(order)
            self.loading = order.version
        return await self.status()

    async def load(self):
        while True:
            await self.clock.sleep_until(self.clock.now() + 0.05)
            if self.loading is not None:
                await self.clock.sleep_until(self.clock.now() + self.swap_seconds)
                if self.failing_loads:
                    self.failing_loads -= 1
                else:
                    self.version = self.loading
                self.loading = None


def engine_record(name):
    kind, state = InstanceKind.ENGINE, InstanceState.LIVE
    address = Address("127.0.0.1", 1)
    return InstanceRecord(name, MODEL, kind, "bergen-a", address, state)


class SwapSetup:
    """Engines, and instances that coordinate their swaps."""

    def __init__(self, count=1, checks=True, tracker=LeaseTracker):
        self.fleet = Fleet(tracker=tracker)
        self.checks = checks
        names = [f"engine-{number}" for number in range(count)]
        self.engines = {name: FakeEngine(self.fleet.clock, checks) for name in names}
        self.records = [engine_record(name) for name in names]

    def coordinator(self, name, plan=SwapPlan, gate=OrderGate):
        instance = self.fleet.instance(name)
        options = SimpleNamespace(
            checks_fencing=self.checks,
            order_timeout=ORDER_TIMEOUT_S,
            away_share_max=SHARE_MAX,
        )
        deps = SwapDependencies(
            heads=instance.deps.heads,
            store=self.fleet.store,
            leases=instance.leases,
            clock=self.fleet.clock,
            engine=lambda record: self.engines[record.id],
            options=lambda record: options,
        )
        coordinator = SwapCoordinator(deps, MODEL, plan(), gate())
        coordinator.update_engines(self.records)
        return coordinator

    async def run(self, tasks, coordinator, seconds):
        """Run rounds and renewals of a coordinator; it is frozen afterwards."""
        end = self.fleet.clock.now() + seconds
        while self.fleet.clock.now() < end:
            await coordinator.deps.leases.renew()
            await coordinator.run_round(tasks, may_acquire=True)
            await self.fleet.clock.advance(ROUND_INTERVAL_S)

    def start_loading(self, tasks):
        for engine in self.engines.values():
            tasks.start_soon(engine.load)

    def versions(self):
        return {engine.version for engine in self.engines.values()}


async def test_the_weight_head_never_goes_down():
    """Guards against a head that an outdated read of the weight store lowers."""
    fleet = Fleet(version=9)
    assert head_version((await fleet.heads.refresh(MODEL)).unwrap()) == 9
    fleet.store.version = 8
    assert head_version((await fleet.heads.refresh(MODEL)).unwrap()) == 9
    fleet.store.down = True
    assert head_version((await fleet.heads.refresh(MODEL)).unwrap()) == 9
    fleet.store.down, fleet.store.version = False, 10
    fleet.table.faults.plan = [(lambda call: call[0] == "commit", "lose")]
    assert (await fleet.heads.refresh(MODEL)).is_err()
    assert head_version((await fleet.heads.refresh(MODEL)).unwrap()) == 10


async def swap_is_in_waves(plan):
    """Return whether 10 of 20 engines always serve, and all swap within 16 s."""
    setup = SwapSetup(count=20)
    setup.fleet.store.version = 8
    loading_max = 0
    async with anyio.create_task_group() as tasks:
        setup.start_loading(tasks)
        coordinator = setup.coordinator("a", plan)
        for _ in range(64):
            await setup.run(tasks, coordinator, ROUND_INTERVAL_S)
            loading = [e for e in setup.engines.values() if e.loading is not None]
            loading_max = max(loading_max, len(loading))
        tasks.cancel_scope.cancel()
    return loading_max <= 10 and setup.versions() == {8}


@pytest.mark.parametrize(("plan", "holds"), [(SwapPlan, True), (AllAtOnce, False)])
async def test_swaps_keep_capacity_for_callers(plan, holds):
    """Guards against a swap that makes all engines unavailable at once."""
    assert await swap_is_in_waves(plan) is holds


async def test_a_failed_swap_is_ordered_again():
    """Guards against engines that keep an old version because an order was accepted."""
    setup = SwapSetup(count=3)
    setup.fleet.store.version = 8
    setup.engines["engine-1"].failing_loads = 2
    async with anyio.create_task_group() as tasks:
        setup.start_loading(tasks)
        await setup.run(tasks, setup.coordinator("a"), 60)
        tasks.cancel_scope.cancel()
    assert setup.versions() == {8}
    assert len(setup.engines["engine-1"].applied) == 3


async def test_orders_wait_for_permits_of_the_weight_store():
    """Guards against loads beyond the rate limit of the weight store."""
    setup = SwapSetup(count=4)
    setup.fleet.store.version, setup.fleet.store.permits = 8, 1
    async with anyio.create_task_group() as tasks:
        setup.start_loading(tasks)
        coordinator = setup.coordinator("a")
        await setup.run(tasks, coordinator, 10)
        assert sum(len(e.applied) for e in setup.engines.values()) == 1
        setup.fleet.store.permits = 100
        await setup.run(tasks, coordinator, 30)
        tasks.cancel_scope.cancel()
    assert setup.versions() == {8}


async def fences_never_decrease(checks, tracker, gate, delay):
    """Return whether no order of a former holder takes effect after its successor's.

    The first holder freezes after an order that is in flight for `delay` seconds,
    and resumes after its successor has ordered.
    """
    setup = SwapSetup(checks=checks, tracker=tracker)
    engine = setup.engines["engine-0"]
    async with anyio.create_task_group() as tasks:
        setup.start_loading(tasks)
        first = setup.coordinator("a", gate=gate)
        await setup.run(tasks, first, ORDER_TIMEOUT_S)
        setup.fleet.store.version, engine.order_delay = 8, delay
        await setup.run(tasks, first, 2)
        engine.order_delay = 0.0
        second = setup.coordinator("b", gate=gate)
        setup.fleet.store.version = 9
        await setup.run(tasks, second, 25)
        await first.run_round(tasks, may_acquire=False)
        await setup.run(tasks, second, ORDER_TIMEOUT_S)
        first.plan.set_target(10, setup.fleet.clock.now())
        for _ in range(8):
            await first.run_round(tasks, may_acquire=False)
            await setup.fleet.clock.advance(ROUND_INTERVAL_S)
        tasks.cancel_scope.cancel()
    fences = [order.fence for order in engine.applied]
    assert 2 in fences, "the successor must have ordered"
    return fences == sorted(fences)


@pytest.mark.parametrize("delay", [0.0, 4.0, 20.0])
@pytest.mark.parametrize("checks", [True, False])
async def test_orders_of_a_frozen_holder_have_no_effect(checks, delay):
    """Guards against a former holder that changes the version of an engine."""
    assert await fences_never_decrease(checks, LeaseTracker, OrderGate, delay)


@pytest.mark.parametrize("delay", [0.0, 20.0])
async def test_without_lease_checks_a_frozen_holder_still_orders(delay):
    """Shows that the proof above depends on the gate and the holder's clock."""
    tracker, gate = NaiveLeaseTracker, NaiveOrderGate
    assert not await fences_never_decrease(False, tracker, gate, delay)

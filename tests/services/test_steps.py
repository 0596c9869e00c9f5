"""Tests of steps: opening, ownership, delivery and acknowledgement."""

from types import SimpleNamespace

import anyio
import pytest

from plantainstack.errors import ErrorKind
from plantainstack.kernel import Kernel, State
from plantainstack.plugins import Plugin
from plantainstack.policy.leases import rank
from plantainstack.services.leases import Leases
from plantainstack.services.steps import Steps
from plantainstack.services.weights import Weights
from tests.services.fleet import MODEL, TERMS, TRAINER, Fleet, running
from tests.services.test_weights import FakeEngine, engine_record

pytestmark = pytest.mark.anyio


async def test_a_step_is_opened_completed_delivered_and_acknowledged():
    """Guards against a failure in any phase of a step's life cycle."""
    fleet = Fleet()
    owner, other = fleet.instance("a"), fleet.instance("b")
    async with anyio.create_task_group() as tasks:
        assert (await owner.step_service.open(TRAINER, fleet.request())).is_ok()
        early = await other.step_service.samples(TRAINER, "step-1")
        assert early.unwrap_err().kind is ErrorKind.STEP_NOT_SEALED
        await fleet.own(tasks, owner)
        await fleet.clock.advance(10)
        samples = (await other.step_service.samples(TRAINER, "step-1")).unwrap()
        assert [(s["group"], s["index"]) for s in samples] == [
            (0, 0),
            (0, 1),
            (1, 0),
            (1, 1),
        ]
        assert all(s["spans"] == [{"version": 7, "tokens": 4}] for s in samples)
        assert all(s["score"] == 8.0 for s in samples)
        again = (await owner.step_service.samples(TRAINER, "step-1")).unwrap()
        assert again == samples
        assert (
            await other.step_service.ack(TRAINER, "step-1")
        ).unwrap().state == "acked"
        assert (await owner.step_service.ack(TRAINER, "step-1")).is_ok()
        await check_overview(fleet, other)
        gone = await owner.step_service.samples(TRAINER, "step-1")
        assert gone.unwrap_err().kind is ErrorKind.STEP_EXPIRED
        await fleet.own(tasks, other)
        await fleet.clock.advance(2)
        assert not fleet.sample_rows()
        assert list(fleet.table.rows) == [fleet.keys.row, "weights/raadgiver-llm"]


async def check_overview(fleet, instance):
    """Check the operators' overview of an acknowledged step, which `purge` keeps."""
    (shown,) = (await instance.step_service.overview("")).unwrap()
    assert (shown["state"], shown["committed"], shown["idle_s"]) == ("acked", 4, 10.0)
    assert (shown["staleness_mean"], shown["staleness_max"]) == (0.0, 0)
    assert (await instance.step_service.overview("other")).unwrap() == []
    await instance.step_service.purge()
    assert len((await instance.step_service.overview(TRAINER)).unwrap()) == 1


async def test_ended_steps_are_deleted_after_their_retention():
    """Guards against rows of ended steps that are never deleted."""
    fleet = Fleet()
    a = fleet.instance("a")
    await a.step_service.open(TRAINER, fleet.request(deadline=1.0))
    fleet.clock.jump(25 * 3600.0)
    await a.step_service.purge()
    assert fleet.state() == "open"
    async with running() as tasks:
        await fleet.own(tasks, a)
        await fleet.clock.advance(2)
    assert fleet.state() == "expired"
    await a.step_service.purge()
    assert fleet.keys.row not in fleet.table.rows


async def test_opening_a_step_is_idempotent():
    """Guards against a repeated request that opens a second step."""
    fleet = Fleet()
    first, second = fleet.instance("a"), fleet.instance("b")
    opened = await first.step_service.open(TRAINER, fleet.request())
    await fleet.clock.advance(1)
    assert await second.step_service.open(TRAINER, fleet.request()) == opened
    changed = await second.step_service.open(TRAINER, fleet.request(groups=3))
    assert changed.unwrap_err().kind is ErrorKind.CONFLICT
    assert len([k for k in fleet.table.rows if k.startswith("step/")]) == 1


class FakePlatformPlugin(Plugin, register=False):
    name = "platform"
    fleet = None

    def __init__(self, kernel):
        super().__init__(kernel)
        self.table, self.objects = self.fleet.table, self.fleet.objects
        self.scorer, self.weights = self.fleet.scorer, self.fleet.store


class FakeDispatch(Plugin, register=False):
    name = "dispatch"

    def generate(self, ctx, req):
        return FakePlatformPlugin.fleet.engines.generate(ctx, req)


class FakeLinks(Plugin, register=False):
    name = "links"

    def engine(self, record):
        return FakePlatformPlugin.fleet.engine


class FakeEndpoints(Plugin, register=False):
    name = "endpoints"
    records = ()


class FakeMembership(Plugin, register=False):
    name = "membership"
    leaving = ()

    def view(self):
        members = {
            name: SimpleNamespace(
                id=name,
                incarnation="1-a",
                state="leaving" if name in self.leaving else "alive",
            )
            for name in "abcde"
        }
        return SimpleNamespace(members=members)


@pytest.fixture
def kernels():
    """Return a fleet, and a function that builds the kernel of an instance."""
    fleet = FakePlatformPlugin.fleet = Fleet()
    fakes = (FakePlatformPlugin, FakeDispatch, FakeMembership, FakeLinks, FakeEndpoints)
    plugins = (*fakes, Leases, Weights, Steps)

    def build(name):
        instance = SimpleNamespace(id=name)
        return Kernel(SimpleNamespace(instance=instance), plugins, fleet.clock)

    return fleet, build


async def test_the_instance_ranked_first_owns_a_step_and_hands_it_over(kernels):
    """Guards against steps that have no owner during or after the owner's shutdown."""
    fleet, build = kernels
    fleet.engines.duration = lambda ctx: 20.0 if ctx.group.endswith("/0") else 90.0
    opener = fleet.instance("x")
    opened = await opener.step_service.open(TRAINER, fleet.request())
    assert opened.is_ok()
    order = rank(f"steps/{fleet.keys.shard}", "abcde")
    first, second = build(order[0]), build(order[1])
    async with anyio.create_task_group() as tasks:
        for kernel in (second, first):
            tasks.start_soon(kernel.run, False)
        await fleet.clock.advance(6)
        (lease,) = first.plugin("steps").leases()
        assert lease["name"] == fleet.keys.lease and lease["fence"] == 1
        assert first.plugin("steps").runners and not second.plugin("steps").runners
        second.plugin("membership").leaving = (order[0],)
        first.request_stop()
        await fleet.clock.advance(30)
        assert first.state is State.STOPPED
        assert second.plugin("steps").runners
        # Samples that finish within the grace period of the shutdown are committed.
        assert len(fleet.sample_rows()) == 2
        await fleet.clock.advance(100)
        assert fleet.state() == "sealed"
        assert fleet.engines.starts == 6
        second.request_stop()
        await fleet.clock.advance(10)


async def test_engines_listed_before_the_start_are_ordered(kernels, monkeypatch):
    """Guards against engines that get no order until the list of instances changes."""
    fleet, build = kernels
    fleet.engine = FakeEngine(fleet.clock, checks=False)
    fleet.engine.version = 6
    monkeypatch.setattr(FakeEndpoints, "records", (engine_record("engine-0"),))
    kernel = build(rank(f"weights/{MODEL}", "abcde")[0])
    async with running() as tasks:
        tasks.start_soon(fleet.engine.load)
        tasks.start_soon(kernel.run, False)
        await fleet.clock.advance(12)
        kernel.request_stop()
        await fleet.clock.advance(1)
        assert kernel.state is State.STOPPED
    assert fleet.engine.version == 7
    assert [order.fence for order in fleet.engine.applied] == [1]
    (lease,) = (row for key, row in fleet.table.rows.items() if key.startswith("lease"))
    assert lease.value["released"]


@pytest.mark.task_failures
async def test_an_exception_in_one_step_does_not_end_the_process(kernels):
    """Guards against a step that ends the process of each successive owner."""
    fleet, build = kernels
    opener = fleet.instance("x")
    await opener.step_service.open(TRAINER, fleet.request())
    owner = build(rank(f"steps/{fleet.keys.shard}", "abcde")[0])
    generate, fleet.engines.generate = fleet.engines.generate, None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(owner.run, False)
        await fleet.clock.advance(6)
        assert not owner.plugin("steps").runners
        fleet.engines.generate = generate
        await fleet.clock.advance(2 * TERMS.duration + 10)
        assert fleet.state() == "sealed"
        owner.request_stop()
        await fleet.clock.advance(10)

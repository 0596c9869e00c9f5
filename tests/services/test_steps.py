"""Tests of steps: opening, owning, delivery and acknowledgement."""

from types import SimpleNamespace

import anyio
import pytest

from plantainstack.errors import ErrorKind
from plantainstack.kernel import Kernel
from plantainstack.platform.base import InstanceKind, InstanceRecord
from plantainstack.plugins import Plugin
from plantainstack.policy.leases import rank
from plantainstack.services.leases import Leases
from plantainstack.services.steps import Steps
from plantainstack.services.weights import Weights
from tests.services.fleet import MODEL, TERMS, TRAINER, Fleet

pytestmark = pytest.mark.anyio


async def test_a_step_is_opened_completed_delivered_and_acknowledged():
    """Guards against a break anywhere along the path of one step."""
    fleet = Fleet()
    owner, other = fleet.instance("a"), fleet.instance("b")
    async with anyio.create_task_group() as tasks:
        assert (await owner.desk.open(TRAINER, fleet.request())).is_ok()
        early = await other.desk.samples(TRAINER, "step-1")
        assert early.unwrap_err().kind is ErrorKind.STEP_NOT_SEALED
        await fleet.own(tasks, owner)
        await fleet.clock.advance(10)
        samples = (await other.desk.samples(TRAINER, "step-1")).unwrap()
        assert [(s["group"], s["index"]) for s in samples] == [
            (0, 0),
            (0, 1),
            (1, 0),
            (1, 1),
        ]
        assert all(s["spans"] == [{"version": 7, "tokens": 4}] for s in samples)
        assert all(s["score"] == 8.0 for s in samples)
        again = (await owner.desk.samples(TRAINER, "step-1")).unwrap()
        assert again == samples
        assert (await other.desk.ack(TRAINER, "step-1")).unwrap().state == "acked"
        assert (await owner.desk.ack(TRAINER, "step-1")).is_ok()
        gone = await owner.desk.samples(TRAINER, "step-1")
        assert gone.unwrap_err().kind is ErrorKind.STEP_EXPIRED
        await fleet.own(tasks, other)
        await fleet.clock.advance(2)
        assert not fleet.sample_rows()
        assert list(fleet.table.rows) == [fleet.keys.row, "weights/raadgiver-llm"]


async def test_opening_twice_yields_one_step():
    """Guards against a repeated request that starts a second step."""
    fleet = Fleet()
    first, second = fleet.instance("a"), fleet.instance("b")
    opened = await first.desk.open(TRAINER, fleet.request())
    await fleet.clock.advance(1)
    assert await second.desk.open(TRAINER, fleet.request()) == opened
    changed = await second.desk.open(TRAINER, fleet.request(groups=3))
    assert changed.unwrap_err().kind is ErrorKind.CONFLICT
    assert len([k for k in fleet.table.rows if k.startswith("step/")]) == 1


class FakePlatform(Plugin, register=False):
    name = "platform"
    fleet = None

    def __init__(self, kernel):
        super().__init__(kernel)
        self.table, self.objects = self.fleet.table, self.fleet.objects
        self.scorer, self.weights = self.fleet.scorer, self.fleet.store


class FakeDispatch(Plugin, register=False):
    name = "dispatch"

    def generate(self, ctx, req):
        return FakePlatform.fleet.engines.generate(ctx, req)


class FakeLinks(Plugin, register=False):
    name = "links"


class FakeEndpoints(Plugin, register=False):
    name = "endpoints"
    records = ()


class FakeMembership(Plugin, register=False):
    name = "membership"
    state = "live"

    def view(self):
        members = {name: SimpleNamespace(id=name, state=self.state) for name in "abcde"}
        return SimpleNamespace(members=members)


@pytest.fixture
def kernels():
    """Return a function that builds the kernel of an instance."""
    fleet = FakePlatform.fleet = Fleet()
    fakes = (FakePlatform, FakeDispatch, FakeMembership, FakeLinks, FakeEndpoints)
    plugins = (*fakes, Leases, Weights, Steps)

    def build(name):
        instance = SimpleNamespace(id=name)
        return Kernel(SimpleNamespace(instance=instance), plugins, fleet.clock)

    return fleet, build


async def test_the_instance_ranked_first_owns_a_step_and_hands_it_over(kernels):
    """Guards against steps without an owner, during and after a shutdown."""
    fleet, build = kernels
    fleet.engines.seconds = 30.0
    opener = fleet.instance("x")
    opened = await opener.desk.open(TRAINER, fleet.request())
    assert opened.is_ok()
    order = rank(f"steps/{fleet.keys.shard}", "abcde")
    first, second = build(order[0]), build(order[1])
    async with anyio.create_task_group() as tasks:
        for kernel in (second, first):
            tasks.start_soon(kernel.run, False)
        await fleet.clock.advance(6)
        assert first.plugin("steps").runners and not second.plugin("steps").runners
        first.request_stop()
        await fleet.clock.advance(TERMS.duration + 4)
        assert second.plugin("steps").runners
        await fleet.clock.advance(40)
        assert fleet.state() == "sealed"
        second.request_stop()
        await fleet.clock.advance(10)


async def test_engines_listed_before_the_start_are_ordered(kernels, monkeypatch):
    """Guards against a first list of endpoints that no later event repeats."""
    _, build = kernels
    engine = InstanceRecord("e", MODEL, InstanceKind.ENGINE, "dc", None, "live")
    monkeypatch.setattr(FakeEndpoints, "records", (engine,))
    kernel = build("a")
    kernel.request_stop()
    await kernel.run(handle_signals=False)
    assert MODEL in kernel.plugin("weights").holders


async def test_a_fault_in_one_step_does_not_end_the_process(kernels):
    """Guards against a step that ends each of its owners in turn."""
    fleet, build = kernels
    opener = fleet.instance("x")
    await opener.desk.open(TRAINER, fleet.request())
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

"""Tests of exceptions that one batch, item, endpoint or stored row raises."""

import contextlib

import anyio
import pytest

from plantainstack.kernel import State
from plantainstack.policy import version_plan
from plantainstack.services import batch_runs, item_migration
from plantainstack.services.batch_store import BatchStore
from plantainstack.services.reward_calls import RewardCalls
from plantainstack.services.shared_calls import SharedCalls
from plantainstack.serving import ItemState
from plantainstack.tasks import TaskRunner
from tests.conftest import task_failures
from tests.policy.serving_samples import batch, endpoint, item, scored_item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    ScriptedEndpoints,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = [pytest.mark.anyio, pytest.mark.task_failures]

ODD = ValueError("scripted")


def raising(times, function):
    """Return a function that raises in its first calls."""
    left = [times]

    def wrapped(*args, **kwargs):
        if left[0] > 0:
            left[0] -= 1
            raise ODD
        return function(*args, **kwargs)

    return wrapped


class FailingEndpoints(ScriptedEndpoints):
    """Raise an exception at the streams of some items, and at some reports."""

    def __init__(self, platform):
        super().__init__(platform)
        self.raising_items = {}
        self.raising_reports = set()

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        async with super().stream(endpoint, call) as opened:
            if self.raising_items.get(call.request_id, 0) > 0:
                self.raising_items[call.request_id] -= 1
                raise ODD
            yield opened

    async def report(self, endpoint, deadline):
        if endpoint.id in self.raising_reports:
            raise ODD
        return await super().report(endpoint, deadline)


def new_platform():
    platform = FakePlatform(LoopClock())
    platform.client = FailingEndpoints(platform)
    return platform


def check_failed(before, task):
    assert set(task_failures() - before) == {task}


async def submit(kernel, *items, id="b1"):
    batches = kernel.plugin("batches")
    found = batch(*items, id=id)
    assert (await batches.submit(found, BATCH_ROUTE)).is_ok()
    return batches


async def test_item_that_raises_is_run_again_and_delays_no_other():
    """Guards against one item that ends the process or its whole batch."""
    platform = new_platform()
    platform.client.raising_items["i0"] = 4
    before = task_failures()
    async with running(platform, "a") as (kernel,):
        batches = await submit(kernel, item("i0"), item("i1"))
        first = (await all_results(batches, "b1", 1))[0]
        assert first.item_id == "i1"
        results = await all_results(batches, "b1", 2)
        assert kernel.state is State.SERVING
    assert {result.state for result in results} == {ItemState.COMPLETED}
    check_failed(before, "BatchRun._run_item")


async def test_text_of_an_attempt_that_raises_midway_is_whole():
    """Guards against events that are missing or doubled after an exception."""
    platform = new_platform()
    platform.client.events_per_stream = 9
    before = task_failures()
    record = batch_runs.BatchRun._record_event
    calls = []

    def record_event(run, attempt):
        calls.append(1)
        if len(calls) in (4, 8):
            raise ODD
        record(run, attempt)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(batch_runs.BatchRun, "_record_event", record_event)
        async with running(platform, "a") as (kernel,):
            batches = await submit(kernel, item("i0"))
            (result,) = await all_results(batches, "b1", 1)
    assert result.text.splitlines() == [f"text {number}" for number in range(1, 10)]
    check_failed(before, "BatchRun._run_item")


async def test_batch_that_raises_is_taken_over_and_others_go_on(monkeypatch):
    """Guards against one batch that ends the process that runs others."""
    platform = new_platform()
    order = batch_runs.batch_scheduling.item_order
    monkeypatch.setattr(batch_runs.batch_scheduling, "item_order", raising(1, order))
    before = task_failures()
    async with running(platform, "a") as (kernel,):
        batches = await submit(kernel, item("i0"))
        await submit(kernel, item("i1"), id="b2")
        assert len(await all_results(batches, "b2", 1)) == 1
        assert len(await all_results(batches, "b1", 1)) == 1
        assert kernel.state is State.SERVING
    check_failed(before, "Batches._run")


async def test_takeover_that_raises_is_tried_again(monkeypatch):
    """Guards against a stored batch that ends each instance that takes it over."""
    platform = new_platform()
    platform.client.blocked_events["i0", 2] = gate = anyio.Event()
    async with running(platform, "a") as (kernel,):
        await submit(kernel, item("i0"))
    gate.set()
    monkeypatch.setattr(BatchStore, "partials", raising(2, BatchStore.partials))
    before = task_failures()
    async with running(platform, "b") as (kernel,):
        await until(lambda: kernel.plugin("batches")._entries)
        results = await all_results(kernel.plugin("batches"), "b1", 1)
    assert results[0].state is ItemState.COMPLETED
    check_failed(before, "Batches._take_over")


async def test_migration_that_raises_is_checked_again(monkeypatch):
    """Guards against a check of streams that ends the process, as a division did."""
    platform = new_platform()
    platform.client.blocked_events["i0", 2] = gate = anyio.Event()
    stalled = item_migration.is_stalled
    monkeypatch.setattr(item_migration, "is_stalled", raising(3, stalled))
    before = task_failures()
    async with running(platform, "a") as (kernel,):
        batches = await submit(kernel, item("i0"))
        await until(lambda: len(platform.client.opened_streams) > 1)
        gate.set()
        assert len(await all_results(batches, "b1", 1)) == 1
    check_failed(before, "ItemMigration._check")


async def test_endpoint_whose_load_raises_is_tried_again_and_delays_no_other():
    """Guards against one endpoint's report that ends the holder of the orders."""
    platform = new_platform()
    platform.client.raising_reports = {"e1"}
    before = task_failures()
    async with running(platform, "a") as (kernel,):
        platform.versions = {"m0": 2}
        await until(lambda: platform.endpoints["e2"].versions["m0"] == 2)
        platform.client.raising_reports = set()
        await until(lambda: platform.endpoints["e1"].versions["m0"] == 2)
        assert kernel.state is State.SERVING
    check_failed(before, "_LeaseHolder._load")


async def test_service_whose_plan_raises_is_planned_again(monkeypatch):
    """Guards against a plan of loads that ends the process."""
    platform = new_platform()
    plan = version_plan.plan_loads
    monkeypatch.setattr(version_plan, "plan_loads", raising(3, plan))
    before = task_failures()
    async with running(platform, "a"):
        platform.versions = {"m0": 2}
        await until(
            lambda: {end.versions["m0"] for end in platform.endpoints.values()} == {2}
        )
    check_failed(before, "VersionOrders._watch")


async def test_reward_call_that_raises_is_sent_again(monkeypatch):
    """Guards against one item whose reward call stops those of all others."""
    platform = new_platform()
    platform.endpoints["p1"] = endpoint("p1", service="app")
    route = RewardCalls._route

    def find_route(plugin, waiting):
        if waiting.request.item_id == "i0" and len(seen) < 3:
            seen.append(1)
            raise ODD
        return route(plugin, waiting)

    seen = []
    monkeypatch.setattr(RewardCalls, "_route", find_route)
    before = task_failures()
    async with running(platform, "a") as (kernel,):
        batches = await submit(kernel, scored_item("i0"), scored_item("i1"))
        results = await all_results(batches, "b1", 2)
    assert {result.state for result in results} == {ItemState.COMPLETED}
    check_failed(before, "RewardCalls._grant_slot")


async def test_shared_call_that_raises_ends_for_all_that_wait():
    """Guards against readers that wait for ever for the outcome of a call."""
    outcomes = []

    async def call(key):
        await anyio.sleep(0.01)
        raise ODD

    async with anyio.create_task_group() as group:
        shared = SharedCalls(TaskRunner(group, LoopClock()), call, 1.0)

        async def wait():
            outcomes.append(await shared.call("k"))

        for _ in range(3):
            group.start_soon(wait)
    assert outcomes == [None] * 3


async def test_released_batches_are_written_though_one_of_them_raises(monkeypatch):
    """Guards against a planned stop that waits for ever, or loses other batches."""
    platform = new_platform()
    blocked = platform.client.blocked_events
    blocked["i0", 2] = blocked["i1", 2] = anyio.Event()
    release = batch_runs.BatchRun.release

    async def fail_for_first(run):
        if run.batch.id == "b1":
            raise ODD
        await release(run)

    monkeypatch.setattr(batch_runs.BatchRun, "release", fail_for_first)
    before = task_failures()
    async with running(platform, "a", "b") as (kernel, other):
        await submit(kernel, item("i0"))
        batches = await submit(kernel, item("i1"), id="b2")
        kernel.request_stop()
        await until(lambda: kernel.state is State.STOPPED)
        owners = {id: entry.row.state.owner for id, entry in batches._entries.items()}
        assert owners["b2"] != "a"
        assert other.state is State.SERVING
    check_failed(before, "Batches._release")

"""Tests of batches with so many items that they could fill an instance's memory."""

import tracemalloc

import anyio
import pytest

from plantainstack.policy import batch_scheduling
from plantainstack.policy.batch_scheduling import BatchSize, batch_size
from plantainstack.policy.client_budget import divide
from plantainstack.policy.group_starts import GroupStarts
from plantainstack.services import (
    batch_cache,
    batch_progress,
    batch_reads,
    batch_results,
)
from plantainstack.serving import ItemState
from tests.policy.serving_samples import batch, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    all_results,
    running,
    until,
)

pytestmark = pytest.mark.anyio

MEMORY_BYTES = 10**6


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.5)


def batch_of(count, id="b1"):
    return batch(*(item(f"{id}-i{number}") for number in range(count)), id=id)


def limit_items(kernel, count):
    """Let an instance have room for the items of batches, at most so many."""
    size = BatchSize(count, count * len(item().body))
    kernel.memory_budget.total = size.memory_bytes()


def test_items_without_a_group_wait_in_one_queue():
    """Guards against a queue of 1 KB for each item of a batch without groups."""
    items = [item(f"i{number}") for number in range(5000)]
    tracemalloc.start()
    starts = GroupStarts(items, lambda each: None)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size < 250 * len(items)
    assert [starts.next(0.0) for _ in items] == items


def test_limit_admits_the_steps_of_the_target_beside_each_other():
    """Guards against steps of 4,096 items that wait for room on small machines."""
    memory = divide(160 * 10**6, 1638).memory
    step = BatchSize(4096, 4096 * 600)
    others = BatchSize(10 * step.items, 10 * step.content)
    assert batch_scheduling.has_room(step, others, memory)
    assert not batch_scheduling.has_room(BatchSize(10**6), BatchSize(), memory)


async def test_results_of_one_batch_keep_to_the_cache(monkeypatch):
    """Guards against the results of one large batch that fill the memory."""
    monkeypatch.setattr(batch_cache, "CACHE_SHARE", 500 / MEMORY_BYTES)
    monkeypatch.setattr(batch_cache, "RESULT_OVERHEAD_BYTES", 0, raising=False)
    monkeypatch.setattr(batch_reads, "PAGE_RESULTS", 4)
    monkeypatch.setattr(batch_results, "APPEND_ITEMS", 4)
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        for kernel in kernels:
            kernel.memory_budget.total = MEMORY_BYTES
        batches = [kernel.plugin("batches") for kernel in kernels]
        assert (await batches[0].submit(batch_of(40), BATCH_ROUTE)).is_ok()
        for each in batches:
            found = await all_results(each, "b1", 40)
            assert len({result.item_id for result in found}) == 40
        sizes = [each._entries["b1"].result_bytes() for each in batches]
    assert max(sizes) <= 500


async def test_takeover_reads_listed_results_in_pages(monkeypatch):
    """Guards against a takeover that holds all results of a batch at once."""
    monkeypatch.setattr(batch_progress, "PAGE_RESULTS", 3)
    platform = FakePlatform()
    gate = platform.client.blocked_events[("b1-i0", 2)] = anyio.Event()
    async with running(platform, "a") as (kernel,):
        first = kernel.plugin("batches")
        assert (await first.submit(batch_of(8), BATCH_ROUTE)).is_ok()
        before = await all_results(first, "b1", 7)
    async with running(platform, "b") as (kernel,):
        second = kernel.plugin("batches")
        store = second._batch_store
        read, counts = store.results, []

        async def results(batch_id, position, count, known_version):
            counts.append(count)
            return await read(batch_id, position, count, known_version)

        store.results = results
        await until(lambda: second.running("b1") is not None)
        gate.set()
        after = await all_results(second, "b1", 8)
    assert after[:7] == before
    assert after[7].item_id == "b1-i0"
    assert counts[:3] == [3, 3, 1]


async def test_items_of_ended_batches_are_not_kept():
    """Guards against the bodies of ended batches that fill the memory."""
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        batches = [kernel.plugin("batches") for kernel in kernels]
        assert (await batches[0].submit(batch_of(4), BATCH_ROUTE)).is_ok()
        for each in batches:
            assert (await each.item_body("b1", "b1-i0")).is_ok()
            await all_results(each, "b1", 4)
        await until(lambda: batches[0].running("b1") is None)
        assert (await batches[1].item_body("b1", "b1-i0")).unwrap() == b"body"
        assert [each._entries["b1"].batch for each in batches] == [None, None]


async def test_batch_without_room_waits_until_another_one_is_complete():
    """Guards against large batches that fill the memory side by side."""
    platform = FakePlatform()
    gate = platform.client.blocked_events[("b1-i0", 2)] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        for kernel in kernels:
            limit_items(kernel, 10)
        batches = [kernel.plugin("batches") for kernel in kernels]
        limit_items(kernels[1], 5)
        for id in ("b1", "b2"):
            assert (await batches[0].submit(batch_of(8, id), BATCH_ROUTE)).is_ok()
        await anyio.sleep(1.5)
        assert [batches[0].running(id) is None for id in ("b1", "b2")] == [False, True]
        assert [batches[1].running(id) for id in ("b1", "b2")] == [None, None]
        gate.set()
        for id in ("b1", "b2"):
            found = await all_results(batches[1], id, 8)
            assert {result.state for result in found} == {ItemState.COMPLETED}
        assert not batches[1].may_run(batch_size(batch_of(8)))

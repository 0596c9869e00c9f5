"""Tests of batches whose bodies could fill the memory of an instance."""

import contextlib
import random
import tracemalloc

import anyio
import pytest
from result import Err

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy import batch_scheduling
from plantainstack.policy.batch_scheduling import (
    BatchSize,
    batch_size,
    has_room,
    storing_bytes,
)
from plantainstack.policy.memory_budget import MemoryBudget
from plantainstack.services.batch_loading import RECEIVING_BYTES, BatchLoader
from plantainstack.services.batch_store import OBJECT_BYTES_MAX, BatchStore
from plantainstack.serving import ItemState
from standins.metadata_store import Rows
from tests.policy.serving_samples import batch, item, scored_item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    MemoryStore,
    all_results,
    running,
    until,
)

pytestmark = pytest.mark.anyio

BODY_BYTES = 100_000
ITEMS = 4


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.5)


def long_batch(id="b1", items=ITEMS, body_bytes=BODY_BYTES):
    """Return a batch whose bodies cannot be compressed."""
    data = random.Random(id)
    return batch(
        *(
            item(f"{id}-i{number}")._replace(body=data.randbytes(body_bytes))
            for number in range(items)
        ),
        id=id,
    )


def platform_holding(*ids):
    """Return a platform where these batches end once their gates are set."""
    platform = FakePlatform()
    gates = platform.client.blocked_events
    for id in ids:
        gates[(f"{id}-i0", 2)] = anyio.Event()
    return platform, gates.values()


@contextlib.asynccontextmanager
async def owner_and_reader():
    """Run a batch at one instance, and yield another one that knows it."""
    platform, _ = platform_holding("b1")
    async with running(platform, "a", "b") as kernels:
        owner, reader = (kernel.plugin("batches") for kernel in kernels)
        assert (await owner.submit(long_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: "b1" in reader._entries)
        yield reader


def count_running(batches, ids):
    return sum(batches.running(id) is not None for id in ids)


def test_size_of_a_batch_counts_bodies_headers_and_reward_calls():
    """Guards against long bodies that count as much as short ones."""
    plain = item()._replace(headers=(("name", "text"),))
    assert batch_size(batch(plain)) == BatchSize(1, len(b"body") + 8)
    assert batch_size(batch(scored_item())) == BatchSize(
        1, len(b"body") + len(b"score")
    )


def test_content_of_batches_leaves_memory_for_the_next_submission():
    """Guards against running batches beside which none can be accepted."""
    memory = 80 * 10**6
    content = 7_500_000
    running = BatchSize(4 * 104, 4 * content)
    assert has_room(BatchSize(104, content), running, memory)
    running = BatchSize(5 * 104, 5 * content)
    assert not has_room(BatchSize(104, content), running, memory)
    assert not has_room(BatchSize(104, memory // 2 + 1), BatchSize(), memory)


async def test_batches_with_long_bodies_wait_for_room():
    """Guards against accepted batches that together end their owner."""
    ids = [f"b{number}" for number in range(5)]
    platform, gates = platform_holding(*ids)
    content = batch_size(long_batch()).content
    async with running(platform, "a", memory=5 * content) as (kernel,):
        batches = kernel.plugin("batches")
        for id in ids:
            assert (await batches.submit(long_batch(id), BATCH_ROUTE)).is_ok()
        await anyio.sleep(1.0)
        assert count_running(batches, ids) == 2
        for gate in gates:
            gate.set()
        for id in ids:
            found = await all_results(batches, id, ITEMS)
            assert {result.state for result in found} == {ItemState.COMPLETED}


async def test_restarted_owner_runs_no_more_batches_than_fit():
    """Guards against batches that end their owner again after each start."""
    ids = [f"b{number}" for number in range(5)]
    platform, gates = platform_holding(*ids)
    content = batch_size(long_batch()).content
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        for id in ids:
            assert (await batches.submit(long_batch(id), BATCH_ROUTE)).is_ok()
        await until(lambda: count_running(batches, ids) == len(ids))
    async with running(platform, "a", memory=5 * content) as (kernel,):
        batches = kernel.plugin("batches")
        await until(lambda: count_running(batches, ids) == 2)
        for _ in range(100):
            await anyio.sleep(0.01)
            assert count_running(batches, ids) <= 2
        for gate in gates:
            gate.set()
        for id in ids:
            await all_results(batches, id, ITEMS)


async def test_accepted_batch_runs_beside_requests_if_no_other_one_runs():
    """Guards against a batch that waits for ever, since answers always take memory."""
    size = batch_size(long_batch())
    async with running(FakePlatform(), "a", memory=3 * size.content) as (kernel,):
        kernel.memory_budget.add_part("answers", lambda: 2 * size.content)
        batches = kernel.plugin("batches")
        assert batches.may_run(size)
        assert (await batches.submit(long_batch(), BATCH_ROUTE)).is_ok()
        assert len(await all_results(batches, "b1", ITEMS)) == ITEMS


async def test_batch_that_never_fits_is_known_before_it_is_stored():
    """Guards against an accepted batch that no instance of this size ever runs."""
    async with running(FakePlatform(), "a") as (kernel,):
        size = batch_size(long_batch())
        batches = kernel.plugin("batches")
        kernel.memory_budget.total = 3 * size.content
        assert batches.may_run(size)
        kernel.memory_budget.total = size.content
        assert not batches.may_run(size)


async def test_items_that_run_elsewhere_are_not_kept_for_long():
    """Guards against instances that keep the batches which they accept for others."""
    platform = FakePlatform()
    platform.client.events_per_stream = 0
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        batches._submissions._choose_owner = lambda route: "another"
        content = batch_size(long_batch()).content
        kernel.memory_budget.total = content * 16 // 5
        assert (await batches.submit(long_batch(), BATCH_ROUTE)).is_ok()
        kernel.memory_budget.reclaim()
        assert batches._entries["b1"].batch is None
        assert (await batches.item_body("b1", "b1-i0")).is_ok()


async def test_concurrent_readers_of_bodies_share_one_read():
    """Guards against a copy of the batch for each reader of an item's body."""
    loads = []
    async with owner_and_reader() as reader:
        load = reader._reads._loader.load

        async def counted(batch_id, tenant):
            loads.append(batch_id)
            return await load(batch_id, tenant)

        reader._reads._loader.load = counted
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(reader.item_body, "b1", "b1-i1")
    assert loads == ["b1"]


async def test_readers_of_bodies_share_a_read_that_fails():
    """Guards against readers that wait for one failing read after the other."""
    loads, answers = [], []

    async def failing(batch_id, tenant):
        loads.append(batch_id)
        await anyio.sleep(0.05)
        return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, "scripted"))

    async with owner_and_reader() as reader:

        async def read():
            answers.append(await reader.item_body("b1", "b1-i1"))

        reader._reads._loader.load = failing
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(read)
    assert len(loads) <= 2
    assert {each.unwrap_err().outcome for each in answers} == {Outcome.NOT_RUN}


@pytest.mark.parametrize("body_bytes", [300_000, 30_000_000])
async def test_stored_batch_is_decoded_within_the_memory_that_is_left(body_bytes):
    """Guards against a small row or object whose items take all memory."""
    store = BatchStore(MemoryStore(Rows(), SystemClock()), SystemClock())
    stored = batch(item()._replace(body=bytes(body_bytes)))
    assert (await store.accept(stored, "r", "a")).is_ok()
    for total, fits in ((3 * body_bytes, True), (body_bytes, False)):
        found = await BatchLoader(store, MemoryBudget(total)).load("b1", "")
        assert found.is_ok() == fits
    failure = found.unwrap_err()
    assert (failure.kind, failure.outcome) == (ErrorKind.OVERLOADED, Outcome.NOT_RUN)


async def test_batch_above_the_size_of_an_object_is_refused_before_it_is_sent():
    """Guards against copies of a batch that the store can only refuse."""
    metadata_store = MemoryStore(Rows(), SystemClock())
    store = BatchStore(metadata_store, SystemClock())
    found = await store.accept(long_batch(body_bytes=2_500_000), "r", "a")
    failure = found.unwrap_err()
    assert (failure.kind, failure.outcome) == (ErrorKind.OVERLOADED, Outcome.NOT_RUN)
    assert (metadata_store.objects, metadata_store.calls) == ({}, 0)


async def test_storing_a_batch_takes_no_more_memory_than_reserved():
    """Guards against copies of a batch that count nowhere while it is stored."""
    store = BatchStore(MemoryStore(Rows(), SystemClock()), SystemClock())
    stored = long_batch(body_bytes=1_500_000)
    size = batch_size(stored)
    tracemalloc.start()
    assert (await store.accept(stored, "r", "a")).is_ok()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak <= storing_bytes(size, OBJECT_BYTES_MAX) - size.content


async def test_object_is_not_fetched_without_memory_for_it():
    """Guards against objects of megabytes that are received beside each other."""
    metadata_store = MemoryStore(Rows(), SystemClock())
    store = BatchStore(metadata_store, SystemClock())
    stored = long_batch(body_bytes=300_000)
    assert (await store.accept(stored, "r", "a")).is_ok()
    assert metadata_store.objects
    memory = MemoryBudget(RECEIVING_BYTES - 1)
    loader = BatchLoader(store, memory)
    assert (await loader.load("b1", "")).unwrap_err().kind is ErrorKind.OVERLOADED
    memory.total = 2 * RECEIVING_BYTES
    assert (await loader.load("b1", "")).unwrap() == stored
    assert memory.left_for("bodies") == memory.total


async def test_results_that_wait_for_the_store_count_in_the_budget():
    """Guards against an outage of the store during which other parts take too much."""
    platform = FakePlatform()
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        before = kernel.memory_budget.left_for("bodies")
        gate = platform.client.blocked_events[("b1-i0", 2)] = anyio.Event()
        assert (await batches.submit(long_batch(), BATCH_ROUTE)).is_ok()
        kernel.plugin("store").metadata_store.unavailable = True
        gate.set()
        run = batches.running("b1")
        await until(run.unwritten_bytes)
        size = batches._entries["b1"].size.memory_bytes() + run.unwritten_bytes()
        left = kernel.memory_budget.left_for("bodies")
        assert left <= before - size
        kernel.plugin("store").metadata_store.unavailable = False
        await all_results(batches, "b1", ITEMS)

"""Tests of reads at instances that know less than the store."""

import contextlib

import anyio
import pytest

from plantainstack.errors import ErrorKind
from plantainstack.policy import batch_scheduling
from plantainstack.services import batch_store
from plantainstack.services import batches as batches_module
from tests.policy.serving_samples import batch, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio


def four_items():
    return batch(*(item(f"i{n}", f"g{n // 2}") for n in range(4)))


@contextlib.asynccontextmanager
async def open_batch(blocked=("i0",)):
    """Run an owner `a` of a batch whose blocked items wait, and a reader `b`."""
    platform = FakePlatform(LoopClock())
    gates = [anyio.Event() for _ in blocked]
    for item_id, gate in zip(blocked, gates, strict=True):
        platform.client.blocked_events[(item_id, 1)] = gate
    async with running(platform, "a", "b") as kernels:
        owner, reader = (kernel.plugin("batches") for kernel in kernels)
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        stores = [kernel.plugin("store").metadata_store for kernel in kernels]
        await until(lambda: "b1" in reader._entries)
        yield platform, owner, reader, stores, gates


def answers_with_results(found):
    return found.is_ok() and len(found.unwrap().results) > 0


def is_unavailable(found):
    return found.is_err() and found.unwrap_err().kind is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize("feed", ["silent", "lagging", "unanswered"])
async def test_result_shown_elsewhere_is_found_while_the_feed_is_behind(feed):
    """Guards against taking what the feed has shown for all that the store has."""
    every_item = [f"i{n}" for n in range(4)]
    async with open_batch(every_item) as (_, owner, reader, stores, gates):
        stores[1].feed_fault = feed
        await anyio.sleep(1.0)
        for gate in gates[1:]:
            gate.set()
        assert len(await all_results(owner, "b1", 3)) == 3
        assert answers_with_results(await reader.results("b1", 2, 0.0))


async def test_wait_without_a_notice_ends_with_a_look_at_the_store():
    """Guards against an empty page after a wait in which results were listed."""
    every_item = [f"i{n}" for n in range(4)]
    async with open_batch(every_item) as (_, _owner, reader, stores, gates):
        stores[1].feed_fault = "silent"
        await anyio.sleep(1.0)
        async with anyio.create_task_group() as tasks:

            async def end_items():
                await anyio.sleep(0.2)
                for gate in gates:
                    gate.set()

            tasks.start_soon(end_items)
            assert answers_with_results(await reader.results("b1", 0, 1.0))


async def test_replaced_owner_does_not_answer_from_its_own_row():
    """Guards against an owner that was cut off and shows less than its successor."""
    async with open_batch() as (_, owner, reader, stores, gates):
        assert len(await all_results(owner, "b1", 3)) == 3
        stores[0].unavailable = True
        await until(lambda: reader._entries["b1"].is_running())
        gates[0].set()
        assert len(await all_results(reader, "b1", 4)) == 4
        assert is_unavailable(await owner.results("b1", 3, 0.0))
        stores[0].unavailable = False
        stores[0].feed_fault = "silent"
        assert answers_with_results(await owner.results("b1", 3, 0.0))


async def test_owner_does_not_deny_results_whose_write_was_not_answered():
    """Guards against an owner that shows less than a write of its own has stored."""
    every_item = [f"i{n}" for n in range(4)]
    async with open_batch(every_item) as (_, owner, reader, stores, gates):
        stores[0].feed_fault = "silent"
        await anyio.sleep(1.0)
        stores[0].faults = ["lost"] * 1000
        for gate in gates[1:]:
            gate.set()
        assert len(await all_results(reader, "b1", 3)) == 3
        found = await owner.results("b1", 2, 0.0)
        assert answers_with_results(found) or is_unavailable(found)


async def test_listed_result_missing_from_a_stale_read_is_not_answered_as_absent():
    """Guards against an empty page from a store that answers with an older state."""
    every_item = [f"i{n}" for n in range(4)]
    async with open_batch(every_item) as (_, owner, reader, stores, gates):
        stores[1].answer_reads_from_now()
        for gate in gates[1:]:
            gate.set()
        assert len(await all_results(owner, "b1", 3)) == 3
        await until(lambda: reader._entries["b1"].row.state.listed == 3)
        assert is_unavailable(await reader.results("b1", 2, 0.0))


async def test_batch_accepted_elsewhere_is_found_while_the_feed_is_silent():
    """Guards against 404 for a batch that this instance has not heard of."""
    platform = FakePlatform(LoopClock())
    platform.client.blocked_events[("i0", 1)] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner, reader = (kernel.plugin("batches") for kernel in kernels)
        kernels[1].plugin("store").metadata_store.feed_fault = "silent"
        await anyio.sleep(1.0)
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        assert answers_with_results(await reader.results("b1", 2, 0.0))
        assert (await reader.item_body("b1", "i0")).unwrap() == b"body"
        assert (await reader.end("b1")).is_ok()


async def test_nothing_is_denied_while_the_store_does_not_answer():
    """Guards against an empty page that the store has not confirmed."""
    async with open_batch() as (_, owner, reader, stores, _gates):
        assert len(await all_results(reader, "b1", 3)) == 3
        for store in stores:
            store.unavailable = True
        for batches in (owner, reader):
            assert is_unavailable(await batches.results("b1", 3, 0.0))
            assert is_unavailable(await batches.results("b9", 0, 0.0))
            assert answers_with_results(await batches.results("b1", 0, 0.0))


async def test_answer_older_than_what_is_known_confirms_nothing():
    """Guards against a store that denies what it has shown before."""
    async with open_batch() as (_, _owner, reader, stores, _gates):
        assert len(await all_results(reader, "b1", 3)) == 3
        stores[1].answer_from = stores[1].copied_rows()
        stores[1].answer_from.transact({}, {}, [("batches", "b1", "state")])
        stores[1].answer_from.version = 0
        assert is_unavailable(await reader.results("b1", 3, 0.0))


async def test_concurrent_readers_of_a_batch_share_calls_to_the_store():
    """Guards against a load on the store that grows with the number of readers."""
    async with open_batch() as (_, _owner, reader, stores, _gates):
        assert len(await all_results(reader, "b1", 3)) == 3
        before = stores[1].reads
        async with anyio.create_task_group() as tasks:
            for _ in range(50):
                tasks.start_soon(reader.results, "b1", 3, 0.0)
        assert 1 <= stores[1].reads - before <= 2


@pytest.mark.parametrize("is_ended", [False, True])
async def test_end_of_a_final_batch_is_answered_without_the_store(is_ended):
    """Guards against calls to the store for batches that cannot change any more."""
    async with open_batch() as (_, owner, reader, stores, gates):
        count = 3 if is_ended else 4
        if not is_ended:
            gates[0].set()
        assert len(await all_results(reader, "b1", count)) == count
        if is_ended:
            assert (await owner.end("b1")).is_ok()
        await until(lambda: reader._entries["b1"].row.state.ended == is_ended)
        before = stores[1].reads
        assert (await reader.results("b1", count, 1.0)).unwrap().results == []
        assert stores[1].reads == before


async def test_reader_that_leaves_does_not_fail_those_that_share_its_call():
    """Guards against a cancelled call that other readers wait for."""
    async with open_batch() as (_, _owner, reader, _stores, _gates):
        assert len(await all_results(reader, "b1", 3)) == 3
        found = []

        async def read():
            found.append(await reader.results("b1", 3, 0.0))

        async with anyio.create_task_group() as tasks:
            leaving = anyio.CancelScope()

            async def read_and_leave():
                with leaving:
                    await reader.results("b1", 3, 0.0)

            tasks.start_soon(read_and_leave)
            tasks.start_soon(read)
            await anyio.lowlevel.checkpoint()
            leaving.cancel()
        assert found[0].unwrap().results == []


async def test_successor_does_not_list_items_again_that_a_stale_read_lacks():
    """Guards against an item at two positions after a change of the owner."""
    platform = FakePlatform(LoopClock())
    gate = platform.client.blocked_events[("i0", 1)] = anyio.Event()
    async with running(platform, "b") as kernels:
        successor = kernels[0].plugin("batches")
        store = kernels[0].plugin("store").metadata_store
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            store.answer_reads_from_now()
            assert len(await all_results(owner, "b1", 3)) == 3
        gate.set()
        await anyio.sleep(10.0)
        store.answer_from = store.rows
        found = await all_results(successor, "b1", 4)
        assert sorted(result.item_id for result in found) == ["i0", "i1", "i2", "i3"]


@pytest.mark.parametrize("call", ["item_body", "end"])
async def test_known_batch_is_not_denied_because_of_a_stale_read(call):
    """Guards against 404 or 500 for a batch of which this instance knows."""
    platform = FakePlatform(LoopClock())
    platform.client.blocked_events[("i0", 1)] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner, reader = (kernel.plugin("batches") for kernel in kernels)
        kernels[1].plugin("store").metadata_store.answer_reads_from_now()
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await until(lambda: "b1" in reader._entries)
        arguments = {"item_body": ("i0",), "end": ()}[call]
        assert is_unavailable(await getattr(reader, call)("b1", *arguments))


@contextlib.asynccontextmanager
async def delayed_successor(monkeypatch):
    """Run `b` and `c` after the loss of an owner, of which `c` does not take over.

    `b` takes over, but its read of the results waits.
    """
    platform = FakePlatform(LoopClock())
    gate = platform.client.blocked_events[("i0", 1)] = anyio.Event()
    read_gate = anyio.Event()
    async with running(platform, "b", "c") as kernels:
        successor, other = (kernel.plugin("batches") for kernel in kernels)
        store = kernels[0].plugin("store").metadata_store
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            assert len(await all_results(owner, "b1", 3)) == 3
        read = store.read

        async def read_late(table, *arguments):
            if table == batch_store.RESULT_TABLE:
                await read_gate.wait()
            return await read(table, *arguments)

        monkeypatch.setattr(store, "read", read_late)
        monkeypatch.setattr(other, "_draining", True)
        await until(lambda: "b1" in successor._entries)
        await until(lambda: successor._entries["b1"].row.state.owner == "b")
        yield platform, successor, other, read_gate, gate


async def test_batch_that_ended_during_a_takeover_is_not_run(monkeypatch):
    """Guards against items of an ended batch that are sent to endpoints."""
    async with delayed_successor(monkeypatch) as (platform, successor, other, gate, _):
        opened_streams = len(platform.client.opened_streams)
        assert (await other.end("b1")).is_ok()
        await until(lambda: successor._entries["b1"].row.state.ended)
        gate.set()
        await anyio.sleep(3.0)
        assert len(platform.client.opened_streams) == opened_streams


async def test_batch_with_a_newer_owner_after_a_takeover_is_not_run(monkeypatch):
    """Guards against two owners of which one writes under the other's row."""
    async with delayed_successor(monkeypatch) as found:
        _, successor, other, gate, item_gate = found
        monkeypatch.setattr(other, "_draining", False)
        await until(lambda: other._entries["b1"].is_running())
        await until(lambda: successor._entries["b1"].row.state.owner == "c")
        gate.set()
        await anyio.sleep(0.1)
        assert not successor._entries["b1"].is_running()
        item_gate.set()
        assert len(await all_results(other, "b1", 4)) == 4


async def test_batch_that_ended_before_its_acceptance_was_confirmed_is_not_run(
    monkeypatch,
):
    """Guards against items of a batch that was ended while its write was unanswered."""
    platform = FakePlatform(LoopClock())
    async with running(platform, "a", "b") as kernels:
        first, second = (kernel.plugin("batches") for kernel in kernels)
        store = kernels[0].plugin("store").metadata_store
        transact = store.transact

        async def answer_late(transaction):
            found = await transact(transaction)
            await anyio.sleep(1.0)
            return found

        monkeypatch.setattr(store, "transact", answer_late)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first.submit, four_items(), BATCH_ROUTE)
            await until(lambda: "b1" in second._entries)
            assert (await second.end("b1")).is_ok()
        await anyio.sleep(3.0)
        assert platform.client.opened_streams == []


async def test_open_batch_is_kept_however_old_it_is(monkeypatch):
    """Guards against results that are removed while a batch still runs."""
    async with open_batch() as (_, owner, reader, _stores, gates):
        assert len(await all_results(owner, "b1", 3)) == 3
        monkeypatch.setattr(batch_scheduling, "RETENTION_S", 0.0)
        await anyio.sleep(3.0)
        gates[0].set()
        for batches in (owner, reader):
            assert answers_with_results(await batches.results("b1", 0, 0.0))


async def test_batch_whose_removal_failed_is_removed_later(monkeypatch):
    """Guards against a batch that is forgotten while its rows remain in part."""
    async with open_batch() as (platform, owner, other, stores, gates):
        gates[0].set()
        assert len(await all_results(owner, "b1", 4)) == 4
        monkeypatch.setattr(other, "_draining", True)
        stores[0].faults = ["down"] * 3
        monkeypatch.setattr(batches_module, "SUPERVISE_INTERVAL_S", 0.1)
        monkeypatch.setattr(batch_scheduling, "RETENTION_S", 0.0)
        await until(lambda: not platform.rows.parts(batch_store.STATE_TABLE))


async def test_state_that_cannot_be_decoded_fails_the_read_alone():
    """Guards against a process that ends when a reader names an odd row."""
    async with open_batch() as (platform, _owner, reader, stores, _gates):
        for store in stores:
            store.feed_fault = "silent"
        await anyio.sleep(1.0)
        platform.rows.transact({}, {("batches", "b9", "state"): b"odd"})
        assert is_unavailable(await reader.results("b9", 0, 0.0))
        assert answers_with_results(await reader.results("b1", 0, 0.0))


async def test_reader_does_not_wait_at_an_instance_that_lost_the_store():
    """Guards against readers that learn late that they have to ask elsewhere."""
    async with open_batch() as (platform, _owner, reader, stores, _gates):
        assert len(await all_results(reader, "b1", 3)) == 3
        stores[1].unavailable = True
        await until(lambda: reader._feed.lost_at is not None)
        asked_at = platform.clock.now()
        assert is_unavailable(await reader.results("b1", 3, 1.0))
        assert platform.clock.now() - asked_at < 1.0

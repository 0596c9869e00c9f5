"""Tests of batches on a shared metadata store: acceptance, ownership and results."""

import anyio
import msgspec
import pytest
from result import Err

from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy import batch_scheduling
from plantainstack.policy.item_runs import PartialText
from plantainstack.services import batch_results, batch_store
from plantainstack.services import batches as batches_module
from plantainstack.services.item_placement import ItemPlacement
from plantainstack.serving import (
    ItemState,
    RowName,
    RowsRead,
    StoredRow,
    WeightedService,
)
from tests.policy.serving_samples import batch, endpoint, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    MAY_HAVE_RUN,
    NOT_RUN,
    SAFE_ROUTE,
    FakePlatform,
    FakeRegistry,
    MemoryStore,
    all_results,
    new_kernel,
    running,
    until,
)

pytestmark = pytest.mark.anyio

TEXT = "text 1\ntext 2\ntext 3"


def four_items():
    return batch(*(item(f"i{n}", f"g{n // 2}") for n in range(4)))


def stored_events(platform, item_id):
    """Return the number of an item's events that are checkpointed in the store."""
    names = platform.rows.range(
        batch_store.PARTIAL_TABLE, "b1", f"{item_id}/", f"{item_id}0"
    )
    pieces = [msgspec.msgpack.decode(row.value, type=PartialText) for _, row in names]
    return sum(len(piece.texts) for piece in pieces)


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.5)
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", 60.0)
    monkeypatch.setattr(batch_store, "REFUSED_WRITE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(batch_store, "UNKNOWN_WRITE_TIMEOUT_S", 0.3)
    monkeypatch.setattr(batch_store, "RETRY_S", 0.01)


async def test_all_instances_return_the_same_results():
    """Guards against result positions that differ between instances."""
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        near, far = (kernel.plugin("batches") for kernel in kernels)
        assert (await near.submit(four_items(), BATCH_ROUTE)).is_ok()
        first = await all_results(near, "b1", 4)
        second = await all_results(far, "b1", 4)
        assert first == second
        assert {result.text for result in first} == {TEXT}
        assert all(result.versions == (1,) for result in first)


async def test_batch_submitted_again_runs_once():
    """Guards against a second run of a batch that is also submitted elsewhere."""
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        for kernel in (*kernels, *kernels):
            submitted = await kernel.plugin("batches").submit(four_items(), BATCH_ROUTE)
            assert submitted.is_ok()
        await all_results(kernels[0].plugin("batches"), "b1", 4)
        assert len(platform.client.opened_streams) == 4


@pytest.mark.parametrize("faults", [["lost"], ["dropped"], ["lost", "lost", "down"]])
async def test_submit_succeeds_after_a_lost_store_response(faults):
    """Guards against refusing a batch that the store has stored.

    The response to a write is lost, so the caller cannot tell whether it was applied.
    """
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        kernels[0].plugin("store").metadata_store.faults = list(faults)
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        assert len(await all_results(batches, "b1", 4)) == 4


async def test_submit_refused_by_the_store_is_not_run():
    """Guards against running a batch that was refused as not run."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = kernels[0].plugin("store").metadata_store
        store.unavailable = True
        batches = kernels[0].plugin("batches")
        failure = (await batches.submit(four_items(), BATCH_ROUTE)).unwrap_err()
        assert failure.outcome is NOT_RUN
        store.unavailable = False
        assert platform.rows.parts(batch_store.STATE_TABLE) == []


async def test_submit_with_unknown_outcome_may_have_run():
    """Guards against reporting `not_run` for a write that may still be applied."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        kernels[0].plugin("store").metadata_store.faults = ["dropped"] * 1000
        batches = kernels[0].plugin("batches")
        failure = (await batches.submit(four_items(), BATCH_ROUTE)).unwrap_err()
        assert failure.outcome is MAY_HAVE_RUN


async def test_results_are_returned_only_after_they_are_stored():
    """Guards against returning a result that would be lost with its instance."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = kernels[0].plugin("store").metadata_store
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        store.faults = ["down"] * 3
        found = await all_results(batches, "b1", 4)
        stored = platform.rows.range(batch_store.RESULT_TABLE, "b1", "", "")
        assert len(stored) == len(found) == 4


async def test_batch_is_taken_over_after_its_owner_is_gone():
    """Guards against a batch that stops when its owner crashes."""
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 2)] = anyio.Event()
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await all_results(owner, "b1", 3)
        platform.client.blocked_events.clear()
        other = kernels[0].plugin("batches")
        found = await all_results(other, "b1", 4)
        assert len({result.item_id for result in found}) == 4
        assert {result.text for result in found} == {TEXT}


async def test_draining_owner_stores_partial_texts():
    """Guards against items that start over after a planned restart of their owner."""
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 3)] = anyio.Event()
    async with running(platform, "a", "b") as (leaving, staying):
        owner = leaving.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        owner.on_drain()
        await owner.drain(0.0)
        platform.client.blocked_events.clear()
        found = await all_results(staying.plugin("batches"), "b1", 4)
        assert {result.text for result in found} == {TEXT}
        assert [
            opened_streams[2]
            for opened_streams in platform.client.opened_streams
            if opened_streams[0] == "i0"
        ] == [
            None,
            2,
        ]


async def test_checkpointed_text_survives_the_owner(monkeypatch):
    """Guards against items that start over after a crash of their owner."""
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_MIN_AGE_S", 0.0)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_INTERVAL_S", 0.0)
    platform = FakePlatform()
    platform.client.events_per_stream = 6
    platform.client.blocked_events[("i0", 5)] = anyio.Event()
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await all_results(owner, "b1", 3)
            await until(lambda: stored_events(platform, "i0") == 4)
        platform.client.blocked_events.clear()
        found = await all_results(kernels[0].plugin("batches"), "b1", 4)
        assert len({result.text for result in found}) == 1
        assert [
            opened_streams[2]
            for opened_streams in platform.client.opened_streams
            if opened_streams[0] == "i0"
        ][-1] == 4


async def test_former_owner_cannot_append_results():
    """Guards against two owners that both append results to one batch."""
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 2)] = anyio.Event()
    async with running(platform, "a", "b") as (first, second):
        owner = first.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        first.plugin("store").metadata_store.unavailable = True
        gate = platform.client.blocked_events.pop(("i0", 2))
        found = await all_results(second.plugin("batches"), "b1", 4)
        gate.set()
        first.plugin("store").metadata_store.unavailable = False
        run = owner._entries["b1"].run
        await until(lambda: run is None or run.stopped)
        stored = platform.rows.range(batch_store.RESULT_TABLE, "b1", "", "")
        assert len(found) == len(stored) == 4


async def test_end_at_any_instance_stops_the_owner():
    """Guards against items that still run after their batch was ended."""
    platform = FakePlatform()
    for number in range(4):
        platform.client.blocked_events[(f"i{number}", 1)] = anyio.Event()
    async with running(platform, "a", "b") as (first, second):
        owner = first.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await until(lambda: len(platform.client.opened_streams) == 4)
        assert (await second.plugin("batches").end("b1")).is_ok()
        await until(lambda: owner._entries["b1"].row.state.ended)
        await until(lambda: owner._entries["b1"].run is None)
        assert (await owner.end("b1")).is_ok()
        refused = await owner.item_body("b1", "i0")
        assert refused.unwrap_err().kind is ErrorKind.NOT_FOUND


async def test_ended_batch_is_not_taken_over():
    """Guards against running items of a step that is over."""
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 1)] = anyio.Event()
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await until(lambda: len(platform.client.opened_streams) == 4)
            assert (await owner.end("b1")).is_ok()
        opened_streams = len(platform.client.opened_streams)
        other = kernels[0].plugin("batches")
        await until(lambda: "b1" in other._entries)
        await anyio.sleep(1.0)
        assert len(platform.client.opened_streams) == opened_streams


async def test_unknown_batch_is_not_found_only_if_the_store_confirms_it():
    """Guards against reporting a batch as missing before this instance has seen it."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        missing = (await batches.results("b9", 0, 0.0)).unwrap_err()
        assert missing.kind is ErrorKind.NOT_FOUND
        kernels[0].plugin("store").metadata_store.unavailable = True
        unsure = (await batches.results("b9", 0, 0.0)).unwrap_err()
        assert unsure.kind is ErrorKind.STORE_UNAVAILABLE


async def test_item_bodies_are_available_at_every_instance():
    platform = FakePlatform()
    async with running(platform, "a", "b") as (first, second):
        assert (await first.plugin("batches").submit(four_items(), BATCH_ROUTE)).is_ok()
        for kernel in (first, second):
            body = await kernel.plugin("batches").item_body("b1", "i3")
            assert body.unwrap() == b"body"


async def test_interrupted_stream_resumes_after_its_last_event():
    """Guards against missing or duplicate events in a resumed stream."""
    platform = FakePlatform()
    platform.client.failing_events.append(("i0", 3))
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        assert {result.text for result in found} == {TEXT}
        resumed = [
            opened_streams[2]
            for opened_streams in platform.client.opened_streams
            if opened_streams[0] == "i0"
        ]
        assert resumed == [None, 2]


@pytest.mark.parametrize(("status", "runs"), [(422, 1), (500, 3)])
async def test_items_that_cannot_succeed_are_abandoned(status, runs):
    """Guards against an item that is retried forever."""
    platform = FakePlatform()
    platform.client.statuses["i0"] = status
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        states = {result.item_id: result.state for result in found}
        assert states.pop("i0") is ItemState.ABANDONED
        assert set(states.values()) == {ItemState.COMPLETED}
        assert len([b for b in platform.client.opened_streams if b[0] == "i0"]) == runs


async def test_large_batches_are_stored_as_objects(monkeypatch):
    monkeypatch.setattr(batch_store, "TRANSACTION_BYTES", 10)
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        assert len(kernels[0].plugin("store").metadata_store.objects) == 1
        batches._entries["b1"].batch = None
        assert (await batches.item_body("b1", "i0")).unwrap() == b"body"


async def test_submit_fails_fast_during_a_store_outage():
    """Guards against a trainer that waits for an instance without a store."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = kernels[0].plugin("store").metadata_store
        batches = kernels[0].plugin("batches")
        store.unavailable = True
        await until(lambda: batches._feed.lost_for(platform.clock.now()) > 0.5)
        calls = store.calls
        failure = (await batches.submit(four_items(), BATCH_ROUTE)).unwrap_err()
        assert failure.outcome is NOT_RUN
        assert store.calls == calls


async def test_cached_results_stay_readable_during_a_store_outage():
    """Guards against results that become unreadable during a store outage."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        before = await all_results(batches, "b1", 4)
        kernels[0].plugin("store").metadata_store.unavailable = True
        await until(lambda: batches._feed.lost_at is not None)
        assert await all_results(batches, "b1", 4) == before


async def test_items_follow_a_changed_route_to_another_service():
    """Guards against items that run under an outdated configuration."""
    platform = FakePlatform()
    moved = BATCH_ROUTE._replace(weighted_services=(WeightedService("others", 1.0),))
    platform.endpoints["o1"] = endpoint("o1", service="others")
    platform.client.statuses["i0"] = 503
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 3)
        platform.config = CONFIG._replace(version=2, routes=(moved,))
        discovery = kernels[0].plugin("discovery")
        await until(lambda: discovery.serving.version == 2)
        opened_streams = len(platform.client.opened_streams)
        platform.client.statuses.clear()
        await all_results(batches, "b1", 4)
        assert {
            end for _, end, _ in platform.client.opened_streams[opened_streams + 1 :]
        } <= {"o1"}


@pytest.mark.parametrize("owner_stays", [True, False])
async def test_items_of_a_removed_route_are_abandoned(owner_stays):
    """Guards against a batch without a route that is taken over again and again."""
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 2)] = anyio.Event()
    dropped = CONFIG._replace(version=2, routes=())
    async with running(platform, "b") as kernels:
        reader = kernels[0].plugin("batches")
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await all_results(owner, "b1", 3)
            if owner_stays:
                platform.config = dropped
                await all_results(owner, "b1", 4)
        platform.config = dropped
        found = await all_results(reader, "b1", 4)
        states = {result.item_id: result.state for result in found}
        assert states["i0"] is ItemState.ABANDONED


@pytest.mark.parametrize("owner_stays", [True, False])
async def test_added_route_of_another_kind_ends_no_accepted_batch(owner_stays):
    """Guards against items that are given up although their route is still there."""
    platform = FakePlatform()
    gate = platform.client.blocked_events[("i0", 2)] = anyio.Event()
    added = SAFE_ROUTE._replace(name="r-added", prefix="/a/b/")
    changed = CONFIG._replace(version=2, routes=(*CONFIG.routes, added))
    submitted = four_items()._replace(path="/a/b/b1")
    async with running(platform, "b") as kernels:
        reader = kernels[0].plugin("batches")
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(submitted, BATCH_ROUTE)).is_ok()
            await all_results(owner, "b1", 3)
            if owner_stays:
                platform.config = changed
                await anyio.sleep(0.5)
                gate.set()
                await all_results(owner, "b1", 4)
        platform.config = changed
        discovery = kernels[0].plugin("discovery")
        await until(lambda: discovery.serving.version == 2)
        gate.set()
        found = await all_results(reader, "b1", 4)
    assert {result.state for result in found} == {ItemState.COMPLETED}


class SilentRegistry(FakeRegistry):
    """Return the first configuration to the feed, and the stored one to other reads."""

    is_reachable = True

    def __init__(self, platform):
        super().__init__(platform)
        self.first = platform.config

    async def operator_changes(self, cursor, wait_s):
        found = await super().operator_changes(cursor, wait_s)
        if cursor is None and not self.is_reachable:
            return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))
        if cursor is None:
            return found
        return found.map(lambda changes: changes._replace(config=self.first))


@pytest.mark.parametrize("knows", ["no route", "another route"])
async def test_owner_that_is_behind_does_not_give_up_a_batch_on_a_new_route(knows):
    """Guards against items that are given up, or run elsewhere, by an old route."""
    platform = FakePlatform()
    platform.endpoints["o1"] = endpoint("o1", service="others")
    added = BATCH_ROUTE._replace(
        name="r-new",
        prefix="/a/b/" if knows == "another route" else "/new/",
        weighted_services=(WeightedService("others", 1.0),),
    )
    submitted = four_items()._replace(path=f"{added.prefix}b1")
    async with running(platform, "b") as (behind,):
        registry = behind.plugin("store").registry = SilentRegistry(platform)
        feed = behind.plugin("discovery")._operator_feed
        feed._read = registry.operator_changes
        platform.config = CONFIG._replace(version=2, routes=(*CONFIG.routes, added))
        registry.is_reachable = False
        async with running(platform, "a") as (owner,):
            batches = owner.plugin("batches")
            platform.client.statuses = {f"i{number}": 503 for number in range(4)}
            assert (await batches.submit(submitted, added)).is_ok()
        await anyio.sleep(2.0)
        assert behind.plugin("discovery").serving.version == 1
        page = (await behind.plugin("batches").results("b1", 0, 0.0)).unwrap()
        assert page.results == []
        platform.client.statuses.clear()
        platform.client.opened_streams.clear()
        registry.is_reachable = True
        found = await all_results(behind.plugin("batches"), "b1", 4)
    assert {result.state for result in found} == {ItemState.COMPLETED}
    assert {end for _, end, _ in platform.client.opened_streams} == {"o1"}


async def test_expired_batches_are_removed_from_the_store(monkeypatch):
    """Guards against a store that grows without bound."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 4)
        monkeypatch.setattr(batch_scheduling, "RETENTION_S", 0.0)
        await until(lambda: not platform.rows.parts(batch_store.STATE_TABLE))
        for table in (batch_store.ITEM_TABLE, batch_store.RESULT_TABLE):
            assert platform.rows.parts(table) == []
        missing = (await batches.results("b1", 0, 0.0)).unwrap_err()
        assert missing.kind is ErrorKind.NOT_FOUND


async def test_items_probe_endpoints_with_unregistered_new_weights():
    """Guards against a step that waits for registrations to show new weights.

    The periodic check of running streams must not use up the trial requests.
    """
    platform = FakePlatform()
    platform.client.version = 2
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        four = four_items()._replace(min_version=2)
        assert (await batches.submit(four, BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        assert all(result.versions == (2,) for result in found)
        nine = four._replace(min_version=9)
        placement = ItemPlacement(kernels[0], nine, BATCH_ROUTE, lambda: None)
        for _ in range(50):
            assert placement.recent_endpoints() == []
        assert len(placement._candidates()) == 2
        assert placement._candidates() == []


async def test_latencies_measured_by_an_owner_reach_other_instances(monkeypatch):
    """Guards against each instance having to measure slow endpoints by itself."""
    monkeypatch.setattr(batch_scheduling, "LATENCY_SHARE_INTERVAL_S", 0.0)
    platform = FakePlatform()
    gate = platform.client.blocked_events["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner, other = (kernel.plugin("discovery") for kernel in kernels)
        for end in platform.endpoints.values():
            owner.balancer.record_latency(end, 0.07, platform.clock.now())
        submitted = await kernels[0].plugin("batches").submit(four_items(), BATCH_ROUTE)
        assert submitted.is_ok()
        await until(
            lambda: any(
                other.balancer.latency(end, platform.clock.now()) is not None
                for end in platform.endpoints.values()
            )
        )
        gate.set()
        await all_results(kernels[1].plugin("batches"), "b1", 4)


async def test_draining_owner_stores_results_of_just_ended_items(monkeypatch):
    """Guards against running ended items again after a planned restart."""
    monkeypatch.setattr(batch_results, "APPEND_DELAY_S", 30.0)
    platform = FakePlatform()
    gate = platform.client.blocked_events["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner = kernels[0].plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await until(lambda: len(owner._entries["b1"].run._attempts) == 1)
        owner.on_drain()
        await owner.drain(0.0)
        monkeypatch.setattr(batch_results, "APPEND_DELAY_S", 0.0)
        gate.set()
        await all_results(kernels[1].plugin("batches"), "b1", 4)
    opened_streams = [request for request, _, _ in platform.client.opened_streams]
    assert sorted(opened_streams) == ["i0", "i1", "i2", "i3", "i3"]


async def test_draining_owner_finishes_items_within_the_grace_period(monkeypatch):
    """Guards against streams that are cut off at each planned restart."""
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", -60.0)
    platform = FakePlatform()
    gate = platform.client.blocked_events["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner = kernels[0].plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        owner.on_drain()
        await anyio.sleep(0.1)
        gate.set()
        await owner.drain(0.0)
        await all_results(kernels[1].plugin("batches"), "b1", 4)
    assert len(platform.client.opened_streams) == 4


async def test_released_batch_is_taken_over_at_once(monkeypatch):
    """Guards against released items that wait for the next periodic check."""
    monkeypatch.setattr(batches_module, "SUPERVISE_INTERVAL_S", 60.0)
    platform = FakePlatform()
    gate = platform.client.blocked_events["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner = kernels[0].plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        owner.on_drain()
        await owner.drain(0.0)
        gate.set()
        await all_results(kernels[1].plugin("batches"), "b1", 4)


async def test_restarted_owner_resumes_without_reading_the_whole_table(monkeypatch):
    """Guards against steps that wait until the whole table of batches has been read."""
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 60.0)
    monkeypatch.setattr(batches_module, "SUPERVISE_INTERVAL_S", 60.0)
    platform = FakePlatform()
    gate = platform.client.blocked_events["i3", 3] = anyio.Event()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 3)
    gate.set()

    async def never(store, table):
        await anyio.sleep_forever()

    monkeypatch.setattr(MemoryStore, "table_rows", never)
    async with running(platform, "a") as kernels:
        await all_results(kernels[0].plugin("batches"), "b1", 4)


async def test_idle_batch_is_found_after_the_store_lost_its_history():
    """Guards against a batch that is missing from the feed and never taken over."""
    platform = FakePlatform()
    gate = platform.client.blocked_events["i3", 3] = anyio.Event()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 3)
    gate.set()
    platform.rows.compact()
    async with running(platform, "b") as kernels:
        await all_results(kernels[0].plugin("batches"), "b1", 4)


async def test_batch_seen_before_its_acceptance_is_confirmed_runs_once(monkeypatch):
    """Guards against running a batch twice.

    The feed shows the row of the batch before the store has confirmed the write.
    """
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        monkeypatch.setattr(batches_module, "FEED_PAUSE_S", 0.0)
        monkeypatch.setattr(batch_store, "UNKNOWN_WRITE_TIMEOUT_S", 5.0)
        kernels[0].plugin("store").metadata_store.faults = ["lost"] * 30
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 4)
        assert len(platform.client.opened_streams) == 4
        # A takeover would have increased the term.
        assert batches._entries["b1"].row.state.term == 1


@pytest.mark.parametrize("former", ["", "b"])
async def test_batch_with_a_newer_owner_in_the_same_answer_is_not_taken_over(
    former, monkeypatch
):
    """Guards against a running batch that is started again at another instance.

    An answer of the feed can hold several versions of a row. An instance that starts
    reads versions of several seconds, in which the batch had no owner, or belonged to
    its own former process, before the present owner took it over.
    """
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 30.0)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 30.0)
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 1)] = anyio.Event()
    async with running(platform, "a", "b") as (first, second):
        owner, other = first.plugin("batches"), second.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        present = owner._entries["b1"].row
        before = present.state._replace(owner=former)
        name = RowName(batch_store.STATE_TABLE, "b1", batch_store.STATE_KEY)
        rows = [
            StoredRow(name, msgspec.msgpack.encode(before), present.version - 1),
            StoredRow(name, msgspec.msgpack.encode(present.state), present.version),
        ]
        other._entries.clear()
        other._apply_rows(RowsRead(tuple(rows), present.version, 0.0), False)
        await anyio.sleep(batches_module.TAKE_OVER_JITTER_S + 0.2)
        assert owner._entries["b1"].row.state.owner == "a"


async def test_batch_that_got_an_owner_before_the_takeover_began_is_left_to_it(
    monkeypatch,
):
    """Guards against two takeovers of one released batch, one after the other."""
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 30.0)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 30.0)
    platform = FakePlatform()
    platform.client.blocked_events[("i0", 1)] = anyio.Event()
    async with running(platform, "a", "b") as (first, second):
        owner, other = first.plugin("batches"), second.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(other, "b1", 3)
        entry = other._entries["b1"]
        present = entry.row
        entry.row = present._replace(state=present.state._replace(owner=""), version=1)
        other._start_take_over("b1", entry)
        entry.row = present
        await anyio.sleep(batches_module.TAKE_OVER_JITTER_S + 0.2)
        assert owner._entries["b1"].row.state.owner == "a"


async def runner_of(kernels, batch_id):
    """Return the id of the instance that runs a batch, once one does."""

    def running_at():
        return [
            kernel.settings.instance.id
            for kernel in kernels
            if (entry := kernel.plugin("batches")._entries.get(batch_id))
            and entry.run is not None
        ]

    await until(running_at)
    return running_at()


async def test_next_step_runs_at_the_instance_that_ran_the_previous_one():
    """Guards against steps that open all connections anew at another instance."""
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        first, second = (kernel.plugin("batches") for kernel in kernels)
        assert (await first.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(second, "b1", 4)
        following = four_items()._replace(id="b2")
        assert (await second.submit(following, BATCH_ROUTE)).is_ok()
        assert await runner_of(kernels, "b2") == ["a"]
        assert len(await all_results(second, "b2", 4)) == 4
        assert len(platform.client.opened_streams) == 8


async def test_step_runs_where_it_was_accepted_if_the_previous_owner_is_gone():
    """Guards against a step that waits for an instance that was lost."""
    platform = FakePlatform()
    async with running(platform, "b") as kernels:
        other = kernels[0].plugin("batches")
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await all_results(other, "b1", 4)
        following = four_items()._replace(id="b2")
        assert (await other.submit(following, BATCH_ROUTE)).is_ok()
        assert len(await all_results(other, "b2", 4)) == 4
        assert other._entries["b2"].row.state.owner == "b"
        assert len(platform.client.opened_streams) == 8


async def test_step_is_not_handed_over_twice(monkeypatch):
    """Guards against two owners if the previous one begins at the last moment."""
    monkeypatch.setattr(batches_module.batch_owners, "HANDOVER_TIMEOUT_S", 0.0)
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        first, second = (kernel.plugin("batches") for kernel in kernels)
        assert (await first.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(second, "b1", 4)
        for number in range(2, 8):
            following = four_items()._replace(id=f"b{number}")
            assert (await second.submit(following, BATCH_ROUTE)).is_ok()
            found = await all_results(second, f"b{number}", 4)
            assert {result.text for result in found} == {TEXT}
            stored = platform.rows.range(batch_store.RESULT_TABLE, f"b{number}", "", "")
            assert len(stored) == 4


async def test_batch_is_not_taken_over_before_a_configuration_is_known():
    """Guards against a takeover without routes, which ended a restarted instance."""
    platform = FakePlatform()
    platform.client.blocked_events["i0", 2] = gate = anyio.Event()
    async with running(platform, "a") as (kernel,):
        await kernel.plugin("batches").submit(four_items(), BATCH_ROUTE)
    gate.set()
    platform.config = None
    async with anyio.create_task_group() as tasks:
        kernel = new_kernel(platform, "b")
        tasks.start_soon(kernel.run, False)
        await until(lambda: kernel.state == "serving")
        batches = kernel.plugin("batches")
        # A reader makes the batch known.
        await batches.results("b1", 0, 0.0)
        await anyio.sleep(2 * batch_scheduling.OWNER_TIMEOUT_S)
        assert batches._entries["b1"].row.state.owner == "a"
        platform.config = CONFIG
        results = await all_results(batches, "b1", 4)
        tasks.cancel_scope.cancel()
    assert {result.state for result in results} == {ItemState.COMPLETED}

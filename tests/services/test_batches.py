"""Tests of batches on one metadata store: acceptance, owners, results and ends."""

import anyio
import msgspec
import pytest

from plantainstack.errors import ErrorKind
from plantainstack.policy import batch_scheduling
from plantainstack.policy.item_runs import PartialText
from plantainstack.services import batch_results, batch_store
from plantainstack.services import batches as batches_module
from plantainstack.services.batch_runs import BatchRun
from plantainstack.serving import ItemState, WeightedService
from tests.policy.serving_samples import batch, endpoint, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    MAY_HAVE_RUN,
    NOT_RUN,
    FakePlatform,
    MemoryStore,
    all_results,
    running,
    until,
)

pytestmark = pytest.mark.anyio

TEXT = "text 1\ntext 2\ntext 3"


def four_items():
    return batch(*(item(f"i{n}", f"g{n // 2}") for n in range(4)))


def stored_events(platform, item_id):
    """Return how many events of an item the store holds."""
    names = platform.rows.range(
        batch_store.PARTIAL_TABLE, "b1", f"{item_id}/", f"{item_id}0"
    )
    pieces = [msgspec.msgpack.decode(row.value, type=PartialText) for _, row in names]
    return sum(len(piece.texts) for piece in pieces)


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.5)
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", 60.0)
    monkeypatch.setattr(batch_store, "REFUSAL_PATIENCE_S", 0.05)
    monkeypatch.setattr(batch_store, "SETTLE_PATIENCE_S", 0.3)
    monkeypatch.setattr(batch_store, "RETRY_S", 0.01)


async def test_results_are_the_same_at_every_instance():
    """Guards against positions that differ between readers."""
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        near, far = (kernel.plugin("batches") for kernel in kernels)
        assert (await near.submit(four_items(), BATCH_ROUTE)).is_ok()
        first = await all_results(near, "b1", 4)
        second = await all_results(far, "b1", 4)
        assert first == second
        assert {result.text for result in first} == {TEXT}
        assert all(result.versions == (1,) for result in first)


async def test_the_same_batch_again_runs_once():
    """Guards against a second run when an acceptance is repeated elsewhere."""
    platform = FakePlatform()
    async with running(platform, "a", "b") as kernels:
        for kernel in (*kernels, *kernels):
            submitted = await kernel.plugin("batches").submit(four_items(), BATCH_ROUTE)
            assert submitted.is_ok()
        await all_results(kernels[0].plugin("batches"), "b1", 4)
        assert len(platform.client.begun) == 4


@pytest.mark.parametrize("faults", [["lost"], ["dropped"], ["lost", "lost", "down"]])
async def test_a_lost_answer_of_the_store_is_settled(faults):
    """Guards against a refusal of a batch that the store has taken."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        kernels[0].plugin("store").metadata_store.faults = list(faults)
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        assert len(await all_results(batches, "b1", 4)) == 4


async def test_a_store_that_refuses_leads_to_a_true_refusal():
    """Guards against a batch that runs after its refusal."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = kernels[0].plugin("store").metadata_store
        store.unavailable = True
        batches = kernels[0].plugin("batches")
        failure = (await batches.submit(four_items(), BATCH_ROUTE)).unwrap_err()
        assert failure.outcome is NOT_RUN
        store.unavailable = False
        assert platform.rows.parts(batch_store.STATE_TABLE) == []


async def test_an_unknown_outcome_promises_nothing():
    """Guards against `not run` for a write that may still be done."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        kernels[0].plugin("store").metadata_store.faults = ["dropped"] * 1000
        batches = kernels[0].plugin("batches")
        failure = (await batches.submit(four_items(), BATCH_ROUTE)).unwrap_err()
        assert failure.outcome is MAY_HAVE_RUN


async def test_results_are_listed_only_once_they_are_stored():
    """Guards against a listed result that is lost with its instance."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = kernels[0].plugin("store").metadata_store
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        store.faults = ["down"] * 3
        found = await all_results(batches, "b1", 4)
        stored = platform.rows.range(batch_store.RESULT_TABLE, "b1", "", "")
        assert len(stored) == len(found) == 4


async def test_another_instance_goes_on_after_the_owner_is_gone():
    """Guards against a batch that ends with its owner."""
    platform = FakePlatform()
    platform.client.holds[("i0", 2)] = anyio.Event()
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await all_results(owner, "b1", 3)
        platform.client.holds.clear()
        other = kernels[0].plugin("batches")
        found = await all_results(other, "b1", 4)
        assert len({result.item_id for result in found}) == 4
        assert {result.text for result in found} == {TEXT}


async def test_a_leaving_owner_hands_its_text_over():
    """Guards against a step that waits for items to start from their beginning."""
    platform = FakePlatform()
    platform.client.holds[("i0", 3)] = anyio.Event()
    async with running(platform, "a", "b") as (leaving, staying):
        owner = leaving.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        owner.on_drain()
        await owner.drain(0.0)
        platform.client.holds.clear()
        found = await all_results(staying.plugin("batches"), "b1", 4)
        assert {result.text for result in found} == {TEXT}
        assert [begun[2] for begun in platform.client.begun if begun[0] == "i0"] == [
            None,
            2,
        ]


async def test_the_text_of_long_items_outlives_their_owner(monkeypatch):
    """Guards against a step that starts anew when its instance is lost."""
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_MIN_AGE_S", 0.0)
    monkeypatch.setattr(batch_scheduling, "CHECKPOINT_INTERVAL_S", 0.0)
    platform = FakePlatform()
    platform.client.length = 6
    platform.client.holds[("i0", 5)] = anyio.Event()
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await all_results(owner, "b1", 3)
            await until(lambda: stored_events(platform, "i0") == 4)
        platform.client.holds.clear()
        found = await all_results(kernels[0].plugin("batches"), "b1", 4)
        assert len({result.text for result in found}) == 1
        assert [begun[2] for begun in platform.client.begun if begun[0] == "i0"][
            -1
        ] == 4


async def test_a_former_owner_lists_nothing_more():
    """Guards against two owners that both list results."""
    platform = FakePlatform()
    platform.client.holds[("i0", 2)] = anyio.Event()
    async with running(platform, "a", "b") as (first, second):
        owner = first.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        first.plugin("store").metadata_store.unavailable = True
        hold = platform.client.holds.pop(("i0", 2))
        found = await all_results(second.plugin("batches"), "b1", 4)
        hold.set()
        first.plugin("store").metadata_store.unavailable = False
        run = owner._entries["b1"].run
        await until(lambda: run is None or run.stopped)
        stored = platform.rows.range(batch_store.RESULT_TABLE, "b1", "", "")
        assert len(found) == len(stored) == 4


async def test_an_end_stops_the_owner_wherever_it_is_asked_for():
    """Guards against items that begin after their batch was ended."""
    platform = FakePlatform()
    for number in range(4):
        platform.client.holds[(f"i{number}", 1)] = anyio.Event()
    async with running(platform, "a", "b") as (first, second):
        owner = first.plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await until(lambda: len(platform.client.begun) == 4)
        assert (await second.plugin("batches").end("b1")).is_ok()
        await until(lambda: owner._entries["b1"].row.state.ended)
        await until(lambda: owner._entries["b1"].run is None)
        assert (await owner.end("b1")).is_ok()
        refused = await owner.item_body("b1", "i0")
        assert refused.unwrap_err().kind is ErrorKind.NOT_FOUND


async def test_an_ended_batch_is_not_taken_over():
    """Guards against work for a step that is over."""
    platform = FakePlatform()
    platform.client.holds[("i0", 1)] = anyio.Event()
    async with running(platform, "b") as kernels:
        async with running(platform, "a") as owners:
            owner = owners[0].plugin("batches")
            assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
            await until(lambda: len(platform.client.begun) == 4)
            assert (await owner.end("b1")).is_ok()
        begun = len(platform.client.begun)
        other = kernels[0].plugin("batches")
        await until(lambda: "b1" in other._entries)
        await anyio.sleep(1.0)
        assert len(platform.client.begun) == begun


async def test_unknown_batches_are_not_found_only_when_the_store_says_so():
    """Guards against `not found` for a batch that this instance has not seen."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        missing = (await batches.results("b9", 0, 0.0)).unwrap_err()
        assert missing.kind is ErrorKind.NOT_FOUND
        kernels[0].plugin("store").metadata_store.unavailable = True
        unsure = (await batches.results("b9", 0, 0.0)).unwrap_err()
        assert unsure.kind is ErrorKind.STORE_UNAVAILABLE


async def test_bodies_are_kept_until_the_end():
    platform = FakePlatform()
    async with running(platform, "a", "b") as (first, second):
        assert (await first.plugin("batches").submit(four_items(), BATCH_ROUTE)).is_ok()
        for kernel in (first, second):
            body = await kernel.plugin("batches").item_body("b1", "i3")
            assert body.unwrap() == b"body"


async def test_a_cut_stream_goes_on_behind_its_last_event():
    """Guards against events that are missing or stand twice."""
    platform = FakePlatform()
    platform.client.cuts.append(("i0", 3))
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        assert {result.text for result in found} == {TEXT}
        resumed = [begun[2] for begun in platform.client.begun if begun[0] == "i0"]
        assert resumed == [None, 2]


@pytest.mark.parametrize(("status", "runs"), [(422, 1), (500, 3)])
async def test_items_that_cannot_be_done_are_given_up(status, runs):
    """Guards against an item that is sent for ever."""
    platform = FakePlatform()
    platform.client.statuses["i0"] = status
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        states = {result.item_id: result.state for result in found}
        assert states.pop("i0") is ItemState.ABANDONED
        assert set(states.values()) == {ItemState.COMPLETED}
        assert len([b for b in platform.client.begun if b[0] == "i0"]) == runs


async def test_large_batches_are_kept_as_objects(monkeypatch):
    monkeypatch.setattr(batch_store, "TRANSACTION_BYTES", 10)
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        assert len(kernels[0].plugin("store").metadata_store.objects) == 1
        batches._entries["b1"].batch = None
        assert (await batches.item_body("b1", "i0")).unwrap() == b"body"


async def test_without_the_store_a_batch_is_refused_at_once():
    """Guards against a trainer that waits at an instance that cannot accept."""
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


async def test_what_was_read_is_read_again_without_the_store():
    """Guards against results that vanish during an outage."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        before = await all_results(batches, "b1", 4)
        kernels[0].plugin("store").metadata_store.unavailable = True
        await until(lambda: batches._feed.lost_at is not None)
        assert await all_results(batches, "b1", 4) == before


async def test_items_follow_their_route_to_another_service():
    """Guards against items that run by a configuration that is replaced."""
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
        begun = len(platform.client.begun)
        platform.client.statuses.clear()
        await all_results(batches, "b1", 4)
        assert {end for _, end, _ in platform.client.begun[begun + 1 :]} <= {"o1"}


@pytest.mark.parametrize("owner_stays", [True, False])
async def test_items_of_a_dropped_route_are_given_up(owner_stays):
    """Guards against a batch that is claimed for ever without a route."""
    platform = FakePlatform()
    platform.client.holds[("i0", 2)] = anyio.Event()
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


async def test_old_batches_leave_nothing_in_the_store(monkeypatch):
    """Guards against a store that fills up."""
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


async def test_items_ask_endpoints_whose_new_weights_are_not_listed_yet():
    """Guards against a step that waits for registrations, and against its watch
    using up the chances to ask."""
    platform = FakePlatform()
    platform.client.version = 2
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        four = four_items()._replace(min_version=2)
        assert (await batches.submit(four, BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 4)
        assert all(result.versions == (2,) for result in found)
        run = BatchRun(
            kernels[0], None, four, BATCH_ROUTE, None, [], {}, lambda *_: None
        )
        run.batch = four._replace(min_version=9)
        for _ in range(50):
            assert run._recent() == []
        assert len(run._to_ask()) == 2
        assert run._to_ask() == []


async def test_other_instances_learn_the_paces_that_an_owner_measured(monkeypatch):
    """Guards against a step that finds out anew which endpoints are slow."""
    monkeypatch.setattr(batch_scheduling, "LATENCY_SHARE_INTERVAL_S", 0.0)
    platform = FakePlatform()
    hold = platform.client.holds["i3", 3] = anyio.Event()
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
        hold.set()
        await all_results(kernels[1].plugin("batches"), "b1", 4)


async def test_a_leaving_owner_lists_what_has_just_ended(monkeypatch):
    """Guards against items that run again because their owner left in time."""
    monkeypatch.setattr(batch_results, "JOIN_S", 30.0)
    platform = FakePlatform()
    hold = platform.client.holds["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner = kernels[0].plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await until(lambda: len(owner._entries["b1"].run._attempts) == 1)
        owner.on_drain()
        await owner.drain(0.0)
        monkeypatch.setattr(batch_results, "JOIN_S", 0.0)
        hold.set()
        await all_results(kernels[1].plugin("batches"), "b1", 4)
    begun = [request for request, _, _ in platform.client.begun]
    assert sorted(begun) == ["i0", "i1", "i2", "i3", "i3"]


async def test_a_leaving_owner_ends_what_it_can(monkeypatch):
    """Guards against streams that break off at each planned restart."""
    monkeypatch.setattr(batches_module, "RELEASE_MARGIN_S", -60.0)
    platform = FakePlatform()
    hold = platform.client.holds["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner = kernels[0].plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        owner.on_drain()
        await anyio.sleep(0.1)
        hold.set()
        await owner.drain(0.0)
        await all_results(kernels[1].plugin("batches"), "b1", 4)
    assert len(platform.client.begun) == 4


async def test_a_released_batch_goes_on_at_once(monkeypatch):
    """Guards against items that stand still until the next round of checks."""
    monkeypatch.setattr(batches_module, "SUPERVISE_S", 60.0)
    platform = FakePlatform()
    hold = platform.client.holds["i3", 3] = anyio.Event()
    async with running(platform, "a", "b") as kernels:
        owner = kernels[0].plugin("batches")
        assert (await owner.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(owner, "b1", 3)
        owner.on_drain()
        await owner.drain(0.0)
        hold.set()
        await all_results(kernels[1].plugin("batches"), "b1", 4)


async def test_a_restarted_owner_goes_on_without_reading_the_whole_table(monkeypatch):
    """Guards against steps that wait while every instance reads every batch."""
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 60.0)
    monkeypatch.setattr(batches_module, "SUPERVISE_S", 60.0)
    platform = FakePlatform()
    hold = platform.client.holds["i3", 3] = anyio.Event()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 3)
    hold.set()

    async def never(store, table):
        await anyio.sleep_forever()

    monkeypatch.setattr(MemoryStore, "table_rows", never)
    async with running(platform, "a") as kernels:
        await all_results(kernels[0].plugin("batches"), "b1", 4)


async def test_a_batch_that_nobody_writes_is_found_after_its_history_is_gone():
    """Guards against a batch that no feed shows and no instance runs."""
    platform = FakePlatform()
    hold = platform.client.holds["i3", 3] = anyio.Event()
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 3)
    hold.set()
    platform.rows.forget()
    async with running(platform, "b") as kernels:
        await all_results(kernels[0].plugin("batches"), "b1", 4)


async def test_a_batch_whose_acceptance_is_not_answered_yet_is_run_once(monkeypatch):
    """Guards against two runs of one batch when its row is seen before its answer."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        monkeypatch.setattr(batches_module, "FEED_PAUSE_S", 0.0)
        monkeypatch.setattr(batch_store, "SETTLE_PATIENCE_S", 5.0)
        kernels[0].plugin("store").metadata_store.faults = ["lost"] * 30
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(four_items(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 4)
        assert len(platform.client.begun) == 4
        # A takeover raises the term.
        assert batches._entries["b1"].row.state.term == 1

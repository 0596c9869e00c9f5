"""Tests with rows of the system itself that cannot be read."""

from collections import Counter

import anyio
import msgspec
import pytest

from plantainstack import log
from plantainstack.clock import SystemClock
from plantainstack.interfaces import Priority
from plantainstack.services import batch_store
from plantainstack.services.batch_store import BatchStore
from plantainstack.services.forwarding import ClientCall
from plantainstack.services.stream_bases import BASE_TABLE
from plantainstack.serving import ItemResult, ItemState, RequestKind
from standins.metadata_store import Rows
from tests.policy.serving_samples import batch, endpoint, item, route
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    MemoryStore,
    all_results,
    load_batch,
    running,
)

pytestmark = pytest.mark.anyio

ODD_VALUES = [b"", b"\xc1", b"\x91" * 100_000 + b"\x01", b"{}", b"\xa4none"]


@pytest.fixture
def logged(monkeypatch):
    """Collect the keys of the rows that are logged as not readable."""
    found = []
    original = log.event

    def record(name, *args, **fields):
        if name.endswith("not_readable"):
            found.append((fields["table"], fields["key"], fields["version"]))
        original(name, *args, **fields)

    monkeypatch.setattr(log, "event", record)
    return found


@pytest.mark.parametrize("odd", ODD_VALUES)
async def test_batches_go_on_beside_a_state_that_cannot_be_read(odd, logged):
    """Guards against instances that end, or lose all batches, because of one row."""
    platform = FakePlatform()
    name = (batch_store.STATE_TABLE, "odd", batch_store.STATE_KEY)
    platform.rows.transact({}, {name: odd})
    async with running(platform, "a", "b") as kernels:
        batches = [each.plugin("batches") for each in kernels]
        platform.rows.transact({}, {name: odd + b"\xc1"})
        submitted = await batches[0].submit(batch(), BATCH_ROUTE)
        assert submitted.is_ok()
        found = await all_results(batches[1], batch().id, len(batch().items))
        assert len(found) == len(batch().items)
        outcome = await batches[1].results("odd", 0, 0.0)
        assert outcome.is_err()
        assert outcome.unwrap_err().kind.value != "not_found"
    assert max(Counter(logged).values()) <= len(kernels)


@pytest.mark.parametrize("odd", ODD_VALUES)
async def test_rows_of_a_batch_that_cannot_be_read_are_a_failure(odd):
    """Guards against exceptions that end the run of other batches."""
    rows = Rows()
    store = BatchStore(MemoryStore(rows, SystemClock()), SystemClock())
    assert (await store.accept(batch(), "r", "a")).is_ok()
    id = batch().id
    rows.transact({}, {(batch_store.RESULT_TABLE, id, "00000000"): odd})
    rows.transact({}, {(batch_store.PARTIAL_TABLE, id, "item-1/0000-000000"): odd})
    rows.transact({}, {(batch_store.ITEM_TABLE, id, "0000"): odd})
    assert (await store.results(id, 0, 1, 0)).is_err()
    assert (await store.partials(id, 0)).unwrap() == {}
    assert (await load_batch(store, id)).is_err()
    rows.transact({}, {(batch_store.STATE_TABLE, id, batch_store.STATE_KEY): odd})
    assert (await store.state(id)).is_err()
    assert (await store.end(id)).is_err()
    assert (await store.accept(batch(), "r", "b")).is_err()


@pytest.mark.parametrize("odd", ODD_VALUES)
async def test_bucket_that_cannot_be_read_is_replaced(odd):
    """Guards against a process that ends because of one row of permits."""
    platform = FakePlatform()
    found = endpoint("e1")
    id, started_ms = found.incarnation()
    platform.rows.transact({}, {("rate_buckets", id, str(started_ms)): odd})
    async with running(platform, "a") as (kernel,):
        permits = kernel.plugin("rate_permits")
        permits.record_answer(found, 5.0, kernel.clock.now())
        outcomes = [
            await permits.acquire(found, Priority.CALLER, kernel.clock.now() + 1.0)
            for _ in range(10)
        ]
        assert True in outcomes
        stored = platform.rows.row(("rate_buckets", id, str(started_ms)))
        assert isinstance(msgspec.msgpack.decode(stored.value), list)


@pytest.mark.parametrize("odd", ODD_VALUES)
async def test_lease_that_cannot_be_read_is_not_replaced(odd):
    """Guards against a fence that is lower than one that was used before."""
    platform = FakePlatform()
    platform.rows.transact({}, {("order_leases", "models", "lease"): odd})
    async with running(platform, "a") as (kernel,):
        platform.versions = {"m0": 2}
        await anyio.sleep(1.5)
        assert kernel.unready_reason() is None
    assert platform.client.orders == []


@pytest.mark.parametrize("key", ["r-stream", "desk.example/t/", "desk.example/"])
@pytest.mark.parametrize("odd", ODD_VALUES)
async def test_base_of_a_route_that_cannot_be_read_is_logged_once(odd, key, logged):
    """Guards against log lines with each check of the bases, and lost streams."""
    platform = FakePlatform()
    stream_route = route(RequestKind.STREAM, name="r-stream", prefix="/t/")
    platform.config = CONFIG._replace(routes=(*CONFIG.routes, stream_route))
    platform.rows.transact({}, {(BASE_TABLE, "", key): odd})
    async with running(platform, "a") as (kernel,):
        await anyio.sleep(1.5)
        deadline = kernel.clock.now() + 5.0
        sent = ClientCall("r1", "POST", "/t/1", "desk.example", (), b"", deadline)
        stream = kernel.plugin("forwarding").stream(sent, stream_route)
        assert [part async for part in stream][-1].is_ok()
    assert len(logged) == 1


async def test_batch_that_cannot_be_resumed_is_not_taken_over_again_at_once():
    """Guards against writes and reads without pause because of one row."""
    platform = FakePlatform()
    store = BatchStore(MemoryStore(platform.rows, SystemClock()), SystemClock())
    row, _ = (await store.accept(batch(item("i1"), item("i2")), "r-batch", "")).unwrap()
    listed = [ItemResult("i1", ItemState.COMPLETED, "text", (1,))]
    await store.append(batch().id, row, listed)
    odd = (batch_store.RESULT_TABLE, batch().id, "00000000")
    platform.rows.transact({}, {odd: b"\xc1"})
    async with running(platform, "a"):
        await anyio.sleep(4.0)
        state = (await store.state(batch().id)).unwrap().state
    assert state.owner == "a"
    assert state.term <= 5

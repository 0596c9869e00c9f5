"""Tests of batches that belong to a tenant, on a shared metadata store."""

import anyio
import msgspec
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind
from plantainstack.policy import batch_scheduling
from plantainstack.policy.tenants import Tenant, TenantDirectory
from plantainstack.services import batch_store
from plantainstack.services.batch_store import BatchStore
from plantainstack.serving import ItemResult, ItemState
from standins.metadata_store import Rows
from tests.policy.serving_samples import batch, endpoint, item, scored_item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    MemoryStore,
    load_batch,
    running,
    until,
)

pytestmark = pytest.mark.anyio

DIRECTORY = TenantDirectory([(Tenant("acme", 3), ["k-acme"]), (Tenant("bolt"), [])])
STATE = (batch_store.STATE_TABLE, "b1", batch_store.STATE_KEY)


@pytest.fixture(autouse=True)
def shorten_times(monkeypatch):
    monkeypatch.setattr(batch_scheduling, "OWNER_RENEWAL_INTERVAL_S", 0.1)
    monkeypatch.setattr(batch_scheduling, "OWNER_TIMEOUT_S", 0.5)


def keyed_platform(tenants=DIRECTORY):
    platform = FakePlatform()
    platform.endpoints["a1"] = endpoint("a1", service="app", versions={})
    platform.config = CONFIG._replace(tenants=tenants)
    return platform


def acme_batch():
    items = (scored_item("i0"), item("i1"))
    return batch(*items)._replace(tenant="acme")


async def page_of(batches, tenant):
    return await batches.results("b1", 0, 0.0, tenant)


async def test_batch_is_closed_to_other_tenants_at_each_instance():
    """Guards against an instance that knows a batch only from the store."""
    platform = keyed_platform()
    async with running(platform, "a", "b") as kernels:
        for kernel in kernels:
            batches = kernel.plugin("batches")
            assert (await batches.submit(acme_batch(), BATCH_ROUTE)).is_ok()
            for refused in (
                await page_of(batches, "bolt"),
                await page_of(batches, ""),
                await batches.item_body("b1", "i0", "bolt"),
                await batches.end("b1", "bolt"),
            ):
                assert refused.unwrap_err().kind is ErrorKind.NOT_FOUND
            for tenant in ("bolt", ""):
                other = acme_batch()._replace(tenant=tenant)
                again = await batches.submit(other, BATCH_ROUTE)
                assert again.unwrap_err().kind is ErrorKind.CONFLICT
            assert (await page_of(batches, "acme")).is_ok()
            assert (await batches.item_body("b1", "i0", "acme")).unwrap() == b"body"
        assert (await kernels[1].plugin("batches").end("b1", "acme")).is_ok()
        await until(lambda: kernels[0].plugin("batches")._entries["b1"].row.state.ended)
        refused = await kernels[0].plugin("batches").end("b1", "bolt")
        assert refused.unwrap_err().kind is ErrorKind.NOT_FOUND


async def test_id_of_a_removed_batch_can_be_used_by_another_tenant():
    """Guards against a batch that is denied because of what is remembered of its id."""
    platform = keyed_platform()
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(acme_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: batches._entries["b1"].row.state.is_final())
        stale = batches._entries["b1"]
        platform.rows.transact({}, {}, [STATE])
        await until(lambda: "b1" not in batches._entries)
        other = BatchStore(MemoryStore(platform.rows, SystemClock()), SystemClock())
        owned = acme_batch()._replace(tenant="bolt")
        assert (await other.accept(owned, "r-batch", "z")).unwrap()[1]
        batches._entries["b1"] = stale
        assert (await page_of(batches, "bolt")).is_ok()
        assert (await page_of(batches, "acme")).is_err()


async def test_reused_id_does_not_show_what_is_cached_of_the_former_batch():
    """Guards against results and bodies of a removed batch in another tenant's."""
    platform = keyed_platform()
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(acme_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: batches._entries["b1"].row.state.is_final())
        stale = batches._entries["b1"]
        platform.rows.transact({}, {}, [STATE])
        await until(lambda: "b1" not in batches._entries)
        other = BatchStore(MemoryStore(platform.rows, SystemClock()), SystemClock())
        own_item = item("i0")._replace(body=b"of bolt")
        owned = batch(own_item)._replace(tenant="bolt")
        assert (await other.accept(owned, "r-batch", "z")).unwrap()[1]
        batches._entries["b1"] = stale
        assert (await page_of(batches, "bolt")).unwrap().results == []
        body = (await batches.item_body("b1", "i0", "bolt")).unwrap()
        assert body == b"of bolt"


async def test_former_tenant_of_an_id_gets_nothing_of_the_present_batch():
    """Guards against an instance that missed the removal and reads by the id alone."""
    platform = keyed_platform()
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(acme_batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: batches._entries["b1"].row.state.is_final())
        stale = batches._entries["b1"]
        platform.rows.transact({}, {}, [STATE])
        await until(lambda: "b1" not in batches._entries)
        other = BatchStore(MemoryStore(platform.rows, SystemClock()), SystemClock())
        owned = batch(item("i0"), item("i1"))._replace(tenant="bolt")
        row, _ = (await other.accept(owned, "r-batch", "z")).unwrap()
        results = [
            ItemResult(id, ItemState.COMPLETED, "of bolt", ()) for id in ("i0", "i1")
        ]
        assert (await other.append("b1", row, results)).is_ok()
        await anyio.sleep(0.3)
        for cached in (False, True):
            stale.batch = None
            if not cached:
                stale.results.clear()
            batches._entries["b1"] = stale
            assert (await batches.item_body("b1", "i0", "acme")).is_err()
            batches._entries["b1"] = stale
            found = await page_of(batches, "acme")
            texts = [each.text for each in found.unwrap().results] if found.ok() else []
            assert "of bolt" not in texts


async def test_removal_of_the_key_does_not_end_the_batch_of_a_lost_owner():
    """Guards against items that end, or lose their tenant, with their key."""
    platform = keyed_platform()
    blocked = platform.client.blocked_events
    blocked[("i0", 2)] = blocked[("i1", 2)] = anyio.Event()
    async with running(platform, "b") as (heir,):
        async with running(platform, "a") as (owner,):
            submitted = await owner.plugin("batches").submit(acme_batch(), BATCH_ROUTE)
            assert submitted.is_ok()
            await until(lambda: len(platform.client.sent_calls) == 2)
        platform.config = platform.config._replace(
            version=2, tenants=TenantDirectory([(Tenant("bolt"), ["k-bolt"])])
        )
        await until(lambda: heir.plugin("discovery").serving.version == 2)
        blocked.clear()
        batches = heir.plugin("batches")
        await until(
            lambda: (
                "b1" in batches._entries and batches._entries["b1"].row.state.is_final()
            )
        )
        results = (await page_of(batches, "acme")).unwrap().results
    assert {result.state.value for result in results} == {"completed"}
    before, after = platform.client.sent_calls[:2], platform.client.sent_calls[2:]
    assert {(call.tenant, call.priority) for call in before} == {("acme", 3)}
    assert {call.request_id for call in after} == {"i0", "i1", "reward-i0"}
    sent = {call.request_id: (call.tenant, call.priority) for call in after}
    # The priority of the route applies; the service of the reward call hosts no model.
    assert sent["i0"] == sent["i1"] == ("acme", 0)
    assert sent["reward-i0"] == ("acme", None)


@pytest.mark.parametrize(("tenant", "fields"), [("", 8), ("acme", 9)])
async def test_records_without_a_tenant_keep_their_form(tenant, fields):
    """Guards against records that builds before the tenants cannot read."""
    rows = Rows()
    store = BatchStore(MemoryStore(rows, SystemClock()), SystemClock())
    stored = batch(item("i1"))._replace(tenant=tenant)
    row, _ = (await store.accept(stored, "r", "a")).unwrap()
    for _ in range(2):
        assert len(msgspec.msgpack.decode(rows.row(STATE).value)) == fields
        assert (await store.state("b1")).unwrap().state.tenant == tenant
        row = (await store.append("b1", row, [])).unwrap()
    assert (await load_batch(store, "b1", tenant)).unwrap() == stored


async def test_large_batches_of_two_tenants_do_not_share_an_object(monkeypatch):
    """Guards against items of a failed submission that run for another tenant."""
    monkeypatch.setattr(batch_store, "TRANSACTION_BYTES", 1)
    monkeypatch.setattr(batch_store, "REFUSED_WRITE_TIMEOUT_S", 0.01)
    memory = MemoryStore(Rows(), SystemClock())
    store = BatchStore(memory, SystemClock())
    memory.faults = ["down"] * 100
    failed = batch(item("i1"))._replace(tenant="bolt")
    assert (await store.accept(failed, "r", "a")).is_err()
    memory.faults = []
    stored = batch(item("i2"))._replace(tenant="acme")
    row, _ = (await store.accept(stored, "r", "a")).unwrap()
    assert (await load_batch(store, "b1", "acme")).unwrap() == stored
    assert (await store.remove("b1", row)).is_ok()
    assert len(memory.objects) == 1


async def test_repeated_submission_does_not_change_the_tenant_of_a_batch():
    """Guards against a batch without a tenant that is taken over with another one."""
    platform = keyed_platform()
    other = BatchStore(MemoryStore(platform.rows, SystemClock()), SystemClock())
    stored = acme_batch()._replace(tenant="")
    assert (await other.accept(stored, "r-batch", "z")).is_ok()
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        await until(lambda: batches._entries.pop("b1", None))
        assert (await batches.submit(acme_batch(), BATCH_ROUTE)).is_ok()
        assert batches._entries["b1"].batch is None


async def test_removal_of_a_former_batch_spares_the_present_one():
    """Guards against an instance that missed a removal and removes another batch."""
    rows = Rows()
    store = BatchStore(MemoryStore(rows, SystemClock()), SystemClock())
    former, _ = (await store.accept(acme_batch(), "r", "a")).unwrap()
    assert (await store.remove("b1", former)).is_ok()
    owned = acme_batch()._replace(tenant="bolt")
    assert (await store.accept(owned, "r", "b")).unwrap()[1]
    await store.remove("b1", former)
    assert (await load_batch(store, "b1", "bolt")).unwrap() == owned

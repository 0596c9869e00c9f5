"""Tests of batches whose items describe their prompts."""

import anyio
import pytest

from plantainstack import metrics
from plantainstack.policy.prefix_placement import AFFINITIES
from tests.policy.serving_samples import batch, endpoint, item
from tests.services.store_fleet import BATCH_ROUTE, FakePlatform, all_results, running
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio


def prompted(id, group, hint=20):
    """Return an item of a group that shares its prompt."""
    headers = (
        ("plantainstack-prompt-prefix", f"sys:200,{group}:2000,{id}:30"),
        ("plantainstack-model", "m0"),
    )
    return item(id, group, hint)._replace(headers=headers)


def groups(id="b1", count=3, size=4, names="g"):
    found = (
        prompted(f"{id}-{g}-{n}", f"{names}{g}")
        for g in range(count)
        for n in range(size)
    )
    return batch(*found, id=id)


def blocked(platform, item_id):
    """Hold an item up before its first event; return what lets it go on."""
    gate = platform.client.blocked_events[item_id, 1] = anyio.Event()
    return gate


def platform_of(way):
    platform = FakePlatform(LoopClock())
    platform.prefix_cache = way
    platform.endpoints = {
        id: endpoint(id, slots=8) for id in (f"e{n}" for n in range(6))
    }
    return platform


def placed(platform):
    """Return the endpoints of each group's streams."""
    found = {}
    for item_id, endpoint_id, _ in platform.client.opened_streams:
        found.setdefault(item_id.rpartition("-")[0], set()).add(endpoint_id)
    return found


def count(metric, label):
    return metric.labels(label)._value.get()


@pytest.mark.parametrize("way", AFFINITIES)
async def test_all_items_end_whatever_the_way(way):
    """Guards against items that are never started, or started twice."""
    platform = platform_of(way)
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(groups(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 12)
    assert len({result.item_id for result in found}) == 12
    assert len(platform.client.opened_streams) == 12


async def test_group_shares_an_endpoint_and_so_does_one_that_comes_again():
    """Guards against the items of a group that each prefill the same prompt."""
    platform = platform_of("weighed")
    hits = count(metrics.PROMPT_PLACEMENTS, "hit")
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(groups(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 12)
        assert (await batches.submit(groups("b2"), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b2", 12)
    found = placed(platform)
    # Long items may be placed elsewhere; all endpoints are equally fast here.
    assert all(found[f"b1-{g}"] == found[f"b2-{g}"] for g in range(3))
    assert all(len(ends) == 1 for ends in found.values())
    assert count(metrics.PROMPT_PLACEMENTS, "hit") - hits == 24 - 3


async def test_new_weights_begin_without_cached_prompts():
    """Guards against a prompt that counts as cached under replaced weights."""
    platform = platform_of("weighed")
    before = count(metrics.PROMPT_PLACEMENTS, "weights")
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(groups(), BATCH_ROUTE)).is_ok()
        await all_results(batches, "b1", 12)
        platform.client.version = 2
        for id, end in platform.endpoints.items():
            platform.endpoints[id] = end._replace(versions={"m0": 2})
        discovery = kernel.plugin("discovery")
        with anyio.fail_after(20.0):
            while any(e.versions["m0"] < 2 for e in discovery.view.known.values()):
                await anyio.sleep(0.01)
        again = groups("b2")._replace(min_version=2)
        assert (await batches.submit(again, BATCH_ROUTE)).is_ok()
        await all_results(batches, "b2", 12)
    assert count(metrics.PROMPT_PLACEMENTS, "weights") - before == 3


async def test_endpoint_that_refused_a_prompt_does_not_count_as_having_it():
    """Guards against groups that go on to an endpoint that never ran their items."""
    platform = platform_of("weighed")
    platform.client.statuses["b1-0-0"] = 503
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(groups(count=1, size=1), BATCH_ROUTE)).is_ok()
        opened = platform.client.opened_streams
        with anyio.fail_after(20.0):
            while len(opened) < 3:
                await anyio.sleep(0.01)
        caches = kernel.plugin("discovery").prefix_caches
        assert caches.size() <= 2
        platform.client.statuses.clear()
        await all_results(batches, "b1", 1)
        assert caches.size() == 2


async def test_silent_first_item_delays_its_group_for_a_short_time_only():
    """Guards against a group that waits for an endpoint that stopped answering."""
    platform = platform_of("weighed")
    gate = blocked(platform, "b1-0-0")
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(groups(), BATCH_ROUTE)).is_ok()
        found = await all_results(batches, "b1", 11)
        assert "b1-0-0" not in {result.item_id for result in found}
        gate.set()
        assert len(await all_results(batches, "b1", 12)) == 12

"""Tests that work leaves an endpoint of which the time of its end is known."""

import anyio
import pytest

from plantainstack.policy.stream_migration import LEAVE_MARGIN_S
from plantainstack.services.discovery import RECLAIMABLE_PAUSE_S
from plantainstack.serving import ItemState, RequestKind
from tests.policy.serving_samples import batch, endpoint, item, route
from tests.services.store_fleet import BATCH_ROUTE, all_results, running, until
from tests.services.test_item_paces import platform_of
from tests.services.test_leaving_endpoints import call
from tests.virtual_time import anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

NOTICE_S = 2.0
# Streams of 100 events take 10 s.
EVENTS = 100


def reclaim(platform, kernel, id, notice_s=NOTICE_S):
    leaves_at = None if notice_s is None else kernel.clock.now() + notice_s
    platform.endpoints[id] = platform.endpoints[id]._replace(
        leaving=True, reclaimable=True, leaves_at=leaves_at
    )
    return leaves_at


async def play(platform, *, notice_s=NOTICE_S):
    """Run one item whose endpoint is reclaimed after 1 s.

    Returns the streams opened by the end of the notice, and the results.
    """
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        submitted = batch(item("i0", hint=EVENTS))
        assert (await batches.submit(submitted, BATCH_ROUTE)).is_ok()
        await until(lambda: platform.client.opened_streams)
        await anyio.sleep(1.0)
        reclaim(platform, kernel, platform.client.opened_streams[0][1], notice_s)
        await anyio.sleep(NOTICE_S - 0.05)
        opened = list(platform.client.opened_streams)
        return opened, await all_results(batches, "b1", 1)


async def test_item_that_does_not_end_in_time_goes_on_elsewhere():
    """Guards against items that lose the time until their connection breaks."""
    (first, second), [result] = await play(platform_of(1, EVENTS))
    assert second[1] != first[1]
    assert second[2] > 5
    assert result.state is ItemState.COMPLETED
    assert result.text.count("text") == EVENTS


async def test_item_that_ends_in_time_stays():
    """Guards against prefilling again what ends within the notice."""
    opened, [result] = await play(platform_of(1, 14))
    assert len(opened) == 1
    assert result.state is ItemState.COMPLETED


async def test_item_stays_if_the_time_of_the_end_is_unknown():
    """Guards against a change where endpoints finish what they run."""
    opened, _ = await play(platform_of(1, EVENTS), notice_s=None)
    assert len(opened) == 1


async def test_item_stays_while_no_other_endpoint_has_a_slot():
    """Guards against giving a stream up for a wait."""
    platform = platform_of(1, EVENTS)
    del platform.endpoints["e2"]
    opened, _ = await play(platform)
    assert len(opened) == 1


@pytest.mark.parametrize("resumable", [True, False])
async def test_stream_of_a_client_goes_on_elsewhere_if_it_can(resumable):
    """Guards against streams that break off, and against moving others."""
    platform = platform_of(1, 40)
    stream_route = route(
        RequestKind.STREAM, name="r-stream", resumable=resumable, endpoints_max=3
    )
    parts = []

    async def read(kernel):
        sent = call(kernel, seconds=30.0)
        found = kernel.plugin("forwarding").stream(sent, stream_route)
        parts.extend([part async for part in found])

    async with running(platform, "a") as (kernel,):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read, kernel)
            await until(lambda: platform.client.opened_streams)
            await anyio.sleep(0.5)
            first = platform.client.opened_streams[0][1]
            leaves_at = reclaim(platform, kernel, first)
            await anyio.sleep(NOTICE_S - LEAVE_MARGIN_S - 0.05)
            assert len(platform.client.opened_streams) == 1
            await anyio.sleep(LEAVE_MARGIN_S)
            assert kernel.clock.now() < leaves_at
            opened = list(platform.client.opened_streams)
            assert len(opened) == (2 if resumable else 1)
    assert all(part.is_ok() for part in parts)
    assert len(parts) == 41
    if resumable:
        assert opened[1][1] != first
        assert opened[1][2] > 0


async def test_idle_instance_reads_often_beside_reclaimable_endpoints():
    """Guards against a notice that is read when little of it is left."""
    platform = platform_of(1, 1)
    async with running(platform, "a") as (kernel,):
        kernel.settings.bounds.endpoint_notice = 9.0
        discovery = kernel.plugin("discovery")
        assert discovery._endpoint_pause_s() > RECLAIMABLE_PAUSE_S
        platform.endpoints["e3"] = endpoint("e3", reclaimable=True)
        await until(lambda: "e3" in discovery.view.known)
        assert discovery._endpoint_pause_s() == RECLAIMABLE_PAUSE_S


async def test_no_more_items_move_than_other_endpoints_have_slots():
    """Guards against streams that are given up for a wait for one free slot."""
    platform = platform_of(1, EVENTS)
    del platform.endpoints["e2"]
    items = [item(f"i{n}", hint=EVENTS) for n in range(3)]
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(batch(*items), BATCH_ROUTE)).is_ok()
        await until(lambda: len(platform.client.opened_streams) == 3)
        await anyio.sleep(1.0)
        platform.endpoints["e2"] = endpoint("e2", slots=1)
        reclaim(platform, kernel, "e1")
        await anyio.sleep(NOTICE_S - 0.05)
        run = batches._entries["b1"].run
        assert len(run._attempts) == 3
        assert len(platform.client.opened_streams) == 4


async def test_answer_causes_no_read_once_the_time_of_the_end_is_known(monkeypatch):
    """Guards against a read for each endpoint that an instance uses in a reclaim."""
    platform = platform_of(1, 1)
    platform.endpoints["e1"] = endpoint("e1", reclaimable=True)
    async with running(platform, "a") as (kernel,):
        discovery = kernel.plugin("discovery")
        await until(lambda: "e1" in discovery.view.known)
        reads = []
        monkeypatch.setattr(
            discovery._endpoint_feed, "read_now", lambda: reads.append(1)
        )
        known = discovery.view.known["e1"]
        reclaim(platform, kernel, "e1")
        await until(lambda: discovery.view.leaves_at(known) is not None)
        discovery.record_leaving(known)
        assert reads == []

"""Tests of the readiness of an instance and of how it follows the endpoints."""

import anyio
import pytest

from plantainstack.services import discovery as discovery_module
from plantainstack.services.discovery import ENDPOINT_PAUSE_S
from tests.policy.serving_samples import batch, endpoint
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    new_kernel,
    running,
    until,
)

pytestmark = pytest.mark.anyio


async def test_instance_is_ready_after_reading_routes_and_endpoints():
    """Guards against a started instance that refuses requests for lack of data."""
    platform = FakePlatform()
    platform.endpoints_released = anyio.Event()
    async with anyio.create_task_group() as tasks:
        kernel = new_kernel(platform, "a")
        tasks.start_soon(kernel.run, False)
        discovery = kernel.plugin("discovery")
        await until(lambda: discovery.serving is not None)
        assert kernel.unready_reason() is not None
        platform.endpoints_released.set()
        await until(lambda: kernel.unready_reason() is None)
        assert discovery.usable("models")
        tasks.cancel_scope.cancel()


async def test_only_changes_of_endpoints_are_published():
    """Guards against work at every heartbeat, which grows with the endpoints."""
    platform = FakePlatform()
    async with running(platform, "a") as (kernel,):
        discovery = kernel.plugin("discovery")
        assert not await discovery.changed.wait(0.5)
        found = platform.endpoints["e1"]
        platform.endpoints["e1"] = found._replace(leaving=True)
        assert await discovery.changed.wait(5.0)


@pytest.mark.parametrize(("notice_s", "pause_s"), [(2.0, 0.5), (4.0, 1.0), (9.0, 1.0)])
async def test_idle_instance_reads_endpoints_less_often(notice_s, pause_s):
    """Guards against reads that grow with the instances, and against late notices.

    A leaving endpoint must be known well before it may get no more requests.
    """
    platform = FakePlatform()
    async with running(platform, "a") as (kernel,):
        kernel.settings.bounds.endpoint_notice = notice_s
        discovery = kernel.plugin("discovery")
        assert discovery._endpoint_pause_s() == pause_s
        discovery.need_recent_endpoints()
        assert discovery._endpoint_pause_s() == ENDPOINT_PAUSE_S


async def test_instance_that_gets_a_batch_reads_the_endpoints_at_once(monkeypatch):
    """Guards against a step that begins with outdated versions of the weights."""
    monkeypatch.setattr(discovery_module, "IDLE_PAUSE_MAX_S", 60.0)
    monkeypatch.setattr(discovery_module, "IDLE_PAUSE_SHARE", 30.0)
    platform = FakePlatform()
    async with running(platform, "a") as (kernel,):
        discovery = kernel.plugin("discovery")
        await anyio.sleep(0.1)
        platform.endpoints["e3"] = endpoint("e3")
        await anyio.sleep(0.1)
        assert "e3" not in discovery.view.known
        assert (await kernel.plugin("batches").submit(batch(), BATCH_ROUTE)).is_ok()
        await until(lambda: "e3" in discovery.view.known, seconds=5.0)

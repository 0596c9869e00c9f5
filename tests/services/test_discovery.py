"""Tests of what an instance knows before it takes requests."""

import anyio
import pytest

from tests.services.store_fleet import FakePlatform, new_kernel, until

pytestmark = pytest.mark.anyio


async def test_an_instance_is_ready_once_it_knows_routes_and_endpoints():
    """Guards against refusals by an instance that has just started."""
    platform = FakePlatform()
    platform.listing = anyio.Event()
    async with anyio.create_task_group() as tasks:
        kernel = new_kernel(platform, "a")
        tasks.start_soon(kernel.run, False)
        discovery = kernel.plugin("discovery")
        await until(lambda: discovery.serving is not None)
        assert kernel.unready_reason() is not None
        platform.listing.set()
        await until(lambda: kernel.unready_reason() is None)
        assert discovery.usable("models")
        tasks.cancel_scope.cancel()

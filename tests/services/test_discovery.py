"""Tests of the readiness of an instance after its start."""

import anyio
import pytest

from tests.services.store_fleet import FakePlatform, new_kernel, until

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

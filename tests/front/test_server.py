"""Tests of the server that runs as a task of the kernel."""

import anyio
import pytest

from plantainstack.front.server import FrontServer
from plantainstack.settings.options import Address

pytestmark = pytest.mark.anyio


class CountingServer(FrontServer):
    ticks = 0

    async def on_tick(self, counter):
        self.ticks += 1
        return await super().on_tick(counter)


async def test_idle_server_does_not_wake_up():
    """Guards against processor time of idle instances, which have three servers."""
    server = CountingServer(None, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_closed)
        await anyio.sleep(0.5)
        assert server.ticks <= 1
        with anyio.fail_after(5.0):
            await server.close()

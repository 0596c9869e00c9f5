"""Tests of streams while endpoints of several software versions are in service."""

import pytest

from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import RequestKind
from tests.policy.serving_samples import endpoint, route
from tests.services.store_fleet import CONFIG, FakePlatform, running

pytestmark = pytest.mark.anyio

STREAM_ROUTE = route(RequestKind.STREAM, name="r-stream", prefix="/t/", endpoints_max=3)
STREAM_CONFIG = CONFIG._replace(routes=(*CONFIG.routes, STREAM_ROUTE))


def platform_with(**versions):
    """Return a platform whose endpoints have these software versions."""
    platform = FakePlatform()
    platform.config = STREAM_CONFIG
    platform.endpoints = {
        id: endpoint(id, software=software) for id, software in versions.items()
    }
    return platform


def call(kernel, id="r1", seconds=5.0):
    deadline = kernel.clock.now() + seconds
    return ClientCall(id, "POST", "/t/x", "desk.example", (), b"", deadline)


async def read(kernel, sent):
    """Return the parts of a stream."""
    found = kernel.plugin("forwarding").stream(sent, STREAM_ROUTE)
    return [part async for part in found]


async def test_broken_stream_is_not_resumed_at_another_software_version():
    """Guards against one answer that joins events of two versions."""
    platform = platform_with(e1="V", e2="W")
    platform.client.failing_events = [("r1", 2)]
    async with running(platform, "a") as (kernel,):
        parts = await read(kernel, call(kernel))
    assert parts[-1].is_err()
    assert len(platform.client.opened_streams) == 1


async def test_broken_stream_is_resumed_at_its_software_version():
    """Guards against a stream that ends although its version is in service."""
    platform = platform_with(e1="V", e2="W", e3="V", e4="W")
    platform.client.failing_events = [("r1", 2)]
    async with running(platform, "a") as (kernel,):
        parts = await read(kernel, call(kernel))
    assert parts[-1].is_ok()
    first, second = platform.client.opened_streams
    found = [platform.endpoints[opened[1]].software for opened in (first, second)]
    assert found[0] == found[1]
    assert second[2] == 1


async def test_stream_that_broke_before_its_first_event_goes_to_any_version():
    """Guards against refusing a stream of which the client has received nothing."""
    platform = platform_with(e1="V", e2="W")
    platform.client.failing_events = [("r1", 1)]
    async with running(platform, "a") as (kernel,):
        parts = await read(kernel, call(kernel))
    assert parts[-1].is_ok()
    assert [after for _, _, after in platform.client.opened_streams] == [None, None]

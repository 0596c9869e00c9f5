"""Tests of streams that are taken up after the operator changed their routes."""

import anyio
import msgspec
import pytest

from plantainstack.errors import Outcome
from plantainstack.policy.stream_versions import BASE_HANDOVER_S, BaseOrigin, Origin
from plantainstack.services.forwarding import ClientCall
from plantainstack.services.stream_bases import BASE_TABLE
from plantainstack.services.stream_records import RECORD_TABLE
from plantainstack.serving import RequestKind, TakeUp, WeightedService
from tests.policy.serving_samples import endpoint, route
from tests.services.store_fleet import CONFIG
from tests.services.test_stream_versions import (
    opened,
    platform_with,
    read,
    set_versions,
    settled,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

PATH = "/t/chat/r1"


def stream_route(name, prefix, service="models"):
    shares = (WeightedService(service, 1.0),)
    return route(
        RequestKind.STREAM,
        name=name,
        prefix=prefix,
        endpoints_max=3,
        weighted_services=shares,
    )


ALL = stream_route("r-all", "/t/")
CHAT = stream_route("r-chat", "/t/chat/")
# Routes before and after a change, both of which lead the path to the same service.
CHANGES = {
    "route added for a part of the paths": ((ALL,), (ALL, CHAT)),
    "route split": ((ALL,), (CHAT, stream_route("r-rest", "/t/rest/"))),
    "route renamed": ((ALL,), (stream_route("r-other", "/t/"),)),
    "prefix shortened": ((CHAT,), (stream_route("r-chat", "/t/"),)),
    "prefix lengthened": ((ALL,), (stream_route("r-all", "/t/chat/"),)),
    "routes merged": ((CHAT,), (ALL,)),
    "route removed above a longer one": ((ALL, CHAT), (CHAT,)),
    "route removed below a shorter one": ((ALL, CHAT), (ALL,)),
}


def set_routes(platform, *routes):
    """Put the routes in force at the instances that run."""
    version = platform.config.version + 1
    platform.config = CONFIG._replace(version=version, routes=routes)


def call(kernel, id, take_up=None):
    deadline = kernel.clock.now() + 5.0
    return ClientCall(id, "POST", PATH, "desk.example", (), b"", deadline, take_up)


async def send(kernel, id, take_up=None):
    """Send a stream by the route that is in force at an instance."""
    found = kernel.plugin("forwarding").route("desk.example", PATH).unwrap()
    return await read(kernel, call(kernel, id, take_up), found)


async def begin_without_record(platform, kernel):
    """Begin stream r1 at the base version V, beside more endpoints of W."""
    set_versions(platform, e1="V")
    await anyio.sleep(2.0)
    platform.client.failing_events += [("r1", 3)]
    assert (await send(kernel, "r1"))[-1].is_err()
    assert platform.rows.parts(RECORD_TABLE) == []
    set_versions(platform, e1="V", e2="W", e3="W")
    await anyio.sleep(2.0)
    platform.client.opened_streams.clear()


@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("instances_stay", [True, False])
async def test_stream_goes_on_at_its_version_after_its_route_changed(
    change, instances_stay
):
    """Guards against a text joined from two versions, as a new route has a new base."""
    before, after = CHANGES[change]
    platform = platform_with(e1="V")
    set_routes(platform, *before)
    async with settled(platform, "a", "b") as kernels:
        await begin_without_record(platform, kernels[0])
        if instances_stay:
            set_routes(platform, *after)
            await anyio.sleep(2.0)
            assert (await send(kernels[1], "r2", TakeUp(2, "r1")))[-1].is_ok()
    if not instances_stay:
        set_routes(platform, *after)
        async with settled(platform, "c") as (kernel,):
            assert (await send(kernel, "r2", TakeUp(2, "r1")))[-1].is_ok()
    assert opened(platform) == [("r2", "V", 2)]


async def test_stream_goes_on_at_its_version_after_its_route_was_away():
    """Guards against a base that is chosen anew when a route is added again."""
    platform = platform_with(e1="V")
    set_routes(platform, ALL)
    async with settled(platform, "a", "b") as kernels:
        await begin_without_record(platform, kernels[0])
        set_routes(platform)
        await anyio.sleep(30.0)
        set_routes(platform, ALL)
        await anyio.sleep(2.0)
        assert (await send(kernels[1], "r2", TakeUp(2, "r1")))[-1].is_ok()
    assert opened(platform) == [("r2", "V", 2)]


async def test_stream_is_refused_after_its_paths_were_led_to_another_service():
    """Guards against going on at the base of the service that an added route has."""
    platform = platform_with(e1="V")
    set_routes(platform, ALL)
    async with settled(platform, "a") as (kernel,):
        await begin_without_record(platform, kernel)
        platform.endpoints["a1"] = endpoint("a1", service="app", software="V")
        set_routes(platform, ALL, stream_route("r-chat", "/t/chat/", "app"))
        # The base of the added route is closed before it follows the service.
        for waited_s in (2.0, 60.0):
            await anyio.sleep(waited_s)
            (part,) = await send(kernel, f"r{waited_s}", TakeUp(2, "r1"))
            assert part.unwrap_err().outcome is Outcome.NOT_RUN
        await anyio.sleep(BASE_HANDOVER_S)
        before = len(platform.rows.parts(RECORD_TABLE))
        assert (await send(kernel, "r5"))[-1].is_ok()
        assert len(platform.rows.parts(RECORD_TABLE)) == before


async def test_base_of_an_older_build_is_taken_over():
    """Guards against joined texts in an upgrade, as bases had the names of routes."""
    platform = platform_with(e1="V")
    row = (BASE_TABLE, "", ALL.name)
    old = msgspec.msgpack.encode(BaseOrigin(Origin("models", "V")))
    platform.rows.transact({}, {row: old})
    set_versions(platform, e1="V", e2="W", e3="W")
    set_routes(platform, ALL)
    async with settled(platform, "a") as (kernel,):
        assert (await send(kernel, "r2", TakeUp(2, "r1")))[-1].is_ok()
    assert opened(platform) == [("r2", "V", 2)]


async def test_base_is_not_copied_from_one_that_has_changed():
    """Guards against a base below another one that an instance reads out of date."""
    platform = platform_with(e1="V")
    set_routes(platform, ALL)
    async with settled(platform, "a") as (kernel,):
        store = kernel.plugin("store").metadata_store
        store.answer_reads_from_now()
        row = (BASE_TABLE, "", "desk.example/t/")
        changed = msgspec.msgpack.encode(BaseOrigin(Origin("models", "W")))
        platform.rows.transact({}, {row: changed})
        set_routes(platform, ALL, stream_route("r-chat", "/t/chat/", "app"))
        await anyio.sleep(2.0)
        store.answer_from = platform.rows
        await anyio.sleep(2.0)
        found = platform.rows.row((BASE_TABLE, "", "desk.example/t/chat/"))
        assert found.value == changed

"""Tests of the limits of endpoints with several instances on one store."""

import math

import anyio
import msgspec
import pytest

from plantainstack.errors import Outcome
from plantainstack.policy import forwarding as forwarding_policy
from plantainstack.policy.rate_limits import RateBucket
from plantainstack.services.forwarding import ClientCall
from plantainstack.services.rate_permits import BUCKET_TABLE
from tests.policy.serving_samples import batch, endpoint, item, scored_item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    SAFE_ROUTE,
    FakePlatform,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

LIMIT = 2.0
OBSERVED_S = 1.5


def call(kernel, number):
    deadline = kernel.clock.now() + 0.5
    id = f"r{number}"
    return ClientCall(id, "POST", "/s/x", "desk.example", (), b"", deadline)


def allowed(seconds):
    """Return how many requests an endpoint may get in a time, told instances only."""
    return 1.5 * LIMIT * seconds + 5


async def send_calls(kernel, outcomes, count=40):
    """Send one request after another, for OBSERVED_S."""
    forwarding = kernel.plugin("forwarding")
    for number in range(count):
        outcomes.append(await forwarding.plain(call(kernel, number), SAFE_ROUTE))
        await anyio.sleep(OBSERVED_S / count)


async def send_from_all(kernels):
    outcomes = []
    async with anyio.create_task_group() as tasks:
        for kernel in kernels:
            tasks.start_soon(send_calls, kernel, outcomes)
    return outcomes


async def test_instances_together_keep_to_the_limit_of_an_endpoint():
    """Guards against a limited endpoint that gets its limit from each instance."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": LIMIT, "e2": LIMIT}
    async with running(platform, "a", "b", "c") as kernels:
        started = platform.clock.now()
        outcomes = await send_from_all(kernels)
        seconds = platform.clock.now() - started
    for id in ("e1", "e2"):
        sent = [each for _, each in platform.client.calls if each == id]
        # The first request of each instance is sent before it is told.
        assert 1 <= len(sent) <= allowed(seconds) + len(kernels)
    refused = [each.unwrap_err() for each in outcomes if each.is_err()]
    assert refused
    assert {failure.outcome for failure in refused} == {Outcome.NOT_RUN}
    # Callers are told when there will be permits again, not a fixed time.
    assert len({failure.retry_after_s for failure in refused}) > 1
    assert min(failure.retry_after_s for failure in refused) > 0.0


async def test_callers_are_served_by_endpoints_without_a_limit():
    """Guards against refused requests while another endpoint has room."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": LIMIT}
    async with running(platform, "a", "b", "c") as kernels:
        outcomes = await send_from_all(kernels)
    assert all(outcome.is_ok() for outcome in outcomes)


async def test_hedge_does_not_wait_for_a_permit():
    """Guards against an answer that is held back while a permit is fetched."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": LIMIT, "e2": LIMIT}
    async with running(platform, "a") as kernels:
        kernel = kernels[0]
        forwarding = kernel.plugin("forwarding")
        for number in range(4):
            await forwarding.plain(call(kernel, number), SAFE_ROUTE)
        platform.endpoints["e3"] = endpoint("e3", slots=100)
        await until(lambda: "e3" in kernel.plugin("discovery").view.known)
        fetches = []

        async def fetch(*args):
            fetches.append(args)
            await anyio.sleep_forever()

        store = kernel.plugin("store").metadata_store
        store.transact = store.read = fetch
        platform.client.scripts["r9"] = [slow_answer]
        assert (await forwarding.plain(call(kernel, 9), SAFE_ROUTE)).is_ok()
    assert fetches == []


async def slow_answer():
    """Answer after a hedge was due."""
    await anyio.sleep(forwarding_policy.hedge_delay(SAFE_ROUTE) + 0.05)


async def test_limit_that_has_ended_is_not_kept_to():
    """Guards against requests that are refused after the endpoint has recovered."""
    platform = FakePlatform(LoopClock())
    del platform.endpoints["e2"]
    platform.client.rate_limits = {"e1": LIMIT}
    async with running(platform, "a", "b") as kernels:
        await send_from_all(kernels)
        platform.client.rate_limits.clear()
        limits = [kernel.plugin("discovery").rate_limits for kernel in kernels]
        with anyio.fail_after(20.0):
            while any(each.count() for each in limits):
                await send_from_all(kernels)
        outcomes = await send_from_all(kernels)
    assert all(outcome.is_ok() for outcome in outcomes)


async def test_limited_endpoints_are_not_used_while_the_store_is_away():
    """Guards against the whole limit from each instance when none can get a permit."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": LIMIT}
    async with running(platform, "a") as kernels:
        await send_from_all(kernels)
        kernels[0].plugin("store").metadata_store.unavailable = True
        await anyio.sleep(1.0)
        platform.client.calls.clear()
        outcomes = await send_from_all(kernels)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert {id for _, id in platform.client.calls} == {"e2"}


def in_first_window(times):
    return [at for at in times if at < times[0] + OBSERVED_S]


async def test_items_keep_to_the_limit_of_an_endpoint():
    """Guards against a batch that sends all its items to limited model servers."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": LIMIT, "e2": LIMIT}
    times = record_streams(platform)
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        items = [item(f"i{n}", f"g{n}") for n in range(40)]
        assert (await batches.submit(batch(*items), BATCH_ROUTE)).is_ok()
        await until(lambda: len(times) > 2 and times[-1] > times[0] + OBSERVED_S)
    # Up to START_ITEMS items are sent to each endpoint before the first answer.
    assert len(in_first_window(times)) <= 2 * (allowed(OBSERVED_S) + 4)


def record_streams(platform):
    """Return the list to which the time of each stream is added."""
    times = []
    opened = platform.client.stream

    def stream(endpoint, call):
        times.append(platform.clock.now())
        return opened(endpoint, call)

    platform.client.stream = stream
    return times


async def test_reward_calls_keep_to_the_limit_of_an_endpoint():
    """Guards against the end of a step that overruns a limited endpoint."""
    platform = FakePlatform(LoopClock())
    platform.endpoints["a1"] = endpoint("a1", service="app", slots=6, versions={})
    platform.client.rate_limits = {"a1": LIMIT}
    async with running(platform, "a") as kernels:
        batches = kernels[0].plugin("batches")
        items = [scored_item(f"i{n}", f"g{n}") for n in range(40)]
        assert (await batches.submit(batch(*items), BATCH_ROUTE)).is_ok()
        await until(lambda: platform.client.calls)
        await anyio.sleep(OBSERVED_S)
        # Four of six slots take calls before the first answer.
        assert len(platform.client.calls) <= allowed(OBSERVED_S) + 4
        platform.client.rate_limits.clear()
        await all_results(batches, "b1", 40)


def store_bucket(platform, endpoint_id, bucket):
    name = (BUCKET_TABLE, endpoint_id, "1")
    assert platform.rows.transact({}, {name: msgspec.msgpack.encode(bucket)}, [])


@pytest.mark.parametrize("limit", [LIMIT, 1e300])
@pytest.mark.parametrize(
    "bucket",
    [
        RateBucket(math.nan, math.nan),
        RateBucket(math.inf, 0.0),
        RateBucket(1e300, -1e300),
        RateBucket(-math.inf, 0.0),
    ],
)
async def test_stored_bucket_with_impossible_times_blocks_nothing(bucket, limit):
    """Guards against one stored row that ends the process or blocks an endpoint."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": limit, "e2": limit}
    for id in ("e1", "e2"):
        store_bucket(platform, id, bucket)
    async with running(platform, "a", "b") as kernels:
        outcomes = await send_from_all(kernels)
    assert sum(outcome.is_ok() for outcome in outcomes) > 2 + len(kernels)


async def test_limit_is_kept_though_a_stored_end_lies_in_the_future():
    """Guards against a row that says for good that a limit has ended."""
    platform = FakePlatform(LoopClock())
    platform.client.rate_limits = {"e1": LIMIT, "e2": LIMIT}
    for id in ("e1", "e2"):
        store_bucket(platform, id, RateBucket(0.0, math.inf))
    async with running(platform, "a", "b") as kernels:
        started = platform.clock.now()
        await send_from_all(kernels)
        seconds = platform.clock.now() - started
    for id in ("e1", "e2"):
        sent = [each for _, each in platform.client.calls if each == id]
        assert len(sent) <= allowed(seconds) + len(kernels)

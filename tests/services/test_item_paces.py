"""Tests of the seconds per event that instances measure and share."""

import contextlib

import anyio
import pytest

from plantainstack.serving import OpenStream
from tests.policy.serving_samples import batch, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    ScriptedEndpoints,
    all_results,
    running,
    until,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

PACE_S = 0.1


class HeldUpStream(OpenStream):
    """Deliver the first events together, and each of the others after PACE_S."""

    def __init__(self, stream, together):
        self.head = stream.head
        self._stream = stream
        self._together = together

    async def events(self):
        await anyio.sleep(PACE_S * self._together)
        number = 0
        async for outcome in self._stream.events():
            number += 1
            if number > self._together:
                await anyio.sleep(PACE_S)
            yield outcome


class HeldUpEndpoints(ScriptedEndpoints):
    """Hold the first events of each stream up; `together` is their number."""

    together = 1

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        async with super().stream(endpoint, call) as opened:
            yield opened.map(lambda stream: HeldUpStream(stream, self.together))


def platform_of(together, events):
    platform = FakePlatform(LoopClock())
    platform.client = HeldUpEndpoints(platform)
    platform.client.together = together
    platform.client.events_per_stream = events
    return platform


@contextlib.asynccontextmanager
async def running_item(platform):
    """Run an item of one batch; yields the instance, its batches and the run."""
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        submitted = batch(item("i0", hint=5000))
        assert (await batches.submit(submitted, BATCH_ROUTE)).is_ok()
        run = batches._entries["b1"].run
        await until(lambda: run._attempts)
        yield kernel, batches, run


async def test_events_read_together_after_a_pause_are_not_shared_as_a_pace_of_zero():
    """Guards against an instance that stood still and stops the others by its pace."""
    platform = platform_of(together=4, events=20)
    async with running_item(platform) as (_, batches, run):
        await until(lambda: run._attempts["i0"].run.events() >= 4)
        assert run._latencies() == {}
        await until(lambda: run._attempts["i0"].run.events() >= 8)
        assert list(run._latencies().values()) == [pytest.approx(PACE_S, rel=0.1)]
        await all_results(batches, "b1", 1)


@pytest.mark.parametrize("seconds", [0.0, -1.0, float("nan"), float("inf"), 5e-324])
async def test_shared_pace_that_is_out_of_bounds_stops_no_other_batch(seconds):
    """Guards against a division by a pace that another instance has stored."""
    platform = platform_of(together=1, events=40)
    async with running_item(platform) as (kernel, batches, run):
        await until(lambda: run._attempts["i0"].run.events() >= 20)
        (attempt,) = run._attempts.values()
        paces = {id: seconds for id in platform.endpoints if id != attempt.endpoint.id}
        kernel.plugin("discovery").record_remote_latencies(paces)
        (result,) = await all_results(batches, "b1", 1)
    assert len(result.text.splitlines()) == 40
    assert len(platform.client.opened_streams) == 1

"""Tests of submissions at an instance whose feed has not noticed the store's return."""

import anyio
import pytest

from plantainstack.errors import Outcome
from tests.policy.serving_samples import batch
from tests.services.store_fleet import BATCH_ROUTE, FakePlatform, running, until

pytestmark = pytest.mark.anyio


async def lose_feed(kernel, platform):
    """Let the store be silent until the instance has noticed it."""
    store = kernel.plugin("store").metadata_store
    store.feed_fault = "unanswered"
    store.unavailable = True
    feed = kernel.plugin("batches")._feed
    with anyio.fail_after(20.0):
        await until(lambda: feed.lost_for(platform.clock.now()) > 0.5)
    return store


async def test_batch_is_accepted_as_soon_as_the_store_answers_reads():
    """Guards against a step that is refused for seconds after the store's return."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = await lose_feed(kernels[0], platform)
        store.unavailable = False
        batches = kernels[0].plugin("batches")
        assert (await batches.submit(batch(), BATCH_ROUTE)).is_ok()


async def test_batch_is_refused_as_not_run_while_the_store_is_silent():
    """Guards against a write that is done later although the batch was refused."""
    platform = FakePlatform()
    async with running(platform, "a") as kernels:
        store = await lose_feed(kernels[0], platform)
        store.unavailable = False
        writes = store.calls

        async def silent(*args):
            await anyio.sleep_forever()

        store.read = silent
        refused = await kernels[0].plugin("batches").submit(batch(), BATCH_ROUTE)
        assert refused.unwrap_err().outcome is Outcome.NOT_RUN
        assert store.calls == writes

"""Tests of feeds during outages of the store that last for many minutes."""

import anyio
import pytest
from result import Err

from plantainstack.errors import ErrorKind, Failure
from plantainstack.services.feeds import RETRY_MAX_S, FeedReader
from tests.virtual_time import LoopClock, anyio_backend  # noqa: F401

pytestmark = pytest.mark.anyio

OUTAGE_S = 1200.0


async def test_feed_goes_on_after_an_outage_of_many_minutes():
    """Guards against an exception that ends the process after some 1000 failures."""
    clock = LoopClock()
    asked_at = []

    async def read(cursor, wait_s):
        asked_at.append(clock.now())
        return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, "scripted"))

    feed = FeedReader("test", clock, read, lambda found, snapshot: None, lambda: 0.01)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed.run)
        await anyio.sleep(OUTAGE_S)
        tasks.cancel_scope.cancel()
    assert asked_at[-1] >= OUTAGE_S - RETRY_MAX_S

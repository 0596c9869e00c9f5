"""Tests of the feeds of the metadata store: exceptions, and rows that are not valid."""

import contextlib

import anyio
import pytest
from result import Err, Ok

from plantainstack import metrics
from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.services.feeds import FeedReader
from plantainstack.serving import (
    EndpointChanges,
    OperatorChanges,
    RowName,
    RowsRead,
    StoredRow,
)
from tests.policy.serving_samples import endpoint
from tests.services.store_fleet import (
    CONFIG,
    FakePlatform,
    running,
    until,
)

pytestmark = pytest.mark.anyio


def row(key, version):
    return StoredRow(RowName("t", "", key), b"", version)


@contextlib.asynccontextmanager
async def feed_of(read, apply, on_regained=lambda store_was_away: None):
    clock = SystemClock()
    feed = FeedReader("test", clock, read, apply, lambda: 0.01, on_regained)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed.run)
        yield feed
        tasks.cancel_scope.cancel()


def failures():
    return metrics.FEED_FAILURES.labels("test")._value.get()


@pytest.mark.task_failures
async def test_feed_goes_on_after_an_exception_of_a_read():
    """Guards against a process that ends because one answer cannot be decoded."""
    reads = []

    async def read(cursor, wait_s):
        reads.append(cursor)
        if len(reads) < 3:
            raise RecursionError("scripted")
        return Ok(RowsRead((row("a", 1),), 1, 0.0))

    before, applied = failures(), []
    async with feed_of(read, lambda found, _: applied.append(found)) as feed:
        await until(lambda: len(reads) == 1)
        await until(lambda: feed.lost_at is not None)
        await until(lambda: applied)
        assert feed.lost_at is None
    assert failures() == before + 2


@pytest.mark.parametrize(("failures", "store_was_away"), [(1, False), (2, True)])
async def test_feed_tells_a_failed_connection_from_an_outage(failures, store_was_away):
    """Guards against removals that are held back while the store works."""
    reads, regained = [], []

    async def read(cursor, wait_s):
        reads.append(cursor)
        if len(reads) <= failures:
            return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, "scripted"))
        await anyio.sleep(0.01)
        return Ok(RowsRead((), 1, 0.0))

    async with feed_of(read, lambda found, _: None, regained.append):
        await until(lambda: regained)
        await anyio.sleep(0.1)
    assert regained == [store_was_away]


@pytest.mark.parametrize(("failures", "kept"), [(1, []), (2, ["e1"])])
async def test_removed_endpoint_gets_no_requests_after_a_failed_connection(
    failures, kept
):
    """Guards against requests to an endpoint that left while its feed was silent."""
    platform = FakePlatform()
    async with running(platform, "a") as (kernel,):
        discovery = kernel.plugin("discovery")
        await until(lambda: len(discovery.view.usable("models")) == 2)
        registry = kernel.plugin("store").registry
        changes, answers = registry.endpoint_changes, []

        async def failing(cursor, wait_s):
            if len(answers) < failures:
                answers.append(cursor)
                return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, "scripted"))
            return await changes(cursor, wait_s)

        discovery._endpoint_feed._read = failing
        await until(lambda: discovery._endpoint_feed.lost_at is not None)
        platform.endpoints["e1"] = None
        await until(lambda: discovery._endpoint_feed.lost_at is None)
        await anyio.sleep(0.2)
        found = [each.id for each in discovery.view.usable("models")]
        assert found == [*kept, "e2"]


@pytest.mark.task_failures
async def test_feed_that_always_fails_is_not_read_in_a_busy_loop():
    reads = []

    async def read(cursor, wait_s):
        reads.append(cursor)
        raise ValueError("scripted")

    async with feed_of(read, None):
        await anyio.sleep(0.5)
    assert 1 <= len(reads) <= 5


@pytest.mark.task_failures
async def test_row_that_cannot_be_applied_costs_itself_only():
    """Guards against good rows that are skipped because of another one."""
    answers = [
        RowsRead((row("a", 1), row("odd", 2), row("b", 3)), 3, 0.0),
        RowsRead((row("c", 4),), 4, 0.0),
    ]
    known, cursors = set(), []

    async def read(cursor, wait_s):
        cursors.append(cursor)
        if not answers:
            await anyio.sleep_forever()
        return Ok(answers.pop(0))

    def apply(found, is_snapshot):
        for each in found.rows:
            if each.name.key == "odd":
                raise ValueError("scripted")
            known.add(each.name.key)

    before = failures()
    async with feed_of(read, apply):
        await until(lambda: known == {"a", "b", "c"})
        assert cursors[:2] == [None, 3]
    assert failures() == before + 2


async def test_changes_of_each_feed_are_split():
    """Guards against a kind of change of which one bad part costs all."""
    ends = {"e1": endpoint("e1"), "e2": None}
    found = EndpointChanges(ends, 4).split()
    assert found == [EndpointChanges({id: end}, 4) for id, end in ends.items()]
    found = OperatorChanges(CONFIG, {"m0": 2, "m1": 3}, 4).split()
    assert [(each.config, each.versions) for each in found] == [
        (CONFIG, {}),
        (None, {"m0": 2}),
        (None, {"m1": 3}),
    ]

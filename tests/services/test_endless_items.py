"""Tests against endpoints that answer an item with events without end."""

import contextlib

import anyio
import pytest
from result import Ok

from plantainstack.policy.answer_memory import AnswerMemory
from plantainstack.policy.item_runs import TEXT_BYTES_MAX
from plantainstack.serving import ItemState, OpenStream
from tests.policy.serving_samples import batch, endpoint, event, item
from tests.services.store_fleet import (
    BATCH_ROUTE,
    FakePlatform,
    ScriptedEndpoints,
    all_results,
    running,
)
from tests.virtual_time import LoopClock, anyio_backend, seed_instances  # noqa: F401

pytestmark = pytest.mark.anyio

TEXT = "text 1\ntext 2\ntext 3"
# Bounds a test in which an answer is read without end.
EVENTS_MAX = 5000


class EndlessStream(OpenStream):
    """Yield large events, from the one after the last that the caller has."""

    def __init__(self, endpoints, head, first):
        self.head = head
        self._endpoints = endpoints
        self._first = first

    async def events(self):
        data = "x" * self._endpoints.event_bytes
        for number in range(self._first, self._first + EVENTS_MAX):
            await anyio.sleep(self._endpoints.gap_s)
            self._endpoints.endless_events += 1
            yield Ok(event(number, data))


class EndlessEndpoints(ScriptedEndpoints):
    """Answer each item without end, except at endpoint e2."""

    event_bytes = 16_000
    gap_s = 0.002

    def __init__(self, platform):
        super().__init__(platform)
        self.endless_events = 0

    @contextlib.asynccontextmanager
    async def stream(self, endpoint, call):
        async with super().stream(endpoint, call) as opened:
            if endpoint.id == "e2":
                yield opened
            else:
                first = (call.resume_after or 0) + 1
                head = opened.unwrap().head
                yield Ok(EndlessStream(self, head, first))


def platform_of(*endpoints):
    platform = FakePlatform(LoopClock())
    platform.client = EndlessEndpoints(platform)
    platform.endpoints = {id: endpoint(id) for id in endpoints}
    return platform


async def test_item_ends_elsewhere_after_an_answer_without_end():
    """Guards against an endless answer that fills the memory of each owner in turn."""
    platform = platform_of("e1")
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(batch(item("i0")), BATCH_ROUTE)).is_ok()
        await anyio.sleep(0.5)
        platform.endpoints["e2"] = endpoint("e2")
        (result,) = await all_results(batches, "b1", 1)
    assert (result.state, result.text) == (ItemState.COMPLETED, TEXT)
    most = TEXT_BYTES_MAX // EndlessEndpoints.event_bytes + 1
    attempts = [end for _, end, _ in platform.client.opened_streams if end == "e1"]
    assert platform.client.endless_events <= most * len(attempts)


async def test_answers_without_end_are_not_collected_in_the_store():
    """Guards against stored pieces of endless answers that end the next owner."""
    platform = platform_of("e1")
    # A text is complete or given up only after several checkpoints.
    platform.client.gap_s = 1.0
    async with running(platform, "a") as (kernel,):
        batches = kernel.plugin("batches")
        assert (await batches.submit(batch(item("i0")), BATCH_ROUTE)).is_ok()
        await anyio.sleep(30.0)
        found = await batches._batch_store.partials("b1", 0)
        rows = platform.rows.range("batch_partials", "b1", "", "")
        assert sum(len(row.value) for _, row in rows) <= 2 * TEXT_BYTES_MAX
        assert set(found.unwrap()) <= {"i0"}


async def test_texts_of_all_items_keep_to_the_memory_of_answers():
    """Guards against many items, each within its limit, that take all memory."""
    platform = platform_of("e1")
    platform.client.event_bytes = 10
    held = []
    async with running(platform, "a") as (kernel,):
        memory = kernel.answer_memory = AnswerMemory(150_000, 150_000)
        batches = kernel.plugin("batches")
        items = [item(f"i{number}") for number in range(4)]
        assert (await batches.submit(batch(*items), BATCH_ROUTE)).is_ok()
        for _ in range(300):
            await anyio.sleep(0.01)
            held.append(memory.held)
        run = batches.running("b1")
        texts = [each.run.memory_bytes() for each in run._attempts.values()]
        assert sum(texts) <= memory.held
        assert (await batches.end("b1")).is_ok()
        await anyio.sleep(0.1)
        assert memory.held == 0
    assert memory.total / 2 < max(held) <= memory.total

"""Read the stored progress of a batch that was taken over."""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from result import Ok, Result

from plantainstack.errors import Failure
from plantainstack.policy.item_runs import PartialText
from plantainstack.services.batch_cache import BatchEntry
from plantainstack.services.batch_reads import BatchReads
from plantainstack.services.batch_store import BatchStore, StateRow
from plantainstack.serving import Batch, ItemResult

# Results that are read at once: their texts are dropped before the next ones.
PAGE_RESULTS = 256


class BatchProgress(NamedTuple):
    """Hold a batch, the ids of its listed items and the texts of unfinished ones."""

    batch: Batch
    listed: set[str]
    partials: dict[str, PartialText]


async def read_progress(
    reads: BatchReads,
    batch_store: BatchStore,
    entry: BatchEntry,
    row: StateRow,
    batch_id: str,
    on_page: Callable[[int, list[ItemResult]], None],
) -> Result[BatchProgress, Failure]:
    """Read a batch, its listed results and its texts at the same time.

    `on_page` is called with each page of results and the position of its first one.
    """
    calls = (
        lambda: reads.load_batch(entry, batch_id),
        lambda: _read_listed(batch_store, row, batch_id, on_page),
        lambda: batch_store.partials(batch_id, row.version),
    )
    found: list[Result] = [None] * len(calls)

    async def read(number: int) -> None:
        found[number] = await calls[number]()

    async with anyio.create_task_group() as tasks:
        for number in range(len(calls)):
            tasks.start_soon(read, number)
    for outcome in found:
        if outcome.is_err():
            return outcome
    return Ok(BatchProgress(*(outcome.unwrap() for outcome in found)))


async def _read_listed(
    batch_store: BatchStore,
    row: StateRow,
    batch_id: str,
    on_page: Callable[[int, list[ItemResult]], None],
) -> Result[set[str], Failure]:
    """Return the ids of all listed items."""
    ids: set[str] = set()
    for first in range(0, row.state.listed, PAGE_RESULTS):
        count = min(PAGE_RESULTS, row.state.listed - first)
        found = await batch_store.results(batch_id, first, count, row.version)
        if found.is_err():
            return found
        ids.update(result.item_id for result in found.unwrap())
        on_page(first, found.unwrap())
    return Ok(ids)

"""Read the stored progress of a batch that was taken over."""

from typing import NamedTuple

import anyio
from result import Ok, Result

from plantainstack.errors import Failure
from plantainstack.policy.item_runs import PartialText
from plantainstack.services.batch_cache import BatchEntry
from plantainstack.services.batch_reads import BatchReads
from plantainstack.services.batch_store import BatchStore, StateRow
from plantainstack.serving import Batch, ItemResult


class BatchProgress(NamedTuple):
    """Hold a batch, its listed results and the texts of its unfinished items."""

    batch: Batch
    listed: list[ItemResult]
    partials: dict[str, PartialText]


async def read_progress(
    reads: BatchReads,
    batch_store: BatchStore,
    entry: BatchEntry,
    row: StateRow,
    batch_id: str,
) -> Result[BatchProgress, Failure]:
    """Read a batch, its listed results and its texts at the same time."""
    calls = (
        lambda: reads.load_batch(entry, batch_id),
        lambda: batch_store.results(batch_id, 0, row.state.listed, row.version),
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

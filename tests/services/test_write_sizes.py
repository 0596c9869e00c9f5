"""Tests of the sizes of the store's transactions, in the bytes that travel."""

import base64
import tracemalloc

import anyio
import msgspec
import pytest
from result import Err

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.policy.item_runs import ItemRun
from plantainstack.services import batch_results
from plantainstack.services.batch_results import ResultWriter
from plantainstack.services.batch_store import BatchStore
from plantainstack.serving import ItemResult, ItemState
from standins.metadata_store import Rows
from tests.policy.serving_samples import batch, event, item
from tests.services.store_fleet import MemoryStore

pytestmark = pytest.mark.anyio

CALL_BYTES = 1_000_000
CHARACTERS = ["x", "\u00e9", "\u8bad", "\U0001f6b2"]


class LimitedStore(MemoryStore):
    """Refuse transactions above the limit of the platform's store."""

    async def transact(self, transaction):
        values = [base64.b64encode(value).decode() for _, value in transaction.puts]
        if len(msgspec.json.encode(values)) > CALL_BYTES:
            message = "the store answered with status 413"
            return Err(Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, message))
        return await super().transact(transaction)


async def writer_of(store, items):
    """Return the writer of a batch that has just been accepted."""
    batch_store = BatchStore(store, store.clock)
    accepted = await batch_store.accept(batch(*items), "r", "a")
    row, _ = accepted.unwrap()
    return ResultWriter(store.clock, batch_store, "b1", row, dict, lambda *_: None)


def text_of(character, size):
    return character * (size // len(character.encode()))


@pytest.mark.parametrize("character", CHARACTERS)
async def test_long_results_are_stored_whatever_their_characters(character):
    """Guards against transactions that the store refuses for ever."""
    items = [item(f"i{number}") for number in range(40)]
    store = LimitedStore(Rows(), SystemClock())
    writer = await writer_of(store, items)
    for each in items:
        text = text_of(character, 60_000)
        writer.end(ItemResult(each.id, ItemState.COMPLETED, text, (1,)))
    with anyio.fail_after(5.0):
        await writer.run()
    assert writer.row.state.listed == 40


@pytest.mark.parametrize("character", CHARACTERS)
async def test_long_texts_are_released_whatever_their_characters(character):
    """Guards against a planned stop that loses results and texts of its batches."""
    items = [item(f"i{number}") for number in range(40)]
    store = LimitedStore(Rows(), SystemClock())
    writer = await writer_of(store, items)
    for each in items[:10]:
        text = text_of(character, 60_000)
        writer.end(ItemResult(each.id, ItemState.COMPLETED, text, (1,)))
    for each in items[10:]:
        run = ItemRun(each, batch(*items), single_version=False)
        writer.begin(run)
        run.begin_stream(1)
        run.append_event(event(1, text_of(character, 30_000)))
    with anyio.fail_after(5.0):
        await writer.release(lambda: None)
    assert 0 < len(store.rows.range("batch_results", "b1", "", "")) <= 10
    assert store.rows.range("batch_partials", "b1", "", "")


@pytest.mark.parametrize("character", CHARACTERS)
async def test_waiting_results_are_counted_whatever_their_characters(character):
    """Guards against results that fill the memory while the store is away."""
    store = LimitedStore(Rows(), SystemClock())
    writer = await writer_of(store, [item()])
    tracemalloc.start()
    for number in range(50):
        text = "x" * 5_900 + text_of(character, 100)
        writer.end(ItemResult(f"i{number}", ItemState.COMPLETED, text, (1,)))
    del text
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert size <= 1.1 * writer.waiting_bytes()


async def test_pieces_of_text_stay_below_the_limit_of_a_row():
    """Guards against a row above 64 KiB, with which the whole write is refused."""
    store = LimitedStore(Rows(), SystemClock())
    writer = await writer_of(store, [item()])
    run = ItemRun(item(), batch(), single_version=False)
    writer.begin(run)
    run.begin_stream(1)
    run.append_event(event(1, text_of("\u8bad", 60_000)))
    await writer.release(lambda: None)
    rows = store.rows.range("batch_partials", "b1", "", "")
    assert all(len(row.value) <= batch_results.PIECE_BYTES for _, row in rows)

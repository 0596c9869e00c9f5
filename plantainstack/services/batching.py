"""Group commit: combines concurrent calls to the table service into one request."""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.adapters.http import REQUEST_TIMEOUT_S
from plantainstack.adapters.table import not_applied, unknown
from plantainstack.clock import Clock
from plantainstack.errors import Failure
from plantainstack.interfaces import Mutation, MutationOutcome, Row, TableService
from plantainstack.tasks import record_exception

BATCH_MUTATIONS_MAX = 128
BATCH_KEYS_MAX = 512
BATCH_BYTES_MAX = 1024**2
QUEUE_CALLS_MAX = 4096

Send = Callable[[list], Awaitable[Result[list, Failure]]]
Size = Callable[[Any], int]


class _Call:
    def __init__(self, items: Sequence, size: int, deadline: float):
        self.items = items
        self.size = size
        self.deadline = deadline
        self.done = anyio.Event()
        self.outcome: Result[list, Failure] | None = None

    def finish(self, outcome: Result[list, Failure]) -> None:
        self.outcome = outcome
        self.done.set()


class _Batcher:
    """Send the items of queued calls in batches, one batch in flight at a time.

    A worker task sends the request, so the cancellation of one caller does not
    affect the outcomes of the other callers in the batch.
    """

    def __init__(self, send: Send, size: Size, limit: int, clock: Clock):
        self._send = send
        self._size = size
        self._limit = limit
        self._clock = clock
        self._waiting: deque[_Call] = deque()
        self._arrived = anyio.Event()
        self._closed = False

    async def submit(self, items: Sequence) -> Result[list, Failure]:
        """Queue the items for one request, and return their outcomes."""
        if self._closed:
            return Err(not_applied("the process is stopping"))
        if len(self._waiting) >= QUEUE_CALLS_MAX:
            return Err(not_applied("the queue of calls is full"))
        size = sum(self._size(item) for item in items)
        call = _Call(items, size, self._clock.now() + REQUEST_TIMEOUT_S)
        self._waiting.append(call)
        self._arrived.set()
        try:
            await call.done.wait()
        except BaseException:
            if call in self._waiting:
                self._waiting.remove(call)
            raise
        return call.outcome

    async def run(self) -> None:
        """Send batches until cancelled, then fail the calls still queued."""
        try:
            while True:
                await self._arrived.wait()
                self._arrived = anyio.Event()
                while batch := self._next_batch():
                    await self._run_batch(batch)
        finally:
            self._closed = True
            while self._waiting:
                self._waiting.popleft().finish(
                    Err(not_applied("the process stopped before the call was sent"))
                )

    def _next_batch(self) -> list[_Call]:
        batch: list[_Call] = []
        count = size = 0
        while self._waiting:
            call = self._waiting[0]
            count += len(call.items)
            size += call.size
            if batch and (count > self._limit or size > BATCH_BYTES_MAX):
                break
            self._waiting.popleft()
            if call.deadline <= self._clock.now():
                count -= len(call.items)
                size -= call.size
                call.finish(
                    Err(not_applied("the deadline passed before the call was sent"))
                )
                continue
            batch.append(call)
        return batch

    async def _run_batch(self, batch: list[_Call]) -> None:
        outcome = Err(unknown("the request was cancelled"))
        items = [item for call in batch for item in call.items]
        try:
            outcome = await self._send(items)
            if outcome.is_ok() and len(outcome.ok_value) != len(items):
                outcome = Err(
                    unknown("the number of outcomes differs from the number of items")
                )
        except Exception as exc:
            record_exception("_Batcher._run_batch", exc)
            log.event("batching.failed", error=repr(exc))
        finally:
            _distribute(batch, outcome)


def _distribute(batch: list[_Call], outcome: Result[list, Failure]) -> None:
    start = 0
    for call in batch:
        end = start + len(call.items)
        call.finish(outcome.map(lambda found, part=slice(start, end): found[part]))
        start = end


def _mutation_size(mutation: Mutation) -> int:
    """Estimate a mutation's size by the text fields of its rows, its largest part."""
    values = (write.value for write in mutation.writes if write.value is not None)
    fields = (field for value in values for field in value.values())
    return sum(len(field) for field in fields if isinstance(field, str))


class BatchingTable(TableService):
    """Table service that batches concurrent commits, and concurrent reads.

    A call is never split over two requests. Calls wait until `start` was called.
    """

    def __init__(self, table: TableService, clock: Clock):
        self._table = table
        self._commits = _Batcher(
            table.commit, _mutation_size, BATCH_MUTATIONS_MAX, clock
        )
        self._reads = _Batcher(self._read_rows, len, BATCH_KEYS_MAX, clock)

    def start(self, tasks: TaskGroup) -> None:
        """Run the workers for commits and reads in a task group."""
        tasks.start_soon(self._commits.run)
        tasks.start_soon(self._reads.run)

    async def read(self, keys: Sequence[str]) -> Result[dict[str, Row], Failure]:
        """Return a row for each key, by key."""
        if not keys:
            return Ok({})
        outcome = await self._reads.submit(list(keys))
        return outcome.map(lambda rows: {row.key: row for row in rows})

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Failure]:
        """Return up to `limit` rows with the prefix, by key, after the key `after`."""
        return await self._table.scan(prefix, after, limit)

    async def commit(
        self, mutations: Sequence[Mutation]
    ) -> Result[list[MutationOutcome], Failure]:
        """Commit mutations durably; each is applied atomically or not at all."""
        if not mutations:
            return Ok([])
        return await self._commits.submit(list(mutations))

    async def _read_rows(self, keys: list[str]) -> Result[list[Any], Failure]:
        outcome = await self._table.read(list(dict.fromkeys(keys)))
        return outcome.map(lambda rows: [rows[key] for key in keys])

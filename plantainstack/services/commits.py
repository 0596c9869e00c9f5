"""Group commit: mutations that arrive while one is under way share the next."""

import anyio
from result import Err, Ok, Result

from plantainstack.errors import Failure
from plantainstack.platform.base import Mutation, MutationOutcome, TableService

BATCH_MAX = 200


class _Entry:
    def __init__(self, mutation: Mutation):
        self.mutation = mutation
        self.woken = anyio.Event()
        self.result: Result[MutationOutcome, Failure] | None = None


class GroupCommit:
    """Commit mutations of many tasks in one transaction each round.

    The first task commits for those that wait, and then hands over to the next.
    """

    def __init__(self, table: TableService):
        self._table = table
        self._queue: list[_Entry] = []
        self._busy = False

    async def commit(self, mutation: Mutation) -> Result[MutationOutcome, Failure]:
        """Commit one mutation, together with others."""
        entry = _Entry(mutation)
        self._queue.append(entry)
        with anyio.CancelScope(shield=True):
            if self._busy:
                await entry.woken.wait()
            if entry.result is None:
                await self._lead()
        return entry.result

    async def _lead(self) -> None:
        self._busy = True
        batch = self._queue[:BATCH_MAX]
        del self._queue[:BATCH_MAX]
        try:
            outcome = await self._table.commit([entry.mutation for entry in batch])
            results = _spread(outcome, len(batch))
            for entry, result in zip(batch, results, strict=True):
                entry.result = result
                entry.woken.set()
        finally:
            self._busy = False
            if self._queue:
                self._busy = True
                self._queue[0].woken.set()


def _spread(outcome, count: int) -> list[Result[MutationOutcome, Failure]]:
    if outcome.is_err():
        return [Err(outcome.err_value)] * count
    return [Ok(item) for item in outcome.ok_value]

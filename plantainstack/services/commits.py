"""Group commit: mutations that arrive while one is under way share the next."""

import anyio
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.errors import ErrorKind, Failure
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
        results = await self._commit_all([entry.mutation for entry in batch])
        for entry, result in zip(batch, results, strict=True):
            entry.result = result
            entry.woken.set()
        self._busy = bool(self._queue)
        if self._queue:
            self._queue[0].woken.set()

    async def _commit_all(
        self, mutations: list[Mutation]
    ) -> list[Result[MutationOutcome, Failure]]:
        """Return a result for each mutation, also when the adapter has a fault.

        Without one, every task that waits for its turn would wait for ever.
        """
        try:
            outcome = await self._table.commit(mutations)
        except Exception as exc:
            log.event("commits.failed", error=repr(exc))
            outcome = _UNKNOWN
        if outcome.is_ok() and len(outcome.ok_value) != len(mutations):
            outcome = _UNKNOWN
        if outcome.is_err():
            return [outcome] * len(mutations)
        return [Ok(item) for item in outcome.ok_value]


_UNKNOWN = Err(
    Failure.of(
        ErrorKind.TABLE_OUTCOME_UNKNOWN, "the table service's answer is not valid"
    )
)

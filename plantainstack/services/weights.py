"""Plug-in `weights`: learns new versions and orders engines to load them."""

from result import Err, Ok, Result

from plantainstack import log
from plantainstack.errors import ErrorKind, Failure
from plantainstack.platform.base import (
    Check,
    Mutation,
    Row,
    TableService,
    WeightStore,
    Write,
)
from plantainstack.plugins import Plugin

CONFLICTS_MAX = 5


def head_key(model: str) -> str:
    """Return the key of the row that holds a model's newest version."""
    return f"weights/{model}"


def head_version(row: Row) -> int:
    """Return the version that a weight head holds, 0 without one."""
    return row.value["version"] if row.value else 0


class WeightHeads:
    """Keep the newest published version of each model in the table service."""

    def __init__(self, table: TableService, store: WeightStore):
        self._table = table
        self._store = store

    async def read(self, model: str) -> Result[Row, Failure]:
        """Return the weight head as the table service holds it."""
        key = head_key(model)
        return (await self._table.read([key])).map(lambda rows: rows[key])

    async def refresh(self, model: str) -> Result[Row, Failure]:
        """Raise the weight head to the weight store's newest version.

        While the weight store is unreachable, the head is returned as it is.
        """
        latest = await self._store.latest(model)
        if latest.is_err():
            log.event("weights.store_failed", kind=latest.unwrap_err().kind.value)
            return await self.read(model)
        return await self._raise(model, latest.unwrap())

    async def _raise(self, model: str, version: int) -> Result[Row, Failure]:
        for _ in range(CONFLICTS_MAX):
            read = await self.read(model)
            if read.is_err() or head_version(read.unwrap()) >= version:
                return read
            row = read.unwrap()
            mutation = Mutation(
                f"{row.key}/{version}",
                (Check(row.key, row.version),),
                (Write(row.key, {"version": version}),),
            )
            committed = await self._table.commit([mutation])
            if committed.is_err():
                return committed
            if committed.unwrap()[0].applied:
                log.event("weights.published", model=model, version=version)
                return Ok(Row(row.key, row.version + 1, {"version": version}))
        return Err(Failure.of(ErrorKind.CONFLICT, f"{head_key(model)} keeps changing"))


class Weights(Plugin):
    """Keep the weight heads of the models that the fleet serves."""

    name = "weights"
    requires = ("platform",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.heads: WeightHeads | None = None

    async def start(self, tasks) -> None:
        """Connect to the table service and the weight store."""
        platform = self.kernel.plugin("platform")
        self.heads = WeightHeads(platform.table, platform.weights)

"""Keep batches in the metadata store.

All rows of a batch share a part, so that one transaction changes them together.
Each write expects the version of the row `state`; an instance that lost a batch
can therefore write nothing more to it.
"""

import uuid
import zlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from plantainstack.clock import Clock
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy.item_runs import PartialText, join_pieces
from plantainstack.serving import (
    Batch,
    ItemResult,
    MetadataStore,
    RowName,
    StoredRow,
    Transaction,
    TransactionResult,
)

STATE_TABLE = "batches"
ITEM_TABLE = "batch_items"
RESULT_TABLE = "batch_results"
PARTIAL_TABLE = "batch_partials"
STATE_KEY = "state"
# Below the store's limit on a row (64 KiB) after its encoding in base64.
CHUNK_BYTES = 45_000
# Below the store's limits on a transaction (1 MB in base64, 100 entries).
TRANSACTION_BYTES = 600_000
TRANSACTION_ROWS = 80
# A clean refusal is passed on soon, since another instance may reach the store.
REFUSAL_PATIENCE_S = 0.6
# A write without an answer is repeated until its outcome is known, within this time.
SETTLE_PATIENCE_S = 4.0
RETRY_S = 0.1


class BatchState(NamedTuple):
    """Hold what changes while a batch runs.

    `listed` results are durable. `nonce` tells the writes of a state apart.
    `paces` are seconds for each event that the owner measured lately, by endpoint;
    every instance follows the states, so they cost no call of their own.
    """

    owner: str
    term: int
    total: int
    listed: int
    ended: bool
    route: str
    nonce: str
    paces: dict[str, float] = {}


class StateRow(NamedTuple):
    """Hold a state and the version of its row."""

    state: BatchState
    version: int


# An item's id with a piece of its text.
Piece = tuple[str, PartialText]


class Lost(NamedTuple):
    """Tell that a write found another state than the one it expected."""

    current: StateRow | None


_STATE = msgspec.msgpack.Decoder(BatchState)
_BATCH = msgspec.msgpack.Decoder(Batch)
_RESULT = msgspec.msgpack.Decoder(ItemResult)
_PARTIAL = msgspec.msgpack.Decoder(PartialText)


class BatchStore:
    """Read and write the rows of batches."""

    def __init__(self, store: MetadataStore, clock: Clock):
        self._store = store
        self._clock = clock

    async def accept(
        self, batch: Batch, route: str, owner: str
    ) -> Result[tuple[StateRow, bool], Failure]:
        """Store a batch; return its state and whether this call stored it."""
        state = BatchState(owner, 1, len(batch.items), 0, False, route, _nonce())
        data = zlib.compress(msgspec.msgpack.encode(batch), 1)
        if len(data) > TRANSACTION_BYTES:
            stored = await self._store.put_object(_object_name(batch.id), data)
            if stored.is_err():
                # Without the row `state`, the object alone runs nothing.
                failure = stored.unwrap_err()
                return Err(failure._replace(outcome=Outcome.NOT_RUN))
            data = b""
        chunks = [
            data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)
        ]
        puts = [
            (RowName(ITEM_TABLE, batch.id, f"{number:04}"), chunk)
            for number, chunk in enumerate(chunks)
        ]
        outcome = await self._write(batch.id, 0, state, puts)
        if outcome.is_err():
            return outcome
        found = outcome.unwrap()
        if isinstance(found, Lost):
            return Ok((found.current, False))
        return Ok((found, True))

    async def append(
        self,
        batch_id: str,
        row: StateRow,
        results: list[ItemResult],
        partials: list[Piece] = (),
        paces: dict[str, float] | None = None,
    ) -> Result[StateRow | Lost, Failure]:
        """List results behind those that are listed, and store pieces of text.

        Without any, the write renews the ownership.
        """
        state = row.state._replace(
            listed=row.state.listed + len(results), nonce=_nonce(), paces=paces or {}
        )
        puts = _result_rows(batch_id, row, results) + _partial_rows(batch_id, partials)
        return await self._write(batch_id, row.version, state, puts)

    async def release(
        self,
        batch_id: str,
        row: StateRow,
        results: list[ItemResult],
        partials: list[Piece],
    ) -> Result[StateRow | Lost, Failure]:
        """List results, and give the batch up for another instance to go on with."""
        state = row.state._replace(
            owner="", listed=row.state.listed + len(results), nonce=_nonce(), paces={}
        )
        puts = _result_rows(batch_id, row, results) + _partial_rows(batch_id, partials)
        return await self._write(batch_id, row.version, state, puts)

    async def take_over(
        self, batch_id: str, row: StateRow, owner: str
    ) -> Result[StateRow | Lost, Failure]:
        """Become the owner of a batch."""
        state = row.state._replace(owner=owner, term=row.state.term + 1, nonce=_nonce())
        return await self._write(batch_id, row.version, state, [])

    async def end(self, batch_id: str) -> Result[StateRow | None, Failure]:
        """End a batch; None states that there is no such batch."""
        found = await self.state(batch_id)
        while found.is_ok():
            row = found.unwrap()
            if row is None or row.state.ended:
                return Ok(row)
            state = row.state._replace(ended=True, nonce=_nonce())
            written = await self._write(batch_id, row.version, state, [])
            if written.is_err():
                return written
            outcome = written.unwrap()
            if not isinstance(outcome, Lost):
                return Ok(outcome)
            found = Ok(outcome.current)
        return found

    async def state(self, batch_id: str) -> Result[StateRow | None, Failure]:
        """Return the state of a batch, or None if there is no such batch."""
        found = await self._store.read(STATE_TABLE, batch_id)
        return found.map(lambda rows: state_row(rows.rows[0]) if rows.rows else None)

    async def batch(self, batch_id: str) -> Result[Batch, Failure]:
        """Return the items of a batch."""
        found = await self._store.read(ITEM_TABLE, batch_id)
        if found.is_err():
            return found
        data = b"".join(row.value for row in found.unwrap().rows)
        if not data:
            stored = await self._store.get_object(_object_name(batch_id))
            if stored.is_err():
                return stored
            data = stored.unwrap() or b""
        try:
            return Ok(_BATCH.decode(zlib.decompress(data)))
        except (zlib.error, msgspec.MsgspecError) as exc:
            message = f"the stored items of batch {batch_id} are not valid: {exc}"
            return Err(Failure.of(ErrorKind.INTERNAL, message))

    async def results(
        self, batch_id: str, first: int, count: int
    ) -> Result[list[ItemResult], Failure]:
        """Return the listed results from a position on."""
        found = await self._store.read(
            RESULT_TABLE, batch_id, _position(first), _position(first + count)
        )
        return found.map(lambda rows: [_RESULT.decode(row.value) for row in rows.rows])

    async def partials(self, batch_id: str) -> Result[dict[str, PartialText], Failure]:
        """Return the texts that a former owner left."""
        found = await self._store.read(PARTIAL_TABLE, batch_id)
        if found.is_err():
            return found
        pieces: dict[str, list[PartialText]] = {}
        for row in found.unwrap().rows:
            item_id = row.name.key.rpartition("/")[0]
            pieces.setdefault(item_id, []).append(_PARTIAL.decode(row.value))
        texts = {item_id: join_pieces(each) for item_id, each in pieces.items()}
        return Ok({id: text for id, text in texts.items() if text is not None})

    async def remove(self, batch_id: str, row: StateRow) -> Result[None, Failure]:
        """Remove all rows of a batch, the row `state` last."""
        for table in (PARTIAL_TABLE, RESULT_TABLE, ITEM_TABLE):
            found = await self._store.read(table, batch_id)
            if found.is_err():
                return found
            names = [each.name for each in found.unwrap().rows]
            for at in range(0, len(names), TRANSACTION_ROWS):
                transaction = Transaction(
                    removed=tuple(names[at : at + TRANSACTION_ROWS])
                )
                outcome = await self._store.transact(transaction)
                if outcome.is_err():
                    return outcome
        dropped = await self._store.drop_object(_object_name(batch_id))
        if dropped.is_err():
            return dropped
        name = _state_name(batch_id)
        transaction = Transaction(expected=((name, row.version),), removed=(name,))
        outcome = await self._store.transact(transaction)
        return outcome.map(lambda _: None)

    async def _write(
        self, batch_id: str, version: int, state: BatchState, puts
    ) -> Result[StateRow | Lost, Failure]:
        """Write a state, repeating the same write until its outcome is known.

        Every repetition expects the same version, so at most one takes effect.
        """
        name = _state_name(batch_id)
        transaction = Transaction(
            expected=((name, version),),
            puts=((name, msgspec.msgpack.encode(state)), *puts),
        )
        now = self._clock.now()
        give_up_at = now + REFUSAL_PATIENCE_S
        unknown = False
        while True:
            outcome = await self._store.transact(transaction)
            if outcome.is_ok():
                return Ok(_written(outcome.unwrap(), state))
            failure = outcome.unwrap_err()
            if failure.outcome is not Outcome.NOT_RUN and not unknown:
                unknown = True
                give_up_at = now + SETTLE_PATIENCE_S
            if self._clock.now() >= give_up_at:
                end = Outcome.MAY_HAVE_RUN if unknown else Outcome.NOT_RUN
                return Err(failure._replace(outcome=end))
            await self._clock.sleep_until(self._clock.now() + RETRY_S)


def state_row(row: StoredRow) -> StateRow | None:
    """Decode a row of the table of states; None where it was removed."""
    if row.value is None:
        return None
    return StateRow(_STATE.decode(row.value), row.version)


def _written(done: TransactionResult, state: BatchState) -> StateRow | Lost:
    if done.applied:
        return StateRow(state, done.version)
    rows = [row for row in done.conflicts if row.value is not None]
    current = state_row(rows[0]) if rows else None
    if current is not None and current.state.nonce == state.nonce:
        # An earlier try of this very write took effect and its answer was lost.
        return current
    return Lost(current)


def _state_name(batch_id: str) -> RowName:
    return RowName(STATE_TABLE, batch_id, STATE_KEY)


def _result_rows(batch_id: str, row: StateRow, results: list[ItemResult]):
    """Return rows for the results behind those that are listed."""
    return [
        (
            RowName(RESULT_TABLE, batch_id, _position(row.state.listed + number)),
            msgspec.msgpack.encode(result),
        )
        for number, result in enumerate(results)
    ]


def _partial_rows(batch_id: str, partials: Iterable[Piece]):
    """Return rows for as many pieces as one transaction takes beside results."""
    return [
        (
            RowName(
                PARTIAL_TABLE,
                batch_id,
                f"{item_id}/{piece.generation:04}-{piece.first:06}",
            ),
            msgspec.msgpack.encode(piece),
        )
        for item_id, piece in partials
    ]


def _position(number: int) -> str:
    return f"{number:08}"


def _object_name(batch_id: str) -> str:
    return f"batch-{batch_id}"


def _nonce() -> str:
    return uuid.uuid4().hex[:12]

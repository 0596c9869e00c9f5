"""Store batches in the metadata store.

All rows of a batch share a partition, so one transaction can change them together.
Each write requires that the version of the row `state` has not changed. After
another instance has become the owner, the writes of the former owner therefore fail.
"""

import hashlib
import uuid
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib.parse import quote, unquote

import msgspec
from result import Err, Ok, Result

from plantainstack.clock import Clock
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.errors import ErrorKind, Failure, Outcome
from plantainstack.policy.item_runs import PartialText, join_pieces
from plantainstack.policy.software_versions import SoftwareVersion
from plantainstack.services.batch_encoding import (
    encode_batch,
    encode_piece,
    encode_result,
    without_tenant,
)
from plantainstack.serving import (
    Batch,
    ItemResult,
    MetadataStore,
    RowName,
    RowsRead,
    StoredRow,
    Transaction,
    TransactionResult,
)

STATE_TABLE = "batches"
ITEM_TABLE = "batch_items"
RESULT_TABLE = "batch_results"
PARTIAL_TABLE = "batch_partials"
STATE_KEY = "state"
# Base64 encoding keeps a chunk of this size below the store's row limit of 64 KiB.
CHUNK_BYTES = 45_000
# Below the store's limit of 200 bytes for a key, with the id of the item.
SOFTWARE_BYTES = 120
# Below the store's transaction limits of 1 MB in base64 and 100 entries.
TRANSACTION_BYTES = 600_000
TRANSACTION_ROWS = 80
# The store's limit on the size of an object.
OBJECT_BYTES_MAX = 8_388_608
# A write that certainly had no effect is retried only for this time; then the caller
# gets the failure, since another instance may reach the store.
REFUSED_WRITE_TIMEOUT_S = 0.6
# A write with an unknown outcome is retried for this time, until the outcome is known.
UNKNOWN_WRITE_TIMEOUT_S = 4.0
RETRY_S = 0.1


class BatchState(NamedTuple):
    """Hold the state of a batch that changes while it runs.

    `term` increases with each change of owner. `listed` is the number of results
    that are stored durably. `nonce` identifies the write that produced the state.
    `paces` maps endpoints to their latency in seconds per event, as measured by the
    owner; every instance reads the states anyway, so sharing them needs no further
    call. `tenant` is that of the batch, so that a reader needs no items to check it.
    """

    owner: str
    term: int
    total: int
    listed: int
    ended: bool
    route: str
    nonce: str
    paces: dict[str, float] = {}
    tenant: str = ""

    def is_open_to(self, tenant: str | None) -> bool:
        """Return whether a tenant may use the batch; None stands for no tenants.

        A batch without a tenant was stored before the deployment had tenants.
        """
        return tenant is None or self.tenant in ("", tenant)

    def is_final(self) -> bool:
        """Return whether no further result can be listed."""
        return self.ended or self.listed >= self.total


class StateRow(NamedTuple):
    """Hold the state of a batch and the version of the row `state`."""

    state: BatchState
    version: int


# An item id and a piece of the item's text.
ItemPiece = tuple[str, PartialText]


class StateConflict(NamedTuple):
    """Report that a write was rejected because the state had changed.

    `current` is the present state, or None if the batch no longer exists.
    """

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
        self._unreadable = UnreadableRows("batch.row_not_readable")

    async def accept(
        self, batch: Batch, route: str, owner: str
    ) -> Result[tuple[StateRow, bool], Failure]:
        """Store a batch; return its state and whether this call stored it.

        The flag is False if a batch with this id already existed. Its stored state is
        returned then.
        """
        state = BatchState(
            owner, 1, len(batch.items), 0, False, route, _nonce(), tenant=batch.tenant
        )
        data = await encode_batch(batch, OBJECT_BYTES_MAX)
        if data is None:
            message = f"batch {batch.id} is too large for an object of the store"
            return Err(Failure.of(ErrorKind.OVERLOADED, message))
        if len(data) > TRANSACTION_BYTES:
            name = _object_name(batch.id, batch.tenant)
            stored = await self._store.put_object(name, data)
            if stored.is_err():
                # An object without a row `state` is never run.
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
        if isinstance(found, StateConflict):
            return Ok((found.current, False))
        return Ok((found, True))

    async def append(
        self,
        batch_id: str,
        row: StateRow,
        results: list[ItemResult],
        partials: list[ItemPiece] = (),
        latencies: dict[str, float] | None = None,
    ) -> Result[StateRow | StateConflict, Failure]:
        """Append results to the listed ones and store pieces of text.

        An append without results and pieces only renews the ownership.
        """
        state = row.state._replace(
            listed=row.state.listed + len(results),
            nonce=_nonce(),
            paces=latencies or {},
        )
        puts = _result_rows(batch_id, row, results) + _partial_rows(batch_id, partials)
        return await self._write(batch_id, row.version, state, puts)

    async def release(
        self,
        batch_id: str,
        row: StateRow,
        results: list[ItemResult],
        partials: list[ItemPiece],
    ) -> Result[StateRow | StateConflict, Failure]:
        """Append results and pieces of text, and give up the ownership of the batch.

        Another instance may then become the owner at once.
        """
        state = row.state._replace(
            owner="", listed=row.state.listed + len(results), nonce=_nonce(), paces={}
        )
        puts = _result_rows(batch_id, row, results) + _partial_rows(batch_id, partials)
        return await self._write(batch_id, row.version, state, puts)

    async def take_over(
        self, batch_id: str, row: StateRow, owner: str
    ) -> Result[StateRow | StateConflict, Failure]:
        """Make an instance the owner of a batch and increase its term."""
        state = row.state._replace(owner=owner, term=row.state.term + 1, nonce=_nonce())
        return await self._write(batch_id, row.version, state, [])

    async def end(
        self, batch_id: str, known_version: int = 0, tenant: str | None = None
    ) -> Result[StateRow | None, Failure]:
        """Mark a batch as ended, unless the tenant may not; None if it does not exist.

        Fails if the store answers from a state before `known_version`.
        """
        found = await self.state(batch_id, known_version)
        while found.is_ok():
            row = found.unwrap()
            if row is None or row.state.ended or not row.state.is_open_to(tenant):
                return Ok(row)
            state = row.state._replace(ended=True, nonce=_nonce())
            written = await self._write(batch_id, row.version, state, [])
            if written.is_err():
                return written
            outcome = written.unwrap()
            if not isinstance(outcome, StateConflict):
                return Ok(outcome)
            found = Ok(outcome.current)
        return found

    async def state(
        self, batch_id: str, known_version: int = 0
    ) -> Result[StateRow | None, Failure]:
        """Read the state of a batch; return None if it does not exist.

        Fails if the store answers from a state before `known_version`.
        """
        found = await self._read(STATE_TABLE, batch_id, known_version)
        return found.and_then(
            lambda read: self.state_row(read.rows[0]) if read.rows else Ok(None)
        )

    async def batch_rows(self, batch_id: str) -> Result[bytes, Failure]:
        """Read the encoded items of a batch; empty if they are in an object."""
        found = await self._store.read(ITEM_TABLE, batch_id)
        return found.map(lambda read: b"".join(row.value for row in read.rows))

    async def batch_object(self, batch_id: str, tenant: str) -> Result[bytes, Failure]:
        """Read the encoded items of a batch from its object; empty without one."""
        found = await self._store.get_object(_object_name(batch_id, tenant))
        return found.map(lambda data: data or b"")

    @staticmethod
    def decode_batch(
        batch_id: str, tenant: str, encoded: bytes | bytearray
    ) -> Result[Batch, Failure]:
        """Decode the items of a batch of a tenant."""
        decoded = decode(_BATCH, encoded)
        if decoded.is_ok() and decoded.unwrap().tenant != tenant:
            # The id has been used again since the state was read.
            message = f"the stored items of batch {batch_id} are of another tenant"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        return decoded.map_err(lambda reason: unreadable_batch(batch_id, reason))

    async def results(
        self, batch_id: str, first: int, count: int, known_version: int
    ) -> Result[list[ItemResult], Failure]:
        """Read `count` listed results, starting at position `first`.

        `known_version` is the version of the state that lists them. Fails if the
        store answers from an earlier state or lacks one of them.
        """
        found = await self._read(
            RESULT_TABLE,
            batch_id,
            known_version,
            _position(first),
            _position(first + count),
        )
        if found.is_err():
            return found
        rows = found.unwrap().rows
        expected = [_position(first + number) for number in range(count)]
        if [row.name.key for row in rows] != expected:
            message = f"the store returned {len(rows)} of {count} listed results"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        results: list[ItemResult] = []
        for row in rows:
            decoded = self._decode(_RESULT, row)
            if decoded.is_err():
                # The positions of the following results depend on this one.
                return decoded
            results.append(decoded.unwrap())
        return Ok(results)

    async def partials(
        self, batch_id: str, known_version: int
    ) -> Result[dict[str, PartialText], Failure]:
        """Read the stored partial texts, by item id.

        Fails if the store answers from a state before `known_version`.
        """
        found = await self._read(PARTIAL_TABLE, batch_id, known_version)
        if found.is_err():
            return found
        pieces: dict[str, list[PartialText]] = {}
        for row in found.unwrap().rows:
            item_id, _, position = row.name.key.rpartition("/")
            decoded = self._decode(_PARTIAL, row)
            if decoded.is_ok():
                software = _software_from_key(position)
                piece = decoded.unwrap()._replace(software=software)
                pieces.setdefault(item_id, []).append(piece)
        texts = {item_id: join_pieces(each) for item_id, each in pieces.items()}
        return Ok({id: text for id, text in texts.items() if text is not None})

    async def remove(self, batch_id: str, row: StateRow) -> Result[None, Failure]:
        """Delete all data of a batch.

        The row `state` is deleted last, so an interrupted removal can be repeated. A
        batch that has used the id since is spared.
        """
        name = _state_name(batch_id)
        expected = ((name, row.version),)
        for table in (PARTIAL_TABLE, RESULT_TABLE, ITEM_TABLE):
            found = await self._store.read(table, batch_id)
            if found.is_err():
                return found
            names = [each.name for each in found.unwrap().rows]
            for at in range(0, len(names), TRANSACTION_ROWS):
                some = tuple(names[at : at + TRANSACTION_ROWS])
                outcome = await self._store.transact(
                    Transaction(expected, removed=some)
                )
                if outcome.is_err() or not outcome.unwrap().applied:
                    return outcome.map(lambda _: None)
        dropped = await self._store.drop_object(
            _object_name(batch_id, row.state.tenant)
        )
        if dropped.is_err():
            return dropped
        outcome = await self._store.transact(Transaction(expected, removed=(name,)))
        return outcome.map(lambda _: None)

    async def _read(
        self,
        table: str,
        batch_id: str,
        known_version: int,
        first: str = "",
        end: str = "",
    ) -> Result[RowsRead, Failure]:
        found = await self._store.read(table, batch_id, first, end)
        if found.is_ok() and found.unwrap().cursor < known_version:
            message = "the store answered from an older state than the known one"
            return Err(Failure.of(ErrorKind.STORE_UNAVAILABLE, message))
        return found

    async def _write(
        self, batch_id: str, version: int, state: BatchState, puts
    ) -> Result[StateRow | StateConflict, Failure]:
        """Write a state, retrying the same transaction until its outcome is known.

        Every attempt expects the same row version, so at most one takes effect.
        """
        name = _state_name(batch_id)
        transaction = Transaction(
            expected=((name, version),),
            puts=((name, msgspec.msgpack.encode(without_tenant(state))), *puts),
        )
        now = self._clock.now()
        give_up_at = now + REFUSED_WRITE_TIMEOUT_S
        unknown = False
        while True:
            outcome = await self._store.transact(transaction)
            if outcome.is_ok():
                return self._written(outcome.unwrap(), state)
            failure = outcome.unwrap_err()
            if failure.outcome is not Outcome.NOT_RUN and not unknown:
                unknown = True
                give_up_at = now + UNKNOWN_WRITE_TIMEOUT_S
            if self._clock.now() >= give_up_at:
                end = Outcome.MAY_HAVE_RUN if unknown else Outcome.NOT_RUN
                return Err(failure._replace(outcome=end))
            await self._clock.sleep_until(self._clock.now() + RETRY_S)

    def _written(
        self, done: TransactionResult, state: BatchState
    ) -> Result[StateRow | StateConflict, Failure]:
        if done.applied:
            return Ok(StateRow(state, done.version))
        rows = [row for row in done.conflicts if row.value is not None]
        decoded = self.state_row(rows[0]) if rows else Ok(None)
        if decoded.is_err():
            return decoded
        current = decoded.unwrap()
        if current is not None and current.state.nonce == state.nonce:
            # An earlier attempt of this write was applied, but its response was lost.
            return Ok(current)
        return Ok(StateConflict(current))

    def state_row(self, row: StoredRow) -> Result[StateRow | None, Failure]:
        """Decode a row of the state table; the result is None if it was removed."""
        if row.value is None:
            return Ok(None)
        decoded = self._decode(_STATE, row)
        return decoded.map(lambda state: StateRow(state, row.version))

    def _decode(
        self, decoder: msgspec.msgpack.Decoder, row: StoredRow
    ) -> Result[Any, Failure]:
        """Decode a row; log one that cannot be read."""
        decoded = decode(decoder, row.value)
        if decoded.is_ok():
            return decoded
        self._unreadable.record(row, decoded.unwrap_err())
        message = f"the row {'/'.join(row.name)} cannot be read"
        return Err(Failure.of(ErrorKind.INTERNAL, message))


def unreadable_batch(batch_id: str, reason: str) -> Failure:
    """Return the failure of a batch whose stored items cannot be decoded."""
    message = f"cannot decode the stored items of batch {batch_id}: {reason}"
    return Failure.of(ErrorKind.INTERNAL, message)


def _state_name(batch_id: str) -> RowName:
    return RowName(STATE_TABLE, batch_id, STATE_KEY)


def _result_rows(batch_id: str, row: StateRow, results: list[ItemResult]):
    """Return rows that append results to the listed ones."""
    return [
        (
            RowName(RESULT_TABLE, batch_id, _position(row.state.listed + number)),
            encode_result(result),
        )
        for number, result in enumerate(results)
    ]


def _partial_rows(batch_id: str, partials: Iterable[ItemPiece]):
    """Return one row for each piece of text.

    The key names the software of the text, since builds that do not know this field
    would reject the record.
    """
    return [
        (
            RowName(
                PARTIAL_TABLE,
                batch_id,
                f"{item_id}/{piece.generation:04}-{piece.first:06}"
                f"{_software_suffix(piece.software)}",
            ),
            encode_piece(piece),
        )
        for item_id, piece in partials
    ]


def _software_suffix(software: SoftwareVersion | None) -> str:
    if software is None:
        return ""
    suffix = "@" + ":".join(quote(part, safe="") for part in software)
    # Without a suffix, the text is of unknown software.
    return suffix if len(suffix) <= SOFTWARE_BYTES else ""


def _software_from_key(position: str) -> SoftwareVersion | None:
    service, separator, version = position.partition("@")[2].partition(":")
    return SoftwareVersion(unquote(service), unquote(version)) if separator else None


def _position(number: int) -> str:
    return f"{number:08}"


def _object_name(batch_id: str, tenant: str) -> str:
    # An object that remains from a failed submission is not overwritten, and must not
    # be taken for that of another tenant.
    suffix = f"-{hashlib.sha256(tenant.encode()).hexdigest()[:16]}" if tenant else ""
    return f"batch-{batch_id}{suffix}"


def _nonce() -> str:
    return uuid.uuid4().hex[:12]

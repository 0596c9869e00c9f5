"""HTTP client of the platform's metadata store."""

import base64
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from plantainstack import log
from plantainstack.adapters.http import Answer, HttpClient, IncompleteExchange
from plantainstack.clock import Clock
from plantainstack.decoding import UnreadableRows, decode
from plantainstack.errors import ErrorKind, Failure
from plantainstack.platform import records
from plantainstack.serving import (
    Cursor,
    Endpoint,
    EndpointChanges,
    HistoryLost,
    MetadataStore,
    OperatorChanges,
    RowName,
    RowsRead,
    ServiceRegistry,
    ServingConfig,
    StoredRow,
    Transaction,
    TransactionResult,
)
from plantainstack.settings.options import Address

# Longer than the slowest answer of a working store.
CALL_TIMEOUT_S = 1.8
# Added to the wait of a feed request; if the store stays silent for longer, the
# connection is closed.
FEED_MARGIN_S = 0.8
# The longest wait that the store accepts.
FEED_WAIT_MAX_S = 30.0
CALL_CONNECTIONS = 16
FEED_CONNECTIONS = 4
OPERATOR_TABLE = "op"
ENDPOINT_TABLE = "servers"
CONFIG_KEY = "config"
VERSION_PREFIX = "version/"
_JSON = (("content-type", "application/json"),)


class _Row(msgspec.Struct):
    key: str
    table: str = ""
    part: str = ""
    # Base64; absent if the row was removed.
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _Rows(msgspec.Struct):
    ver: int
    rows: list[_Row] = []
    now_ms: float = 0.0
    has_more: bool = False


class _Parts(msgspec.Struct):
    parts: list[str] = []
    has_more: bool = False


_ROWS = msgspec.json.Decoder(_Rows)
_PARTS = msgspec.json.Decoder(_Parts)
_NOT_APPLIED_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)


class PlatformStore(MetadataStore, ServiceRegistry):
    """Access the store over its HTTP interface."""

    def __init__(self, address: Address, clock: Clock):
        self._clock = clock
        self._invalid_rows = UnreadableRows("store.row_not_valid")
        self._calls = HttpClient(address, clock, CALL_CONNECTIONS)
        self._feeds = HttpClient(
            address, clock, FEED_CONNECTIONS, FEED_WAIT_MAX_S + FEED_MARGIN_S
        )
        self._newest_version = 0
        # The configuration as last decoded, and the version of its row.
        self._config: ServingConfig | None = None
        self._config_version: int | None = None

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._calls.aclose()
        await self._feeds.aclose()

    async def transact(
        self, transaction: Transaction
    ) -> Result[TransactionResult, Failure]:
        """Apply a transaction atomically."""
        content = {
            "expected": [
                {**name._asdict(), "ver": version}
                for name, version in transaction.expected
            ],
            "puts": [
                {**name._asdict(), "value": base64.b64encode(value).decode()}
                for name, value in transaction.puts
            ],
            "remove": [name._asdict() for name in transaction.removed],
        }
        body = msgspec.json.encode(content)
        known = self._newest_version
        answer = await self._call("POST", "/api/rows-tx", body, _JSON)
        found = answer.and_then(_transaction_result)
        if found.is_ok():
            self._is_stale("transaction", found.unwrap().version, known)
        return found

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowsRead, Failure]:
        """Return the rows of a part whose keys lie in [first, end)."""
        found: list[StoredRow] = []
        cursor = None
        while True:
            query = {"table": table, "part": part}
            if first:
                query["from"] = first
            if end:
                query["to"] = end
            known = self._newest_version
            answer = await self._call("GET", f"/api/rows-get?{urlencode(query)}")
            decoded = answer.and_then(lambda reply: _decode(reply, _ROWS))
            if decoded.is_err():
                return decoded
            page = decoded.unwrap()
            if self._is_stale(table, page.ver, known):
                message = "the store answered from an older state than before"
                return Err(Failure.of(ErrorKind.TABLE_UNAVAILABLE, message))
            cursor = page.ver if cursor is None else cursor
            found += [_stored_row(row, table, part) for row in page.rows]
            if not page.has_more or not page.rows:
                return Ok(RowsRead(tuple(found), cursor, page.now_ms / 1000))
            first = page.rows[-1].key + "\0"

    async def rows_changed(
        self, table: str, cursor: Cursor, wait_s: float
    ) -> Result[RowsRead | HistoryLost, Failure]:
        """Wait for and return the rows of a table that changed after the cursor."""
        query = urlencode(
            {"table": table, "after": cursor, "wait_ms": int(wait_s * 1000)}
        )
        deadline = self._clock.now() + wait_s + FEED_MARGIN_S
        answer = await self._feeds.exchange(
            "GET", f"/api/rows-feed?{query}", deadline=deadline
        )
        if answer.is_ok() and answer.unwrap().status == HTTPStatus.GONE:
            return Ok(HistoryLost())
        checked = _check_answer(answer)
        decoded = checked.and_then(lambda reply: _decode(reply, _ROWS))
        if decoded.is_err():
            return decoded
        page = decoded.unwrap()
        self._newest_version = max(self._newest_version, page.ver)
        rows = tuple(_stored_row(row, table, row.part) for row in page.rows)
        return Ok(RowsRead(rows, page.ver, page.now_ms / 1000))

    async def table_rows(self, table: str) -> Result[RowsRead, Failure]:
        """Return all rows of a table, with a cursor from before the first read."""
        listed = await self._parts(table)
        if listed.is_err():
            return listed
        rows: list[StoredRow] = []
        # The empty part is read first, so that its version precedes all other reads.
        cursor = None
        for part in ["", *(part for part in listed.unwrap() if part)]:
            outcome = await self.read(table, part)
            if outcome.is_err():
                return outcome
            found = outcome.unwrap()
            rows += found.rows
            cursor = found.cursor if cursor is None else cursor
        return Ok(RowsRead(tuple(rows), cursor, found.store_now))

    async def put_object(self, name: str, data: bytes) -> Result[None, Failure]:
        """Store an object, unless one of that name exists."""
        path = f"/api/blob-put/{name}"
        headers = (("if-none-match", "*"),)
        answer = await self._call(
            "PUT", path, data, headers, (HTTPStatus.PRECONDITION_FAILED,)
        )
        return answer.map(lambda _: None)

    async def get_object(self, name: str) -> Result[bytes | None, Failure]:
        """Return an object, or None if it does not exist."""
        answer = await self._call(
            "GET", f"/api/blob-get/{name}", allowed=(HTTPStatus.NOT_FOUND,)
        )
        return answer.map(
            lambda reply: None if reply.status == HTTPStatus.NOT_FOUND else reply.body
        )

    async def drop_object(self, name: str) -> Result[None, Failure]:
        """Remove an object, if it exists."""
        answer = await self._call(
            "DELETE", f"/api/blob-drop/{name}", allowed=(HTTPStatus.NOT_FOUND,)
        )
        return answer.map(lambda _: None)

    async def operator_changes(
        self, cursor: Cursor | None, wait_s: float
    ) -> Result[OperatorChanges | HistoryLost, Failure]:
        """Return the operator's changes after the cursor, or all without a cursor."""
        found = await self._rows_since(OPERATOR_TABLE, cursor, wait_s)
        return found.map(self._operator_changes)

    async def endpoint_changes(
        self, cursor: Cursor | None, wait_s: float
    ) -> Result[EndpointChanges | HistoryLost, Failure]:
        """Return registrations changed after the cursor, or all without a cursor."""
        found = await self._rows_since(ENDPOINT_TABLE, cursor, wait_s)
        return found.map(self._endpoint_changes)

    async def endpoint(self, endpoint_id: str) -> Result[Endpoint | None, Failure]:
        """Return the present registration of an endpoint, None if it has no valid one.

        The registration is as of after the call began.
        """
        found = await self.read(ENDPOINT_TABLE, "", endpoint_id, f"{endpoint_id}\0")
        return found.map(
            lambda rows: self._endpoint_changes(rows).changed.get(endpoint_id)
        )

    async def _rows_since(
        self, table: str, cursor: Cursor | None, wait_s: float
    ) -> Result[RowsRead | HistoryLost, Failure]:
        if cursor is None:
            return await self.read(table, "")
        return await self.rows_changed(table, cursor, wait_s)

    def _is_stale(self, source: str, version: int, known: int) -> bool:
        """Return whether an answer precedes a version that was known before the call.

        Such answers are not linearizable; they say nothing about the present state.
        """
        self._newest_version = max(self._newest_version, version)
        if version < known:
            log.event("store.stale_answer", source=source, version=version, known=known)
        return version < known

    def _operator_changes(
        self, rows: RowsRead | HistoryLost
    ) -> OperatorChanges | HistoryLost:
        if isinstance(rows, HistoryLost):
            return rows
        cfg = None
        unreadable = False
        versions: dict[str, int] = {}
        for row in rows.rows:
            if row.name.key == CONFIG_KEY:
                found = self._valid_config(row)
                unreadable = found is None
                cfg = found or cfg
            elif row.value is None:
                continue
            elif row.name.key.startswith(VERSION_PREFIX):
                named = self._valid(row, records.decode_named_version(row.value))
                if named is not None:
                    versions[named[0]] = named[1]
        return OperatorChanges(cfg, versions, rows.cursor, unreadable)

    def _valid_config(self, row: StoredRow) -> ServingConfig | None:
        if row.value is None:
            return None
        # The configuration is read every second and rarely changes.
        if not row.version or row.version != self._config_version:
            self._config = self._valid(row, records.decode_config(row.value))
            self._config_version = row.version
        return self._config

    def _endpoint_changes(
        self, rows: RowsRead | HistoryLost
    ) -> EndpointChanges | HistoryLost:
        if isinstance(rows, HistoryLost):
            return rows
        changed = {}
        for row in rows.rows:
            key = row.name.key
            changed[key] = None
            if row.value is not None:
                decoded = records.decode_endpoint(key, row.value, self._clock)
                changed[key] = self._valid(row, decoded)
        return EndpointChanges(changed, rows.cursor)

    def _valid(self, row: StoredRow, decoded: Result[Any, str]) -> Any:
        """Return what a row holds, or log why it is not valid and return None."""
        if decoded.is_err():
            self._invalid_rows.record(row, decoded.unwrap_err())
        return decoded.ok()

    async def _parts(self, table: str) -> Result[list[str], Failure]:
        parts: list[str] = []
        while True:
            query = {"table": table}
            if parts:
                query["after"] = parts[-1]
            answer = await self._call("GET", f"/api/rows-parts?{urlencode(query)}")
            decoded = answer.and_then(lambda reply: _decode(reply, _PARTS))
            if decoded.is_err():
                return decoded
            page = decoded.unwrap()
            parts += page.parts
            if not page.has_more or not page.parts:
                return Ok(parts)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        allowed: tuple[int, ...] = (),
    ) -> Result[Answer, Failure]:
        deadline = self._clock.now() + CALL_TIMEOUT_S
        outcome = await self._calls.exchange(method, path, body, deadline, headers)
        return _check_answer(outcome, allowed)


def _check_answer(
    outcome: Result[Answer, IncompleteExchange], allowed: tuple[int, ...] = ()
) -> Result[Answer, Failure]:
    """Convert a missing or unsuccessful answer into a failure."""
    if outcome.is_err():
        incomplete = outcome.unwrap_err()
        kind = (
            ErrorKind.TABLE_OUTCOME_UNKNOWN
            if incomplete.sent
            else ErrorKind.TABLE_UNAVAILABLE
        )
        return Err(Failure.of(kind, incomplete.message))
    answer = outcome.unwrap()
    if answer.status in (200, 201, HTTPStatus.PRECONDITION_FAILED, *allowed):
        return Ok(answer)
    kind = (
        ErrorKind.TABLE_UNAVAILABLE
        if answer.status in _NOT_APPLIED_STATUSES
        else ErrorKind.TABLE_OUTCOME_UNKNOWN
    )
    return Err(Failure.of(kind, f"the store answered with status {answer.status}"))


def _decode(answer: Answer, decoder: msgspec.json.Decoder) -> Result[Any, Failure]:
    return decode(decoder, answer.body).map_err(
        lambda reason: Failure.of(
            ErrorKind.TABLE_OUTCOME_UNKNOWN,
            f"the store's answer is not valid: {reason}",
        )
    )


def _transaction_result(answer: Answer) -> Result[TransactionResult, Failure]:
    applied = answer.status != HTTPStatus.PRECONDITION_FAILED
    return _decode(answer, _ROWS).map(
        lambda page: TransactionResult(
            applied,
            page.ver,
            page.now_ms / 1000,
            tuple(_stored_row(row, row.table, row.part) for row in page.rows),
        )
    )


def _stored_row(row: _Row, table: str, part: str) -> StoredRow:
    name = RowName(row.table or table, row.part or part, row.key)
    if row.tombstone or row.ver == 0:
        return StoredRow(name, None, row.ver)
    try:
        return StoredRow(name, base64.b64decode(row.value, validate=True), row.ver)
    except ValueError:
        # An empty value is not valid for any reader, which logs the row.
        return StoredRow(name, b"", row.ver)

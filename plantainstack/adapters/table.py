"""HTTP client of the table service."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypedDict, TypeVar

import msgspec
from result import Err, Ok, Result

from plantainstack.adapters.http import HttpClient, IncompleteExchange
from plantainstack.decoding import UNDECODABLE
from plantainstack.errors import ErrorKind, Failure
from plantainstack.interfaces import Mutation, MutationOutcome, Row, TableService

T = TypeVar("T")


class _RowBody(TypedDict):
    key: str
    version: int
    value: dict[str, Any] | None


class _RowsBody(TypedDict):
    rows: list[_RowBody]


class _OutcomeBody(TypedDict):
    applied: bool
    conflicts: list[_RowBody]


class _OutcomesBody(TypedDict):
    outcomes: list[_OutcomeBody]


class HttpTable(TableService):
    """HTTP client of the table service; each call is limited by the request timeout."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def read(self, keys: Sequence[str]) -> Result[dict[str, Row], Failure]:
        """Return one row for each key, with version 0 for keys that do not exist."""
        outcome = await self._call("/read", {"keys": list(keys)}, _RowsBody)
        if outcome.is_err():
            return outcome
        rows = {row["key"]: Row(**row) for row in outcome.unwrap()["rows"]}
        missing = [key for key in keys if key not in rows]
        if missing:
            return Err(
                unknown(f"/read: the answer lacks {len(missing)} of the requested keys")
            )
        return Ok(rows)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], Failure]:
        """Return up to `limit` existing rows in key order, after the key `after`."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        outcome = await self._call("/scan", body, _RowsBody)
        return outcome.map(lambda found: [Row(**row) for row in found["rows"]])

    async def commit(
        self, mutations: Sequence[Mutation]
    ) -> Result[list[MutationOutcome], Failure]:
        """Apply mutations in one durable transaction, each completely or not at all."""
        body = {"mutations": [_mutation(mutation) for mutation in mutations]}
        outcome = await self._call("/commit", body, _OutcomesBody)
        if outcome.is_err():
            return outcome
        outcomes = [_outcome(found) for found in outcome.unwrap()["outcomes"]]
        if len(outcomes) != len(mutations):
            return Err(
                unknown(
                    "/commit: the number of outcomes differs from that of the mutations"
                )
            )
        return Ok(outcomes)

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._client.aclose()

    async def _call(self, path: str, body, kind: type[T]) -> Result[T, Failure]:
        exchange = await self._client.exchange("POST", path, msgspec.json.encode(body))
        if exchange.is_err():
            return Err(_interrupted(exchange.unwrap_err()))
        answer = exchange.unwrap()
        if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Err(not_applied(f"{path} was refused with status 503"))
        if answer.status != HTTPStatus.OK:
            return Err(unknown(f"{path}: unexpected status {answer.status}"))
        try:
            return Ok(msgspec.json.decode(answer.body, type=kind))
        except UNDECODABLE as exc:
            return Err(unknown(f"{path}: the answer cannot be decoded: {exc}"))


def not_applied(message: str) -> Failure:
    """Build the failure of a call that was certainly not applied."""
    return Failure.of(ErrorKind.TABLE_UNAVAILABLE, message)


def unknown(message: str) -> Failure:
    """Build the failure of a call that may have been applied."""
    return Failure.of(ErrorKind.TABLE_OUTCOME_UNKNOWN, message)


def _interrupted(incomplete: IncompleteExchange) -> Failure:
    return (
        unknown(incomplete.message)
        if incomplete.sent
        else not_applied(incomplete.message)
    )


def _mutation(mutation: Mutation) -> dict[str, Any]:
    return {
        "id": mutation.id,
        "checks": [check._asdict() for check in mutation.checks],
        "writes": [write._asdict() for write in mutation.writes],
    }


def _outcome(body: _OutcomeBody) -> MutationOutcome:
    conflicts = tuple(Row(**row) for row in body["conflicts"])
    return MutationOutcome(body["applied"], conflicts)

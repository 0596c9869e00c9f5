"""Stand-in for the transactional table service, in memory or with a journal."""

from pathlib import Path
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, decode_body, json_response


class _ReadBody(msgspec.Struct):
    keys: list[str]


class _ScanBody(msgspec.Struct):
    prefix: str
    after: str = ""
    limit: int = 1000


class _Check(msgspec.Struct):
    key: str
    version: int


class _Write(msgspec.Struct):
    key: str
    value: dict[str, Any] | None


class _Mutation(msgspec.Struct):
    id: str
    checks: list[_Check]
    writes: list[_Write]


class _CommitBody(msgspec.Struct):
    mutations: list[_Mutation]


class TableStandin(Standin):
    """Store versioned rows; the version of a key keeps increasing after a deletion.

    With a journal, the rows survive a crash and restart of the process.
    """

    def __init__(self, clock=None, journal: Path | None = None):
        super().__init__(clock)
        self._values: dict[str, dict[str, Any]] = {}
        self._versions: dict[str, int] = {}
        self._counts = {
            "reads": 0,
            "rows_read": 0,
            "scans": 0,
            "commits": 0,
            "mutations": 0,
            "rows_written": 0,
        }
        self._journal = None
        if journal is not None:
            self._replay(journal)
            self._journal = journal.open("ab", buffering=0)

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the table service."""
        return [
            Route("/read", self._read, methods=["POST"]),
            Route("/scan", self._scan, methods=["POST"]),
            Route("/commit", self._commit, methods=["POST"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the call counts and the number of rows."""
        return {**self._counts, "rows": len(self._values)}

    async def _read(self, request: Request) -> Response:
        payload = await decode_body(request, _ReadBody)
        self._counts["reads"] += 1
        self._counts["rows_read"] += len(payload.keys)
        return json_response({"rows": [self._row(key) for key in payload.keys]})

    async def _scan(self, request: Request) -> Response:
        payload = await decode_body(request, _ScanBody)
        self._counts["scans"] += 1
        keys = sorted(
            key
            for key in self._values
            if key.startswith(payload.prefix) and key > payload.after
        )
        return json_response(
            {"rows": [self._row(key) for key in keys[: payload.limit]]}
        )

    async def _commit(self, request: Request) -> Response:
        payload = await decode_body(request, _CommitBody)
        self._counts["commits"] += 1
        self._counts["mutations"] += len(payload.mutations)
        return json_response(
            {"outcomes": [self._apply(each) for each in payload.mutations]}
        )

    def _apply(self, mutation: _Mutation) -> dict[str, Any]:
        conflicts = [
            self._row(check.key)
            for check in mutation.checks
            if self._row(check.key)["version"] != check.version
        ]
        if not conflicts:
            self._counts["rows_written"] += len(mutation.writes)
            for write in mutation.writes:
                self._write(write)
            if self._journal is not None:
                self._journal.write(msgspec.json.encode(mutation.writes) + b"\n")
        return {"applied": not conflicts, "conflicts": conflicts}

    def _replay(self, journal: Path) -> None:
        lines = journal.read_bytes().splitlines() if journal.exists() else []
        for line in lines:
            for write in msgspec.json.decode(line, type=list[_Write]):
                self._write(write)

    def _write(self, write: _Write) -> None:
        self._versions[write.key] = self._versions.get(write.key, 0) + 1
        if write.value is None:
            self._values.pop(write.key, None)
        else:
            self._values[write.key] = write.value

    def _row(self, key: str) -> dict[str, Any]:
        value = self._values.get(key)
        version = 0 if value is None else self._versions[key]
        return {"key": key, "version": version, "value": value}

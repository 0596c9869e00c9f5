"""A stand-in for the platform's metadata store, in memory."""

import base64
from typing import Any, NamedTuple

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, body, reply

FEED_WAIT_MAX_S = 30.0
ROWS_MAX = 500

Name = tuple[str, str, str]


class _Row(NamedTuple):
    value: bytes | None
    version: int


class _Expected(msgspec.Struct):
    table: str
    part: str
    key: str
    ver: int


class _Put(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str


class _Named(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    expected: list[_Expected] = []
    puts: list[_Put] = []
    remove: list[_Named] = []


class Rows:
    """Keep rows under one counter of versions, and their history."""

    def __init__(self):
        self.version = 0
        self.forgotten = 0
        self._rows: dict[Name, _Row] = {}
        self.changed = anyio.Event()

    def transact(
        self,
        expected: dict[Name, int],
        puts: dict[Name, bytes],
        removed: list[Name] | tuple = (),
    ) -> bool:
        """Apply all or nothing; return whether the expected versions held."""
        if any(self.row(name).version != ver for name, ver in expected.items()):
            return False
        if puts or removed:
            self.version += 1
        for name, value in puts.items():
            self._rows[name] = _Row(value, self.version)
        for name in removed:
            self._rows[name] = _Row(None, self.version)
        event, self.changed = self.changed, anyio.Event()
        event.set()
        return True

    def row(self, name: Name) -> _Row:
        """Return a row; version 0 where there is none."""
        found = self._rows.get(name, _Row(None, 0))
        return found if found.value is not None else _Row(None, 0)

    def range(self, table: str, part: str, first: str, behind: str):
        """Return the rows of a part in the order of their keys."""
        return [
            (name, row)
            for name, row in sorted(self._rows.items())
            if name[:2] == (table, part)
            and row.value is not None
            and name[2] >= first
            and (not behind or name[2] < behind)
        ]

    def parts(self, table: str) -> list[str]:
        """Return the parts of a table that hold rows."""
        return sorted(
            {
                name[1]
                for name, row in self._rows.items()
                if name[0] == table and row.value is not None
            }
        )

    def since(self, table: str, version: int):
        """Return the rows of a table that changed after a version, or None."""
        if version < self.forgotten:
            return None
        found = [
            (name, row)
            for name, row in self._rows.items()
            if name[0] == table and row.version > version
        ]
        return sorted(found, key=lambda pair: pair[1].version)

    def forget(self) -> None:
        """Drop the history."""
        self.forgotten = self.version


class MetadataStoreStandin(Standin):
    """Serve rows and objects over HTTP."""

    def __init__(self, clock=None):
        super().__init__(clock)
        self.rows = Rows()
        self.objects: dict[str, bytes] = {}
        self.calls = 0

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the store."""
        return [
            Route("/api/rows-tx", self._transact, methods=["POST"]),
            Route("/api/rows-get", self._get, methods=["GET"]),
            Route("/api/rows-parts", self._parts, methods=["GET"]),
            Route("/api/rows-feed", self._feed, methods=["GET"]),
            Route("/api/blob-put/{name}", self._put_object, methods=["PUT"]),
            Route("/api/blob-get/{name}", self._get_object, methods=["GET"]),
            Route("/api/blob-drop/{name}", self._drop_object, methods=["DELETE"]),
        ]

    def state(self) -> dict[str, Any]:
        """Return the counts of calls and rows."""
        return {"calls": self.calls, "version": self.rows.version}

    def write(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator or an endpoint does."""
        value = content if isinstance(content, bytes) else msgspec.json.encode(content)
        self.rows.transact({}, {(table, "", key): value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self.rows.transact({}, {}, [(table, "", key)])

    async def _transact(self, request: Request) -> Response:
        self.calls += 1
        change = await body(request, _Transaction)
        expected = {(e.table, e.part, e.key): e.ver for e in change.expected}
        puts = {
            (p.table, p.part, p.key): base64.b64decode(p.value) for p in change.puts
        }
        removed = [(r.table, r.part, r.key) for r in change.remove]
        if self.rows.transact(expected, puts, removed):
            return reply(self._stamp())
        rows = [_encoded(name, self.rows.row(name)) for name in expected]
        return reply({**self._stamp(), "rows": rows}, 412)

    async def _get(self, request: Request) -> Response:
        self.calls += 1
        query = request.query_params
        found = self.rows.range(
            query["table"],
            query.get("part", ""),
            query.get("from", ""),
            query.get("to", ""),
        )
        limit = min(ROWS_MAX, int(query.get("limit", ROWS_MAX)))
        rows = [_encoded(name, row) for name, row in found[:limit]]
        return reply({**self._stamp(), "rows": rows, "has_more": len(found) > limit})

    async def _parts(self, request: Request) -> Response:
        self.calls += 1
        after = request.query_params.get("after", "")
        found = self.rows.parts(request.query_params["table"])
        parts = [part for part in found if part > after or not after]
        return reply({"parts": parts, "has_more": False})

    async def _feed(self, request: Request) -> Response:
        self.calls += 1
        query = request.query_params
        wait_s = min(FEED_WAIT_MAX_S, int(query.get("wait_ms", 0)) / 1000)
        with anyio.move_on_after(wait_s):
            while self.rows.since(query["table"], int(query["after"])) == []:
                await self.rows.changed.wait()
        found = self.rows.since(query["table"], int(query["after"]))
        if found is None:
            return reply({"error": "the history is gone"}, 410)
        return reply({**self._stamp(), "rows": [_encoded(*pair) for pair in found]})

    async def _put_object(self, request: Request) -> Response:
        self.calls += 1
        name = request.path_params["name"]
        if name in self.objects and request.headers.get("if-none-match") == "*":
            return reply({}, 412)
        self.objects[name] = await request.body()
        return reply({})

    async def _get_object(self, request: Request) -> Response:
        self.calls += 1
        found = self.objects.get(request.path_params["name"])
        return reply({}, 404) if found is None else Response(found)

    async def _drop_object(self, request: Request) -> Response:
        self.calls += 1
        self.objects.pop(request.path_params["name"], None)
        return reply({})

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.rows.version, "now_ms": self.clock.now() * 1000}


def _encoded(name: Name, row: _Row) -> dict[str, Any]:
    table, part, key = name
    found = {"table": table, "part": part, "key": key, "ver": row.version}
    if row.value is None:
        return {**found, "tombstone": True}
    return {**found, "value": base64.b64encode(row.value).decode()}

"""Stand-in for the platform's metadata store, in memory."""

import base64
from typing import Any, NamedTuple

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from standins.base import Standin, decode_body, json_response

FEED_WAIT_MAX_S = 30.0
ROWS_MAX = 500

RowName = tuple[str, str, str]


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


class _Removal(msgspec.Struct):
    table: str
    part: str
    key: str


class _Transaction(msgspec.Struct):
    expected: list[_Expected] = []
    puts: list[_Put] = []
    remove: list[_Removal] = []


class Rows:
    """Rows versioned by one global counter.

    A removed row remains as a tombstone, so that a feed can report its removal.
    """

    def __init__(self):
        self.version = 0
        self.compacted_version = 0
        self._rows: dict[RowName, _Row] = {}
        self.changed = anyio.Event()

    def transact(
        self,
        expected: dict[RowName, int],
        puts: dict[RowName, bytes],
        removed: list[RowName] | tuple = (),
    ) -> bool:
        """Apply the changes if all expected versions match; return whether they did."""
        if any(self.row(name).version != ver for name, ver in expected.items()):
            return False
        if puts or removed:
            self.version += 1
        for name, value in puts.items():
            self._rows[name] = _Row(value, self.version)
        for name in removed:
            self._rows[name] = _Row(None, self.version)
        self.wake_feeds()
        return True

    def wake_feeds(self) -> None:
        """Let waiting feeds look for changes again."""
        event, self.changed = self.changed, anyio.Event()
        event.set()

    @property
    def read_version(self) -> int:
        """Return the version that an answer to a read contains."""
        return self.version

    @property
    def feed_version(self) -> int:
        """Return the version that an answer of the feed contains."""
        return self.version

    def copy(self) -> "Rows":
        """Return an independent copy of the current rows."""
        copied = Rows()
        copied.version = self.version
        copied.compacted_version = self.compacted_version
        copied._rows = dict(self._rows)
        return copied

    def row(self, name: RowName) -> _Row:
        """Return a row, or one without a value and with version 0."""
        found = self._rows.get(name, _Row(None, 0))
        return found if found.value is not None else _Row(None, 0)

    def range(self, table: str, part: str, first: str, end: str):
        """Return the rows of a part from `first` up to but excluding `end`, by key.

        An empty `end` sets no upper bound.
        """
        return [
            (name, row)
            for name, row in sorted(self._rows.items())
            if name[:2] == (table, part)
            and row.value is not None
            and name[2] >= first
            and (not end or name[2] < end)
        ]

    def parts(self, table: str) -> list[str]:
        """Return the sorted parts of a table that have rows."""
        return sorted(
            {
                name[1]
                for name, row in self._rows.items()
                if name[0] == table and row.value is not None
            }
        )

    def changed_since(self, table: str, version: int):
        """Return the rows of a table that changed after a version, the oldest first.

        Return None if the version is older than the last compaction.
        """
        if version < self.compacted_version:
            return None
        found = [
            (name, row)
            for name, row in self._rows.items()
            if name[0] == table and row.version > version
        ]
        return sorted(found, key=lambda pair: pair[1].version)

    def compact(self) -> None:
        """Drop the change history up to the current version."""
        self.compacted_version = self.version


class RowsView:
    """Shared rows as one instance sees them: reads and feed can be out of date.

    Transactions always see and change the current rows.
    """

    def __init__(self, rows: Rows):
        self._rows = rows
        self._old_reads: Rows | None = None
        self._old_feed: Rows | None = None

    def hold_reads(self) -> None:
        """Answer reads from the rows of this moment until `release`."""
        self._old_reads = self._rows.copy()

    def hold_feed(self) -> None:
        """Report no change after this moment in the feed until `release`."""
        self._old_feed = self._rows.copy()

    def release(self) -> None:
        """Answer reads and feeds from the current rows again."""
        self._old_reads = self._old_feed = None
        self._rows.wake_feeds()

    @property
    def version(self) -> int:
        """Return the current version."""
        return self._rows.version

    @property
    def read_version(self) -> int:
        """Return the version that an answer to a read contains."""
        return (self._old_reads or self._rows).version

    @property
    def feed_version(self) -> int:
        """Return the version that an answer of the feed contains."""
        return (self._old_feed or self._rows).version

    @property
    def changed(self) -> anyio.Event:
        """Return the event that is set at the next change."""
        return self._rows.changed

    def transact(
        self,
        expected: dict[RowName, int],
        puts: dict[RowName, bytes],
        removed: list[RowName] | tuple = (),
    ) -> bool:
        """Apply changes to the current rows; return whether they were applied."""
        return self._rows.transact(expected, puts, removed)

    def row(self, name: RowName) -> _Row:
        """Return a current row, or one without a value and with version 0."""
        return self._rows.row(name)

    def range(self, table: str, part: str, first: str, end: str):
        """Return rows of a part as `Rows.range` does, out of date if held."""
        return (self._old_reads or self._rows).range(table, part, first, end)

    def parts(self, table: str) -> list[str]:
        """Return the parts of a table, out of date if held."""
        return (self._old_reads or self._rows).parts(table)

    def changed_since(self, table: str, version: int):
        """Return changed rows as `Rows.changed_since` does, none newer if held."""
        return (self._old_feed or self._rows).changed_since(table, version)

    def compact(self) -> None:
        """Drop the change history up to the current version."""
        self._rows.compact()


class MetadataStoreStandin(Standin):
    """Serve rows, a change feed and objects over HTTP."""

    def __init__(self, clock=None):
        super().__init__(clock)
        self.rows = RowsView(Rows())
        self.objects: dict[str, bytes] = {}
        self.calls = 0

    def routes(self) -> list[BaseRoute]:
        """Return the routes of the metadata store."""
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
        """Return the number of calls and the current version."""
        return {"calls": self.calls, "version": self.rows.version}

    def write(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator, an endpoint or another writer does.

        Content other than bytes is encoded as JSON.
        """
        value = content if isinstance(content, bytes) else msgspec.json.encode(content)
        self.rows.transact({}, {(table, "", key): value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        self.rows.transact({}, {}, [(table, "", key)])

    async def _transact(self, request: Request) -> Response:
        self.calls += 1
        change = await decode_body(request, _Transaction)
        expected = {(e.table, e.part, e.key): e.ver for e in change.expected}
        puts = {
            (p.table, p.part, p.key): base64.b64decode(p.value) for p in change.puts
        }
        removed = [(r.table, r.part, r.key) for r in change.remove]
        if self.rows.transact(expected, puts, removed):
            return json_response(self._version_and_time(self.rows.version))
        rows = [_encode_row(name, self.rows.row(name)) for name in expected]
        version = self._version_and_time(self.rows.version)
        return json_response({**version, "rows": rows}, 412)

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
        rows = [_encode_row(name, row) for name, row in found[:limit]]
        version = self._version_and_time(self.rows.read_version)
        return json_response({**version, "rows": rows, "has_more": len(found) > limit})

    async def _parts(self, request: Request) -> Response:
        self.calls += 1
        after = request.query_params.get("after", "")
        found = self.rows.parts(request.query_params["table"])
        parts = [part for part in found if part > after or not after]
        return json_response({"parts": parts, "has_more": False})

    async def _feed(self, request: Request) -> Response:
        self.calls += 1
        query = request.query_params
        wait_s = min(FEED_WAIT_MAX_S, int(query.get("wait_ms", 0)) / 1000)
        with anyio.move_on_after(wait_s):
            while self.rows.changed_since(query["table"], int(query["after"])) == []:
                await self.rows.changed.wait()
        found = self.rows.changed_since(query["table"], int(query["after"]))
        if found is None:
            return json_response({"error": "the history is gone"}, 410)
        version = self._version_and_time(self.rows.feed_version)
        return json_response(
            {**version, "rows": [_encode_row(*pair) for pair in found]}
        )

    async def _put_object(self, request: Request) -> Response:
        self.calls += 1
        name = request.path_params["name"]
        if name in self.objects and request.headers.get("if-none-match") == "*":
            return json_response({}, 412)
        self.objects[name] = await request.body()
        return json_response({})

    async def _get_object(self, request: Request) -> Response:
        self.calls += 1
        found = self.objects.get(request.path_params["name"])
        return json_response({}, 404) if found is None else Response(found)

    async def _drop_object(self, request: Request) -> Response:
        self.calls += 1
        self.objects.pop(request.path_params["name"], None)
        return json_response({})

    def _version_and_time(self, version: int) -> dict[str, Any]:
        return {"ver": version, "now_ms": self.clock.now() * 1000}


def _encode_row(name: RowName, row: _Row) -> dict[str, Any]:
    table, part, key = name
    found = {"table": table, "part": part, "key": key, "ver": row.version}
    if row.value is None:
        return {**found, "tombstone": True}
    return {**found, "value": base64.b64encode(row.value).decode()}

"""Stand-in for the platform's metadata store: linearizable, loses nothing."""

import asyncio
import base64
import json
import time

from lib4 import http1

PAGE_ROWS = 500
FEED_WAIT_MAX_S = 30.0
ENTRIES_MAX = 100
CALL_BYTES_MAX = 10**6


class Store:
    """Keep rows and objects in memory, and serve them over HTTP."""

    def __init__(self):
        self.version = 0
        # (table, part, key) to the value in base64, None if removed, and the version.
        self.rows: dict[tuple[str, str, str], tuple[str | None, int]] = {}
        self.objects: dict[str, bytes] = {}
        self._changed = asyncio.Event()

    async def start(self, port: int) -> asyncio.Server:
        """Listen on a loopback port."""
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    def write(self, table: str, key: str, content) -> None:
        """Write a row in the empty part, as the operator and the servers do."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._apply({(table, "", key): value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row in the empty part."""
        self._apply({(table, "", key): None})

    def _apply(self, changes: dict) -> None:
        if changes:
            self.version += 1
        for name, value in changes.items():
            self.rows[name] = (value, self.version)
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await http1.read_request(reader)) is not None:
                writer.write(await self._answer(req))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, req: http1.Request) -> bytes:
        if req.path == "/api/rows-tx":
            return self._transact(req)
        if req.path == "/api/rows-get":
            return self._get(req.query)
        if req.path == "/api/rows-parts":
            return self._parts(req.query)
        if req.path == "/api/rows-feed":
            return await self._feed(req.query)
        _, _, call, name = req.path.split("/", 3)
        if call == "blob-put":
            if name in self.objects and req.headers.get("if-none-match") == "*":
                return http1.encode_json(412, {})
            self.objects[name] = req.body
            return http1.encode_json(200, {})
        if call == "blob-get":
            found = self.objects.get(name)
            return http1.encode_answer(404 if found is None else 200, found or b"")
        self.objects.pop(name, None)
        return http1.encode_json(200, {})

    def _transact(self, req: http1.Request) -> bytes:
        content = json.loads(req.body)
        expected = content.get("expected", [])
        puts, removed = content.get("puts", []), content.get("remove", [])
        entries = len(expected) + len(puts) + len(removed)
        if entries > ENTRIES_MAX or len(req.body) > CALL_BYTES_MAX:
            return http1.encode_json(413, {})
        if any(self._row(_name(each))[1] != each["ver"] for each in expected):
            rows = [self._encode(_name(each)) for each in expected]
            return http1.encode_json(412, {**self._state(), "rows": rows})
        changes = {_name(each): each["value"] for each in puts}
        self._apply(changes | {_name(each): None for each in removed})
        return http1.encode_json(200, self._state())

    def _get(self, query: dict) -> bytes:
        wanted = (query["table"], query.get("part", ""))
        first, end = query.get("from", ""), query.get("to", "")
        found = [
            name
            for name, (value, _) in sorted(self.rows.items())
            if name[:2] == wanted
            and value is not None
            and name[2] >= first
            and (not end or name[2] < end)
        ]
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows = [self._encode(name) for name in found[:limit]]
        more = len(found) > limit
        return http1.encode_json(200, {**self._state(), "rows": rows, "has_more": more})

    def _parts(self, query: dict) -> bytes:
        parts = {
            name[1]
            for name, (value, _) in self.rows.items()
            if name[0] == query["table"] and value is not None
        }
        found = sorted(part for part in parts if part > query.get("after", ""))
        if "after" not in query and "" in parts:
            found = ["", *found]
        return http1.encode_json(200, {"parts": found, "has_more": False})

    async def _feed(self, query: dict) -> bytes:
        after = int(query["after"])
        wait_s = min(FEED_WAIT_MAX_S, int(query.get("wait_ms", 0)) / 1000)
        try:
            async with asyncio.timeout(wait_s):
                while not self._since(query["table"], after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        rows = [self._encode(name) for name in self._since(query["table"], after)]
        return http1.encode_json(200, {**self._state(), "rows": rows})

    def _since(self, table: str, after: int) -> list:
        found = [
            (version, name)
            for name, (_, version) in self.rows.items()
            if name[0] == table and version > after
        ]
        return [name for _, name in sorted(found)]

    def _row(self, name) -> tuple[str | None, int]:
        value, version = self.rows.get(name, (None, 0))
        return (value, version) if value is not None else (None, 0)

    def _encode(self, name) -> dict:
        value, version = self.rows.get(name, (None, 0))
        found = dict(zip(("table", "part", "key"), name, strict=True))
        if value is None:
            return {**found, "ver": version, "tombstone": True}
        return {**found, "ver": version, "value": value}

    def _state(self) -> dict:
        return {"ver": self.version, "now_ms": time.monotonic() * 1000}


def _name(entry: dict) -> tuple[str, str, str]:
    return (entry["table"], entry["part"], entry["key"])

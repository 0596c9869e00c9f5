"""Stand-ins of the platform's store and of its servers, as PROTOCOL.md tells them."""

import asyncio
import base64
import json
import time
import uuid
from urllib.parse import parse_qs, unquote

from lib3.http11 import Server

TX_S = 0.005
READ_S = 0.004
BLOB_S = 0.025
BLOB_BYTES_PER_S = 80e6
ROW_BYTES = 65536
CALL_BYTES = 1_048_576
BLOB_PIECE = 65536
BLOB_BYTES = 8_388_608
BLOB_TOTAL = 400_000_000
ROWS_MAX = 500
HEARTBEAT_S = 1.2


class Store:
    """Keep rows and objects in memory; its answers are linearizable."""

    def __init__(self):
        self.server = Server(self._handle)
        self.version = 0
        self.rows: dict[tuple, tuple[bytes | None, int]] = {}
        self.blobs: dict[str, bytes] = {}
        self.changed = asyncio.Event()
        self.refused: list[str] = []
        self._blob_free_at = 0.0
        # Called before a transaction is answered, with its content.
        self.on_transaction = None

    async def start(self) -> str:
        return await self.server.start()

    def apply(self, puts: dict, removed=()) -> int:
        """Write rows as the platform does."""
        self.version += 1
        for name, value in puts.items():
            self.rows[name] = (value, self.version)
        for name in removed:
            if name in self.rows:
                self.rows[name] = (None, self.version)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return self.version

    def write(self, table: str, key: str, content) -> None:
        self.apply({(table, "", key): json.dumps(content).encode()})

    def _ver(self, name) -> int:
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    def _encode(self, name) -> dict:
        value, version = self.rows.get(name, (None, 0))
        row = {"table": name[0], "part": name[1], "key": name[2]}
        if value is None:
            return {**row, "ver": 0}
        return {**row, "value": base64.b64encode(value).decode(), "ver": version}

    async def _handle(self, req, out) -> None:
        query = {key: found[0] for key, found in parse_qs(req.query).items()}
        if req.path == "/api/rows-tx":
            await self._transact(req, out)
        elif req.path == "/api/rows-get":
            await asyncio.sleep(READ_S)
            await self._get(query, out)
        elif req.path == "/api/rows-parts":
            await asyncio.sleep(READ_S)
            table, after = query["table"], query.get("after", "")
            parts = sorted(
                {
                    name[1]
                    for name, row in self.rows.items()
                    if name[0] == table and row[0] is not None
                }
            )
            parts = [part for part in parts if part > after or not after]
            more = len(parts) > 1000
            await self._json(out, 200, {"parts": parts[:1000], "has_more": more})
        elif req.path == "/api/rows-feed":
            await self._feed(query, out)
        else:
            await self._blob(req, out)

    async def _json(self, out, status: int, content: dict) -> None:
        content = {"ver": self.version, "now_ms": time.monotonic() * 1000, **content}
        headers = [("Content-Type", "application/json")]
        await out.send(status, json.dumps(content).encode(), headers)

    async def _transact(self, req, out) -> None:
        await asyncio.sleep(TX_S)
        content = json.loads(req.body)
        puts, removed = content.get("puts", []), content.get("remove", [])
        expected = content.get("expected", [])
        entries = len(puts) + len(removed) + len(expected)
        if len(req.body) > CALL_BYTES or entries > 100:
            self.refused.append(f"a transaction of {len(req.body)} bytes")
            await out.send(413)
            return

        def name(row):
            return (row["table"], row["part"], row["key"])

        values = {name(row): base64.b64decode(row["value"]) for row in puts}
        if any(len(value) > ROW_BYTES for value in values.values()):
            self.refused.append("a row above the limit")
            await out.send(413)
            return
        if any(self._ver(name(row)) != row["ver"] for row in expected):
            rows = [self._encode(name(row)) for row in expected]
            await self._json(out, 412, {"rows": rows})
            return
        if values or removed:
            self.apply(values, [name(row) for row in removed])
        if self.on_transaction is not None:
            await self.on_transaction(content)
        await self._json(out, 200, {})

    async def _get(self, query, out) -> None:
        first, end = query.get("from", ""), query.get("to", "")
        found = sorted(
            name
            for name, row in self.rows.items()
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and row[0] is not None
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows, size = [], 0
        for each in found[:ROWS_MAX]:
            row = self._encode(each)
            size += len(row["value"])
            if rows and size > CALL_BYTES:
                break
            rows.append(row)
        await self._json(out, 200, {"rows": rows, "has_more": len(rows) < len(found)})

    async def _feed(self, query, out) -> None:
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        await asyncio.sleep(READ_S)
        while True:
            changed = self.changed
            found = [
                (row[1], name)
                for name, row in self.rows.items()
                if name[0] == table and row[1] > after
            ]
            left = end - time.monotonic()
            if found or left <= 0 or out.has_left():
                break
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
        rows = []
        for version, name in sorted(found):
            row = self._encode(name)
            if self.rows[name][0] is None:
                row = {**row, "ver": version, "tombstone": True}
            rows.append(row)
        await self._json(out, 200, {"rows": rows})

    async def _take_share(self, size: int) -> None:
        """Wait until some bytes have passed at the rate that all calls share."""
        now = time.monotonic()
        self._blob_free_at = max(now, self._blob_free_at) + size / BLOB_BYTES_PER_S
        await asyncio.sleep(self._blob_free_at - now)

    async def _send_shared(self, out, data: bytes) -> None:
        await out.begin_sized(200, len(data))
        for first in range(0, len(data), BLOB_PIECE):
            part = data[first : first + BLOB_PIECE]
            await self._take_share(len(part))
            out.writer.write(part)
            await out.writer.drain()

    async def _blob(self, req, out) -> None:
        name = unquote(req.path.rpartition("/")[2])
        kind = req.path.split("/")[2]
        data = req.body if kind == "blob-put" else self.blobs.get(name, b"")
        await asyncio.sleep(BLOB_S)
        if kind == "blob-get" and name in self.blobs:
            await self._send_shared(out, data)
            return
        await self._take_share(len(data))
        if kind == "blob-put":
            total = sum(len(each) for each in self.blobs.values())
            if len(data) > BLOB_BYTES or total + len(data) > BLOB_TOTAL:
                self.refused.append(f"an object of {len(data)} bytes")
                await out.send(507 if len(data) <= BLOB_BYTES else 413)
            elif name in self.blobs and req.headers.get("if-none-match") == "*":
                await out.send(412)
            else:
                self.blobs[name] = data
                await out.send(200)
        elif kind == "blob-get":
            await out.send(404)
        else:
            self.blobs.pop(name, None)
            await out.send(200)


class Endpoint:
    """A server: a model server if `model` is named, a plain one otherwise.

    `runs` lists what it ran: time, request id, and the first event of a stream.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        model: str = "",
        slots: int = 16,
        queue: int = 48,
        events: int = 24,
        event_s: float = 0.02,
        event_bytes: int = 340,
        work_s: float = 0.0375,
        text=None,
        zone: str = "zone-a",
    ):
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.store = store
        self.service, self.model, self.zone = service, model, zone
        self.slots, self.queue = slots, queue
        self.events, self.event_s, self.event_bytes = events, event_s, event_bytes
        self.work_s = work_s
        self.text = text or event_text
        self.version = 1
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.orders: list[tuple[float, dict]] = []
        self.runs: list[tuple[float, str, int]] = []
        self.finished: list[tuple[float, str]] = []
        self.running = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(slots)
        self.server = Server(self._handle)
        self.address = ""

    async def start(self) -> None:
        self.address = await self.server.start()
        self.register()
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        self._beats.cancel()
        await self.server.stop()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def register(self) -> None:
        self.seq += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        content = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "phase": "both",
            "models": models if self.model else [],
            "seq": self.seq,
            "born": self.born,
        }
        self.store.write("servers", self.id, content)

    def _headers(self, req) -> list[tuple[str, str]]:
        load = f"{self.running},{self.waiting},{self.slots}"
        found = [("Plantainstack-Server-Load", load)]
        if "plantainstack-request-id" in req.headers:
            id = req.headers["plantainstack-request-id"]
            found.append(("Plantainstack-Request-Id", id))
        return found

    async def _handle(self, req, out) -> None:
        expected = req.headers.get("plantainstack-expect-instance", self.id)
        if expected != self.id:
            await out.send(421, b"", [("Plantainstack-Instance-Id", self.id)])
        elif req.path == "/api/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            content = {
                "phase": "both",
                "models": models,
                "busy": False,
                "seq": len(self.orders),
                "queue_depth": self.waiting,
                "in_flight": self.running,
                "kv_used": 0,
                "kv_total": 100_000,
                "handles": 0,
            }
            await out.send(200, json.dumps(content).encode(), self._headers(req))
        elif req.path == "/api/order":
            order = json.loads(req.body)
            if order.get("expected", len(self.orders)) != len(self.orders):
                await out.send(409)
                return
            holds = self.version >= order["version"]
            self.orders.append((time.monotonic(), order))
            self.version = order["version"]
            self.register()
            await out.send(200 if holds else 202)
        elif self.running + self.waiting >= self.slots + self.queue:
            refusal = [*self._headers(req), ("Plantainstack-Not-Executed", "1")]
            await out.send(503, b"", refusal)
        else:
            self.waiting += 1
            async with self._slots:
                self.waiting -= 1
                if out.has_left():
                    out.closes = True
                    return
                self.running += 1
                try:
                    await self._run(req, out)
                finally:
                    self.running -= 1

    async def _run(self, req, out) -> None:
        id = req.headers.get("plantainstack-request-id", "")
        seal = ("Plantainstack-Server-Seal", f"{self.id}.{len(self.runs)}")
        headers = [*self._headers(req), seal]
        last = int(req.headers.get("last-event-id", "0"))
        self.runs.append((time.monotonic(), id, last + 1))
        if not self.model:
            await asyncio.sleep(self.work_s)
            await out.send(200, id.encode(), headers)
            return
        headers.append(("Content-Type", "text/event-stream"))
        headers.append(("Plantainstack-Weight-Versions", str(self.version)))
        await out.begin(200, headers)
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if out.has_left():
                out.closes = True
                return
            text = self.text(id, number, self.event_bytes)
            await out.chunk(f"id: {number}\ndata: {text}\n\n".encode())
        self.finished.append((time.monotonic(), id))
        await out.chunk(b"")


def event_text(id: str, number: int, size: int) -> str:
    """Return the data of an event of an item."""
    text = f"{id}.{number}."
    return text + "x" * max(0, size - len(text))


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def service(name: str, models: list[str] = ()) -> dict:
    """Return a service of a configuration."""
    found = {"name": name, "health_path": "/health", "max_conns": 160}
    if models:
        found["engine"] = {"slots": 16, "models": [{"name": each} for each in models]}
    return found

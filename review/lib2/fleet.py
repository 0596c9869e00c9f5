"""Small stand-ins and process control for the scripts of the second review.

Only the standard library is used. The stand-ins run in the process of the script; the
entry instances are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import bisect
import contextlib
import json
import os
import re
import signal
import socket
import tempfile
import time
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-m", "plantainstack.daemon", "--deployment", "store"]
HOST = "ficu95.example"
MODEL = "daka510000"
ROW_BYTES = 65536
PAGE_BYTES = 1_000_000
PAGE_ROWS = 500
TX_S = 0.005
READ_S = 0.002
HEARTBEAT_S = 1.2
SETTINGS = """\
[instance]
id = {id}
data_centre = tunis-a
listen = 127.0.0.1:{listen}
probe_listen = 127.0.0.1:{probe}
metrics_listen = 127.0.0.1:{metrics}

[store]
address = 127.0.0.1:{store}

[bounds]
grace = 8 s
endpoint_notice = 2000 ms
order_gap = 3000 ms

[memory]
limit = {memory} MB
descriptors = 8200

[tenants]
quota_excess = 0.1

[duties]
kinds =

[placement]
prefix_cache = group
"""


class Record:
    """Write what was sent, answered and run to a file, with the time in seconds."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f}  {text}\n")
        self._file.flush()


class Head:
    """Head of a request or an answer; header names are in lower case."""

    def __init__(self, first: str, headers: dict[str, str]):
        self.first = first
        self.headers = headers


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; return None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(first, headers)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class _Row:
    def __init__(self, value: str | None, ver: int):
        self.value = value
        self.ver = ver


class Store:
    """The platform's metadata store: rows, feeds and objects; nothing is lost."""

    def __init__(self, record: Record):
        self._record = record
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._log: dict[str, list[tuple[int, tuple[str, str, str]]]] = {}
        self._objects: dict[str, bytes] = {}
        self.ver = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        # Connections of each instance whose present call is a read of a feed.
        self._feeds: dict[tuple[str, str], set] = {}
        self._silent: set = set()

    async def listen(self, instance: str) -> int:
        """Serve one instance at an address of its own; return the port."""

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await self._serve(instance, reader, writer)

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=64 * 1024 * 1024
        )
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def silence_feed(self, instance: str, table: str) -> int:
        """Let the connections of an instance's open feed of a table fall silent.

        They stay open, and new connections work. Returns their number.
        """
        found = self._feeds.get((instance, table), set())
        self._silent |= found
        return len(found)

    def write(self, table: str, part: str, key: str, content) -> None:
        """Write a row as the operator or a server does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._apply({}, {(table, part, key): value}, [])

    def remove(self, table: str, part: str, key: str) -> None:
        """Remove a row as the platform does."""
        self._apply({}, {}, [(table, part, key)])

    def rows(self, table: str) -> list[tuple[str, str]]:
        """Return the part and the key of the rows of a table."""
        return [
            name[1:]
            for name, row in self._rows.items()
            if name[0] == table and row.value is not None
        ]

    def _now_ms(self) -> float:
        return time.monotonic() * 1000

    def _version(self, name) -> int:
        row = self._rows.get(name)
        return row.ver if row is not None and row.value is not None else 0

    def _apply(self, expected, puts, removed) -> bool:
        if any(self._version(name) != ver for name, ver in expected.items()):
            return False
        if puts or removed:
            self.ver += 1
        for name, value in (*puts.items(), *((name, None) for name in removed)):
            self._rows[name] = _Row(value, self.ver)
            self._log.setdefault(name[0], []).append((self.ver, name))
        event, self._changed = self._changed, asyncio.Event()
        event.set()
        return True

    async def _serve(self, instance, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                method, target, _ = head.first.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                found = await self._answer(instance, writer, method, url, query, body)
                if writer in self._silent:
                    self._silent.discard(writer)
                    await reader.read()
                    break
                status, content = found
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(answer_bytes(status, kind, content))
                await writer.drain()
        writer.close()

    async def _answer(self, instance, writer, method, url, query, body):
        if url.path == "/api/rows-feed":
            key = (instance, query["table"])
            self._feeds.setdefault(key, set()).add(writer)
            try:
                return await self._feed(query)
            finally:
                self._feeds[key].discard(writer)
        if url.path == "/api/rows-tx":
            await asyncio.sleep(TX_S)
            return self._transact(json.loads(body))
        await asyncio.sleep(READ_S)
        if url.path == "/api/rows-get":
            return self._get(query)
        if url.path == "/api/rows-parts":
            return self._parts(query)
        return self._object(method, url.path, body)

    def _transact(self, content):
        name = _row_name
        expected = {name(each): each["ver"] for each in content.get("expected", [])}
        puts = {name(each): each["value"] for each in content.get("puts", [])}
        removed = [name(each) for each in content.get("remove", [])]
        size = sum(len(value) for value in puts.values())
        if len(expected) + len(puts) + len(removed) > 100 or size > PAGE_BYTES:
            return 400, {"error": "the call is too large"}
        if any(len(value) * 3 // 4 > ROW_BYTES for value in puts.values()):
            return 400, {"error": "a row is too large"}
        done = {"ver": self.ver, "now_ms": self._now_ms()}
        if self._apply(expected, puts, removed):
            return 200, done | {"ver": self.ver}
        rows = [self._encode(each) for each in expected]
        return 412, done | {"rows": rows}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        names = sorted(
            name
            for name, row in self._rows.items()
            if name[:2] == (table, part)
            and row.value is not None
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows, size = [], 0
        for name in names[: int(query.get("limit", PAGE_ROWS))]:
            size += len(self._rows[name].value)
            if rows and size > PAGE_BYTES:
                break
            rows.append(self._encode(name))
        more = len(rows) < len(names)
        page = {"rows": rows, "has_more": more, "ver": self.ver}
        return 200, page | {"now_ms": self._now_ms()}

    def _parts(self, query):
        after = query.get("after")
        parts = sorted({part for part, _ in self.rows(query["table"])})
        if after is not None:
            parts = parts[bisect.bisect_right(parts, after) :]
        return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self._changed
            log = self._log.get(table, [])
            start = bisect.bisect_right(log, (after, ("\U0010ffff",) * 3))
            left = end - time.monotonic()
            if start < len(log) or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
        names = {name: ver for ver, name in log[start:]}
        rows = [self._encode(name) for name in sorted(names, key=names.get)]
        return 200, {"rows": rows, "ver": self.ver, "now_ms": self._now_ms()}

    def _object(self, method, path, body):
        _, _, call, name = path.split("/", 3)
        name = unquote(name)
        if call == "blob-put":
            if name in self._objects:
                return 412, {}
            self._objects[name] = body
            return 200, {}
        if call == "blob-get":
            found = self._objects.get(name)
            return (404, {}) if found is None else (200, found)
        return 200 if self._objects.pop(name, None) is not None else 404, {}

    def _encode(self, name):
        row = self._rows.get(name, _Row(None, 0))
        found = dict(zip(("table", "part", "key"), name, strict=True))
        if row.value is None:
            return found | {"ver": row.ver, "tombstone": True} if row.ver else found
        return found | {"ver": row.ver, "value": row.value}


def _row_name(entry) -> tuple[str, str, str]:
    return (entry["table"], entry.get("part", ""), entry["key"])


class ModelServer:
    """A model server: answers each POST with a stream of events.

    `events` of `event_bytes` each are sent, `gap_s` apart.
    """

    def __init__(self, store: Store, record: Record, number: int, **options):
        self.id = f"i-{number:02}{uuid.uuid4().hex[:6]}"
        self._store = store
        self.record = record
        self.events = options.get("events", 25)
        self.event_bytes = options.get("event_bytes", 270)
        self.gap_s = options.get("gap_s", 0.01)
        self.slots = options.get("slots", 16)
        self.service = options.get("service", "huvo11a")
        self.software = options.get("software", "v1")
        self.draining = False
        self.requests = 0
        self.running = 0
        self.ran: list[str] = []

    async def start(self) -> None:
        """Listen, and register in the store until the loop ends."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server
        self._born = int(time.time() * 1000)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        seq = 0
        while True:
            seq += 1
            entry = {
                "backend": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "tunis-a",
                "version": self.software,
                "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "cold_ms": 0,
                "phase": "both",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "seq": seq,
                "born": self._born,
            }
            self._store.write("servers", "", self.id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, drain_s: float) -> None:
        """Report `draining`, serve on for a time, and end the registration."""
        self.draining = True
        self._beats.cancel()
        self._beats = asyncio.create_task(self._beat())
        await asyncio.sleep(drain_s)
        self._beats.cancel()
        self._store.remove("servers", "", self.id)

    async def _serve(self, reader, writer) -> None:
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head.headers)
                await self._answer(head, reader, writer)
        writer.close()

    async def _answer(self, head: Head, reader, writer) -> None:
        _, target, _ = head.first.split(" ")
        expected = head.headers.get("plantainstack-expect-instance", self.id)
        request_id = head.headers.get("plantainstack-request-id", "")
        if target == "/health":
            headers = {"Plantainstack-Instance-Id": self.id}
            writer.write(answer_bytes(200, headers, b""))
        elif expected != self.id or not request_id:
            status = 421 if expected != self.id else 400
            writer.write(answer_bytes(status, {"Plantainstack-Not-Executed": "1"}, b""))
        elif self.running >= self.slots:
            headers = {"Plantainstack-Not-Executed": "1"}
            headers["Plantainstack-Request-Id"] = request_id
            writer.write(answer_bytes(503, headers, b""))
        else:
            self.running += 1
            self.ran.append(request_id)
            self.requests += 1
            self.record(f"server {self.id} runs {request_id}")
            try:
                await self.run(request_id, head, writer)
            finally:
                self.running -= 1
        await writer.drain()

    async def run(self, request_id: str, head: Head, writer) -> None:
        """Answer a request with a complete stream."""
        self.begin(request_id, writer)
        first = int(head.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            self.send_event(request_id, number, self.event_bytes, writer)
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def begin(self, request_id: str, writer) -> None:
        """Send the head of a stream."""
        seal = f"{self.id}.{self.requests}"
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Plantainstack-Request-Id: {request_id}",
            f"Plantainstack-Server-Seal: {seal}",
            "Plantainstack-Weight-Versions: 1",
            f"Plantainstack-Server-Load: {self.running},0,{self.slots}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def send_event(self, request_id: str, number: int, size: int, writer) -> None:
        """Send one event of a stream."""
        text = event_text(f"{self.software}:{request_id}", number, size)
        event = f"id: {number}\ndata: {text}\n\n"
        data = event.encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def event_text(source: str, number: int, size: int) -> str:
    """Return the data of an event, which names its source and its number."""
    start = f"{source}:{number}:"
    return start + "x" * max(0, size - len(start))


class Entry:
    """One entry instance, as the platform runs it."""

    def __init__(self, id: str, store_port: int, directory: Path, memory_mb: int = 180):
        self.id = id
        ports = free_ports(3)
        self.port, self.probe = ports[0], ports[1]
        self._directory = directory
        self._settings = directory / f"{id}.conf"
        self._settings.write_text(
            SETTINGS.format(
                id=id,
                listen=ports[0],
                probe=ports[1],
                metrics=ports[2],
                store=store_port,
                memory=memory_mb,
            )
        )
        self._starts = 0
        self.process = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._starts += 1
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["PLANTAINSTACK_BOOT"] = str(self._settings)
        with (self._directory / f"{self.id}.{self._starts}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, str(self._settings), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def lives(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def memory_mb(self) -> float:
        """Return the anonymous memory of the process, without its files."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    async def ready(self) -> bool:
        """Return whether the instance answers the readiness probe with 200."""
        found = await call(self.probe, "GET", "/api/ready", {}, b"", 1.0)
        return found is not None and found[0] == 200

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the instance is ready; raise TimeoutError if it takes too long."""
        async with asyncio.timeout(limit_s):
            while not await self.ready():
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.lives():
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses, below those of outgoing connections."""
    found: list[int] = []
    while len(found) < count:
        port = 20_000 + int.from_bytes(os.urandom(2)) % 12_000
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            if port not in found:
                found.append(port)
    return found


async def call(
    port: int, method: str, path: str, headers: dict, body: bytes, limit_s: float
) -> tuple[int, bytes] | None:
    """Send a request on a new connection; return status and body, None without."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(request_bytes(method, path, headers, body))
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    return None
                content = await read_body(reader, head.headers)
                return int(head.first.split(" ")[1]), content
            finally:
                writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


def request_bytes(method: str, path: str, headers: dict, body: bytes) -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def route(name: str, prefix: str, **changes) -> dict:
    """Return a rollout route as the operator writes it."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "route_type": "rollout",
        "timeout_ms": 10000,
        "slo_ms": 400,
        "priority": 0,
        "backend": "huvo11a",
        "max_attempts": 3,
        "max_queue_s": 40.0,
        "result_target_ms": 7500,
        "single_version": False,
        "sticky": True,
        "resumable": True,
    } | changes


def config(version: int, routes: list[dict]) -> dict:
    """Return a configuration as the operator writes it."""
    engine = {"slots": 16, "kv_capacity": 42980, "models": [{"name": MODEL}]}
    service = {"health_path": "/health", "max_conns": 160, "protocol": "h1"}
    return {
        "version": version,
        "routes": routes,
        "services": [service | {"name": "huvo11a", "tls": False, "engine": engine}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 33554432,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def batch(prefix: str, items: int, body_bytes: int = 600, group: int = 8):
    """Return the id of a new batch, the ids of its items, and the submission's body."""
    batch_id = uuid.uuid4().hex[:16]
    ids = [uuid.uuid4().hex[:16] for _ in range(items)]
    requests = []
    for number, id in enumerate(ids):
        prompt = f"{id[:6]}:16"
        requests.append(
            {
                "id": id,
                "path": f"{prefix}{number}/{id[:4]}",
                "headers": {
                    "Plantainstack-Model": MODEL,
                    "Plantainstack-Token-Count": "271,400",
                    "Plantainstack-Prompt-Prefix": f"9c2e41:255,{prompt}",
                },
                "body": base64.b64encode(os.urandom(body_bytes)).decode(),
                "tokens": 671,
                "group": f"g{number // group}",
            }
        )
    content = {
        "step": 0,
        "model": MODEL,
        "min_version": 0,
        "group_count": max(1, items // group),
        "requests": requests,
    }
    return batch_id, ids, json.dumps(content).encode()


async def submit(record, entry: Entry, prefix: str, batch_id: str, body: bytes):
    """Submit a batch once; return the status, None without an answer."""
    headers = {"Plantainstack-Request-Id": batch_id, "Content-Type": "application/json"}
    found = await call(entry.port, "POST", f"{prefix}{batch_id}", headers, body, 8.0)
    status = found[0] if found else None
    record(f"submitted batch {batch_id} ({len(body)} bytes) to {entry.id}: {status}")
    return status


async def read_results(entry: Entry, batch_id: str, after: int = 0):
    """Read results of a batch; return the decoded page, None if there is none."""
    headers = {"Plantainstack-Wait-Ms": "1000"}
    path = f"/api/lots/{batch_id}?after={after}"
    found = await call(entry.port, "GET", path, headers, b"", 4.0)
    return json.loads(found[1]) if found and found[0] == 200 else None


async def end(record, entry: Entry, batch_id: str):
    """End a batch; return the status, None without an answer."""
    found = await call(entry.port, "DELETE", f"/api/lots/{batch_id}", {}, b"", 5.0)
    status = found[0] if found else None
    record(f"ended batch {batch_id} at {entry.id}: {status}")
    return status


class MemoryWatch:
    """The platform kills a process that exceeds its memory, and starts it again."""

    def __init__(self, record: Record, entries: list[Entry], limit_mb: int):
        self._record = record
        self._entries = entries
        self._limit_mb = limit_mb
        self.ends: dict[str, int] = {entry.id: 0 for entry in entries}
        self.peak_mb: dict[str, float] = {entry.id: 0.0 for entry in entries}

    def exceeded(self) -> bool:
        """Return whether two machines' processes have ended three times each."""
        return sum(count >= 3 for count in self.ends.values()) >= 2

    async def run(self) -> None:
        """Watch all processes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for entry in self._entries:
                tasks.create_task(self._watch(entry))

    async def _watch(self, entry: Entry) -> None:
        while True:
            await asyncio.sleep(0.02)
            memory_mb = entry.memory_mb()
            self.peak_mb[entry.id] = max(self.peak_mb[entry.id], memory_mb)
            if entry.lives() and memory_mb <= self._limit_mb:
                continue
            self.ends[entry.id] += 1
            self._record(
                f"process of {entry.id} ends for the {self.ends[entry.id]}. time, with"
                f" {memory_mb:.0f} MB of {self._limit_mb} MB"
            )
            await entry.stop()
            await asyncio.sleep(1.0)
            await entry.start()
            with contextlib.suppress(TimeoutError):
                await entry.wait_ready()


async def start_entries(store: Store, directory: Path, count: int) -> list[Entry]:
    """Start entry instances, and wait until they are ready."""
    entries = []
    for number in range(count):
        id = f"front-tunis-{number}"
        entries.append(Entry(id, await store.listen(id), directory))
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_ready()
    except BaseException:
        for entry in entries:
            await entry.stop()
        raise
    return entries


async def play_until_exceeded(
    record: Record, watch: MemoryWatch, work: list[Awaitable], day_s: float
) -> int:
    """Do the work until the processes have ended too often, or the day is over.

    Returns the exit code of the script.
    """
    tasks = [asyncio.create_task(each) for each in (watch.run(), *work)]
    end = time.monotonic() + day_s
    while time.monotonic() < end and not watch.exceeded():
        await asyncio.sleep(0.1)
    failed = [each for each in tasks if each.done()]
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    record(f"ends of processes: {watch.ends}")
    record(f"largest memory in MB: {watch.peak_mb}")
    if failed:
        record(f"a part of the script failed: {failed[0].exception()!r}")
        return 2
    return 1 if watch.exceeded() else 0


async def run_case(folder: Path, play: Callable[..., Awaitable[int]]) -> int:
    """Play a case with its record and a temporary folder; return the exit code."""
    record = Record(folder / "record.txt")
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    with tempfile.TemporaryDirectory(prefix="plantainstack-review-") as directory:
        try:
            code = await play(record, Path(directory))
        except (Exception, asyncio.CancelledError) as exc:
            record(f"the case could not run: {exc!r}")
            code = 2
    record(f"exit code {code}")
    return code

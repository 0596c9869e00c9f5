"""Stand-ins of the platform, and the project's daemons as processes, for the cases.

The stand-ins need the standard library only. They follow the users' pages: a metadata
store, servers that register themselves there, and clients.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "svc.example"
PLAIN_HOST = "app.example"
BEAT_S = 1.2
DRAIN_S = 2.0
RESTART_DELAY_S = 0.5
DAEMON = ["python3", "-S", "-m", "plantainstack.daemon", "--deployment", "store"]


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", buffering=1)
        self._begin = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._begin

    def __call__(self, *words) -> None:
        text = " ".join(str(word) for word in words)
        self._file.write(f"{self.now():8.3f} {text}\n")


def free_port() -> int:
    """Return an unused port of 127.0.0.1, below the ephemeral ones."""
    for port in random.sample(range(20_000, 32_000), 12_000):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


class Request:
    """Hold one HTTP request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path = urlsplit(target).path
        self.query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
        self.headers = headers
        self.body = body


async def read_headers(reader):
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_chunks(reader) -> bytes:
    data = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return data


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    headers = await read_headers(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif length := int(headers.get("content-length", 0)):
        body = await reader.readexactly(length)
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=()) -> bytes:
    """Return the bytes of an HTTP answer."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body


class Listener:
    """Serve HTTP connections on a loopback port."""

    def __init__(self):
        self.port = free_port()
        self._server = None
        self.connections = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", self.port
        )

    async def stop(self):
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.serve(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, request, reader, writer):
        raise NotImplementedError


class Store(Listener):
    """The platform's metadata store: rows, feeds and raw objects."""

    ROW_BYTES = 65536

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.version = 0
        self.rows = {}
        self.objects = {}
        self._changed = asyncio.Event()

    def write(self, table, key, content, part=""):
        value = content if isinstance(content, bytes) else json.dumps(content).encode()
        self._apply({(table, part, key): value}, [])

    def remove(self, table, key, part=""):
        self._apply({}, [(table, part, key)])

    def value(self, table, part, key):
        return self.rows.get((table, part, key), (None, 0))[0]

    def _apply(self, puts, removed):
        self.version += 1
        for name, value in puts.items():
            self.rows[name] = (value, self.version)
        for name in removed:
            self.rows[name] = (None, self.version)
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    def _current(self, name) -> int:
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    async def serve(self, request, reader, writer):
        name = request.path.removeprefix("/api/").split("/")[0]
        handler = getattr(self, "_" + name.replace("-", "_"))
        writer.write(await handler(request))

    def _json(self, content, status=200):
        content = {"ver": self.version, "now_ms": time.monotonic() * 1000, **content}
        return answer(status, json.dumps(content).encode())

    @staticmethod
    def _encode(name, row):
        found = dict(zip(("table", "part", "key"), name, strict=True))
        if row[0] is None:
            return {**found, "ver": row[1], "tombstone": True}
        return {**found, "ver": row[1], "value": base64.b64encode(row[0]).decode()}

    async def _rows_tx(self, request):
        change = json.loads(request.body)

        def name(each):
            return (each["table"], each["part"], each["key"])

        expected = {name(each): each["ver"] for each in change.get("expected", [])}
        puts = {
            name(each): base64.b64decode(each["value"])
            for each in change.get("puts", [])
        }
        if any(len(value) > self.ROW_BYTES for value in puts.values()):
            return self._json({"error": "a row is too large"}, 400)
        if any(self._current(each) != ver for each, ver in expected.items()):
            rows = [
                self._encode(each, self.rows.get(each, (None, 0))) for each in expected
            ]
            return self._json({"rows": rows}, 412)
        self._apply(puts, [name(each) for each in change.get("remove", [])])
        return self._json({})

    async def _rows_get(self, request):
        query = request.query
        wanted = (query["table"], query.get("part", ""))
        first, end = query.get("from", ""), query.get("to", "")
        found = [
            (name, row)
            for name, row in sorted(self.rows.items())
            if name[:2] == wanted
            and row[0] is not None
            and name[2] >= first
            and (not end or name[2] < end)
        ]
        page, size = [], 0
        for name, row in found[:500]:
            size += len(row[0])
            if page and size > 700_000:
                break
            page.append(self._encode(name, row))
        return self._json({"rows": page, "has_more": len(page) < len(found)})

    async def _rows_parts(self, request):
        table, after = request.query["table"], request.query.get("after", "")
        parts = {n[1] for n, row in self.rows.items() if n[0] == table and row[0]}
        return self._json({"parts": sorted(p for p in parts if p > after or not after)})

    async def _rows_feed(self, request):
        table, after = request.query["table"], int(request.query["after"])
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000

        def changed():
            return [
                (name, row)
                for name, row in self.rows.items()
                if name[0] == table and row[1] > after
            ]

        while not (found := changed()) and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        found.sort(key=lambda pair: pair[1][1])
        return self._json({"rows": [self._encode(*pair) for pair in found]})

    async def _blob_put(self, request):
        name = unquote(request.path.rsplit("/", 1)[1])
        if name in self.objects and "if-none-match" in request.headers:
            return self._json({}, 412)
        self.objects[name] = request.body
        return self._json({})

    async def _blob_get(self, request):
        found = self.objects.get(unquote(request.path.rsplit("/", 1)[1]))
        return self._json({}, 404) if found is None else answer(200, found)

    async def _blob_drop(self, request):
        self.objects.pop(unquote(request.path.rsplit("/", 1)[1]), None)
        return self._json({})


class Server(Listener):
    """A server of the platform: it registers itself and answers requests."""

    def __init__(self, rig, id, service, model=None, slots=16):
        super().__init__()
        self.rig = rig
        self.record = rig.record
        self.id = id
        self.service = service
        self.model = model
        self.version = 1
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.orders = 0
        self.busy = False
        self.runs = []

    def register(self):
        self.beats += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        entry = {
            "backend": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "dc-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "seq": self.beats,
            "born": self.born,
            "phase": "both",
            "models": models if self.model else [],
        }
        self.rig.store.write("servers", self.id, entry)

    async def beat(self):
        """Register at once, and write the entry again at each heartbeat."""
        self.register()
        await asyncio.sleep(random.uniform(0.0, BEAT_S))
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    async def serve(self, request, reader, writer):
        expected = request.headers.get("plantainstack-expect-instance", self.id)
        if expected != self.id:
            writer.write(answer(421, b"", [("Plantainstack-Instance-Id", self.id)]))
        elif request.path == "/health":
            writer.write(answer(200, b"", [("Plantainstack-Instance-Id", self.id)]))
        elif request.path == "/api/report":
            await self.report(request, writer)
        elif request.path == "/api/order":
            await self.order(request, writer)
        else:
            await self.run(request, reader, writer)

    async def report(self, request, writer):
        self.record("server", self.id, "report")
        writer.write(
            answer(200, self.report_body(), [("Content-Type", "application/json")])
        )

    def report_body(self) -> bytes:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return json.dumps(
            {"phase": "both", "models": models, "busy": self.busy, "seq": self.orders}
        ).encode()

    async def order(self, request, writer):
        found = json.loads(request.body)
        status = 202
        if found["version"] <= self.version:
            status = 200
        elif self.busy or found.get("expected", self.orders) != self.orders:
            status = 409
        self.record("server", self.id, "order", status, request.body.decode())
        if status == 202:
            self.orders += 1
            self.busy = True
            asyncio.get_running_loop().call_later(0.9, self._loaded, found["version"])
        writer.write(answer(status))

    def _loaded(self, version):
        self.version = version
        self.busy = False
        self.register()

    def id_headers(self, request):
        return [
            ("Plantainstack-Request-Id", request.headers["plantainstack-request-id"]),
            ("Plantainstack-Server-Seal", f"seal.{self.id}.{len(self.runs)}"),
        ]

    async def run(self, request, reader, writer):
        """Run a request: a short body, or an item's stream of events."""
        id = request.headers["plantainstack-request-id"]
        self.runs.append(id)
        self.record("server", self.id, "run", id, request.method, request.target)
        if self.model is None:
            await asyncio.sleep(0.03)
            writer.write(answer(200, f"done {id}".encode(), self.id_headers(request)))
            return
        await self.stream(request, writer, self.events(id))

    @staticmethod
    def events(id) -> list[str]:
        return [f"{id} {number}" for number in range(1, 25)]

    async def stream(self, request, writer, events, gap_s=0.02):
        first = int(request.headers.get("last-event-id", 0))
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("Plantainstack-Weight-Versions", self.version),
            *self.id_headers(request),
        ]
        head = ["HTTP/1.1 200 X", *(f"{name}: {value}" for name, value in headers)]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number, text in enumerate(events, 1):
            if number > first:
                await asyncio.sleep(gap_s)
                data = f"id: {number}\ndata: {text}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
        writer.write(b"0\r\n\r\n")


class Daemon:
    """One entry instance as a process; it is started again when it ends."""

    def __init__(self, rig, name):
        self.rig = rig
        self.name = name
        self.port, self.probe_port, self.metrics_port = (free_port() for _ in range(3))
        self.process = None
        self.own_ends = []
        self._keep = True
        self._stopping = False
        self.settings = rig.folder / f"{name}.ini"

    def write_settings(self):
        self.settings.write_text(
            f"[instance]\nid = {self.name}\ndata_centre = dc-a\n"
            f"listen = 127.0.0.1:{self.port}\n"
            f"probe_listen = 127.0.0.1:{self.probe_port}\n"
            f"metrics_listen = 127.0.0.1:{self.metrics_port}\n\n"
            f"[store]\naddress = 127.0.0.1:{self.rig.store.port}\n\n"
            "[bounds]\ngrace = 8 s\nendpoint_notice = 2000 ms\norder_gap = 3000 ms\n"
        )

    async def keep_running(self):
        """Run the process, and start it again after it has ended."""
        while self._keep:
            self.write_settings()
            with (self.rig.folder / f"{self.name}.out").open("ab") as output:
                self.process = await asyncio.create_subprocess_exec(
                    *DAEMON,
                    str(self.settings),
                    cwd=ROOT,
                    env={
                        "PATH": os.environ["PATH"],
                        "HOME": os.environ.get("HOME", "/"),
                        "LANG": os.environ.get("LANG", "C.UTF-8"),
                        "PYTHONPATH": str(ROOT / "target" / "deps"),
                        "PYTHONDONTWRITEBYTECODE": "1",
                    },
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                )
            self.rig.record("process", self.name, "started", self.process.pid)
            status = await self.process.wait()
            self.rig.record("process", self.name, "ended with status", status)
            if self._keep and not self._stopping:
                self.own_ends.append(self.rig.record.now())
                self.rig.record("process", self.name, "last output:", self.last_line())
            self._stopping = False
            await asyncio.sleep(RESTART_DELAY_S)

    def last_line(self) -> str:
        lines = (self.rig.folder / f"{self.name}.out").read_text(errors="replace")
        words = [line.strip(" |+-") for line in lines.splitlines()]
        found = [line for line in words if "Error" in line or "Exception" in line]
        return found[-1] if found else ""

    def signal(self, number):
        """Send a signal; an end after SIGTERM or SIGKILL is not its own."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._stopping = True
        self.rig.record("process", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            status, _, _ = await http(
                self.probe_port, "GET", "/api/ready", [("Host", "x")], b"", 1.0
            )
            return status == 200
        return False

    def end(self):
        self._keep = False
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()


async def http(port, method, target, headers, body=b"", limit_s=5.0):
    """Send a request on a new channel; return status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit_s)


async def read_answer(reader):
    line = await reader.readline()
    if not line:
        raise asyncio.IncompleteReadError(b"", None)
    status = int(line.split()[1])
    headers = await read_headers(reader)
    if "chunked" in headers.get("transfer-encoding", ""):
        return status, headers, await read_chunks(reader)
    return status, headers, await reader.readexactly(int(headers["content-length"]))


class Rig:
    """Hold the store, the servers and the entry instances of one case."""

    def __init__(self, folder, daemons=3):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.store = Store(self.record)
        self.servers = []
        self.daemons = [Daemon(self, f"front-{n}") for n in range(1, daemons + 1)]
        self.config = {"version": 1, "routes": [], "services": [], "limits": {}}
        self.tasks = []

    def add_service(self, name, model=None):
        engine = {"models": [{"name": model, "version": 1}]} if model else None
        service = {"name": name, "max_conns": 160}
        self.config["services"].append(service | ({"engine": engine} if engine else {}))

    def add_route(self, name, host, service, kind, **fields):
        route = {
            "name": name,
            "hostname": host,
            "prefix": f"/{name}/",
            "route_type": kind,
            "backend": service,
            "timeout_ms": 3000,
            "slo_ms": 300,
            "priority": 1,
            "max_attempts": 3,
        }
        self.config["routes"].append(route | fields)

    def write_config(self):
        self.record("operator writes config", self.config["version"])
        self.store.write("op", "config", self.config)

    def name_version(self, model, version):
        self.record("trainer names version", version, "of", model)
        content = {"model": model, "version": version}
        self.store.write("op", f"version/{model}", content)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def start(self):
        await self.store.start()
        self.write_config()
        for server in self.servers:
            await server.start()
            self.spawn(server.beat())
        for daemon in self.daemons:
            self.spawn(daemon.keep_running())
        await self.until_ready()

    async def until_ready(self, limit_s=25.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await daemon.ready() for daemon in self.daemons]):
                self.record("all entry instances are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entry instances did not become ready")

    async def close(self):
        for daemon in self.daemons:
            daemon.end()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        for listener in (self.store, *self.servers):
            with contextlib.suppress(Exception):
                await listener.stop()
        if os.environ.get("KEEP"):
            print("logs:", self._temporary.name)
            self._temporary._finalizer.detach()
        else:
            self._temporary.cleanup()


def batch_body(
    batch_id, route, groups, size, events, min_version=1, step=0, model="m0"
):
    """Return the body of a batch; `events` are those of the items, taken in turn."""
    items = []
    lengths = events if isinstance(events, tuple) else (events,)
    for group in range(groups):
        for number in range(size):
            events = lengths[number % len(lengths)]
            headers = {
                "Plantainstack-Model": model,
                "Plantainstack-Token-Count": f"100,{events}",
                "Plantainstack-Length-Hint": str(events),
            }
            items.append(
                {
                    "id": f"{batch_id}x{group:02}{number:02}x{events}",
                    "path": f"/{route}/item",
                    "headers": headers,
                    "body": base64.b64encode(
                        f"body {group} {number}".encode()
                    ).decode(),
                    "tokens": 100 + events,
                    "group": f"{batch_id}g{group}",
                }
            )
    return {
        "step": step,
        "model": model,
        "min_version": min_version,
        "group_count": groups,
        "requests": items,
    }


class KeptClient:
    """Send one request after the other on a kept channel to one instance."""

    def __init__(self, case, daemon, number, pause_s=0.01, deadline_ms=1500):
        self.case = case
        self.daemon = daemon
        self.name = f"{daemon.name}c{number}"
        self.pause_s = pause_s
        self.deadline_ms = deadline_ms
        # Ids of requests whose channel was closed without an answer.
        self.closed = []

    async def run(self, target="/look/x"):
        number = 0
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.daemon.port
                )
                try:
                    while True:
                        number += 1
                        await self._send(
                            f"{self.name}r{number}", target, reader, writer
                        )
                        await asyncio.sleep(self.pause_s)
                finally:
                    writer.close()
            await asyncio.sleep(0.3)

    async def _send(self, id, target, reader, writer):
        head = (
            f"POST {target} HTTP/1.1\r\nHost: {PLAIN_HOST}\r\nContent-Length: 0\r\n"
            f"Plantainstack-Request-Id: {id}\r\n"
            f"Plantainstack-Deadline-Ms: {self.deadline_ms}\r\n\r\n"
        )
        writer.write(head.encode())
        try:
            status, _, _ = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.closed.append((self.case.record.now(), id))
            self.case.record("client", id, "at", self.daemon.name, "channel closed")
            raise
        if status != 200:
            self.case.record("client", id, "at", self.daemon.name, "answered", status)


class Trainer:
    """Submit batches and read their results as the pages tell."""

    def __init__(self, case, route):
        self.case = case
        self.record = case.record
        self.route = route
        self.results = {}

    async def submit(self, daemon, batch_id, body, limit_s=3.0):
        """Submit a batch at one instance; return the status, or None."""
        headers = [
            ("Host", HOST),
            ("Plantainstack-Request-Id", batch_id),
            ("Content-Type", "application/json"),
        ]
        data = json.dumps(body).encode()
        target = f"/{self.route}/{batch_id}"
        status = None
        try:
            status, _, _ = await http(
                daemon.port, "POST", target, headers, data, limit_s
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
            self.record("trainer", batch_id, "at", daemon.name, "no answer:", repr(exc))
        else:
            self.record("trainer", batch_id, "at", daemon.name, "answered", status)
        return status

    async def read(self, daemon, batch_id, after, wait_ms=1000):
        """Read results from a position on; return status and content."""
        headers = [("Host", HOST), ("Plantainstack-Wait-Ms", wait_ms)]
        target = f"/api/lots/{batch_id}?after={after}"
        try:
            status, _, data = await http(daemon.port, "GET", target, headers, b"", 2.5)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
            self.record(
                "read", batch_id, after, "at", daemon.name, "failed:", repr(exc)
            )
            return None, {}
        content = json.loads(data) if status == 200 else {}
        found = len(content.get("results", []))
        self.record(
            "read", batch_id, after, "at", daemon.name, status, found, "results"
        )
        return status, content

    async def read_all(self, batch_id, limit_s):
        """Read a batch twice a second, at all instances in turn, until it is done."""
        results = self.results.setdefault(batch_id, [])
        until = time.monotonic() + limit_s
        total = 1
        while len(results) < total and time.monotonic() < until:
            daemon = random.choice(self.case.daemons)
            _, content = await self.read(daemon, batch_id, len(results))
            results += content.get("results", [])
            total = content.get("total", total)
            await asyncio.sleep(0.3)
        return results

    async def end(self, daemon, batch_id):
        """End a batch; return the status, or None."""
        target = f"/api/lots/{batch_id}"
        try:
            answered = await http(daemon.port, "DELETE", target, [("Host", HOST)])
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return None
        self.record("trainer ends", batch_id, "at", daemon.name, answered[0])
        return answered[0]


def main(rig_type, play):
    """Play a case; exit with 1 if its rule was broken, 0 if not, 2 if it failed."""

    async def run():
        rig = rig_type()
        try:
            await rig.start()
            broken = await asyncio.wait_for(play(rig), 112)
        except Exception as exc:
            rig.record("the case could not run:", repr(exc))
            print("could not run:", repr(exc))
            return 2
        finally:
            await rig.close()
        verdict = f"broken: {broken}" if broken else "the rule held"
        rig.record(verdict)
        print(verdict)
        return 1 if broken else 0

    async def run_until_signal():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await run()

    sys.exit(asyncio.run(run_until_signal()))

"""Stand-in for a model server, as the pages describe it."""

import asyncio
import json
import time
from typing import NamedTuple

from review.lib4 import http1
from review.lib4.store import Store

HEARTBEAT_S = 1.2
LOAD_S = 0.9


class Order(NamedTuple):
    """Hold an order as it arrived; `at` is a monotonic time."""

    at: float
    owner: str
    fence: int
    version: int
    status: int


class ModelServer:
    """Serve orders, reports and streams of events, and register in the store."""

    def __init__(self, store: Store, id: str, service: str, zone: str, model: str):
        self._store = store
        self.id = id
        self._service = service
        self._zone = zone
        self._model = model
        self.version = 1
        self.seq = 0
        self.busy = False
        self.orders: list[Order] = []
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._address = ""
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int, address: str) -> asyncio.Server:
        """Listen on a loopback port, and register under an address."""
        self._address = address
        server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self._start_task(self._beat())
        return server

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            entry = {
                "backend": self._service, "address": self._address,
                "zone": self._zone, "version": "v1", "slots": 16, "state": "ready",
                "cold_ms": 0, "seq": self._beats, "born": self._born,
                "phase": "both", "models": self._models(),
            }  # fmt: skip
            self._store.write("servers", self.id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def _models(self) -> list[dict]:
        return [{"name": self._model, "version": self.version, "adapters": []}]

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await http1.read_request(reader)) is not None:
                writer.write(self._answer(req))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    def _answer(self, req: http1.Request) -> bytes:
        if req.headers.get("plantainstack-expect-instance", self.id) != self.id:
            return http1.encode_json(421, {}, {"Plantainstack-Not-Executed": "1"})
        if req.path == "/api/order":
            return http1.encode_json(self._take_order(json.loads(req.body)), {})
        report = {
            "phase": "both", "models": self._models(), "busy": self.busy,
            "seq": self.seq, "queue_depth": 0, "in_flight": 0, "kv_used": 0,
            "kv_total": 90000, "handles": 0,
        }  # fmt: skip
        return http1.encode_json(200, report)

    def _take_order(self, content: dict) -> int:
        status = 202
        if content.get("expected", self.seq) != self.seq or self.busy:
            status = 409
        elif content["version"] == self.version:
            status = 200
        if status == 202:
            self.seq += 1
            self.busy = True
            self._start_task(self._load(content["version"]))
        self.orders.append(
            Order(
                time.monotonic(), content["owner"], content["fence"],
                content["version"], status,
            )
        )  # fmt: skip
        return status

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        self.version, self.busy = version, False

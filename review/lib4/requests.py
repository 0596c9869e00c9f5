"""Stand-in for a server of a plain service, as the pages describe it."""

import asyncio
import time
from typing import NamedTuple

from lib4 import http1
from lib4.store import Store

HEARTBEAT_S = 1.2
WORK_S = 0.2


class Run(NamedTuple):
    """Hold a request that reached a server; `at` is a monotonic time."""

    request_id: str
    at: float


class PlainServer:
    """Answer requests, and register in the store until the entry is removed."""

    def __init__(self, store: Store, id: str, service: str, zone: str):
        self._store = store
        self.id = id
        self._service = service
        self._zone = zone
        self.runs: list[Run] = []
        self.removed_at: float | None = None
        self._born = int(time.time() * 1000)
        self._address = ""
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        """Listen on a loopback port and register."""
        self._address = f"127.0.0.1:{port}"
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self._beating = asyncio.create_task(self._beat())

    def leave(self) -> None:
        """Leave without a report: the entry is removed, and requests still run."""
        self._beating.cancel()
        self._store.remove("servers", self.id)
        self.removed_at = time.monotonic()

    def end(self) -> None:
        """Exit: running requests are cut off."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        beats = 0
        while True:
            beats += 1
            entry = {
                "backend": self._service, "address": self._address,
                "zone": self._zone, "version": "v1", "slots": 6, "state": "ready",
                "cold_ms": 0, "seq": beats, "born": self._born,
            }  # fmt: skip
            self._store.write("servers", self.id, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (req := await http1.read_request(reader)) is not None:
                writer.write(await self._answer(req))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: http1.Request) -> bytes:
        headers = {"Plantainstack-Server-Load": "1,0,6"}
        request_id = req.headers.get("plantainstack-request-id", "")
        headers["Plantainstack-Request-Id"] = request_id
        if req.headers.get("plantainstack-expect-instance", self.id) != self.id:
            headers["Plantainstack-Not-Executed"] = "1"
            return http1.encode_answer(421, b"", headers)
        self.runs.append(Run(request_id, time.monotonic()))
        await asyncio.sleep(WORK_S)
        headers["Plantainstack-Server-Seal"] = f"{self.id}.{len(self.runs)}"
        return http1.encode_answer(200, request_id.encode(), headers)

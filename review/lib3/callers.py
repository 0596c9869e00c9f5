"""Stand-ins of callers that keep their channels open."""

import asyncio
import uuid

from lib3.http11 import Broken, head, read_body, read_head
from lib3.trainers import HOST

LOOKUP_PREFIX = "/lohu930/"
DEADLINE_MS = 1507


def lookup_route(backend: str) -> dict:
    return {
        "name": "r-lookup",
        "hostname": HOST,
        "prefix": LOOKUP_PREFIX,
        "route_type": "safe",
        "timeout_ms": DEADLINE_MS,
        "slo_ms": 192,
        "priority": 2,
        "backend": backend,
        "max_attempts": 2,
    }


class Caller:
    """Send one request after the other on a channel that is kept.

    `unanswered` lists the ids of requests on a kept channel, which had carried an
    answer before, that the entry instance closed without an answer.
    """

    def __init__(self, instance, pause_s: float):
        self._instance = instance
        self._pause_s = pause_s
        self.answered = self.refused = 0
        self.unanswered: list[str] = []

    async def run(self) -> None:
        while True:
            host, _, port = self._instance.address.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(0.2)

    async def _use(self, reader, writer) -> None:
        answers = 0
        while True:
            id = uuid.uuid4().hex[:16]
            headers = [
                ("Host", HOST),
                ("Plantainstack-Request-Id", id),
                ("Plantainstack-Deadline-Ms", str(DEADLINE_MS)),
                ("Content-Length", "64"),
            ]
            first = f"POST {LOOKUP_PREFIX}{id[:4]} HTTP/1.1"
            try:
                writer.write(head(first, headers) + b"x" * 64)
                await writer.drain()
                found = await read_head(reader)
                if found is None:
                    raise Broken("no answer")
                await read_body(reader, found[1], until_close=False)
            except (OSError, Broken):
                if answers:
                    self.unanswered.append(id)
                return
            answers += 1
            if found[0].split(" ")[1] == "200":
                self.answered += 1
            else:
                self.refused += 1
            if found[1].get("connection", "").lower() == "close":
                return
            await asyncio.sleep(self._pause_s)


def lost(callers: list[Caller], servers) -> list[str]:
    """Return the unanswered requests of kept channels that were passed on."""
    run = {id for server in servers for _, id, _ in server.runs}
    return [id for caller in callers for id in caller.unanswered if id in run]

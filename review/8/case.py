"""Streams are taken up at another software version after a route was added."""

import asyncio
import os
import sys
import uuid
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/tefa112/"
CHAT_PREFIX = "/tefa112/chat/"
OLD_SOFTWARE, NEW_SOFTWARE = "v9", "v10"
SERVERS = 6
# Half of the servers are replaced.
REPLACED = 3
GAP_S = 1.0
DRAIN_S = 2.0
STREAMS = 16
EVENTS, EVENT_GAP_S = 80, 0.05
DEADLINE_MS = 20_000
TRIES = 8
# Streams that may hold events of two software versions.
JOINED_MAX = 2


class Stream:
    """A requester's stream: it is taken up at another instance when it breaks."""

    def __init__(self, record, entries):
        self._record = record
        self._entries = entries
        self._first_id = uuid.uuid4().hex[:16]
        self.events: list[str] = []
        self.is_complete = False

    async def read(self) -> None:
        """Read the stream to its end, in a few tries."""
        for number in range(TRIES):
            entry = self._entries[min(number, len(self._entries) - 1)]
            try:
                self.is_complete = await self._try(entry, number)
            except (OSError, asyncio.IncompleteReadError):
                self.is_complete = False
            if self.is_complete:
                break
            await asyncio.sleep(0.3)
        self._record(
            f"stream {self._first_id}: {len(self.events)} events of"
            f" {sorted(self.software())}, complete: {self.is_complete}"
        )

    def software(self) -> set[str]:
        """Return the software versions whose events the requester has got."""
        return {event.split(":")[0] for event in self.events}

    async def _try(self, entry, number: int) -> bool:
        request_id = uuid.uuid4().hex[:16] if number else self._first_id
        headers = {
            "Plantainstack-Request-Id": request_id,
            "Plantainstack-Deadline-Ms": str(DEADLINE_MS),
        }
        if self.events:
            headers["Last-Event-Id"] = str(len(self.events))
            headers["Resumes"] = self._first_id
        path = f"{CHAT_PREFIX}{self._first_id}"
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        try:
            writer.write(fleet.request_bytes("POST", path, headers, b"x"))
            await writer.drain()
            head = await fleet.read_head(reader)
            status = head.first.split(" ")[1] if head else "none"
            self._record(f"try {request_id} at {entry.id}: status {status}")
            if status != "200":
                return False
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                chunk = (await reader.readexactly(size)).decode()
                await reader.readuntil(b"\r\n")
                lines = chunk.split("\n")
                self.events += [each[6:] for each in lines if each[:6] == "data: "]
            return True
        finally:
            writer.close()


async def release(store, record, servers) -> None:
    """Replace servers by such of the new software; the new one starts first."""
    for number in range(REPLACED):
        server = fleet.ModelServer(
            store,
            record,
            10 + number,
            events=EVENTS,
            gap_s=EVENT_GAP_S,
            software=NEW_SOFTWARE,
        )
        await server.start()
        record(f"server {server.id} of {NEW_SOFTWARE} replaces {servers[number].id}")
        await asyncio.sleep(GAP_S)
        await servers[number].leave(DRAIN_S)


async def play(record, directory) -> int:
    """Play the case; return the exit code."""
    store = fleet.Store(record)
    kind = {"route_type": "stream", "timeout_ms": DEADLINE_MS, "max_attempts": 4}
    old = fleet.route("r-old", PREFIX, **kind)
    store.write("op", "", "config", fleet.config(1, [old]))
    options = {"events": EVENTS, "gap_s": EVENT_GAP_S, "software": OLD_SOFTWARE}
    servers = [
        fleet.ModelServer(store, record, number, **options) for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    entries = await fleet.start_entries(store, directory, 3)
    try:
        await asyncio.sleep(3.0)
        await release(store, record, servers)
        await asyncio.sleep(2.0)
        streams = [Stream(record, entries) for _ in range(STREAMS)]
        reading = [asyncio.create_task(each.read()) for each in streams]
        await asyncio.sleep(0.8)
        if TROUBLE:
            added = fleet.route("r-chat", CHAT_PREFIX, **kind)
            store.write("op", "", "config", fleet.config(2, [old, added]))
            record(f"config 2 adds a stream route with the prefix {CHAT_PREFIX}")
        await asyncio.sleep(1.2)
        entries[0].process.kill()
        record(f"{entries[0].id} is killed")
        await asyncio.gather(*reading)
        joined = [each for each in streams if len(each.software()) > 1]
        complete = sum(each.is_complete for each in joined)
        record(
            f"{len(joined)} of {STREAMS} streams hold events of two software versions,"
            f" {complete} of them complete"
        )
        return 1 if len(joined) > JOINED_MAX else 0
    finally:
        for entry in entries:
            await entry.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(HERE, play)))

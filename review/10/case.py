"""A server's answer to an item goes on without end and takes all memory."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIXES = ("/pufi791/", "/lohu930/", "/tefa112/")
INSTANCES = 3
SERVERS = 5
# One server in five answers one request in 34 without an end.
FAULTY = 1
SPOILED_EVERY = 34
# The site's machines.
MEMORY_MB = 180
LINK_BYTES_PER_S = 60_000_000
ENDLESS_EVENT_BYTES = 16_000
BURST_EVENTS = 8
ITEMS = 36
EVERY_S = 4.0
DAY_S = 90.0


class EndlessServer(fleet.ModelServer):
    """A faulty server: one answer in SPOILED_EVERY does not end."""

    spoils = False

    async def run(self, request_id, head, writer) -> None:
        """Answer a request; go on with events until the caller closes if spoiled."""
        if not self.spoils or self.requests % SPOILED_EVERY:
            await super().run(request_id, head, writer)
            return
        self.record(f"server {self.id} answers {request_id} without end")
        self.begin(request_id, writer)
        number = int(head.headers.get("last-event-id", "0"))
        while not writer.is_closing():
            for _ in range(BURST_EVENTS):
                number += 1
                self.send_event(request_id, number, ENDLESS_EVENT_BYTES, writer)
                await writer.drain()
            await asyncio.sleep(BURST_EVENTS * ENDLESS_EVENT_BYTES / LINK_BYTES_PER_S)


async def read_step(record, entries, number, batch_id) -> None:
    """Read a step until it is complete or due, and end it."""
    read = 0
    for poll in range(12):
        entry = entries[(number + poll) % len(entries)]
        page = await fleet.read_results(entry, batch_id, read)
        read += len(page["results"]) if page else 0
        if read >= ITEMS:
            break
        await asyncio.sleep(0.5)
    record(f"step {number}: {read} of {ITEMS} results")
    for entry in entries:
        if await fleet.end(record, entry, batch_id) == 200:
            return


async def train(record, entries, prefix: str, delay_s: float) -> None:
    """Submit a step every few seconds, each time at another instance."""
    number = 0
    await asyncio.sleep(delay_s)
    async with asyncio.TaskGroup() as tasks:
        while True:
            batch_id, _, body = fleet.batch(prefix, ITEMS)
            for attempt in range(INSTANCES):
                entry = entries[(number + attempt) % INSTANCES]
                if await fleet.submit(record, entry, prefix, batch_id, body) == 202:
                    break
            tasks.create_task(read_step(record, entries, number, batch_id))
            number += 1
            await asyncio.sleep(EVERY_S)


async def play(record, directory) -> int:
    """Play the case; return the exit code."""
    store = fleet.Store(record)
    routes = [fleet.route(f"r{prefix[1:-1]}", prefix) for prefix in PREFIXES]
    store.write("op", "", "config", fleet.config(1, routes))
    servers = [EndlessServer(store, record, number) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    for server in servers[:FAULTY]:
        server.spoils = TROUBLE
    entries = await fleet.start_entries(store, directory, INSTANCES)
    watch = fleet.MemoryWatch(record, entries, MEMORY_MB)
    try:
        work = [
            train(record, entries, prefix, number * EVERY_S / len(PREFIXES))
            for number, prefix in enumerate(PREFIXES)
        ]
        return await fleet.play_until_exceeded(record, watch, work, DAY_S)
    finally:
        for entry in entries:
            await entry.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(HERE, play)))

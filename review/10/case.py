"""The request bodies of accepted batches stay in memory after the batches ended."""

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
# The site's machines.
MEMORY_MB = 180
ITEMS = 36
# 7.2 MB a batch, 9.6 MB as it is sent; bodies of 33.5 MB are legal.
BODY_BYTES = 200_000 if TROUBLE else 600
EVERY_S = 4.0
DAY_S = 108.0


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


async def look(record, entries, batch_id, ids) -> None:
    """Request the body of an item at each instance, as other requesters do."""
    path = f"/api/items/{batch_id}?id={ids[-1]}"
    for entry in entries:
        found = await fleet.call(entry.port, "GET", path, {}, b"", 5.0)
        size = len(found[1]) if found else None
        record(f"body of an item of {batch_id} at {entry.id}: {size} bytes")


async def train(record, entries, prefix: str, delay_s: float) -> None:
    """Submit a step every few seconds, each time at another instance."""
    number = 0
    await asyncio.sleep(delay_s)
    async with asyncio.TaskGroup() as tasks:
        while True:
            batch_id, ids, body = fleet.batch(prefix, ITEMS, BODY_BYTES)
            for attempt in range(INSTANCES):
                entry = entries[(number + attempt) % INSTANCES]
                if await fleet.submit(record, entry, prefix, batch_id, body) == 202:
                    break
            tasks.create_task(look(record, entries, batch_id, ids))
            tasks.create_task(read_step(record, entries, number, batch_id))
            number += 1
            await asyncio.sleep(EVERY_S)


async def play(record, directory) -> int:
    """Play the case; return the exit code."""
    store = fleet.Store(record)
    routes = [fleet.route(f"r{prefix[1:-1]}", prefix) for prefix in PREFIXES]
    store.write("op", "", "config", fleet.config(1, routes))
    servers = [fleet.ModelServer(store, record, number) for number in range(SERVERS)]
    for server in servers:
        await server.start()
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

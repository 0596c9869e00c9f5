"""A configuration that adds a route gives up batches of a route that is still there."""

import asyncio
import contextlib
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/pufi791/"
# Where the trainer submits, under the prefix of the rollout route.
BATCH_PREFIX = "/pufi791/saddle/"
ADDED_PREFIX = BATCH_PREFIX if TROUBLE else "/lohu930/saddle/"
ITEMS = 40
INSTANCES = 3
SERVERS = 5
# An item takes 2.5 s at its server.
EVENTS, EVENT_GAP_S = 50, 0.05
CHANGE_AFTER_S = 1.0
READ_LIMIT_S = 30.0


async def read_all(record, entries, batch_id) -> list[dict]:
    """Read all results of the batch, as far as they come in time."""
    results: list[dict] = []
    number = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(READ_LIMIT_S):
            while len(results) < ITEMS:
                number += 1
                entry = entries[number % len(entries)]
                page = await fleet.read_results(entry, batch_id, len(results))
                results += page["results"] if page else []
                await asyncio.sleep(0.2)
    for result in results:
        record(f"result {result['id']} {result['state']} {len(result['output'])} bytes")
    return results


async def play(record, directory) -> int:
    """Play the case; return the exit code."""
    store = fleet.Store(record)
    rollout = fleet.route("r-n73hh2b", PREFIX)
    store.write("op", "", "config", fleet.config(1, [rollout]))
    servers = [
        fleet.ModelServer(store, record, number, events=EVENTS, gap_s=EVENT_GAP_S)
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    entries = await fleet.start_entries(store, directory, INSTANCES)
    try:
        batch_id, _, body = fleet.batch(BATCH_PREFIX, ITEMS)
        if await fleet.submit(record, entries[0], BATCH_PREFIX, batch_id, body) != 202:
            return 2
        await asyncio.sleep(CHANGE_AFTER_S)
        added = fleet.route("r-added", ADDED_PREFIX, route_type="safe", timeout_ms=1500)
        store.write("op", "", "config", fleet.config(2, [rollout, added]))
        record(f"config 2 adds a safe route with the prefix {ADDED_PREFIX}")
        results = await read_all(record, entries, batch_id)
        given_up = [each["id"] for each in results if each["state"] == "abandoned"]
        ran = {id for server in servers for id in server.ran}
        record(f"{len(results)} results, {len(given_up)} abandoned, {len(ran)} ran")
        return 1 if given_up else 0 if len(results) == ITEMS else 2
    finally:
        for entry in entries:
            await entry.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(fleet.run_case(HERE, play)))

"""Trainers' steps as on the sheet, whose texts hold an emoji each."""

import asyncio
import json
import sys
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib3.callers import Caller, lookup_route, lost
from lib3.fleet import Instance, Platform, main
from lib3.servers import Endpoint, Store, config, event_text, service
from lib3.trainers import batch, end, read, rollout_route, submit

# The smallest machines of velocadre-tn-grown.
MEMORY_MB = 128
MACHINES = 2
MODEL = "daka510000"
TRAINERS = 3
PERIOD_S = 4.0
GROUPS, SIZE = 13, 8
# An output has 19 events of 350 bytes, the mean of the sheet.
EVENTS, EVENT_S, EVENT_BYTES = 19, 0.05, 350
EMOJI = "\U0001f6b2"
CALLERS, CALLER_PAUSE_S = 6, 0.02
LOST_MAX = 3
WATCH_S = 105.0


def prefix(trainer: int) -> str:
    return f"/pufi79{trainer}/"


def emoji_text(id: str, number: int, size: int) -> str:
    """Return the data of an event, with an emoji in the first one."""
    if number > 1:
        return event_text(id, number, size)
    return event_text(id, number, size - len(EMOJI.encode())) + EMOJI


class Case:
    def __init__(self, record, folder, trouble):
        self._record = record
        self._folder = folder
        self._text = emoji_text if trouble else event_text
        self._store = Store()
        self._results = 0

    async def run(self) -> str:
        address = await self._store.start()
        routes = [
            rollout_route("fit-models", name=f"r-{n}", prefix=prefix(n))
            for n in range(TRAINERS)
        ]
        routes.append(lookup_route("booking-app"))
        services = [service("fit-models", [MODEL]), service("booking-app")]
        self._store.write("op", "config", config(1, routes, services))
        for _ in range(5):
            await Endpoint(
                self._store,
                "fit-models",
                MODEL,
                events=EVENTS,
                event_s=EVENT_S,
                event_bytes=EVENT_BYTES,
                text=self._text,
            ).start()
        self._plain = [Endpoint(self._store, "booking-app", slots=6) for _ in range(4)]
        for server in self._plain:
            await server.start()
        self._instances = [
            Instance(f"front-{n}", address, MEMORY_MB, self._folder, self._record)
            for n in range(1, MACHINES + 1)
        ]
        for instance in self._instances:
            instance.start()
        platform = Platform(self._instances, self._record)
        tasks = [asyncio.create_task(platform.watch())]
        try:
            await platform.wait_until_ready()
            self._callers = [
                Caller(entry, CALLER_PAUSE_S)
                for entry in self._instances
                for _ in range(CALLERS)
            ]
            works = [caller.run() for caller in self._callers]
            works += [self._train(trainer) for trainer in range(TRAINERS)]
            tasks += [asyncio.create_task(work) for work in works]
            return await self._judge()
        finally:
            for task in tasks:
                task.cancel()
            for instance in self._instances:
                instance.end()

    async def _train(self, trainer: int) -> None:
        """Run one step after the other, a new one each PERIOD_S at the earliest."""
        step = 0
        while True:
            due = time.monotonic() + PERIOD_S
            await self._run_step(trainer, step)
            step += 1
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _run_step(self, trainer: int, step: int) -> None:
        id = uuid.uuid4().hex[:16]
        content = batch(MODEL, GROUPS, SIZE, 600, step)
        number = trainer + step
        while True:
            entry = self._instances[number % MACHINES]
            answer = await submit(entry.address, id, content, prefix=prefix(trainer))
            if answer is not None and answer.status == 202:
                break
            number += 1
            await asyncio.sleep(0.2)
        # The trainer, and another reader at the other machines.
        readers = [self._read(id, entry, trainer == 0) for entry in self._instances]
        await asyncio.gather(*readers)
        await end(entry.address, id)

    async def _read(self, id: str, entry, counts: bool) -> None:
        position = 0
        while position < GROUPS * SIZE:
            page = await read(entry.address, id, position)
            if page is not None and page.status == 200:
                position = json.loads(page.body)["next"]
            await asyncio.sleep(0.3)
        self._results += position

    async def _judge(self) -> str:
        end_at = time.monotonic() + WATCH_S
        logged_at = 0.0
        while time.monotonic() < end_at:
            await asyncio.sleep(0.1)
            found = lost(self._callers, self._plain)
            ends = {
                each.id: len(each.kills) + len(each.ends) for each in self._instances
            }
            if time.monotonic() > logged_at + 4.0:
                logged_at = time.monotonic()
                used = {each.id: round(each.used_mb()) for each in self._instances}
                answered = sum(each.answered for each in self._callers)
                self._record.add(
                    f"memory in MB: {used}, ends: {ends}; results read: "
                    f"{self._results}; lookups answered: {answered}, lost: {len(found)}"
                )
            if len(found) > LOST_MAX and min(ends.values()):
                for id in found:
                    self._record.add(f"lookup {id} ran, and its channel was closed")
                return (
                    f"{len(found)} lookups on kept channels ran and got no answer; "
                    f"processes ended {ends} times above {MEMORY_MB} MB"
                )
        return ""


async def case(record, folder, trouble) -> str:
    return await Case(record, folder, trouble).run()


main(case)

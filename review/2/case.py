"""One instance stands still for a moment: do the others keep running?"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

FOLDER = Path(__file__).resolve().parent
MODEL = "m0"
ENDS = 3
ROUNDS = 12
ROUND_S = 8.2
# How long the instance stands still.
FREEZES_S = (0.34, 0.36, 0.38)
# An engine reads a prompt before its first event.
PREFILL_S = 0.15
EVENT_S = 0.1
LONG_EVENTS = 100
SHORT_EVENTS = (3, 12)


class Engine(rig.Server):
    """An engine that reads prompts and writes an event each 100 ms."""

    async def run(self, request, reader, writer):
        id = request.headers["plantainstack-request-id"]
        self.runs.append(id)
        self.record("server", self.id, "run", id)
        await asyncio.sleep(PREFILL_S)
        events = [f"{id} {n}" for n in range(1, int(id.rpartition("x")[2]) + 1)]
        await self.stream(request, writer, events, EVENT_S)


class Case(rig.Rig):
    def __init__(self):
        super().__init__(FOLDER)
        self.add_service("llm", MODEL)
        for name in ("long1", "long2", "short"):
            self.add_route(name, rig.HOST, "llm", "rollout", max_queue_s=30)
        for number in range(1, 10):
            self.servers.append(Engine(self, f"i-llm{number}", "llm", MODEL))


async def play(case):
    long = [rig.Trainer(case, "long1"), rig.Trainer(case, "long2")]
    short = rig.Trainer(case, "short")
    third = case.daemons[2]
    for number in range(ROUNDS):
        freeze_s = FREEZES_S[number % len(FREEZES_S)]
        batches = [f"{trainer.route}n{number}" for trainer in long]
        for trainer, daemon, batch in zip(long, case.daemons, batches, strict=False):
            body = rig.batch_body(batch, trainer.route, 1, 4, LONG_EVENTS, step=number)
            await trainer.submit(daemon, batch, body)
        await asyncio.sleep(5.5)
        batches.append(f"shortn{number}")
        body = rig.batch_body(batches[-1], "short", 5, 8, SHORT_EVENTS, step=number)
        await short.submit(third, batches[-1], body)
        await asyncio.sleep(0.06)
        if rig.trouble():
            third.signal(signal.SIGSTOP)
        await asyncio.sleep(freeze_s)
        if rig.trouble():
            third.signal(signal.SIGCONT)
        await asyncio.sleep(ROUND_S - 6.3)
        for batch in batches:
            await short.end(third, batch)
    await asyncio.sleep(0.5)
    ends = {each.name: len(each.own_ends) for each in case.daemons[:2]}
    case.record("processes that ended by themselves:", ends)
    often = [name for name, count in ends.items() if count >= ENDS]
    return f"processes ended by themselves {ends}" if len(often) >= 2 else ""


rig.main(Case, play)

"""Requests come on kept channels while an instance stops: are they cut?"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

FOLDER = Path(__file__).resolve().parent
MODEL = "m0"
GRACE_S = 8.0
CHANNELS = 12
# A booking takes this long at its server.
WORK_S = 1.8
DEADLINE_MS = 5000
# When the requesters use their channels again, after SIGTERM.
SENT_S = (6.0, 6.9)
ITEM_EVENTS = 120
EVENT_S = 0.1


class App(rig.Server):
    """A plain service whose requests may not be repeated."""

    async def run(self, request, reader, writer):
        id = request.headers["plantainstack-request-id"]
        self.runs.append(id)
        self.record("server", self.id, "run", id)
        await asyncio.sleep(WORK_S if "second" in id else 0.03)
        writer.write(
            rig.answer(200, b"booked " + id.encode(), self.id_headers(request))
        )
        self.record("server", self.id, "answers", id)


class Engine(rig.Server):
    """An engine whose items last longer than the stop of an instance."""

    async def run(self, request, reader, writer):
        id = request.headers["plantainstack-request-id"]
        events = [f"{id} {number}" for number in range(1, ITEM_EVENTS + 1)]
        await self.stream(request, writer, events, EVENT_S)


class Case(rig.Rig):
    def __init__(self):
        super().__init__(FOLDER)
        self.add_service("app")
        self.add_service("llm", MODEL)
        fields = {"timeout_ms": 10_000, "slo_ms": 2000}
        self.add_route("book", rig.PLAIN_HOST, "app", "unsafe", **fields)
        self.add_route("roll", rig.HOST, "llm", "rollout", max_queue_s=60)
        for number in range(1, 4):
            self.servers.append(App(self, f"i-app{number}", "app", slots=6))
        for number in range(1, 6):
            self.servers.append(Engine(self, f"i-llm{number}", "llm", MODEL))

    async def requester(self, daemon, number, stopping, delay_s) -> str:
        """Send a request, keep the channel, and send another one later.

        Returns "answered", "not passed on" or "cut".
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
        try:
            await self.send(daemon, f"first{number}", reader, writer)
            await stopping.wait()
            await asyncio.sleep(delay_s)
            id = f"second{number}"
            try:
                status = await self.send(daemon, id, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                ran = any(id in server.runs for server in self.servers)
                self.record("client", id, "channel closed without an answer")
                return "cut" if ran else "not passed on"
            return "answered" if status else ""
        finally:
            writer.close()

    async def send(self, daemon, id, reader, writer) -> int:
        head = (
            f"POST /book/x HTTP/1.1\r\nHost: {rig.PLAIN_HOST}\r\nContent-Length: 0\r\n"
            f"Plantainstack-Request-Id: {id}\r\n"
            f"Plantainstack-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
        )
        self.record("client", id, "sends to", daemon.name)
        writer.write(head.encode())
        status, _, _ = await rig.read_answer(reader)
        self.record("client", id, "answered", status)
        return status


async def play(case):
    daemon = case.daemons[0]
    trainer = rig.Trainer(case, "roll")
    stopping = asyncio.Event()
    await asyncio.sleep(4.0)
    first, last = SENT_S
    delays = [first + (last - first) * n / (CHANNELS - 1) for n in range(CHANNELS)]
    requesters = [
        case.spawn(case.requester(daemon, number, stopping, delay_s))
        for number, delay_s in enumerate(delays)
    ]
    await asyncio.sleep(1.0)
    body = rig.batch_body("batch1", "roll", 2, 4, ITEM_EVENTS)
    await trainer.submit(daemon, "batch1", body)
    await asyncio.sleep(0.5)
    stopping.set()
    if rig.trouble():
        daemon.signal(signal.SIGTERM)
        case.spawn(kill_later(daemon))
    ends = await asyncio.gather(*requesters)
    cut = ends.count("cut")
    case.record("answered", ends.count("answered"), "cut", cut)
    return f"{cut} accepted requests were cut off by the stop" if cut else ""


async def kill_later(daemon):
    """Send SIGKILL at the end of the grace period, as the platform does."""
    process = daemon.process
    await asyncio.sleep(GRACE_S)
    if daemon.process is process and process.returncode is None:
        daemon.signal(signal.SIGKILL)


rig.main(Case, play)

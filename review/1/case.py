"""One server's report never ends: do the entry instances keep running?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

FOLDER = Path(__file__).resolve().parent
MODEL = "m0"
ENDS = 3
PLAY_S = 60.0


class TroubledServer(rig.Server):
    """A server whose report has bytes that are no answer, without end."""

    async def report(self, request, writer):
        self.record("server", self.id, "report: bytes without end")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        while True:
            writer.write(b"8\r\nxxxxxxxx\r\n")
            await writer.drain()
            await asyncio.sleep(0.1)


class Case(rig.Rig):
    def __init__(self):
        super().__init__(FOLDER)
        self.add_service("llm", MODEL)
        self.add_service("app")
        self.add_route("roll", rig.HOST, "llm", "rollout", max_queue_s=30)
        self.add_route("look", rig.PLAIN_HOST, "app", "safe")
        for number in range(1, 6):
            kind = TroubledServer if rig.trouble() and number == 1 else rig.Server
            self.servers.append(kind(self, f"i-llm{number}", "llm", MODEL))
        for number in range(1, 4):
            self.servers.append(rig.Server(self, f"i-app{number}", "app"))


async def play(case):
    for version in range(2, 14):
        case.name_version(MODEL, version)
        await asyncio.sleep(PLAY_S / 12)
    ends = {each.name: len(each.own_ends) for each in case.daemons}
    case.record("processes that ended by themselves:", ends)
    often = [name for name, count in ends.items() if count >= ENDS]
    return f"processes ended by themselves {ends}" if len(often) >= 2 else ""


rig.main(Case, play)

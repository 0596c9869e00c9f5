"""Calls to the fleet of real processes, and waits for its conditions."""

import time
from collections import Counter

import anyio
import httpcore
import msgspec

from plantainstack.errors import Outcome
from standins.completions import completion_text
from tools.demo_api import CallerHttpClient, Reply, call
from tools.demo_fleet import ENDPOINTS

START_LIMIT_S = 60.0
# A successor needed 20 s to complete the step of a killed owner.
WAIT_LIMIT_S = 80.0
POLL_S = 0.02
CALL_LIMIT_S = 20.0
BOOKING_SERVICE = "booking-app"
MODEL = "fit-models"
ENGINES = ("fit-1", "fit-2")
SHOPS = ("shops-1", "shops-2")
MESSAGES = [{"role": "user", "content": "Draft a saddle height."}]


class World:
    """Make calls through the fleet, and look at what became of them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.callers = CallerHttpClient(fleet.caller_token)

    async def until(self, holds):
        """Wait until a condition holds, and return what it returned."""
        with anyio.fail_after(WAIT_LIMIT_S):
            while not (found := await holds()):
                await anyio.sleep(POLL_S)
        return found

    async def serves(self, name):
        """Return whether an instance is ready and reaches every endpoint."""
        entry = self.fleet.entries[name]
        if not (await call(entry, "GET", "/readyz")).ok:
            return False
        looked_up = await self.look_up(name)
        return looked_up.ok and (await self.complete(name, 0, 4)).ok

    async def look_up(self, name):
        entry = self.fleet.entries[name]
        return await self.callers.look_up(entry, BOOKING_SERVICE, "records/1", 5.0)

    async def complete(self, name, seed, max_tokens):
        entry = self.fleet.entries[name]
        return await self.callers.complete(
            entry, MODEL, MESSAGES, seed, max_tokens, CALL_LIMIT_S
        )

    async def book(self, name, reference, limit_s=CALL_LIMIT_S) -> Reply:
        entry = self.fleet.entries[name]
        return await self.callers.book(entry, BOOKING_SERVICE, reference, limit_s)

    async def book_all(self, name, references, replies):
        """Send bookings at once, and keep each reply."""

        async def keep(reference):
            replies[reference] = await self.book(name, reference)

        async with anyio.create_task_group() as tasks:
            for reference in references:
                tasks.start_soon(keep, reference)

    async def runs(self) -> Counter:
        """Return how often each booking ran, over all endpoints."""
        total = Counter()
        for name in SHOPS:
            total.update((await self.fleet.state(name))["runs"])
        return total

    async def rows(self, prefix):
        """Return the values of the table's rows whose key has a prefix."""
        request = {"prefix": prefix}
        reply = await call(self.fleet.standins["table"], "POST", "/scan", request)
        if not reply.ok:
            return {}
        return {row["key"]: row["value"] for row in reply.content["rows"]}

    async def check_runs(self, first, last):
        """Check replies to bookings and to their repeats against the runs.

        A later `not_run` is about its own attempt, so that it settles a booking
        only if the first reply was `not_run` too.
        """
        runs = await self.runs()
        for reference, reply in last.items():
            assert runs[reference] <= 1, f"{reference} ran {runs[reference]} times"
            if reply.ok:
                assert runs[reference] == 1, f"{reference} was confirmed but lost"
                assert reply.content["reference"] == reference
            told = {first[reference].outcome(), reply.outcome()}
            if not reply.ok and told == {Outcome.NOT_RUN}:
                assert runs[reference] == 0, f"{reference} ran in spite of not_run"

    async def stream(self, name, seed, max_tokens, on_part):
        """Return the text of a stream and whether it had its end marker."""
        entry = self.fleet.entries[name]
        request = {
            "model": MODEL,
            "messages": MESSAGES,
            "seed": seed,
            "max_tokens": max_tokens,
            "stream": True,
        }
        data = msgspec.json.encode(request)
        headers = [
            ("host", str(entry)),
            ("authorization", f"Bearer {self.fleet.caller_token}"),
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
            ("x-request-deadline", str(int((time.time() + CALL_LIMIT_S) * 1000))),
        ]
        origin = httpcore.Origin(b"http", entry.host.encode(), entry.port)
        received = b""
        with anyio.move_on_after(CALL_LIMIT_S + 5.0):
            try:
                async with httpcore.AsyncHTTPConnection(origin) as conn:
                    url = f"http://{entry}/v1/chat/completions"
                    sent = conn.stream("POST", url, headers=headers, content=data)
                    async with sent as answer:
                        async for part in answer.aiter_stream():
                            received += part
                            on_part()
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
        return text_of(received), received.endswith(b"data: [DONE]\n\n")


def text_of(received):
    """Return the text in the complete events of a stream."""
    text = ""
    for event in received.split(b"\n\n")[:-1]:
        data = event.removeprefix(b"data: ")
        if data != b"[DONE]":
            choices = msgspec.json.decode(data).get("choices", [])
            text += "".join(each["delta"].get("content") or "" for each in choices)
    return text


def expected(seed, max_tokens):
    return completion_text(MESSAGES, seed, max_tokens)


def endpoints_of(service):
    return [each for each in ENDPOINTS if each.service == service]

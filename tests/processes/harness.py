"""Client of the fleet of real processes, for the tests of this directory."""

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
# Completing the step of a killed owner takes its successor 20 s.
WAIT_LIMIT_S = 80.0
POLL_S = 0.02
CALL_LIMIT_S = 20.0
BOOKING_SERVICE = "booking-app"
MODEL = "fit-models"
ENGINES = ("fit-1", "fit-2")
BOOKING_ENDPOINTS = ("shops-1", "shops-2")
MESSAGES = [{"role": "user", "content": "Draft a saddle height."}]


class FleetClient:
    """Send requests to the instances, and read the state of the stand-ins."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.callers = CallerHttpClient(fleet.caller_token)

    async def until(self, condition):
        """Poll until a condition is true, and return its value."""
        with anyio.fail_after(WAIT_LIMIT_S):
            while not (value := await condition()):
                await anyio.sleep(POLL_S)
        return value

    async def serves(self, name):
        """Return whether an instance is ready and serves look-ups and completions."""
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
        """Send bookings concurrently, and store each reply under its reference."""

        async def collect(reference):
            replies[reference] = await self.book(name, reference)

        async with anyio.create_task_group() as tasks:
            for reference in references:
                tasks.start_soon(collect, reference)

    async def runs(self) -> Counter:
        """Return how often each booking ran, summed over its endpoints."""
        total = Counter()
        for name in BOOKING_ENDPOINTS:
            total.update((await self.fleet.state(name))["runs"])
        return total

    async def rows(self, prefix):
        """Return the table's rows under a key prefix, or none if the table fails."""
        request = {"prefix": prefix}
        reply = await call(self.fleet.standins["table"], "POST", "/scan", request)
        if not reply.ok:
            return {}
        return {row["key"]: row["value"] for row in reply.content["rows"]}

    async def check_runs(self, first, last):
        """Check the replies to bookings and to their repeats against the runs.

        A `not_run` in the later reply applies to its own attempt only, so the
        booking must not have run only if the first reply was `not_run` too.
        """
        runs = await self.runs()
        for reference, reply in last.items():
            assert runs[reference] <= 1, f"{reference} ran {runs[reference]} times"
            if reply.ok:
                assert runs[reference] == 1, (
                    f"{reference} was confirmed but did not run"
                )
                assert reply.content["reference"] == reference
            outcomes = {first[reference].outcome(), reply.outcome()}
            if not reply.ok and outcomes == {Outcome.NOT_RUN}:
                assert runs[reference] == 0, (
                    f"{reference} ran although reported as not_run"
                )

    async def stream(self, name, seed, max_tokens, on_chunk):
        """Return the text of a stream, and whether it ended with its end marker."""
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
                    stream = conn.stream("POST", url, headers=headers, content=data)
                    async with stream as response:
                        async for chunk in response.aiter_stream():
                            received += chunk
                            on_chunk()
            except (httpcore.NetworkError, httpcore.ProtocolError):
                pass
        return text_of(received), received.endswith(b"data: [DONE]\n\n")


def text_of(received):
    """Return the text of the complete events of a stream."""
    text = ""
    for event in received.split(b"\n\n")[:-1]:
        data = event.removeprefix(b"data: ")
        if data != b"[DONE]":
            choices = msgspec.json.decode(data).get("choices", [])
            text += "".join(choice["delta"].get("content") or "" for choice in choices)
    return text


def expected_text(seed, max_tokens):
    return completion_text(MESSAGES, seed, max_tokens)


def endpoints_of(service):
    return [endpoint for endpoint in ENDPOINTS if endpoint.service == service]

"""The load under which the cost of each role is measured."""

import itertools
import time
from typing import NamedTuple

import anyio
import httpcore
import msgspec

from plantainstack.settings.options import Address
from tools.roles_fleet import MeasurementError

CALL_LIMIT_S = 40.0


class StreamTotals(NamedTuple):
    """Hold how much was streamed; requests, chunks with text, tokens."""

    requests: int
    chunks: int
    tokens: int


class Client:
    """Call one address on one connection, which stays open."""

    def __init__(self, address: Address, token: str = ""):
        self._address = address
        self._authorization = [("authorization", f"Bearer {token}")] if token else []
        origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self._conn = httpcore.AsyncHTTPConnection(origin)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._conn.aclose()

    async def call(self, method: str, path: str, content=None, headers=()) -> bytes:
        """Return the body of a good answer; raises MeasureError otherwise."""
        data = b"" if content is None else msgspec.json.encode(content)
        answer = await self._conn.request(
            method,
            f"http://{self._address}{path}",
            headers=self._headers(data, headers),
            content=data,
        )
        if answer.status >= 400:
            text = answer.content[:200].decode(errors="replace")
            raise MeasurementError(f"{method} {path}: {answer.status} {text}")
        return answer.content

    async def stream(self, content: dict) -> StreamTotals:
        """Read a streamed completion to its end."""
        data = msgspec.json.encode(content)
        url = f"http://{self._address}/v1/chat/completions"
        headers = self._headers(data, ())
        async with self._conn.stream(
            "POST", url, headers=headers, content=data
        ) as answer:
            text = b"".join([part async for part in answer.aiter_stream()])
        if answer.status >= 400 or not text.rstrip().endswith(b"[DONE]"):
            raise MeasurementError(f"stream: {answer.status} {text[-200:]!r}")
        return _count(text)

    def _headers(self, data: bytes, more) -> list[tuple[str, str]]:
        return [
            ("host", str(self._address)),
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
            ("x-request-deadline", str(int((time.time() + CALL_LIMIT_S) * 1000))),
            *self._authorization,
            *more,
        ]


def completion(model: str, number: int, max_tokens: int) -> dict:
    """Return the body of a request for a streamed completion."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": f"Question {number}?"}],
        "seed": number,
        "max_tokens": max_tokens,
        "stream": True,
    }


async def repeat(address: Address, token: str, count: int, at_once: int, make):
    """Make numbered calls on a number of connections; return their results.

    `make(client, number)` makes one call.
    """
    numbers = itertools.count()
    results = []

    async def work() -> None:
        client = Client(address, token)
        try:
            while (number := next(numbers)) < count:
                results.append(await make(client, number))
        finally:
            await client.aclose()

    async with anyio.create_task_group() as tasks:
        for _ in range(min(at_once, count)):
            tasks.start_soon(work)
    return results


async def timed(client: Client, method: str, path: str) -> float:
    """Return the seconds that one call takes."""
    started = time.perf_counter()
    await client.call(method, path)
    return time.perf_counter() - started


def _count(text: bytes) -> StreamTotals:
    words = chunks = 0
    for line in text.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        choices = msgspec.json.decode(line[len(b"data: ") :]).get("choices") or [{}]
        content = choices[0].get("delta", {}).get("content")
        if content:
            chunks += 1
            words += len(content.split())
    return StreamTotals(1, chunks, words)

"""Generate the load of the role measurements."""

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
    """Counts of a streamed completion; chunks without text are not counted."""

    requests: int
    chunks: int
    tokens: int


class Client:
    """HTTP client of one address with one persistent connection."""

    def __init__(self, address: Address, token: str = ""):
        self._address = address
        self._authorization = [("authorization", f"Bearer {token}")] if token else []
        origin = httpcore.Origin(b"http", address.host.encode(), address.port)
        self._conn = httpcore.AsyncHTTPConnection(origin)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._conn.aclose()

    async def call(self, method: str, path: str, content=None, headers=()) -> bytes:
        """Return the answer's body; raises MeasurementError on status 400 or above."""
        data = b"" if content is None else msgspec.json.encode(content)
        answer = await self._conn.request(
            method,
            f"http://{self._address}{path}",
            headers=self._headers(data, headers),
            content=data,
        )
        if answer.status >= 400:
            text = answer.content[:200].decode(errors="replace")
            raise MeasurementError(f"{method} {path} returned {answer.status}: {text}")
        return answer.content

    async def stream(self, content: dict) -> StreamTotals:
        """Read a streamed completion to its end marker.

        Raises MeasurementError on an error status or a missing end marker.
        """
        data = msgspec.json.encode(content)
        url = f"http://{self._address}/v1/chat/completions"
        headers = self._headers(data, ())
        async with self._conn.stream(
            "POST", url, headers=headers, content=data
        ) as answer:
            text = b"".join([part async for part in answer.aiter_stream()])
        if answer.status >= 400 or not text.rstrip().endswith(b"[DONE]"):
            raise MeasurementError(
                f"stream failed with status {answer.status}: {text[-200:]!r}"
            )
        return _count(text)

    def _headers(self, data: bytes, extra) -> list[tuple[str, str]]:
        return [
            ("host", str(self._address)),
            ("content-type", "application/json"),
            ("content-length", str(len(data))),
            ("x-request-deadline", str(int((time.time() + CALL_LIMIT_S) * 1000))),
            *self._authorization,
            *extra,
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


async def repeat(address: Address, token: str, count: int, concurrency: int, send):
    """Send numbered calls over concurrent connections and return their results.

    `send(client, number)` sends one call.
    """
    numbers = itertools.count()
    results = []

    async def work() -> None:
        client = Client(address, token)
        try:
            while (number := next(numbers)) < count:
                results.append(await send(client, number))
        finally:
            await client.aclose()

    async with anyio.create_task_group() as tasks:
        for _ in range(min(concurrency, count)):
            tasks.start_soon(work)
    return results


async def timed(client: Client, method: str, path: str) -> float:
    """Return the duration of one call in seconds."""
    started = time.perf_counter()
    await client.call(method, path)
    return time.perf_counter() - started


def _count(text: bytes) -> StreamTotals:
    tokens = chunks = 0
    for line in text.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        choices = msgspec.json.decode(line[len(b"data: ") :]).get("choices") or [{}]
        content = choices[0].get("delta", {}).get("content")
        if content:
            chunks += 1
            tokens += len(content.split())
    return StreamTotals(1, chunks, tokens)

"""Tests against endpoints in trouble that send bytes without end.

The bytes go on until the client closes the connection. The client has a few seconds of
deadline left; it must not use much memory or processor time until then.
"""

import contextlib
import time
import tracemalloc

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind
from plantainstack.links.answers import ANSWER_BYTES_MAX
from tests.platform.test_servers import ID, SEAL, VERSION, call, serving

pytestmark = pytest.mark.anyio

HEAD = f"HTTP/1.1 200 OK\r\n{ID}{SEAL}{VERSION}"
BLOCK = "x" * 65536
DEADLINE_S = 3.0


class Endless:
    """Send a text, and then another one again and again until the client closes."""

    def __init__(self, first, repeated, gap_s=0.0):
        self.first = first.encode()
        self.repeated = repeated.encode()
        self.gap_s = gap_s
        self.closed = anyio.Event()

    async def serve(self, stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
                await stream.send(self.first)
                while True:
                    await stream.send(self.repeated)
                    await anyio.sleep(self.gap_s)
        self.closed.set()


def request():
    return call(deadline=SystemClock().now() + DEADLINE_S)


async def outcome_of(endpoint):
    """Return the failure of a call, its processor time and its peak of memory."""
    async with serving(endpoint) as (client, target):
        tracemalloc.start()
        begun = time.process_time()
        outcome = await client.call(target, request())
        used = time.process_time() - begun
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        with anyio.fail_after(1.0):
            await endpoint.closed.wait()
    return outcome.unwrap_err(), used, peak


@pytest.mark.parametrize(
    "endpoint",
    [
        Endless(HEAD + "\r\n", BLOCK),
        Endless(HEAD + "Transfer-Encoding: chunked\r\n\r\n", f"10000\r\n{BLOCK}\r\n"),
        Endless(HEAD + "Content-Length: 999999999999\r\n\r\n", BLOCK),
    ],
)
async def test_endless_body_is_given_up(endpoint):
    """Guards against an answer that fills the memory of an instance."""
    failure, _, peak = await outcome_of(endpoint)
    assert failure.kind is ErrorKind.ENDPOINT_FAILED
    assert peak < 3 * ANSWER_BYTES_MAX


@pytest.mark.parametrize(
    "endpoint",
    [
        Endless("HTTP/1.1 200 OK\r\n", f"X-More: {BLOCK[:500]}\r\n"),
        Endless("HTTP/1.1 200 OK\r\nX-More: ", BLOCK),
        Endless("", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"),
    ],
)
async def test_endless_head_is_given_up(endpoint):
    """Guards against an instance that is busy with heads until the deadline."""
    failure, used, _ = await outcome_of(endpoint)
    assert failure.kind is ErrorKind.ENDPOINT_FAILED
    assert used < DEADLINE_S / 3


async def stream_failure(endpoint):
    """Return the last outcome of a stream, its duration and its processor time."""
    async with serving(endpoint) as (client, target):
        begun, used = time.monotonic(), time.process_time()
        async with client.stream(
            target, request()._replace(deadline=SystemClock().now() + 30.0)
        ) as opened:
            outcomes = [each async for each in opened.unwrap().events()]
        seconds = time.monotonic() - begun
        used = time.process_time() - used
    return outcomes[-1].unwrap_err(), seconds, used


@pytest.mark.parametrize(
    "repeated", ["data: " + BLOCK, BLOCK, "data: x\n" * 8000, ": comment\n" * 8000]
)
async def test_event_without_end_is_given_up(repeated):
    """Guards against a buffer that grows, and is searched again at each chunk."""
    failure, seconds, used = await stream_failure(Endless(HEAD + "\r\n", repeated))
    assert failure.kind is ErrorKind.ANSWER_TRUNCATED
    assert seconds < DEADLINE_S
    assert used < 1.0


@pytest.mark.parametrize("repeated", [": still here\n\n", ":\n", "x"])
async def test_stalled_stream_that_sends_a_few_bytes_is_given_up(repeated):
    """Guards against a stream that never ends, since bytes but no events arrive."""
    first = HEAD + "\r\nid: 1\ndata: one\n\n"
    failure, seconds, _ = await stream_failure(Endless(first, repeated, 0.3))
    assert failure.kind is ErrorKind.ANSWER_TIMEOUT
    assert seconds < 4.0


async def test_slow_but_sound_stream_is_read_to_its_end():
    """Guards against a limit on silence that cuts streams with long pauses."""
    events = [f"id: {n}\ndata: x\n\n".encode() for n in range(1, 4)]

    async def serve(stream):
        async with stream:
            await stream.receive()
            await stream.send((HEAD + "\r\n").encode())
            for event in events:
                await anyio.sleep(1.5)
                await stream.send(event)

    endpoint = Endless("", "")
    endpoint.serve = serve
    async with serving(endpoint) as (client, target):
        slow = call(deadline=SystemClock().now() + 30.0)
        async with client.stream(target, slow) as opened:
            outcomes = [each async for each in opened.unwrap().events()]
    assert [each.unwrap().id for each in outcomes] == [1, 2, 3]

"""Tests of what the HTTP clients of platform services share."""

import contextlib
import tracemalloc
from itertools import count
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from plantainstack.adapters.http import ANSWER_BYTES_MAX, Answer, HttpClient
from plantainstack.adapters.plugin import PlatformPlugin
from plantainstack.adapters.service_client import decode
from plantainstack.clock import SystemClock
from plantainstack.errors import Outcome
from plantainstack.settings.options import Address
from tests.platform.test_servers import Script

READ_BYTES = 65_536


@contextlib.asynccontextmanager
async def listening(serve):
    """Yield the address of a service."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = listener.extra(anyio.abc.SocketAttribute.local_address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield Address(*address)
        tasks.cancel_scope.cancel()
    await listener.aclose()


@contextlib.asynccontextmanager
async def client_of(serve):
    """Yield a client of a service."""
    async with listening(serve) as address:
        client = HttpClient(address, SystemClock())
        yield client
        await client.aclose()


class Sized(msgspec.Struct):
    size: int


@pytest.mark.parametrize("body", [b'{"more": ' + b"[" * 100_000, b"\xff", b"[]"])
def test_answer_that_cannot_be_decoded_is_a_failure(body):
    """Guards against an exception for an answer that may belong to a change."""
    failure = decode(Answer(200, {}, body), Sized).unwrap_err()
    assert failure.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.anyio
async def test_second_answer_of_a_service_is_not_that_to_the_next_call():
    """Guards against results that are one call late."""
    numbers = iter(range(1, 9))

    async def serve(stream):
        async with stream:
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                text = f"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{next(numbers)}"
                await stream.send(2 * text.encode())

    async with client_of(serve) as client:
        found = [(await client.exchange("GET", "/")).unwrap().body for _ in range(3)]
    assert found == [b"1", b"2", b"3"]


def service_answer(body):
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"


@pytest.mark.anyio
async def test_second_answer_of_a_service_behind_a_full_read_is_not_used():
    """Guards against results that are one call late."""
    head = len(service_answer("1" * READ_BYTES)) - READ_BYTES
    first = service_answer("1" * (READ_BYTES - head))
    script = Script(first + service_answer("1"), service_answer("2"))
    async with client_of(script.serve) as client:
        await client.exchange("GET", "/")
        found = await client.exchange("GET", "/")
    assert found.unwrap().body == b"2"


@pytest.mark.anyio
async def test_late_second_answer_of_a_service_is_not_that_to_the_next_call():
    """Guards against scores and rows that belong to the call before."""
    first, second = service_answer("1"), service_answer("2")
    async with client_of(Script(first, first + second, second).serve) as client:
        await client.exchange("GET", "/")
        found = await client.exchange("GET", "/")
    assert found.is_err() or found.unwrap().body == b"2"


SERVICES = ("table", "objects", "instances", "weights", "scorer")


class LateService:
    """Send each answer of a connection again, just before the next one on it."""

    def __init__(self):
        self._numbers = count(1)

    async def serve(self, stream):
        late = b""
        async with stream:
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                body = b'{"scores":[%d]}' % next(self._numbers)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                await stream.send(late + head + body)
                late = head + body


@pytest.mark.anyio
async def test_late_second_scores_are_not_those_of_the_next_samples():
    """Guards against samples that are trained on with the scores of others."""
    async with listening(LateService().serve) as address:
        platform = SimpleNamespace(**dict.fromkeys(SERVICES, address))
        settings = SimpleNamespace(platform=platform)
        kernel = SimpleNamespace(settings=settings, clock=SystemClock())
        plugin = PlatformPlugin(kernel)
        deadline = kernel.clock.now() + 5.0
        found = [(await plugin.scorer.score([{}], deadline)).unwrap() for _ in range(3)]
        await plugin.stop()
    assert found == [[1], [2], [3]]


@pytest.mark.anyio
async def test_answer_of_a_service_without_end_is_given_up():
    """Guards against a faulty service that fills the memory of an instance."""

    async def serve(stream):
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
                while True:
                    await stream.send(bytes(65536))

    async with client_of(serve) as client:
        tracemalloc.start()
        found = (await client.exchange("GET", "/")).unwrap_err()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert found.sent
    assert "exceeds" in found.message
    assert peak < 1.3 * ANSWER_BYTES_MAX

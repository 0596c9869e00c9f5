"""Tests of endpoints that stop in the middle of an answer and close the connection."""

import contextlib

import anyio
import pytest

from plantainstack.serving import RequestKind
from tests.platform.test_answer_deadlines import front
from tests.platform.test_broken_streams import read_answer
from tests.platform.test_ingress import connected

pytestmark = pytest.mark.anyio

SEAL = "Plantainstack-Server-Seal: s\r\n"
VERSION = "Plantainstack-Weight-Versions: 6\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
BODY = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


def head_of(id):
    request_id = f"Plantainstack-Request-Id: {id}\r\n"
    return f"HTTP/1.1 200 OK\r\n{request_id}{SEAL}{VERSION}{EVENTS}"


def sized(id):
    return f"{head_of(id)}Content-Length: {len(BODY)}\r\n\r\n{BODY}"


def chunked(id):
    head = f"{head_of(id)}Transfer-Encoding: chunked\r\n\r\n"
    return f"{head}{len(BODY):x}\r\n{BODY}\r\n0\r\n\r\n"


def after_interim(id):
    return f"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n{sized(id)}"


def line_feeds(id):
    return sized(id).replace("\r\n", "\n")


class CuttingEndpoint:
    """Close the connection after a part of an answer.

    The number in a request's id is the number of bytes that are sent. Requests whose
    ids begin with w are answered whole.
    """

    def __init__(self, framing):
        self.framing = framing
        self.cuts = 0

    async def serve(self, stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    request = b""
                    while b"\r\n\r\n" not in request:
                        request += await stream.receive()
                    fields = request.decode().lower().split("\r\n")
                    name = "plantainstack-request-id: "
                    id = next(each for each in fields if each.startswith(name))
                    id = id.removeprefix(name)
                    text = self.framing(id).encode()
                    if id.startswith("w"):
                        await stream.send(text)
                        continue
                    self.cuts += 1
                    await stream.send(text[: int(id[1:])])
                    return


async def ask(conn, id):
    """Send a request, and return what was read until the connection ended."""
    await conn.stream.send(
        "POST /t/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n"
        f"Plantainstack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n".encode()
    )
    return await read_answer(conn)


async def whole_answers(kind, framing, cuts, reuse):
    """Return the cuts after which the client got an answer that looks whole."""
    source = CuttingEndpoint(framing)
    found = []
    async with front(kind, 5.0, source.serve) as kernel:
        for cut in cuts:
            if reuse:
                async with connected(kernel) as conn:
                    assert (await ask(conn, "w000")).status == 200
            async with connected(kernel) as conn:
                answer = await ask(conn, f"r{cut:03}")
            if answer.status == 200 and answer.complete:
                found.append(cut)
    assert source.cuts >= len(cuts)
    return found


@pytest.mark.parametrize(
    "kind", [RequestKind.SAFE, RequestKind.UNSAFE, RequestKind.STREAM]
)
@pytest.mark.parametrize("framing", [sized, chunked, after_interim, line_feeds])
async def test_answer_that_is_cut_at_any_byte_is_no_whole_answer(framing, kind):
    """Guards against a 200 with a short body after an endpoint has stopped."""
    cuts = range(1, len(framing("r000")))
    assert await whole_answers(kind, framing, cuts, reuse=False) == []


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.STREAM])
@pytest.mark.parametrize("framing", [sized, chunked])
async def test_answer_that_is_cut_on_a_reused_connection_is_no_whole_answer(
    framing, kind
):
    """Guards against a retry that hides how an answer was cut."""
    cuts = range(1, len(framing("r000")))
    assert await whole_answers(kind, framing, cuts, reuse=True) == []

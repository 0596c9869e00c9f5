"""Tests of streams that break off, through the real HTTP interfaces of both sides.

Endpoints answer with scripted bytes over loopback; the client reads raw bytes too.
"""

import contextlib
import socket
import struct

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.serving import RequestKind
from plantainstack.settings.options import Address
from tests.platform.test_ingress import connected, gateway
from tests.platform.test_servers import ID, SEAL, VERSION
from tests.policy.serving_samples import batch, endpoint, route
from tests.services.store_fleet import (
    BATCH_ROUTE,
    CONFIG,
    FakePlatform,
    all_results,
    running,
    until,
)

pytestmark = pytest.mark.anyio

EVENT_STREAM = "Content-Type: text/event-stream\r\n"
JSON = "Content-Type: application/json\r\n"
HTML = "Content-Type: text/html\r\n"
HEAD = f"HTTP/1.1 200 OK\r\n{ID}{SEAL}{VERSION}{EVENT_STREAM}"
ERROR = '{"error": "the model is not loaded"}\n\n'
SECRET_HEAD = f"HTTP/1.1 500 Internal Server Error\r\n{ID}{JSON}\r\n{ERROR}"
NOT_EXECUTED = "Plantainstack-Not-Executed: full\r\n"
LAST_CHUNK = "0\r\n\r\n"


def event(number, data=None):
    return f"id: {number}\ndata: {data or f'text {number}'}\n\n"


ONE, TWO, THREE = event(1), event(2), event(3)


def chunked(*parts, head=HEAD, end=LAST_CHUNK):
    chunks = "".join(f"{len(part):x}\r\n{part}\r\n" for part in parts)
    return f"{head}Transfer-Encoding: chunked\r\n\r\n{chunks}{end}"


def sized(body, status="200 OK", headers=ID + SEAL):
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"


def unframed(body, head=HEAD):
    return f"{head}\r\n{body}"


class Step:
    """Bytes to answer a request with, and whether the connection ends by a reset."""

    def __init__(self, text, reset=False):
        self.text = text
        self.reset = reset


class Endpoints:
    """Answer the requests to all endpoints with one step after the other."""

    def __init__(self, steps):
        self.steps = [each if isinstance(each, Step) else Step(each) for each in steps]
        self.requests = []

    async def serve(self, stream):
        async with stream:
            request = b""
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while b"\r\n\r\n" not in request:
                    request += await stream.receive()
                self.requests.append(request.decode().lower())
                step = self.steps.pop(0) if self.steps else Step("")
                await stream.send(step.text.encode())
                # The bytes must be read before a reset discards them.
                await anyio.sleep(0.05)
                if step.reset:
                    reset_on_close(stream)

    def resumed_after(self):
        """Return the value of Last-Event-Id in each request, or None."""
        found = []
        for request in self.requests:
            lines = dict(
                line.split(": ", 1) for line in request.split("\r\n") if ": " in line
            )
            found.append(lines.get("last-event-id"))
        return found


def reset_on_close(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


@contextlib.asynccontextmanager
async def endpoints(*steps, count=3):
    """Run endpoints on loopback and yield them with a platform that lists them."""
    found = Endpoints(steps)
    platform = FakePlatform()
    platform.endpoints = {}
    platform.client = PlatformEndpointClient(SystemClock())
    async with contextlib.AsyncExitStack() as stack, anyio.create_task_group() as tasks:
        for number in range(count):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            await stack.enter_async_context(listener)
            address = listener.extra(anyio.abc.SocketAttribute.local_address)
            id = f"e{number}"
            platform.endpoints[id] = endpoint(id, address=Address(*address))
            tasks.start_soon(listener.serve, found.serve)
        yield found, platform
        await platform.client.aclose()
        tasks.cancel_scope.cancel()


class Answer:
    """What a client has read until its connection ended."""

    def __init__(self, raw, was_reset):
        head, _, rest = raw.decode().partition("\r\n\r\n")
        self.status = int(head.split()[1]) if head else None
        self.head = head.lower()
        self.chunked = "transfer-encoding: chunked" in self.head
        self.complete = not was_reset
        self.body = rest
        if self.chunked:
            self.body = ""
            self.complete = rest.endswith("\r\n" + LAST_CHUNK)
            while rest:
                size, _, rest = rest.partition("\r\n")
                self.body += rest[: int(size, 16)]
                rest = rest[int(size, 16) + 2 :]


async def read_answer(conn, seconds=10):
    """Return what a client reads until its connection ends; it may be nothing."""
    raw, was_reset = b"", False
    with anyio.fail_after(seconds):
        try:
            while True:
                raw += await conn.stream.receive()
        except anyio.EndOfStream:
            pass
        except anyio.BrokenResourceError:
            was_reset = True
    return Answer(raw, was_reset)


async def read_stream(*steps, version="1.1", resumable=True, count=3):
    """Send a request for a stream, and return the answer and the endpoints."""
    async with endpoints(*steps, count=count) as (found, platform):
        stream_route = route(
            RequestKind.STREAM,
            name="r-stream",
            prefix="/t/",
            endpoints_max=count,
            resumable=resumable,
        )
        platform.config = CONFIG._replace(routes=(*CONFIG.routes, stream_route))
        async with gateway(platform) as kernel, connected(kernel) as conn:
            await until(lambda: len(kernel.plugin("discovery").view.known) == count)
            await conn.stream.send(
                f"POST /t/x HTTP/{version}\r\nHost: desk.example\r\n{ID}"
                "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
            )
            answer = await read_answer(conn)
    return answer, found


BROKEN = {
    "no last chunk": chunked(ONE, end=""),
    "middle of an event": chunked(ONE, TWO[:9], end=""),
    "middle of a chunk": chunked(ONE, end="40\r\nid: 2"),
    "reset": Step(chunked(ONE, end=""), reset=True),
    "reset without a length": Step(unframed(ONE), reset=True),
    "middle of an event without a length": unframed(ONE + TWO[:9]),
    "head of another answer": chunked(ONE, SECRET_HEAD),
    "no id": chunked(ONE, "data: oops\n\n"),
    "event is missing": chunked(ONE, THREE),
    "event comes twice": chunked(ONE, ONE),
    "id is not a number": chunked(ONE, event("²")),
}
# Answers to a request that goes on after event 1, none of which does so.
WRONG_RESUMES = {
    "error": sized(ERROR, "500 Internal Server Error", ID + SEAL + JSON),
    "error as events": sized(TWO, "500 Oops", ID + SEAL + EVENT_STREAM),
    "error in chunks": chunked(TWO, head=HEAD.replace("200 OK", "502 Bad")),
    "success as JSON": sized(ERROR, headers=ID + SEAL + VERSION + JSON),
    "success as HTML": sized(f"<p>{TWO}</p>", headers=ID + SEAL + VERSION + HTML),
    "events as HTML": sized(TWO, headers=ID + SEAL + VERSION + HTML),
    "empty JSON": sized("", headers=ID + SEAL + VERSION + JSON),
    "success without a seal": sized(TWO, headers=ID + EVENT_STREAM),
    "other request": sized(TWO, headers=SEAL + EVENT_STREAM),
    "JSON without a type": sized(ERROR, headers=ID + SEAL + VERSION),
    "JSON as events": sized(ERROR, headers=ID + SEAL + VERSION + EVENT_STREAM),
    "head in the stream": chunked(SECRET_HEAD),
    "begins again": chunked(ONE, TWO, THREE),
    "event is missing": chunked(THREE),
    "no id": chunked("data: oops\n\n"),
    "full": sized("", "503 Full", NOT_EXECUTED),
    "other endpoint": sized("", "421 Misdirected", ""),
}
# As two endpoints that break their connections under one request: it is quarantined.
LOST_RESUMES = {
    "no answer": "",
    "reset": Step("HTTP/1.1 200", reset=True),
    "no HTTP": "gibberish\r\n\r\n",
}
ALL_RESUMES = WRONG_RESUMES | LOST_RESUMES


@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN)
async def test_broken_stream_goes_on_at_another_endpoint(broken):
    """Guards against events that are missing, come twice or are no events."""
    answer, found = await read_stream(broken, chunked(TWO, THREE))
    assert (answer.status, answer.body) == (200, ONE + TWO + THREE)
    assert answer.complete
    assert found.resumed_after() == [None, "1"]


@pytest.mark.parametrize("wrong", WRONG_RESUMES.values(), ids=WRONG_RESUMES)
async def test_wrong_answer_to_a_resume_is_no_part_of_the_stream(wrong):
    """Guards against the text or head of an error in the middle of a stream."""
    answer, found = await read_stream(chunked(ONE, end=""), wrong, chunked(TWO, THREE))
    assert (answer.status, answer.body) == (200, ONE + TWO + THREE)
    assert answer.complete
    assert found.resumed_after() == [None, "1", "1"]


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("wrong", ALL_RESUMES.values(), ids=ALL_RESUMES)
async def test_stream_that_cannot_go_on_does_not_look_complete(wrong, version):
    """Guards against a stream that ends as if it were complete."""
    answer, _ = await read_stream(chunked(ONE, end=""), wrong, wrong, version=version)
    assert answer.status in (200, None)
    assert answer.body in (ONE, "")
    assert not answer.complete


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN)
async def test_stream_that_may_not_be_resumed_does_not_look_complete(broken, version):
    """Guards against a stream that ends as if it were complete."""
    answer, found = await read_stream(broken, version=version, resumable=False)
    assert answer.status in (200, None)
    assert answer.body in (ONE, "")
    assert not answer.complete
    assert len(found.requests) == 1


@pytest.mark.parametrize("version", ["1.1", "1.0"])
async def test_break_after_the_last_event_does_not_look_complete(version):
    """Guards against an end that the endpoint did not send."""
    answer, _ = await read_stream(
        chunked(ONE, TWO, end=""), version=version, resumable=False
    )
    assert not answer.complete


@pytest.mark.parametrize("version", ["1.1", "1.0"])
async def test_break_between_head_and_first_event_does_not_look_complete(version):
    """Guards against a complete stream without events."""
    answer, _ = await read_stream(chunked(end=""), version=version, resumable=False)
    assert answer.body == ""
    assert not answer.complete


async def test_stream_that_broke_off_before_its_first_event_begins_again():
    answer, found = await read_stream(chunked(end=""), chunked(ONE, TWO))
    assert (answer.status, answer.body) == (200, ONE + TWO)
    assert answer.complete
    assert found.resumed_after() == [None, None]


async def test_event_without_an_id_is_not_passed_on_as_the_first_one():
    """Guards against a stream that begins again from the start after such an event."""
    answer, found = await read_stream(
        chunked("data: oops\n\n", end=""), chunked(ONE, TWO)
    )
    assert answer.body == ONE + TWO
    assert found.resumed_after() == [None, None]


@pytest.mark.parametrize(
    "step",
    [chunked(ONE, TWO), unframed(ONE + TWO), sized(ONE + TWO, headers=ID + SEAL)],
)
async def test_complete_stream_ends_as_complete(step):
    """Guards against a check that cuts sound streams."""
    for version in ("1.1", "1.0"):
        answer, found = await read_stream(step, version=version)
        assert (answer.body, answer.complete) == (ONE + TWO, True)
        assert len(found.requests) == 1


@pytest.mark.parametrize("kind", [JSON, EVENT_STREAM, HTML])
async def test_error_in_place_of_a_stream_keeps_its_status(kind):
    """Guards against an error that a client takes for a stream."""
    answer, found = await read_stream(
        sized(ERROR, "500 Internal Server Error", ID + SEAL + kind)
    )
    assert (answer.status, answer.body) == (500, ERROR)
    assert answer.complete
    assert len(found.requests) == 1


async def test_answer_that_is_no_stream_is_passed_on_unchanged():
    """Guards against an answer of which only the parts that look like events arrive."""
    answer, _ = await read_stream(sized(ERROR, headers=ID + SEAL + JSON))
    assert (answer.status, answer.body, answer.complete) == (200, ERROR, True)


@pytest.mark.parametrize("refusal", ["full", "other endpoint"])
async def test_refused_stream_is_reported_as_not_run(refusal):
    answer, _ = await read_stream(*[WRONG_RESUMES[refusal]] * 3)
    assert answer.status == 503


async def test_stream_that_may_have_run_is_not_reported_as_not_run():
    """Guards against a promise that does not hold."""
    refusal = WRONG_RESUMES["full"]
    answer, _ = await read_stream(refusal, Step("", reset=True), refusal)
    assert answer.status in (502, 504)


@pytest.mark.parametrize("wrong", ALL_RESUMES.values(), ids=ALL_RESUMES)
async def test_error_is_no_part_of_an_items_text(wrong):
    """Guards against a completed result with the text of an error, or a part of it."""
    steps = [chunked(ONE, end=""), wrong, chunked(TWO, THREE)]
    text = "text 1\ntext 2\ntext 3"
    item_id = batch().items[0].id
    steps = [
        Step(
            each.text.replace(ID, f"Plantainstack-Request-Id: {item_id}\r\n"),
            each.reset,
        )
        for each in (s if isinstance(s, Step) else Step(s) for s in steps)
    ]
    async with endpoints(*steps) as (found, platform):
        async with running(platform, "a") as (kernel,):
            batches = kernel.plugin("batches")
            assert (await batches.submit(batch(), BATCH_ROUTE)).is_ok()
            [result] = await all_results(batches, batch().id, 1)
    assert (result.state.value, result.text) == ("completed", text)
    assert found.resumed_after() == [None, "1", "1"]

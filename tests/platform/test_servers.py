"""Contract tests of the servers' client, against raw bytes over loopback."""

import contextlib

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.platform.servers import PlatformEndpointClient
from plantainstack.serving import (
    EndpointAnswer,
    EndpointCall,
    LoadMode,
    OrderAnswer,
    VersionOrder,
)
from plantainstack.settings.options import Address
from tests.policy.serving_samples import endpoint

pytestmark = pytest.mark.anyio

ID = "Plantainstack-Request-Id: r1\r\n"
SEAL = "Plantainstack-Server-Seal: s\r\n"
VERSION = "Plantainstack-Weight-Versions: 6\r\n"
EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


def answer(status="200 OK", headers=ID + SEAL, body="hello", length=None):
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {size}\r\n\r\n{body}"


def unframed(body, headers=ID + SEAL + VERSION):
    return f"HTTP/1.1 200 OK\r\n{headers}\r\n{body}"


def chunked(*parts, end=True):
    head = f"HTTP/1.1 200 OK\r\n{ID}{SEAL}{VERSION}Transfer-Encoding: chunked\r\n\r\n"
    chunks = "".join(f"{len(part):x}\r\n{part}\r\n" for part in parts)
    return head + chunks + ("0\r\n\r\n" if end else "")


class Script:
    """Answer each request with the next step: text, or None to close instead.

    A text that ends with `CLOSE` is followed by the end of the connection.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    request = b""
                    while b"\r\n\r\n" not in request:
                        request += await stream.receive()
                    self.requests.append(request.decode())
                    step = self.steps.pop(0) if self.steps else None
                    if step is None:
                        return
                    await stream.send(step.removesuffix("CLOSE").encode())
                    if step.endswith("CLOSE"):
                        return


@contextlib.asynccontextmanager
async def serving(script):
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = listener.extra(anyio.abc.SocketAttribute.local_address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, script.serve)
        client = PlatformEndpointClient(SystemClock())
        yield client, endpoint("i-1", address=Address(*address))
        await client.aclose()
        tasks.cancel_scope.cancel()
    await listener.aclose()


def call(clock=None, **changes):
    deadline = SystemClock().now() + 5.0
    found = EndpointCall("r1", "POST", "/a/x?q=1", "desk.example", (), b"", deadline)
    return found._replace(**changes)


async def ask(*steps, calls=1):
    script = Script(*steps)
    async with serving(script) as (client, end):
        outcomes = [await client.call(end, call()) for _ in range(calls)]
        return outcomes, script


async def test_the_request_names_its_endpoint_and_what_is_left():
    headers = (("X-Own", "kept"), ("Connection", "close"), ("Expect", "100-continue"))
    script = Script(answer())
    async with serving(script) as (client, end):
        outcome = await client.call(end, call(headers=headers, resume_after=4))
    assert outcome.unwrap().answer.body == b"hello"
    [request] = script.requests
    lines = request.lower().split("\r\n")
    assert lines[0] == "post /a/x?q=1 http/1.1"
    assert "host: desk.example" in lines
    assert "x-own: kept" in lines
    assert "plantainstack-expect-instance: i-1" in lines
    assert "last-event-id: 4" in lines
    assert not any(line.startswith(("connection", "expect:")) for line in lines)
    [left] = [line for line in lines if line.startswith("plantainstack-deadline-ms")]
    assert 0 < int(left.split(": ")[1]) <= 5000


@pytest.mark.parametrize(
    ("step", "kind"),
    [
        (answer(headers="Plantainstack-Request-Id: r0\r\n" + SEAL), "answer_crossed"),
        (answer(headers=SEAL), "answer_crossed"),
        (answer(headers=ID), "answer_crossed"),
        (answer(headers=ID + SEAL + "Content-Encoding: gzip\r\n"), "answer_crossed"),
        (answer(length=50) + "CLOSE", "answer_truncated"),
        ("gibberish\r\n\r\nCLOSE", "endpoint_failed"),
        (None, "endpoint_failed"),
        (chunked("hello", end=False) + "CLOSE", "answer_truncated"),
    ],
)
async def test_what_is_not_the_whole_answer_is_a_failure(step, kind):
    """Guards against a wrong or torn answer that reaches a client as a success."""
    outcomes, _ = await ask(step)
    failure = outcomes[0].unwrap_err()
    assert failure.kind == ErrorKind(kind)
    assert failure.outcome is Outcome.MAY_HAVE_RUN


async def test_an_extra_answer_is_not_the_next_ones():
    """Guards against a late answer that is taken for another request's."""
    late = answer(headers="Plantainstack-Request-Id: r0\r\n" + SEAL, body="other")
    script = Script(answer() + late, answer(body="mine"), answer(body="mine"))
    async with serving(script) as (client, end):
        await client.call(end, call())
        await anyio.sleep(0.05)
        second = await client.call(end, call())
    assert second.is_err() or second.unwrap().answer.body == b"mine"


@pytest.mark.parametrize("status", ["503 Service Unavailable", "421 Misdirected"])
async def test_refusals_did_not_run(status):
    refusal = answer(status, "Plantainstack-Not-Executed: 1\r\n", "")
    outcomes, _ = await ask(refusal)
    found = outcomes[0].unwrap()
    assert found.not_run


async def test_other_failures_may_have_run():
    """Guards against `not run` for an endpoint's own 503."""
    outcomes, _ = await ask(answer("503 Service Unavailable"))
    assert not outcomes[0].unwrap().not_run


async def test_a_connection_that_was_closed_while_idle_is_replaced():
    """Guards against an endpoint that is blamed for an idle connection's end."""
    outcomes, script = await ask(answer(), None, answer(body="again"), calls=2)
    assert outcomes[1].unwrap().answer.body == b"again"
    assert script.connections == 2


async def test_a_request_that_must_not_run_twice_gets_a_new_connection():
    """Guards against a second sending after a stale connection took the first."""
    script = Script(answer(), answer(), answer())
    async with serving(script) as (client, end):
        await client.call(end, call())
        await client.call(end, call(reuse_connection=False))
    assert script.connections == 2


async def test_load_reports_are_read():
    outcomes, _ = await ask(
        answer(headers=ID + SEAL + "Plantainstack-Server-Load: 3,1,8\r\n")
    )
    assert outcomes[0].unwrap().load == (3, 1, 8)


async def read(*steps):
    script = Script(*steps)
    async with serving(script) as (client, end):
        async with client.stream(end, call()) as opened:
            if opened.is_err() or isinstance(opened.unwrap(), EndpointAnswer):
                return opened, []
            stream = opened.unwrap()
            return stream.head, [event async for event in stream.events()]


@pytest.mark.parametrize(
    "step",
    [chunked(EVENTS), chunked(EVENTS[:7], EVENTS[7:]), unframed(EVENTS) + "CLOSE"],
)
async def test_whole_streams_are_read(step):
    head, events = await read(step)
    assert head.version == 6
    assert [event.unwrap().data for event in events] == ["one", "two"]
    assert [event.unwrap().id for event in events] == [1, 2]


@pytest.mark.parametrize(
    "step",
    [
        chunked(EVENTS, end=False) + "CLOSE",
        chunked(EVENTS[:-4], end=False) + "CLOSE",
        unframed(EVENTS[:-4]) + "CLOSE",
    ],
)
async def test_torn_streams_end_with_a_failure(step):
    """Guards against a torn event, or a cut stream that looks complete."""
    _, events = await read(step)
    assert events[-1].is_err()
    assert all(event.unwrap().data in ("one", "two") for event in events[:-1])


async def test_a_change_of_version_is_read_with_its_event():
    """Guards against labels of the version at the stream's start only."""
    changed = "plantainstack-weight-versions: 7\nid: 3\ndata: three\n\n"
    _, events = await read(chunked(EVENTS + changed))
    assert [event.unwrap().version for event in events] == [None, None, 7]


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        ("202 Accepted", OrderAnswer.ACCEPTED),
        ("200 OK", OrderAnswer.HOLDS),
        ("409 Conflict", OrderAnswer.CONFLICT),
        ("421 Misdirected", OrderAnswer.WRONG_ENDPOINT),
        ("412 Precondition Failed", OrderAnswer.REFUSED),
    ],
)
async def test_orders_are_answered(status, expected):
    script = Script(answer(status, "", ""))
    order = VersionOrder("m0", 7, LoadMode.CONTINUE, "a", 3, 2)
    async with serving(script) as (client, end):
        outcome = await client.order(end, order, SystemClock().now() + 1.0)
    assert outcome.unwrap() is expected
    assert '"expected":2' in script.requests[0]
    assert '"mode":"retain"' in script.requests[0]


async def test_reports_are_read():
    body = '{"models":[{"name":"m0","version":4}],"busy":true,"seq":9}'
    script = Script(answer("200 OK", "", body))
    async with serving(script) as (client, end):
        found = (await client.report(end, SystemClock().now() + 1.0)).unwrap()
    assert (found.versions, found.busy, found.orders_seen) == ({"m0": 4}, True, 9)


async def test_an_endpoint_that_is_not_there_did_not_run_anything():
    async with serving(Script()) as (client, end):
        pass
    failure = (await client.call(end, call())).unwrap_err()
    assert failure.outcome is Outcome.NOT_RUN

"""Tests of answers whose head has arrived when the deadline of the request passes."""

import contextlib
import time

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Outcome
from plantainstack.serving import LoadMode, RequestKind, VersionOrder
from tests.platform.test_broken_streams import endpoints, read_answer
from tests.platform.test_endless_bytes import Endless
from tests.platform.test_ingress import connected, gateway
from tests.platform.test_servers import ID, SEAL, VERSION, call, serving
from tests.policy.serving_samples import route
from tests.services.store_fleet import CONFIG, until

pytestmark = pytest.mark.anyio

DEADLINE_S = 0.5
# Allowance for a busy machine; the endpoints are in trouble for longer.
LATE_S = 5.0
EVENTS = "Content-Type: text/event-stream\r\n"
ORDER = VersionOrder("m0", 2, LoadMode.CONTINUE, "a", 1, 0)
HEAD = f"HTTP/1.1 200 OK\r\n{ID}{SEAL}{VERSION}"
FRAMINGS = {
    "no length": ("\r\n", "x"),
    "chunks": ("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    "length": ("Content-Length: 1000\r\n\r\n", "x"),
}


def endpoint_that(framing, trickles, kind=""):
    """Return an endpoint that sends a head, and then nothing or a few bytes."""
    head_end, repeated = FRAMINGS[framing]
    gap_s = 0.1 if trickles else 60.0
    return Endless(HEAD + kind + head_end, repeated if trickles else "", gap_s)


def soon():
    return SystemClock().now() + DEADLINE_S


@contextlib.contextmanager
def kept_deadline():
    begun = time.monotonic()
    yield
    assert time.monotonic() - begun < DEADLINE_S + LATE_S


def check_timed_out(outcome):
    failure = outcome.unwrap_err()
    assert failure.kind is ErrorKind.ANSWER_TIMEOUT
    assert failure.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("trickles", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", ["call", "report", "order"])
async def test_body_that_does_not_end_before_the_deadline_is_a_failure(
    kind, framing, trickles
):
    """Guards against a call without an outcome, on which the process ended."""
    async with serving(endpoint_that(framing, trickles)) as (client, target):
        with kept_deadline():
            if kind == "call":
                outcome = await client.call(target, call(deadline=soon()))
            elif kind == "report":
                outcome = await client.report(target, soon())
            else:
                outcome = await client.order(target, ORDER, soon())
    check_timed_out(outcome)


@pytest.mark.parametrize("trickles", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_stream_that_does_not_end_before_the_deadline_ends_with_a_failure(
    framing, trickles
):
    """Guards against a stream that is cut off at its deadline and looks complete."""
    async with serving(endpoint_that(framing, trickles, EVENTS)) as (client, target):
        with kept_deadline():
            async with client.stream(target, call(deadline=soon())) as opened:
                outcomes = [each async for each in opened.unwrap().events()]
    check_timed_out(outcomes[-1])


async def test_answer_that_is_no_stream_and_does_not_end_is_a_failure():
    """Guards against a stream's request that gets an error answer without end."""
    kind = "Content-Type: application/json\r\n"
    async with serving(endpoint_that("length", True, kind)) as (client, target):
        async with client.stream(target, call(deadline=soon())) as opened:
            check_timed_out(opened)


@contextlib.asynccontextmanager
async def front(kind, timeout_s, serve, **options):
    """Run an instance and one endpoint; yields the instance, which has one route."""
    async with endpoints(count=1) as (found, platform):
        found.serve = serve
        options = {"name": "r-t", "prefix": "/t/", "timeout_s": timeout_s, **options}
        tested = route(kind, **options)
        platform.config = CONFIG._replace(routes=(*CONFIG.routes, tested))
        (target,) = platform.endpoints.values()
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            address = listener.extra(anyio.abc.SocketAttribute.local_address)
            moved = target._replace(address=type(target.address)(*address))
            platform.endpoints[moved.id] = moved
            tasks.start_soon(listener.serve, serve)
            async with gateway(platform) as kernel:
                await until(lambda: kernel.plugin("discovery").view.known)
                yield kernel
            tasks.cancel_scope.cancel()


def request():
    return f"POST /t/x HTTP/1.1\r\nHost: desk.example\r\n{ID}Content-Length: 0\r\n\r\n"


def event(number, size=1):
    return f"id: {number}\ndata: {'x' * size}\n\n"


class Streaming:
    """Send an event again and again until the connection is closed."""

    def __init__(self, gap_s, size=1):
        self.gap_s = gap_s
        self.size = size
        self.closed = anyio.Event()

    async def serve(self, stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
                await stream.send(f"{HEAD}{EVENTS}\r\n".encode())
                number = 0
                while True:
                    number += 1
                    await stream.send(event(number, self.size).encode())
                    await anyio.sleep(self.gap_s)
        self.closed.set()


async def test_stream_at_its_deadline_does_not_look_complete_to_the_client():
    """Guards against a text that lacks its last events and ends as a whole one."""
    source = Streaming(gap_s=0.1)
    async with front(RequestKind.STREAM, DEADLINE_S, source.serve) as kernel:
        async with connected(kernel) as conn:
            await conn.stream.send(request().encode())
            answer = await read_answer(conn, DEADLINE_S + LATE_S)
            with anyio.fail_after(LATE_S):
                await source.closed.wait()
        balancer = kernel.plugin("discovery").balancer
        (target,) = kernel.plugin("discovery").view.known.values()
        # The endpoint did what it should, so that other requests may go to it.
        assert not balancer.is_avoided(target, kernel.clock.now())
    assert answer.status == 200
    assert event(2) in answer.body
    assert not answer.complete


async def test_client_that_does_not_read_holds_no_endpoint_past_its_deadline():
    """Guards against a stream that goes on for a client that has stopped reading."""
    source = Streaming(gap_s=0.0, size=50_000)
    async with front(RequestKind.STREAM, DEADLINE_S, source.serve) as kernel:
        async with connected(kernel) as conn:
            await conn.stream.send(request().encode())
            with anyio.fail_after(DEADLINE_S + LATE_S):
                await source.closed.wait()


@pytest.mark.parametrize("trickles", [False, True])
async def test_client_is_told_at_the_deadline_that_its_request_may_have_run(trickles):
    """Guards against a late answer, or one that says that nothing has run."""
    source = endpoint_that("length", trickles)
    async with front(RequestKind.UNSAFE, DEADLINE_S, source.serve) as kernel:
        async with connected(kernel) as conn:
            with kept_deadline():
                await conn.stream.send(request().encode())
                status, _, _ = await conn.answer()
    assert status == 504

"""Tests of answers, connections and sends that no request accounts for."""

import contextlib

import anyio
import pytest

from plantainstack.clock import SystemClock
from plantainstack.errors import ErrorKind, Failure
from plantainstack.services.forwarding import ClientCall
from plantainstack.serving import RequestKind
from tests.platform.test_answer_binding import SECOND_ID, call_twice
from tests.platform.test_answer_deadlines import front
from tests.platform.test_ingress import connected
from tests.platform.test_servers import (
    EVENTS,
    ID,
    NOT_EXECUTED,
    SEAL,
    VERSION,
    Script,
    answer,
    call,
    serving,
)
from tests.services.store_fleet import SAFE_ROUTE, FakePlatform, running

BROKEN = Failure.of(ErrorKind.ENDPOINT_FAILED, "scripted")
READ_BYTES = 65_536

pytestmark = pytest.mark.anyio


def client_call(kernel, number):
    deadline = kernel.clock.now() + 2.0
    return ClientCall(f"r{number}", "POST", "/s/x", "desk.example", (), b"", deadline)


def sized(text, size):
    """Return an answer of exactly `size` bytes, head included."""
    head = len(answer(body="x" * size)) - size
    return answer(body=text * (size - head))


async def test_surplus_bytes_behind_a_full_read_make_a_connection_unfit():
    """Guards against surplus bytes that wait in the buffer of the event loop."""
    mine = answer(headers=SECOND_ID + SEAL, body="mine")
    outcome, script = await call_twice(sized("x", READ_BYTES) + answer(), mine)
    assert script.connections == 2
    assert outcome.unwrap().answer.body == b"mine"


@pytest.mark.parametrize(
    "headers",
    [ID, SEAL, ID + SEAL + "Content-Encoding: gzip\r\n"],
    ids=["no-seal", "no-id", "encoded"],
)
async def test_stream_that_says_it_was_not_run_is_checked_like_others(headers):
    """Guards against a stream without seal or id that a client gets as a success."""
    script = Script(answer(headers=headers + VERSION + NOT_EXECUTED, body=EVENTS))
    async with serving(script) as (client, target):
        async with client.stream(target, call()) as opened:
            passed_on = opened.is_ok() and not getattr(opened.unwrap(), "not_run", 0)
    assert not passed_on


async def test_answer_to_a_request_without_id_needs_a_seal():
    """Guards against a success that no endpoint has sealed."""
    script = Script(answer(headers=""))
    async with serving(script) as (client, target):
        outcome = await client.call(target, call(request_id=""))
    assert outcome.is_err()


async def test_connection_that_was_closed_while_idle_carries_no_other_request():
    """Guards against failures that are reported for a closed idle connection."""
    steps = [answer() + "CLOSE", answer(headers=SECOND_ID + SEAL)]
    outcome, script = await call_twice(*steps, pause_s=0.05)
    assert outcome.is_ok()
    assert script.connections == 2


async def test_connection_with_bytes_while_idle_carries_no_other_request():
    """Guards against requests that are lost to a late second answer."""
    connections = []

    async def serve(stream):
        connections.append(stream)
        id = ID if len(connections) == 1 else SECOND_ID
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while await stream.receive():
                    await stream.send(answer(headers=id + SEAL).encode())
                    await anyio.sleep(0.02)
                    await stream.send(answer(headers=id + SEAL).encode())

    script = Script()
    script.serve = serve
    async with serving(script) as (client, target):
        await client.call(target, call())
        await anyio.sleep(0.05)
        outcome = await client.call(target, call(request_id="r2"))
    assert outcome.is_ok()
    assert len(connections) == 2


async def test_other_request_that_must_not_run_twice_uses_a_new_connection():
    """Guards against a request that is lost on a stale connection."""
    script = Script(answer(), answer(headers=SECOND_ID + SEAL))
    async with serving(script) as (client, target):
        await client.call(target, call())
        await client.call(target, call(request_id="r2", reuse_connection=False))
    assert script.connections == 2


async def test_connection_is_not_reused_beyond_its_keep_alive_timeout():
    """Guards against requests that are lost on a connection about to be closed."""
    first = answer(headers=ID + SEAL + "Keep-Alive: timeout=1\r\n")
    second = answer(headers=SECOND_ID + SEAL)
    _, script = await call_twice(first, second, pause_s=1.05)
    assert script.connections == 2


async def test_connection_of_a_report_carries_no_request():
    """Guards against requests that are lost to a late second report."""
    script = Script(answer(headers="", body='{"seq":1}'), answer())
    async with serving(script) as (client, target):
        await client.report(target, SystemClock().now() + 1.0)
        await client.call(target, call())
    assert script.connections == 2


async def test_kept_connection_is_used_only_if_a_permit_is_to_be_had_elsewhere():
    """Guards against a request that is lost since its kept connection was closed."""
    platform = FakePlatform()
    platform.client.rate_limits = {"e1": 1.0}
    async with running(platform, "a") as kernels:
        forwarding = kernels[0].plugin("forwarding")
        for number in range(8):
            await forwarding.plain(client_call(kernels[0], number), SAFE_ROUTE)
        kernels[0].plugin("store").metadata_store.unavailable = True
        await anyio.sleep(1.0)
        platform.client.sent_calls.clear()
        platform.client.statuses = {"e2": BROKEN}
        outcome = await forwarding.plain(client_call(kernels[0], 9), SAFE_ROUTE)
    assert outcome.is_err()
    [sent] = platform.client.sent_calls
    assert not sent.reuse_connection


async def test_request_is_sent_under_the_id_that_binds_its_answer():
    """Guards against items that run under an id from their own headers."""
    script = Script(answer())
    async with serving(script) as (client, target):
        headers = (("Plantainstack-Request-Id", "r0"),)
        await client.call(target, call(headers=headers))
    [request] = script.requests
    ids = [line for line in request.split("\r\n") if "Request-Id" in line]
    assert ids == ["Plantainstack-Request-Id: r1"]


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
async def test_status_that_does_not_exist_is_a_failure_of_the_endpoint(kind):
    """Guards against a client's connection that is closed without an answer."""
    script = Script(answer("700 Odd"), answer("700 Odd"))
    async with front(kind, 5.0, script.serve) as kernel, connected(kernel) as conn:
        status, _, _ = await conn.request("GET", "/t/x", Plantainstack_Request_Id="r1")
    assert status == 502


async def test_answer_sent_before_the_request_is_not_used():
    """Guards against "not run" for a request that runs on a new connection."""

    async def serve(stream):
        async with stream:
            await stream.send(answer("503 Full", NOT_EXECUTED).encode())
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
                await stream.send(answer().encode())

    script = Script()
    script.serve = serve
    async with serving(script) as (client, target):
        outcome = await client.call(target, call())
    assert outcome.is_err() or not outcome.unwrap().not_run

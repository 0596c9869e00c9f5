"""Tests of the callers' API on loopback."""

import json
import socket

import anyio
import pytest
from result import Ok

from plantainstack.interfaces import PlainAnswer
from plantainstack.kernel import State
from tests.fakes import REFUSED, TIMED_OUT, TRUNCATED
from tests.front.harness import running

pytestmark = pytest.mark.anyio

PATH = "/v1/chat/completions"
BODY = {"model": "raadgiver-llm", "messages": [{"role": "user", "content": "hi"}]}


def events_of(reply):
    lines = reply.body.decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


async def test_completion_is_returned_in_one_response(tmp_path):
    async with running(tmp_path) as client:
        reply = await client.send("POST", PATH, BODY, X_Request_Id="r-1")
    choice = reply.json()["choices"][0]
    assert choice["message"] == {"role": "assistant", "content": "one two"}
    assert choice["finish_reason"] == "stop"
    names = ("x-request-id", "x-instance", "x-attempts")
    assert [reply.headers[name] for name in names] == ["r-1", "entry-1", "1"]


async def test_listener_disables_nagles_algorithm(tmp_path):
    """Guards against 40 ms of delay in each response.

    asyncio disables Nagle's algorithm only if the socket's protocol is TCP.
    """
    async with running(tmp_path) as client:
        server = client.kernel.plugin("front").server
        assert server._socket.proto == socket.IPPROTO_TCP


async def test_streamed_completion_ends_with_the_done_marker(tmp_path):
    options = {"stream": True, "stream_options": {"include_usage": True}}
    async with running(tmp_path) as client:
        reply = await client.send("POST", PATH, BODY | options)
    *chunks, usage, done = events_of(reply)
    assert done == "[DONE]"
    assert json.loads(usage)["usage"]["completion_tokens"] == 2
    choices = [json.loads(chunk)["choices"][0] for chunk in chunks]
    texts = [choice["delta"].get("content") for choice in choices]
    assert texts == ["one ", "two", None]
    assert choices[-1]["finish_reason"] == "stop"


async def test_broken_stream_ends_with_an_error_and_no_done_marker(tmp_path):
    """Guards against a truncated stream that looks complete."""
    async with running(tmp_path) as client:
        engine = client.kernel.plugin("links").fake_engine
        engine.script = [["one ", TRUNCATED], [REFUSED], [REFUSED]]
        reply = await client.send("POST", PATH, BODY | {"stream": True})
    last = json.loads(events_of(reply)[-1])
    assert last["error"]["outcome"] == "may_have_run"
    assert b"[DONE]" not in reply.body


async def test_plain_call_forwards_request_and_response(tmp_path):
    async with running(tmp_path) as client:
        plain = client.kernel.plugin("links").fake_plain

        async def answer(req):
            return Ok(PlainAnswer(201, [("X-Booking", "7")], b"booked"))

        plain.script = [answer]
        reply = await client.send("POST", "/services/booking-app/a%20b?c=d", b"x")
    assert (reply.status, reply.body) == (201, b"booked")
    assert reply.headers["x-booking"] == "7"
    sent = plain.calls[0]
    assert (sent.method, sent.path, sent.body) == ("POST", "/a%20b?c=d", b"x")
    assert "authorization" not in {name.lower() for name, _ in sent.headers}


@pytest.mark.parametrize(
    ("method", "attempts", "status"), [("GET", "2", 200), ("POST", "1", 504)]
)
async def test_only_safe_methods_are_retried(tmp_path, method, attempts, status):
    """Guards against a second execution of a call that is not repeatable."""
    async with running(tmp_path) as client:
        client.kernel.plugin("links").fake_plain.script = [TIMED_OUT]
        reply = await client.send(method, "/services/booking-app/x")
    assert (reply.status, reply.headers["x-attempts"]) == (status, attempts)


async def test_disconnect_cancels_the_completion(tmp_path):
    async with running(tmp_path) as client:
        engine = client.kernel.plugin("links").fake_engine
        engine.gate = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.send, "POST", PATH, BODY)
            while not engine.requests:
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        while not engine.cancelled:
            await anyio.sleep(0)
        assert client.kernel.plugin("dispatch").in_flight == 0


async def test_draining_finishes_a_stream_and_rejects_new_requests(tmp_path):
    """Guards against a shutdown that interrupts a running request."""
    async with running(tmp_path) as client:
        engine = client.kernel.plugin("links").fake_engine
        engine.gate = anyio.Event()
        replies = []

        async def read():
            replies.append(await client.send("POST", PATH, BODY | {"stream": True}))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            while not engine.requests:
                await anyio.sleep(0)
            client.kernel.request_stop()
            while client.kernel.state is not State.DRAINING:
                await anyio.sleep(0)
            ready = await client.send("GET", "/readyz", token=None)
            refused = await client.send("POST", PATH, BODY)
            engine.gate.set()
    assert ready.status == 503
    assert (refused.error()["kind"], refused.error()["outcome"]) == (
        "draining",
        "not_run",
    )
    assert events_of(replies[0])[-1] == "[DONE]"
